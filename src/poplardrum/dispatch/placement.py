"""Selection of agents for the tasks of a job."""

import types
import typing

from poplardrum.dispatch import fleet, jobs, messages, room_index


class PlacementRequest(typing.NamedTuple):
    """Request to place `task_count` identical tasks of a job.

    The tasks run at endpoints of `service` that have `label`, unless it is
    empty. They take `far_factor` times as long outside the rack of their data.
    `max_slowness` is the slowness up to which the job meets its target latency.
    Runs of the tasks have failed at `avoided_nodes`. At most `spread_limit`
    tasks run at one node, unless that is 0; `tasks_by_node` has the number of
    those already placed. The tasks use at most the CPU in `cpu_limits` of the
    agents in it, in millicores.
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
    cpu_limits: typing.Mapping[fleet.Agent, int] = types.MappingProxyType({})


# An agent and the number of tasks for it.
Placement = tuple[fleet.Agent, int]
# Below this fraction of free capacity at the fast endpoints, jobs that can
# meet their target latency elsewhere leave them to the other jobs.
_SCARCE_FREE_FRACTION: typing.Final = 0.35


def request_for(
    job: jobs.Job,
    step: jobs.Step,
    tasks: typing.Sequence[jobs.Task],
    far_factor: float,
    now: float,
) -> PlacementRequest:
    """Return the request to place waiting tasks of one step of a job."""
    avoided: set[str] = set()
    for task in tasks:
        avoided |= task.avoided_nodes
    return PlacementRequest(
        step.need,
        len(tasks),
        job.service,
        step.label,
        step.rack,
        far_factor,
        avoided,
        job.accepted_slowness(now),
        job.accepts_any_speed(now),
        step.spread_limit,
        job.count_by_node(step) if step.spread_limit else {},
    )


def choose_agents(
    index: room_index.RoomIndex, request: PlacementRequest
) -> list[Placement]:
    """Return agents for a placement request, each with a number of tasks.

    While fast endpoints have free capacity, jobs go to the fastest. When it is
    scarce, a job goes to the slowest endpoints within its maximum slowness, so
    that long jobs, whose maximum is lower, find the fast ones free. Slower
    endpoints are used only as a last resort.

    Among endpoints of similar speed, those of the own zone come first, since
    traffic between zones costs money, then those with most free CPU. Avoided
    nodes are used only if no other node has free capacity.
    """
    available = fitting(index, request)
    if request.avoided_nodes:
        candidates = list(available)
        preferred = [
            candidate
            for candidate in candidates
            if candidate[0].node not in request.avoided_nodes
        ]
        available = iter(preferred or candidates)
    if not request.is_last_resort:
        available = (
            candidate
            for candidate in available
            if effective_slowness(candidate[0], request) <= request.max_slowness
        )
    return _allocate(available, request.task_count)


def effective_slowness(agent: fleet.Agent, request: PlacementRequest) -> float:
    """Return the slowness of an endpoint, including the distance to the data."""
    return agent.slowness * (
        request.far_factor if is_far(agent, request) else 1
    )


def is_far(agent: fleet.Agent, request: PlacementRequest) -> bool:
    """Return whether an endpoint is outside the rack of the data."""
    return bool(request.data_rack) and request.data_rack not in agent.labels


class _Group(typing.NamedTuple):
    """Agents of one speed class that are near to the data, or far from it."""

    slowness: float
    speed: int
    far: bool


def _ranked(
    index: room_index.RoomIndex, request: PlacementRequest
) -> typing.Iterator[fleet.Agent]:
    """Yield the usable agents of the service, the preferred ones first."""
    if request.demand.cpu_millicores > index.max_free_cpu(request.service):
        return
    for group in _ranked_groups(index, request):
        for own_zone in (True, False):
            agents = index.by_room(
                request.service,
                group.speed,
                request.demand.cpu_millicores,
                own_zone=own_zone,
            )
            for agent in agents:
                if _is_candidate(agent, request, group):
                    yield agent


def _is_candidate(
    agent: fleet.Agent, request: PlacementRequest, group: _Group
) -> bool:
    if request.data_rack and is_far(agent, request) != group.far:
        return False
    return agent.is_usable() and agent.matches(request.service, request.label)


def _ranked_groups(
    index: room_index.RoomIndex, request: PlacementRequest
) -> list[_Group]:
    groups = []
    for speed in index.speeds(request.service):
        slowness = speed * room_index.SLOWNESS_STEP
        groups.append(_Group(slowness, speed, far=False))
        if request.data_rack:
            groups.append(
                _Group(slowness * request.far_factor, speed, far=True)
            )
    groups.sort()
    if not request.is_last_resort and not request.avoided_nodes:
        limit = request.max_slowness + room_index.SLOWNESS_STEP
        groups = [group for group in groups if group.slowness <= limit]
    free = index.free_fast_fraction(request.service)
    if free >= _SCARCE_FREE_FRACTION:
        return groups
    in_time = [
        group for group in groups if group.slowness <= request.max_slowness
    ]
    return in_time[::-1] + groups[len(in_time) :]


def fitting(
    index: room_index.RoomIndex, request: PlacementRequest
) -> typing.Iterator[Placement]:
    """Yield the agents with room, the preferred ones first."""
    for agent in _ranked(index, request):
        count = _count_fitting(agent, request)
        if count > 0:
            yield agent, count


def _count_fitting(agent: fleet.Agent, request: PlacementRequest) -> int:
    count = agent.count_fitting(request.demand)
    if agent in request.cpu_limits:
        need = max(request.demand.cpu_millicores, 1)
        count = min(count, request.cpu_limits[agent] // need)
    if not request.spread_limit:
        return count
    return min(
        count, request.spread_limit - request.tasks_by_node.get(agent.node, 0)
    )


def _allocate(
    ranked: typing.Iterable[Placement], task_count: int
) -> list[Placement]:
    placements = []
    for agent, count in ranked:
        allocated = min(count, task_count)
        placements.append((agent, allocated))
        task_count -= allocated
        if task_count <= 0:
            break
    return placements
