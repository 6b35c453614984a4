"""Placement that looks at what is waiting and at what will end soon.

Where room runs short, a job whose tasks do not all fit is worth waiting for
only if the rest of its room appears in time: it counts when its last task ends.
The first such job of a pass gets a reservation of room that will be free;
later ones may use it only if they end before, or leave what it needs.

Nothing here lets a task start: agents check their capacity at each start, so a
wrong prediction costs a wait. A reservation is private to its entry.
"""

import dataclasses
import logging
import math
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import (
    clocks,
    fleet,
    forecasts,
    jobs,
    placement,
    room_index,
    room_outlook,
)

logger = logging.getLogger(__name__)

# At least one job is tried in this time against the prediction that it will be
# late, so that a wrong one cannot keep a kind of jobs out.
TRIAL_INTERVAL_S: typing.Final = 0.25
# A reservation is kept for this long after its room should have been free.
GRACE_S: typing.Final = 0.05
# Reservations are logged at most this often.
_LOG_INTERVAL_S: typing.Final = 1.0


@dataclasses.dataclass
class Reservation:
    """Room that a job is expected to get at `ready_at`; times of the loop.

    `spare` has the CPU that others may use at each of its agents, in
    millicores: what is expected to be free then beyond the needs of the job.
    A job that takes `slowness` times its predicted duration is over at each of
    them. `made_from` is the outlook that it was made from.
    """

    job: ids.JobId
    ready_at: float
    expires_at: float
    slowness: float
    spare: dict[fleet.Agent, int]
    made_from: room_outlook.Outlook


class LookAhead:
    """Choose agents for jobs in their order, with regard to what will end."""

    def __init__(
        self,
        index: room_index.RoomIndex,
        heard_clock: typing.Callable[[], float] = clocks.now,
    ) -> None:
        """Look ahead for an entry with an index of agents.

        `heard_clock` is the clock by which load reports are dated.
        """
        self.index = index
        self.heard_clock = heard_clock
        self.outlooks = room_outlook.Outlooks(index, heard_clock)
        # At most one for each service.
        self.reservations: dict[str, Reservation] = {}
        # CPU that earlier jobs of the pass wait for, by service, in millicores.
        self.claimed: dict[str, int] = {}
        # Started jobs of the pass that are expected to be late.
        self.deferred: dict[ids.JobId, jobs.Job] = {}
        self.serves_deferred = False
        self.tried_at = -math.inf
        self.logged_at = -math.inf
        # Counts events by name and kind.
        self.count: typing.Callable[[str, str], None] = _count_nothing

    def take_turns(
        self, ordered: typing.Iterable[jobs.Job], now: float
    ) -> typing.Iterator[jobs.Job]:
        """Yield the jobs of a pass, each when agents are to be chosen for it.

        Those that have started and are expected to be late come once more at
        the end, for the room that the others have left.
        """
        self.serves_deferred = False
        self.claimed.clear()
        self.deferred.clear()
        for service, reservation in list(self.reservations.items()):
            if now >= reservation.expires_at:
                self._end_reservation(service, 'expired')
        yield from ordered
        self.serves_deferred = True
        yield from self.deferred.values()

    def forget(self, job: jobs.Job) -> None:
        """Give up what a job has reserved: it is over."""
        if self._has_reservation(job):
            self._end_reservation(job.service, 'given_up')

    def choose_agents(
        self,
        job: jobs.Job,
        request: placement.PlacementRequest,
        now: float,
    ) -> list[placement.Placement]:
        """Return agents for waiting tasks, each with a number of tasks.

        Return none if the job is expected to be late, unless it is its turn to
        be tried. Without a prediction nothing is expected.
        """
        if not job.has_prediction or job.owner is not None:
            return placement.choose_agents(self.index, request)
        if self.serves_deferred:
            return placement.choose_agents(self.index, self._limited(request))
        placements = self._choose_unreserved(job, request, now)
        missing = request.task_count - sum(count for _, count in placements)
        if not missing:
            if self._has_reservation(job):
                self._end_reservation(job.service, 'used')
            return placements
        if self._claim(job, request, missing, now):
            return placements
        self.forget(job)
        if job.started:
            self.deferred[job.id] = job
            return []
        return placements if self._may_try(job, now) else []

    def _claim(
        self,
        job: jobs.Job,
        request: placement.PlacementRequest,
        missing: int,
        now: float,
    ) -> bool:
        """Claim room that is expected in time; return whether there is enough."""
        outlook = self.outlooks.get(request, now)
        need = request.demand.cpu_millicores
        claimed = self.claimed.get(job.service, 0)
        wanted = claimed + missing * need
        if outlook.expected_tasks(job, request) * need < wanted:
            return False
        self.claimed[job.service] = wanted
        if not claimed:
            self._reserve(job, request, missing, outlook)
        return True

    def _may_try(self, job: jobs.Job, now: float) -> bool:
        """Return whether a job starts though it is expected to be late."""
        if now < job.last_resort_at or now < self.tried_at + TRIAL_INTERVAL_S:
            self.count('late_jobs', 'held')
            return False
        self.tried_at = now
        self.count('late_jobs', 'tried')
        return True

    def _choose_unreserved(
        self,
        job: jobs.Job,
        request: placement.PlacementRequest,
        now: float,
    ) -> list[placement.Placement]:
        """Choose agents without delaying the job that has a reservation."""
        reservation = self.reservations.get(job.service)
        if reservation is None or reservation.job == job.id:
            return placement.choose_agents(self.index, request)
        ends_at = now + job.remaining_duration() * reservation.slowness
        if ends_at <= reservation.ready_at:
            return placement.choose_agents(self.index, request)
        placements = placement.choose_agents(self.index, self._limited(request))
        for agent, count in placements:
            if agent in reservation.spare:
                reservation.spare[agent] -= (
                    count * request.demand.cpu_millicores
                )
        return placements

    def _limited(
        self, request: placement.PlacementRequest
    ) -> placement.PlacementRequest:
        reservation = self.reservations.get(request.service)
        if reservation is None:
            return request
        return request._replace(cpu_limits=reservation.spare)

    def _has_reservation(self, job: jobs.Job) -> bool:
        reservation = self.reservations.get(job.service)
        return reservation is not None and reservation.job == job.id

    def _reserve(
        self,
        job: jobs.Job,
        request: placement.PlacementRequest,
        missing: int,
        outlook: room_outlook.Outlook,
    ) -> None:
        """Reserve the room that is free first for the first waiting job."""
        current = self.reservations.get(job.service)
        if current is not None and current.job != job.id:
            self._end_reservation(job.service, 'given_up')
            current = None
        if current is not None and current.made_from is outlook:
            return
        found = earliest_room(self.index, request, missing, self.heard_clock())
        if found is None:
            return
        ahead, spare = found
        if current is None:
            self.count('reservations', 'made')
            self._log(job, missing, ahead, len(spare), outlook.made_at)
        ready_at = outlook.made_at + ahead
        slowness = max(agent.slowness for agent in spare)
        self.reservations[job.service] = Reservation(
            job.id,
            ready_at,
            min(ready_at + GRACE_S, job.latest_start(slowness)),
            slowness,
            spare,
            outlook,
        )

    def _end_reservation(self, service: str, how: str) -> None:
        self.reservations.pop(service)
        self.count('reservations', how)

    def _log(
        self, job: jobs.Job, missing: int, ahead: float, agents: int, now: float
    ) -> None:
        if now < self.logged_at + _LOG_INTERVAL_S:
            return
        self.logged_at = now
        log_events.emit(
            logger,
            'room reserved',
            job=job.id,
            tasks=len(job.tasks),
            missing=missing,
            ready_in=round(ahead, 3),
            agents=agents,
        )


def earliest_room(
    index: room_index.RoomIndex,
    request: placement.PlacementRequest,
    task_count: int,
    heard_now: float,
) -> tuple[float, dict[fleet.Agent, int]] | None:
    """Return when room for tasks appears, and what is left over where.

    The time is one of `forecasts.POINTS_S`, `None` if there is none. Agents
    with most new room come first. `heard_now` is a time of `clocks.now`.
    """
    need = max(request.demand.cpu_millicores, 1)
    agents = [
        agent
        for agent in index.agents(request.service, request.label)
        if request.is_last_resort
        or placement.effective_slowness(agent, request) <= request.max_slowness
    ]
    for ahead in forecasts.POINTS_S:
        spare = _take_room(
            {
                agent: forecasts.expected_free_cpu(agent, heard_now + ahead)
                for agent in agents
            },
            need,
            task_count,
        )
        if spare is not None:
            return ahead, spare
    return None


def _take_room(
    free: dict[fleet.Agent, int], need: int, task_count: int
) -> dict[fleet.Agent, int] | None:
    """Return the CPU that tasks leave at the agents that they need."""
    spare: dict[fleet.Agent, int] = {}
    for agent in sorted(free, key=free.__getitem__, reverse=True):
        count = min(max(free[agent], 0) // need, task_count)
        if count:
            spare[agent] = free[agent] - count * need
            task_count -= count
        if not task_count:
            return spare
    return None


def _count_nothing(name: str, kind: str) -> None:
    """Count nothing."""
