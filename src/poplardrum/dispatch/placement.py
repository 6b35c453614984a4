"""Selection of agents for the tasks of a job."""

import types
import typing

from poplardrum.dispatch import fleet, messages


class PlacementRequest(typing.NamedTuple):
    """Request to place `task_count` identical tasks of a job.

    The tasks run at endpoints of `service` that have `label`, unless it is
    empty. They take `far_factor` times as long outside the rack of their data.
    `max_slowness` is the slowness up to which the job meets its target latency.
    Runs of the tasks have failed at `avoided_nodes`. At most `spread_limit`
    tasks run at one node, unless that is 0; `tasks_by_node` has the number of
    those already placed.
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


# An agent and the number of tasks for it.
Placement = tuple[fleet.Agent, int]
# Endpoints whose slowness rounds to the same multiple count as equally fast.
_SLOWNESS_STEP: typing.Final = 0.15
# Below this fraction of free capacity at the fast endpoints, jobs that can
# meet their target latency elsewhere leave them to the other jobs.
_SCARCE_FREE_FRACTION: typing.Final = 0.35


def choose_agents(
    agents: typing.Iterable[fleet.Agent],
    request: PlacementRequest,
    zone: str,
) -> list[Placement]:
    """Return agents for a placement request, each with a number of tasks.

    While fast endpoints have free capacity, jobs go to the fastest. When it is
    scarce, a job goes to the slowest endpoints within its maximum slowness, so
    that long jobs, whose maximum is lower, find the fast ones free. Slower
    endpoints are used only as a last resort.

    Among endpoints of similar speed, those of the own zone come first, since
    traffic between zones costs money, then those where most tasks fit.
    Avoided nodes are used only if no other node has free capacity.
    """
    usable = [
        agent
        for agent in agents
        if agent.is_usable() and agent.matches(request.service, request.label)
    ]
    is_scarce = free_fast_fraction(usable) < _SCARCE_FREE_FRACTION
    fitting = [(agent, _count_fitting(agent, request)) for agent in usable]
    fitting = [candidate for candidate in fitting if candidate[1] > 0]
    preferred = [
        candidate
        for candidate in fitting
        if candidate[0].node not in request.avoided_nodes
    ]
    if not request.is_last_resort:
        preferred = [
            candidate
            for candidate in preferred or fitting
            if effective_slowness(candidate[0], request) <= request.max_slowness
        ]
        fitting = preferred

    def rank(candidate: Placement) -> tuple[float, bool, int]:
        agent, count = candidate
        slowness = effective_slowness(agent, request)
        slowness_step = round(slowness / _SLOWNESS_STEP)
        if is_scarce and slowness <= request.max_slowness:
            slowness_step = -slowness_step
        return slowness_step, agent.zone != zone, -count

    return _allocate(sorted(preferred or fitting, key=rank), request.task_count)


def effective_slowness(agent: fleet.Agent, request: PlacementRequest) -> float:
    """Return the slowness of an endpoint, including the distance to the data."""
    is_far = request.data_rack and request.data_rack not in agent.labels
    return agent.slowness * (request.far_factor if is_far else 1)


def free_fast_fraction(agents: typing.Sequence[fleet.Agent]) -> float:
    """Return the free fraction of the CPU of the faster half of endpoints."""
    ranked = sorted(agents, key=_agent_slowness)
    fast = ranked[: (len(ranked) + 1) // 2]
    capacity = sum(agent.capacity.cpu_millicores for agent in fast)
    free = sum(max(agent.free.cpu_millicores, 0) for agent in fast)
    return free / capacity if capacity else 1.0


def _count_fitting(agent: fleet.Agent, request: PlacementRequest) -> int:
    count = agent.count_fitting(request.demand)
    if not request.spread_limit:
        return count
    return min(
        count, request.spread_limit - request.tasks_by_node.get(agent.node, 0)
    )


def _allocate(ranked: list[Placement], task_count: int) -> list[Placement]:
    placements = []
    for agent, count in ranked:
        if task_count <= 0:
            break
        allocated = min(count, task_count)
        placements.append((agent, allocated))
        task_count -= allocated
    return placements


def _agent_slowness(agent: fleet.Agent) -> float:
    return agent.slowness
