"""How many tasks an entry can expect to start in the next moments."""

import dataclasses
import typing

from poplardrum.dispatch import (
    fleet,
    forecasts,
    jobs,
    placement,
    room_index,
)

# Forecasts are read again after this time for each hundred agents, so that the
# cost of a pass with many waiting jobs doesn't grow with the fleet.
_REFRESH_S: typing.Final = 0.02
_AGENTS_PER_REFRESH: typing.Final = 100
# With fewer tasks of its own, an entry does not know its part of the load.
_MIN_OWN_TASKS: typing.Final = 8
# Predicted durations, and what other entries take, are off by about this factor.
_DOUBT_FACTOR: typing.Final = 1.5


@dataclasses.dataclass(frozen=True)
class Outlook:
    """Tasks of `need` millicores that new room is expected to hold.

    `tasks_by_speed` has their number by each point of `forecasts.POINTS_S`
    after `made_at`, by speed class. `own_share` is the part of the room that
    this entry's tasks have used of late; others want theirs.
    """

    made_at: float
    need: int
    own_share: float
    tasks_by_speed: typing.Mapping[int, typing.Sequence[int]]

    def expected_tasks(
        self, job: jobs.Job, request: placement.PlacementRequest
    ) -> float:
        """Return how many tasks of a job are expected to start in time."""
        expected = 0.0
        for speed, tasks in self.tasks_by_speed.items():
            latest_start = job.latest_start(speed * room_index.SLOWNESS_STEP)
            expected += _interpolate(tasks, latest_start - self.made_at)
        need = max(request.demand.cpu_millicores, 1)
        return expected * self.own_share * _DOUBT_FACTOR * self.need / need


class Outlooks:
    """The current outlook of each service and label."""

    def __init__(
        self,
        index: room_index.RoomIndex,
        heard_clock: typing.Callable[[], float],
    ) -> None:
        """Read the agents of an index; reports are dated by `heard_clock`."""
        self.index = index
        self.heard_clock = heard_clock
        self.outlooks: dict[tuple[str, str], Outlook] = {}

    def get(self, request: placement.PlacementRequest, now: float) -> Outlook:
        """Return an outlook that is at most some tens of milliseconds old."""
        key = (request.service, request.label)
        outlook = self.outlooks.get(key)
        size = max(self.index.usable_count() / _AGENTS_PER_REFRESH, 1)
        if outlook is None or now - outlook.made_at >= _REFRESH_S * size:
            if outlook is None:
                # Labels are the callers' words: their number is not bounded.
                self.outlooks.clear()
            outlook = self._read(request, now)
            self.outlooks[key] = outlook
        return outlook

    def _read(self, request: placement.PlacementRequest, now: float) -> Outlook:
        need = max(request.demand.cpu_millicores, 1)
        heard_now = self.heard_clock()
        tasks_by_speed: dict[int, list[int]] = {}
        own_tasks, busy_cpu = 0, 0
        for agent in self.index.agents(request.service, request.label):
            own_tasks += len(agent.placed)
            busy_cpu += agent.capacity.cpu_millicores - max(
                agent.free.cpu_millicores, 0
            )
            speed = round(agent.slowness / room_index.SLOWNESS_STEP)
            totals = tasks_by_speed.setdefault(
                speed, [0 for _ in forecasts.POINTS_S]
            )
            for number, tasks in enumerate(_new_tasks(agent, need, heard_now)):
                totals[number] += tasks
        own_share = 1.0
        if own_tasks >= _MIN_OWN_TASKS and busy_cpu > 0:
            own_share = min(own_tasks * need / busy_cpu, 1.0)
        return Outlook(now, need, own_share, tasks_by_speed)


def _new_tasks(agent: fleet.Agent, need: int, heard_now: float) -> list[int]:
    """Return how many more tasks fit by each point than do now."""
    fitting = max(agent.free.cpu_millicores, 0) // need
    return [
        max(
            forecasts.expected_free_cpu(agent, heard_now + point) // need
            - fitting,
            0,
        )
        for point in forecasts.POINTS_S
    ]


def _interpolate(tasks: typing.Sequence[int], ahead: float) -> float:
    """Return the tasks that fit within a time, in even steps between points."""
    earlier_at, earlier = 0.0, 0
    for point, count in zip(forecasts.POINTS_S, tasks, strict=True):
        if ahead < point:
            part = max(ahead - earlier_at, 0) / (point - earlier_at)
            return earlier + part * (count - earlier)
        earlier_at, earlier = point, count
    return earlier
