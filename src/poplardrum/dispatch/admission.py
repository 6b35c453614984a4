"""How long a job may wait for free capacity before it is refused."""

import typing

# Upper bounds of the wait, as fractions of the client timeout and the target
# latency. A client is refused early enough to try something else.
_CLIENT_TIMEOUT_FRACTION: typing.Final = 0.4
_TARGET_LATENCY_FRACTION: typing.Final = 0.35
# The longest task of a job may exceed its prediction by this factor.
_LONGEST_TASK_FACTOR: typing.Final = 1.1
# Lets a job try all endpoints even if it cannot meet its target latency.
_MIN_WAIT_S: typing.Final = 0.05
_MAX_FIRST_AGENTS_WAIT_S: typing.Final = 1.0
_RECOVERED_FRACTION: typing.Final = 0.5


def longest_wait(
    target_latency: float,
    predicted_duration: float,
    client_timeout: float,
    min_slowness: float,
    recovering: bool,
) -> float:
    """Return how long a job may wait for its first start, in seconds.

    Under overload the wait is short, so that the jobs that do run meet their
    target latency: the longer all jobs wait, the more of them are late. While
    endpoints come back after an outage, capacity is about to appear, so jobs
    wait as long as they can still meet their target latency.
    """
    on_time_wait = max(
        target_latency
        - _LONGEST_TASK_FACTOR * predicted_duration * min_slowness,
        0,
    )
    if recovering:
        return max(
            min(on_time_wait, _CLIENT_TIMEOUT_FRACTION * client_timeout),
            _MIN_WAIT_S,
        )
    return max(
        min(on_time_wait, _TARGET_LATENCY_FRACTION * target_latency),
        _MIN_WAIT_S,
    )


def wait_for_first_agents(client_timeout: float) -> float:
    """Return how long a job may wait at an entry that no agent has linked to.

    An entry that has just started has agents within tenths of a second, and a
    late answer is worth more to its caller than a refusal.
    """
    return min(
        _CLIENT_TIMEOUT_FRACTION * client_timeout, _MAX_FIRST_AGENTS_WAIT_S
    )


def is_recovering(usable: int, peak_usable: int) -> bool:
    """Return whether a large part of the fleet is temporarily unavailable.

    `peak_usable` is the largest number of agents that were `usable` at once.
    """
    return usable < _RECOVERED_FRACTION * max(peak_usable, 1)
