"""Choice of agents for the tasks of a job."""

import types
import typing

from poplardrum.dispatch import fleet, messages


class PlacementRequest(typing.NamedTuple):
    """What a job needs now.

    It runs at endpoints of `service` that have `label`, if there is one.
    Tasks take `far_factor` times as long away from the rack of their data.
    `tolerated` is the slowness up to which the job still ends in time;
    endpoints in `avoided` have failed it. At most `spread_limit` tasks, if
    that is not 0, run at one node; `held` counts those that do.
    """

    demand: messages.Resources
    task_count: int
    service: str
    label: str = ''
    data_rack: str = ''
    far_factor: float = 1
    avoided_nodes: typing.AbstractSet[str] = frozenset()
    max_slowness: float = 0
    is_last_resort: bool = True
    spread_limit: int = 0
    tasks_by_node: typing.Mapping[str, int] = types.MappingProxyType({})


Placement = tuple[fleet.Agent, int]
_SLOWNESS_STEP: typing.Final = 0.15
# Below this share of free room at the fast endpoints, jobs with time to
# spare leave them to those without.
_SCARCE_FREE_FRACTION: typing.Final = 0.35


def choose_agents(
    agents: typing.Iterable[fleet.Agent],
    wish: PlacementRequest,
    zone: str,
) -> list[Placement]:
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
        if agent.is_usable() and agent.matches(wish.service, wish.label)
    ]
    scarce = free_fast_fraction(usable) < _SCARCE_FREE_FRACTION
    fitting = [(agent, _count_fitting(agent, wish)) for agent in usable]
    fitting = [pick for pick in fitting if pick[1] > 0]
    preferred = [
        pick for pick in fitting if pick[0].node not in wish.avoided_nodes
    ]
    if not wish.is_last_resort:
        preferred = [
            pick
            for pick in preferred or fitting
            if effective_slowness(pick[0], wish) <= wish.max_slowness
        ]
        fitting = preferred

    def rank(pick: Placement) -> tuple[float, bool, int]:
        agent, fits = pick
        slow = effective_slowness(agent, wish)
        speed = round(slow / _SLOWNESS_STEP)
        if scarce and slow <= wish.max_slowness:
            speed = -speed
        return speed, agent.zone != zone, -fits

    return _allocate(sorted(preferred or fitting, key=rank), wish.task_count)


def effective_slowness(agent: fleet.Agent, wish: PlacementRequest) -> float:
    """Return the slowness of an endpoint for one job."""
    far = wish.data_rack and wish.data_rack not in agent.labels
    return agent.slowness * (wish.far_factor if far else 1)


def free_fast_fraction(agents: typing.Sequence[fleet.Agent]) -> float:
    """Return the free share of the faster half of the endpoints."""
    ranked = sorted(agents, key=_agent_slowness)
    fast = ranked[: (len(ranked) + 1) // 2]
    room = sum(agent.capacity.cpu_millicores for agent in fast)
    free = sum(max(agent.free.cpu_millicores, 0) for agent in fast)
    return free / room if room else 1.0


def _count_fitting(agent: fleet.Agent, wish: PlacementRequest) -> int:
    fits = agent.count_fitting(wish.demand)
    if not wish.spread_limit:
        return fits
    return min(fits, wish.spread_limit - wish.tasks_by_node.get(agent.node, 0))


def _allocate(ranked: list[Placement], count: int) -> list[Placement]:
    picks = []
    for agent, fits in ranked:
        if count <= 0:
            break
        taken = min(fits, count)
        picks.append((agent, taken))
        count -= taken
    return picks


def _agent_slowness(agent: fleet.Agent) -> float:
    return agent.slowness
