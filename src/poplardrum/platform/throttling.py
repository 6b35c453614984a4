"""Limits on the calls to a service that fails or is overloaded."""

import random
import typing

_INITIAL_BACKOFF_S: typing.Final = 0.1
_MAX_DOUBLINGS: typing.Final = 16


class CircuitBreaker:
    """Hold calls back after failures; one probe at a time ends the pause.

    Pauses double from 0.1 s up to `cap` seconds and are drawn between half
    and the whole of that, so that the processes of a fleet spread out.
    """

    def __init__(self, max_backoff_s: float, source: random.Random) -> None:
        """Start closed: calls pass."""
        self.max_backoff_s = max_backoff_s
        self.random = source
        self.failures = 0
        self.retry_at = 0.0
        self.probing = False

    def admit(self, now: float) -> float:
        """Return 0 when a call may start, else the seconds to wait."""
        if not self.failures:
            return 0
        if self.probing:
            return _INITIAL_BACKOFF_S
        if now < self.retry_at:
            return self.retry_at - now
        self.probing = True
        return 0

    def record_success(self) -> None:
        """Let calls pass again."""
        self.failures = 0
        self.probing = False

    def record_failure(self, now: float) -> None:
        """Start the next pause."""
        doublings = min(self.failures, _MAX_DOUBLINGS)
        pause = min(self.max_backoff_s, _INITIAL_BACKOFF_S * 2**doublings)
        self.failures += 1
        self.retry_at = now + pause * self.random.uniform(0.5, 1)
        self.probing = False

    def record_cancellation(self) -> None:
        """Take note of a call that was cancelled before its outcome."""
        self.probing = False


class TokenBucket:
    """Allow a number of calls a second, with a burst of the same number."""

    def __init__(self, calls_per_s: float) -> None:
        """Start with a full burst; `rate` is in calls per second."""
        self.calls_per_s = calls_per_s
        self.tokens = calls_per_s
        self.updated_at = 0.0

    def admit(self, now: float) -> float:
        """Take a call from the budget; return the seconds to wait if none."""
        earned = max(now - self.updated_at, 0) * self.calls_per_s
        self.tokens = min(self.calls_per_s, self.tokens + earned)
        self.updated_at = now
        if self.tokens < 1:
            return (1 - self.tokens) / self.calls_per_s
        self.tokens -= 1
        return 0
