"""The agents as an entry sees them."""

import collections
import dataclasses
import typing

from poplardrum import ids
from poplardrum.dispatch import messages

_NO_RESOURCES: typing.Final = messages.Resources(0, 0, 0)


@dataclasses.dataclass(eq=False)
class Agent:
    """One start of an agent's process.

    `free` is the room that it last reported less what was sent since.
    """

    node: str
    zone: str
    incarnation: ids.Incarnation
    link: messages.Link | None = None
    accepting: bool = False
    free: messages.Resources = _NO_RESOURCES
    capacity: messages.Resources = _NO_RESOURCES
    slowness: float = 1.0
    service: str = ''
    labels: list[str] = dataclasses.field(default_factory=list)
    starts_sent: int = 0
    in_flight: collections.deque[tuple[int, messages.Resources]] = (
        dataclasses.field(default_factory=collections.deque)
    )

    def is_usable(self) -> bool:
        """Return whether tasks may be sent to it."""
        return self.accepting and self.link is not None

    def matches(self, service: str, label: str) -> bool:
        """Return whether its endpoint is of a service and has a label."""
        return self.service == service and (not label or label in self.labels)

    def count_fitting(self, need: messages.Resources) -> int:
        """Return how many tasks of a size fit into the free room."""
        return min(
            _count_fitting(self.free.cpu_millicores, need.cpu_millicores),
            _count_fitting(self.free.memory_mb, need.memory_mb),
            _count_fitting(self.free.gpus, need.gpus),
        )

    def reserve(self, need: messages.Resources, count: int) -> None:
        """Count tasks that were sent as room that is taken."""
        self.starts_sent += 1
        total = messages.Resources(
            need.cpu_millicores * count,
            need.memory_mb * count,
            need.gpus * count,
        )
        self.in_flight.append((self.starts_sent, total))
        self.free = self.free.minus(total)

    def release(self, need: messages.Resources) -> None:
        """Count the room of a task that ended until the next report."""
        self.free = self.free.minus(
            messages.Resources(
                -need.cpu_millicores, -need.memory_mb, -need.gpus
            ),
        )

    def apply_load(self, load: messages.Load) -> None:
        """Take over a load that knows of the first `load.orders` orders."""
        self.accepting = load.accepting
        self.slowness = load.slowness
        self.service = load.service
        self.labels = load.labels
        self.capacity = load.capacity
        while self.in_flight and self.in_flight[0][0] <= load.starts_received:
            self.in_flight.popleft()
        self.free = load.free
        for _, total in self.in_flight:
            self.free = self.free.minus(total)

    def on_connected(self, link: messages.Link) -> None:
        """Start on a new connection, on which no order was sent yet."""
        self.link = link
        self.starts_sent = 0
        self.in_flight.clear()
        self.accepting = False

    def on_disconnected(self) -> None:
        """Take note of a broken connection."""
        self.link = None
        self.accepting = False


def _count_fitting(room: int, need: int) -> int:
    # A task that needs none of a resource is bounded by the others.
    return max(room // need, 0) if need > 0 else _MAX_TASKS_PER_PLACEMENT


_MAX_TASKS_PER_PLACEMENT: typing.Final = 64
