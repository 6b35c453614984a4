"""Numbers of runs that an entry never gives twice for a task.

A job that is not stored may be submitted again, to the same entry or another one. Its
tasks then have the names that they had in the attempt before. Messages about runs of
that attempt may still arrive, and endpoints reject a run whose number is not above that
of one that has ended there. So each attempt numbers its runs from a later time.
"""

import typing

from poplardrum.dispatch import clocks

_MICROSECONDS: typing.Final = 10**6


class RunNumbers:
    """Give each attempt of a job a range of numbers of its own.

    A number is the time in microseconds since 1970, by the time of day when the
    process started and by a steady clock from then on. A run takes far longer than a
    microsecond, so an attempt never reaches the numbers of a later one.
    """

    def __init__(self, time_of_day: float) -> None:
        """Start at a time of day, in seconds since 1970."""
        self.boot_time = time_of_day - clocks.now()
        self.last = 0

    def next_attempt(self) -> int:
        """Return a number below those of all runs of a new attempt."""
        now = self.boot_time + clocks.now()
        self.last = max(self.last + 1, int(now * _MICROSECONDS))
        return self.last
