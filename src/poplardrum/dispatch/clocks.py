"""Steady time that also counts while the host is suspended."""

import time


def now() -> float:
    """Return seconds since the host started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
