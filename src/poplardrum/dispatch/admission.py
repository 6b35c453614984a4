"""Until when a job may wait for room before it is refused."""

import typing

from poplardrum.dispatch import fleet

# A caller is told early enough to do something else.
_CLIENT_TIMEOUT_FRACTION: typing.Final = 0.4
_TARGET_LATENCY_FRACTION: typing.Final = 0.35
# The longest task of a job may exceed its prediction by this factor.
_LONGEST_TASK_FACTOR: typing.Final = 1.1
# Seconds to try all endpoints also when the aim looks out of reach.
_MIN_WAIT_S: typing.Final = 0.05
_RECOVERED_FRACTION: typing.Final = 0.5


def longest_wait(
    aim: float,
    work: float,
    patience: float,
    fastest: float,
    recovering: bool,
) -> float:
    """Return for how long a job may wait for its first task, in seconds.

    In a flood a short wait keeps the jobs that are served within their aim:
    the longer all wait, the more of them end late. While endpoints come
    back after an outage room is about to appear, so jobs wait as long as
    they can still end within their aim.
    """
    in_time = max(aim - _LONGEST_TASK_FACTOR * work * fastest, 0)
    if recovering:
        return max(
            min(in_time, _CLIENT_TIMEOUT_FRACTION * patience), _MIN_WAIT_S
        )
    return max(min(in_time, _TARGET_LATENCY_FRACTION * aim), _MIN_WAIT_S)


def is_recovering(
    agents: typing.Collection[fleet.Agent],
    most: int,
) -> bool:
    """Return whether much of the fleet is away for the moment.

    `most` is the largest number of agents that were usable at once.
    """
    usable = sum(agent.is_usable() for agent in agents)
    return usable < _RECOVERED_FRACTION * max(most, 1)


def min_slowness(agents: typing.Collection[fleet.Agent]) -> float:
    """Return the least slowness of the usable endpoints, 1 without any."""
    return min(
        (agent.slowness for agent in agents if agent.is_usable()),
        default=1.0,
    )
