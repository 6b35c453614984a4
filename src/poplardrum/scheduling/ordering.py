"""Order of the jobs of one tenant and class in a worker's queue."""

import dataclasses
import functools
import typing


@dataclasses.dataclass(frozen=True)
class JobShape:
    """What the order of a job depends on; times in seconds.

    `arrival` is on the clock of whoever compares the orders. Clocks of
    different hosts differ, so a message carries `order - now` of its sender
    and the receiver adds its own time.
    """

    arrival: float
    remaining: float
    ideal: float


@dataclasses.dataclass(frozen=True)
class FirstCome:
    """Order jobs by their arrival."""


@dataclasses.dataclass(frozen=True)
class ShortestRemaining:
    """Order jobs by their remaining slot-seconds."""


@dataclasses.dataclass(frozen=True)
class StretchedFinish:
    """Order jobs by arrival plus `stretch` times their ideal time."""

    stretch: float = 8.0


Ordering = FirstCome | ShortestRemaining | StretchedFinish
# Shorter response times than the other two at every load; see
# docs/decisions/queues.md.
DEFAULT: typing.Final[Ordering] = ShortestRemaining()


@functools.singledispatch
def order_of(ordering: Ordering, job: JobShape) -> float:
    """Return the sort key of a job; a lower one goes first."""
    raise NotImplementedError(ordering)


@order_of.register
def _first_come(ordering: FirstCome, job: JobShape) -> float:
    return job.arrival


@order_of.register
def _shortest(ordering: ShortestRemaining, job: JobShape) -> float:
    return job.remaining


@order_of.register
def _stretched(ordering: StretchedFinish, job: JobShape) -> float:
    return job.arrival + ordering.stretch * job.ideal
