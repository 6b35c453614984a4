"""Monotonic clock that also runs while the host is suspended."""

import time


def now() -> float:
    """Return the seconds since the host booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
