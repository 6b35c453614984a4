"""Order of the jobs of one tenant and class in a worker's queue."""

import dataclasses
import functools
import typing


@dataclasses.dataclass(frozen=True)
class JobTimes:
    """Arrival, work and ideal response time of a job, in seconds.

    `arrival` is on the clock of the process that compares the sort keys.
    Clocks of different hosts differ, so a message carries the sort key minus
    the sender's time, and the receiver adds its own time.
    """

    arrival: float
    remaining_work: float
    ideal_time: float


@dataclasses.dataclass(frozen=True)
class FirstComeFirstServed:
    """Order jobs by their arrival."""


@dataclasses.dataclass(frozen=True)
class ShortestRemaining:
    """Order jobs by their remaining slot-seconds."""


@dataclasses.dataclass(frozen=True)
class StretchedFinish:
    """Order jobs by arrival plus `stretch` times the ideal response time."""

    stretch: float = 8.0


Ordering = FirstComeFirstServed | ShortestRemaining | StretchedFinish
# Gives shorter response times than the other two at every load; see
# docs/decisions/queues.md.
DEFAULT_ORDERING: typing.Final[Ordering] = ShortestRemaining()


@functools.singledispatch
def sort_key(ordering: Ordering, job: JobTimes) -> float:
    """Return the sort key of a job; a job with a lower key goes first."""
    raise NotImplementedError(ordering)


@sort_key.register
def _arrival_key(ordering: FirstComeFirstServed, job: JobTimes) -> float:
    return job.arrival


@sort_key.register
def _remaining_work_key(ordering: ShortestRemaining, job: JobTimes) -> float:
    return job.remaining_work


@sort_key.register
def _stretched_finish_key(ordering: StretchedFinish, job: JobTimes) -> float:
    return job.arrival + ordering.stretch * job.ideal_time
