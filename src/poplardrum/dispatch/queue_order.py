"""The order in which waiting jobs are given free capacity."""

import math
import typing

from poplardrum.dispatch import jobs, shares, shortage_log

# Latest starts that differ by less count as equal.
_EQUAL_STARTS_S: typing.Final = 0.01
# Room that was found counts for about this long in the rate.
_RATE_MEMORY_S: typing.Final = 0.5
# While less room was found, the wait for it is not known.
_MIN_RATE_CORES: typing.Final = 1.0
# A job is not put ahead by more than this, however wide it is.
_MAX_GATHERING_S: typing.Final = 0.2


class JobOrder(typing.Protocol):
    """An order of the waiting jobs of an entry."""

    def record_arrival(self, job: jobs.Job, now: float) -> None:
        """Record a job that has come."""

    def record_start(self, job: jobs.Job, cores: float, now: float) -> None:
        """Record that tasks of a job are sent that need `cores` together."""

    def record_refusal(self, job: jobs.Job, now: float) -> None:
        """Record that a job is refused for want of room."""

    def sort(
        self, waiting: list[jobs.Job], now: float, min_slowness: float
    ) -> None:
        """Sort the waiting jobs, the one to place first at the front."""


class LatestStartOrder:
    """Order by the latest start alone."""

    def record_arrival(self, job: jobs.Job, now: float) -> None:
        """Do nothing: the order has no memory."""

    def record_start(self, job: jobs.Job, cores: float, now: float) -> None:
        """Do nothing: the order has no memory."""

    def record_refusal(self, job: jobs.Job, now: float) -> None:
        """Do nothing: the order has no memory."""

    def sort(
        self, waiting: list[jobs.Job], now: float, min_slowness: float
    ) -> None:
        """Sort by `Job.placement_priority`."""
        waiting.sort(key=lambda job: job.placement_priority(now, min_slowness))


class ShortRoomOrder:
    """Order for deployments in which room may be short for all queues.

    Queues that were given far less room than the others go first. Then come,
    as elsewhere, jobs that can be in time, of these those that have started,
    and of these those with the earliest latest start. A wide job has to
    gather its room over a while, so its latest start is that much earlier.
    Among equals, the lowest urgency number goes first.
    """

    def __init__(self) -> None:
        """Start without a memory of jobs."""
        self.shares = shares.QueueShares()
        self.log = shortage_log.ShortageLog()
        # Cores of the tasks that were sent, with less weight by age.
        self.recent_cores = 0.0
        self.updated_at = 0.0

    def record_arrival(self, job: jobs.Job, now: float) -> None:
        """Add the work of a job to that of its queue."""
        self.shares.record_arrival(job.queue, job.remaining_work(), now)

    def record_start(self, job: jobs.Job, cores: float, now: float) -> None:
        """Learn how fast room is found; count the work of a new job."""
        age = max(now - self.updated_at, 0)
        self.recent_cores *= math.exp(-age / _RATE_MEMORY_S)
        self.recent_cores += cores
        self.updated_at = max(now, self.updated_at)
        if not job.started:
            self.shares.record_start(job.queue, job.remaining_work(), now)

    def record_refusal(self, job: jobs.Job, now: float) -> None:
        """Log the refusal together with others."""
        self.log.record(job, self.shares, now)

    def gathering_time(self, job: jobs.Job) -> float:
        """Return how long the job's waiting tasks take to find room."""
        rate = self.recent_cores / _RATE_MEMORY_S
        if rate < _MIN_RATE_CORES:
            return 0
        cores = sum(task.step.need.cores() for task in job.ready_tasks())
        return min(cores / rate, _MAX_GATHERING_S)

    def sort(
        self, waiting: list[jobs.Job], now: float, min_slowness: float
    ) -> None:
        """Sort the waiting jobs, the one to place first at the front."""
        behind = self.shares.behind()

        def priority(
            job: jobs.Job,
        ) -> tuple[bool, int, int, int, float]:
            late, unstarted, latest = job.placement_priority(now, min_slowness)
            latest -= self.gathering_time(job)
            return (
                job.queue not in behind,
                2 * late + unstarted,
                math.floor(latest / _EQUAL_STARTS_S),
                job.urgency,
                latest,
            )

        waiting.sort(key=priority)


def order_for(*, has_short_room: bool) -> JobOrder:
    """Return the order for a deployment."""
    return ShortRoomOrder() if has_short_room else LatestStartOrder()
