"""Choice of agents for the tasks of a job."""

import types
import typing

from poplardrum.dispatch import fleet, messages


class Wish(typing.NamedTuple):
    """What a job needs now.

    It runs at endpoints of `service` that have `label`, if there is one.
    Tasks take `far_factor` times as long away from the rack of their data.
    `tolerated` is the slowness up to which the job still ends in time;
    endpoints in `avoided` have failed it. At most `spread_limit` tasks, if
    that is not 0, run at one node; `held` counts those that do.
    """

    need: messages.Resources
    tasks: int
    service: str
    label: str = ''
    rack: str = ''
    far_factor: float = 1
    avoided: typing.AbstractSet[str] = frozenset()
    tolerated: float = 0
    last_resort: bool = True
    spread_limit: int = 0
    held: typing.Mapping[str, int] = types.MappingProxyType({})


Pick = tuple[fleet.Agent, int]
_SLOWNESS_STEP: typing.Final = 0.15
# Below this share of free room at the fast endpoints, jobs with time to
# spare leave them to those without.
_SCARCE: typing.Final = 0.35


def choose(
    agents: typing.Iterable[fleet.Agent],
    wish: Wish,
    zone: str,
) -> list[Pick]:
    """Return agents and task counts for what a job wishes.

    While fast endpoints have room, jobs go to the fastest. When it is
    scarce, a job goes to the slowest endpoints that it tolerates, so that
    long jobs, which tolerate less, find the fast ones free. Endpoints that
    it does not tolerate are used as a last resort only.

    Among endpoints of like speed the own zone goes first, since bytes
    between zones are paid for, then the one with the most room. Endpoints
    in `avoided` are used only when no other has room at all.
    """
    usable = [
        agent
        for agent in agents
        if agent.usable() and agent.suits(wish.service, wish.label)
    ]
    scarce = fast_room(usable) < _SCARCE
    fitting = [(agent, _fits(agent, wish)) for agent in usable]
    fitting = [pick for pick in fitting if pick[1] > 0]
    preferred = [pick for pick in fitting if pick[0].node not in wish.avoided]
    if not wish.last_resort:
        preferred = [
            pick
            for pick in preferred or fitting
            if slowness(pick[0], wish) <= wish.tolerated
        ]
        fitting = preferred

    def rank(pick: Pick) -> tuple[float, bool, int]:
        agent, fits = pick
        slow = slowness(agent, wish)
        speed = round(slow / _SLOWNESS_STEP)
        if scarce and slow <= wish.tolerated:
            speed = -speed
        return speed, agent.zone != zone, -fits

    return _take(sorted(preferred or fitting, key=rank), wish.tasks)


def slowness(agent: fleet.Agent, wish: Wish) -> float:
    """Return the slowness of an endpoint for one job."""
    far = wish.rack and wish.rack not in agent.labels
    return agent.slowness * (wish.far_factor if far else 1)


def fast_room(agents: typing.Sequence[fleet.Agent]) -> float:
    """Return the free share of the faster half of the endpoints."""
    ranked = sorted(agents, key=_slowness)
    fast = ranked[: (len(ranked) + 1) // 2]
    room = sum(agent.capacity.cpu_millicores for agent in fast)
    free = sum(max(agent.free.cpu_millicores, 0) for agent in fast)
    return free / room if room else 1.0


def _fits(agent: fleet.Agent, wish: Wish) -> int:
    fits = agent.fits(wish.need)
    if not wish.spread_limit:
        return fits
    return min(fits, wish.spread_limit - wish.held.get(agent.node, 0))


def _take(ranked: list[Pick], count: int) -> list[Pick]:
    picks = []
    for agent, fits in ranked:
        if count <= 0:
            break
        taken = min(fits, count)
        picks.append((agent, taken))
        count -= taken
    return picks


def _slowness(agent: fleet.Agent) -> float:
    return agent.slowness
