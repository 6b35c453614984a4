"""Which part of its recent work each queue was given room for."""

import math
import typing

# Work counts for about this long.
_MEMORY_S: typing.Final = 2.0
# A queue whose part is lower than that of all work by this factor is behind.
_FLOOR: typing.Final = 0.5
# Queues whose work has decayed below this many core-seconds are forgotten.
_NEGLIGIBLE_WORK: typing.Final = 0.001
_MAX_QUEUES: typing.Final = 256


class QueueShares:
    """Work of the jobs that came, and of those that have started, by queue.

    Both are in core-seconds and lose weight with age.
    """

    def __init__(self) -> None:
        """Start without work."""
        self.arrived: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.updated_at = 0.0

    def record_arrival(self, queue: str, work: float, now: float) -> None:
        """Record the work of a job that has come."""
        self._decay(now)
        if queue in self.arrived or len(self.arrived) < _MAX_QUEUES:
            self.arrived[queue] = self.arrived.get(queue, 0) + work

    def record_start(self, queue: str, work: float, now: float) -> None:
        """Record the work of a job at the start of its first task."""
        self._decay(now)
        if queue in self.arrived:
            self.started[queue] = self.started.get(queue, 0) + work

    def part(self, queue: str) -> float:
        """Return the part of the queue's work that has started, 1 without."""
        arrived = self.arrived.get(queue, 0)
        return self.started.get(queue, 0) / arrived if arrived else 1.0

    def behind(self) -> set[str]:
        """Return the queues that were given far less room than all together."""
        arrived = sum(self.arrived.values())
        if not arrived:
            return set()
        floor = _FLOOR * min(sum(self.started.values()) / arrived, 1)
        return {queue for queue in self.arrived if self.part(queue) < floor}

    def _decay(self, now: float) -> None:
        kept = math.exp(-max(now - self.updated_at, 0) / _MEMORY_S)
        self.updated_at = max(now, self.updated_at)
        self.arrived = {
            queue: work * kept
            for queue, work in self.arrived.items()
            if work * kept > _NEGLIGIBLE_WORK
        }
        self.started = {
            queue: work * kept
            for queue, work in self.started.items()
            if queue in self.arrived
        }
