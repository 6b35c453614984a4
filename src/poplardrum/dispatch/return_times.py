"""When callers of refused jobs may submit them again.

Answers a flood: more work arrives for some seconds than the endpoints can do.
Callers that return at random times meet the same queue again, and those that
were refused last may be served first. Here the capacity that becomes free is
promised to the refused jobs in the order of their refusals.
"""

import math
import random
import typing

_MIN_RETURN_S: typing.Final = 0.5
MAX_RETURN_S: typing.Final = 30.0
# Spread of the return times while nothing is known about the rate.
_UNKNOWN_RATE_RETURN_S: typing.Final = 3.0
# A lower rate says that no work has been completed lately.
_MIN_RATE_CORES: typing.Final = 0.01
# Completed work counts for about this long in the rate.
_RATE_MEMORY_S: typing.Final = 2.0


class CompletionRate:
    """Work that is completed in a second, in core-seconds.

    While nothing is completed, the rate stays: after an outage the endpoints
    are expected to do as much as before.
    """

    def __init__(self) -> None:
        """Start without completions."""
        self.decayed_work = 0.0
        self.updated_at = 0.0

    def record(self, work: float, now: float) -> None:
        """Record completed work in core-seconds."""
        age = max(now - self.updated_at, 0)
        self.decayed_work *= math.exp(-age / _RATE_MEMORY_S)
        self.decayed_work += work
        self.updated_at = now

    def value(self) -> float:
        """Return the recent rate in cores."""
        return self.decayed_work / _RATE_MEMORY_S


class ReturnTimes:
    """Give out return times in the order of refusals."""

    def __init__(self) -> None:
        """Start without promises."""
        # When the work of all jobs that were refused so far will be done.
        self.promised_until = 0.0

    def promise(
        self, now: float, backlog: float, work: float, rate: float
    ) -> float:
        """Return the seconds after which a refused job may come back.

        `backlog` is the accepted work that is not done, `work` that of the
        job, both in core-seconds; `rate` is the work done in a second.
        """
        if rate < _MIN_RATE_CORES:
            return random.uniform(_MIN_RETURN_S, _UNKNOWN_RATE_RETURN_S)
        returns_at = max(self.promised_until, now + backlog / rate)
        # A job that is told the longest time must not delay all later ones.
        returns_at = min(returns_at, now + MAX_RETURN_S)
        self.promised_until = returns_at + work / rate
        return max(returns_at - now, _MIN_RETURN_S)
