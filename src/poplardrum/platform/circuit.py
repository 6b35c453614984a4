"""Limits on the calls to a service that fails or is overloaded."""

import random
import typing

_FIRST_PAUSE: typing.Final = 0.1
_MAX_DOUBLINGS: typing.Final = 16


class Circuit:
    """Hold calls back after failures; one probe at a time ends the pause.

    Pauses double from 0.1 s up to `cap` seconds and are drawn between half
    and the whole of that, so that the processes of a fleet spread out.
    """

    def __init__(self, cap: float, source: random.Random) -> None:
        """Start closed: calls pass."""
        self.cap = cap
        self.random = source
        self.failures = 0
        self.retry_at = 0.0
        self.probing = False

    def enter(self, now: float) -> float:
        """Return 0 when a call may start, else the seconds to wait."""
        if not self.failures:
            return 0
        if self.probing:
            return _FIRST_PAUSE
        if now < self.retry_at:
            return self.retry_at - now
        self.probing = True
        return 0

    def succeeded(self) -> None:
        """Let calls pass again."""
        self.failures = 0
        self.probing = False

    def failed(self, now: float) -> None:
        """Start the next pause."""
        doublings = min(self.failures, _MAX_DOUBLINGS)
        pause = min(self.cap, _FIRST_PAUSE * 2**doublings)
        self.failures += 1
        self.retry_at = now + pause * self.random.uniform(0.5, 1)
        self.probing = False

    def abandoned(self) -> None:
        """Take note of a call that was cancelled before its outcome."""
        self.probing = False


class Budget:
    """Allow a number of calls a second, with a burst of the same number."""

    def __init__(self, rate: float) -> None:
        """Start with a full burst; `rate` is in calls per second."""
        self.rate = rate
        self.tokens = rate
        self.updated = 0.0

    def enter(self, now: float) -> float:
        """Take a call from the budget; return the seconds to wait if none."""
        earned = max(now - self.updated, 0) * self.rate
        self.tokens = min(self.rate, self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            return (1 - self.tokens) / self.rate
        self.tokens -= 1
        return 0
