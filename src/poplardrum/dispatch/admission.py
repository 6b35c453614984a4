"""Until when a job may wait for room before it is refused."""

import typing

from poplardrum.dispatch import fleet

# A caller is told early enough to do something else.
_HELD_SHARE: typing.Final = 0.4
_WAIT_SHARE: typing.Final = 0.35
# The longest task of a job may exceed its prediction by this factor.
_UNEVEN: typing.Final = 1.1
# Seconds to try all endpoints also when the aim looks out of reach.
_LEAST: typing.Final = 0.05
_RECOVERED_SHARE: typing.Final = 0.5


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
    in_time = max(aim - _UNEVEN * work * fastest, 0)
    if recovering:
        return max(min(in_time, _HELD_SHARE * patience), _LEAST)
    return max(min(in_time, _WAIT_SHARE * aim), _LEAST)


def recovering(
    agents: typing.Collection[fleet.Agent],
    most: int,
) -> bool:
    """Return whether much of the fleet is away for the moment.

    `most` is the largest number of agents that were usable at once.
    """
    usable = sum(agent.usable() for agent in agents)
    return usable < _RECOVERED_SHARE * max(most, 1)


def fastest(agents: typing.Collection[fleet.Agent]) -> float:
    """Return the least slowness of the usable endpoints, 1 without any."""
    return min(
        (agent.slowness for agent in agents if agent.usable()),
        default=1.0,
    )
