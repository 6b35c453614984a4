"""Processor time of a placement decision on the users' platform.

Run `python -m bench.cost_dispatch_placement`. The baseline looks through all
agents and sorts them, as `placement.choose_agents` did before the index.
"""

import random
import time
import typing

from bench import figures
from poplardrum import ids
from poplardrum.dispatch import fleet, messages, placement, room_index

_FLEET_SIZES: typing.Final = (11, 72, 160, 300, 700)
_TARGET_FLEET: typing.Final = 700
_DECISION_BOUND_US: typing.Final = 100.0
_ROUNDS: typing.Final = 2000
_WAITING_JOBS: typing.Final = 200
_CAPACITY: typing.Final = messages.Resources(16000, 65536, 0)
_REQUEST: typing.Final = placement.PlacementRequest(
    messages.Resources(2500, 64, 0), 4, 'intake', max_slowness=1.5
)
_SPEEDS: typing.Final = (0.6, 1.0, 1.6)
_ZONES: typing.Final = ('toledo', 'erie', 'buffalo', 'cleveland', 'milwaukee')
_US_PER_S: typing.Final = 1e6


class OpenLink:
    """A link to a peer that is in touch."""

    is_stale = False

    def set_busy(self, busy: bool) -> None:
        """Do nothing."""


def make_agents(
    count: int, index: room_index.RoomIndex, rng: random.Random, is_full: bool
) -> list[fleet.Agent]:
    """Return agents of three speeds in five zones, listed in an index."""
    agents = []
    for number in range(count):
        agent = fleet.Agent(
            f'side-{number}', _ZONES[number % 5], ids.new_incarnation()
        )
        agent.on_change = index.update
        agent.on_connected(typing.cast(typing.Any, OpenLink()))
        free = 0 if is_full else rng.randrange(0, 16000)
        agent.apply_load(
            messages.Load(
                0,
                True,
                messages.Resources(free, 65536, 0),
                _CAPACITY,
                _SPEEDS[number % 3] + rng.uniform(-0.05, 0.05),
                'intake',
                [],
            )
        )
        agents.append(agent)
    return agents


def choose_by_sorting(
    agents: list[fleet.Agent], request: placement.PlacementRequest
) -> list[placement.Placement]:
    """Choose agents as the baseline does: look at all, sort, allocate."""
    usable = [
        agent
        for agent in agents
        if agent.is_usable() and agent.matches(request.service, request.label)
    ]
    by_speed = sorted(usable, key=lambda agent: agent.slowness)
    fast = by_speed[: (len(by_speed) + 1) // 2]
    capacity = sum(agent.capacity.cpu_millicores for agent in fast)
    free = sum(max(agent.free.cpu_millicores, 0) for agent in fast)
    is_scarce = free < 0.35 * capacity

    def rank(candidate: placement.Placement) -> tuple[float, bool, int]:
        agent, count = candidate
        step = round(agent.slowness / room_index.SLOWNESS_STEP)
        if is_scarce and agent.slowness <= request.max_slowness:
            step = -step
        return step, agent.zone != _ZONES[0], -count

    fitting = [(agent, agent.count_fitting(request.demand)) for agent in usable]
    ranked = sorted((each for each in fitting if each[1] > 0), key=rank)
    placements = []
    remaining = request.task_count
    for agent, count in ranked:
        if remaining <= 0:
            break
        placements.append((agent, min(count, remaining)))
        remaining -= count
    return placements


def measure_us(decide: typing.Callable[[], object], rounds: int) -> float:
    """Return the processor time of one call in microseconds."""
    started_at = time.process_time()
    for _ in range(rounds):
        decide()
    return (time.process_time() - started_at) * _US_PER_S / rounds


def measure_fleet(size: int, rng: random.Random) -> list[figures.Figure]:
    """Measure a decision and an update in a fleet of `size` agents."""
    index = room_index.RoomIndex(_ZONES[0], random.Random(1))
    agents = make_agents(size, index, rng, is_full=False)
    name = f'dispatch_placement.agents_{size}'
    sorting = measure_us(
        lambda: choose_by_sorting(agents, _REQUEST), _ROUNDS // 20
    )
    indexed = measure_us(
        lambda: placement.choose_agents(index, _REQUEST), _ROUNDS
    )
    update = measure_us(
        lambda: agents[0].reserve(_REQUEST.demand, 1), _ROUNDS // 20
    )
    decision = figures.without_bound(f'{name}.index', indexed, 'us')
    if size == _TARGET_FLEET:
        decision = figures.at_most(
            f'{name}.index', indexed, 'us', _DECISION_BOUND_US
        )
    return [
        figures.without_bound(f'{name}.sorting', sorting, 'us'),
        decision,
        figures.without_bound(f'{name}.update', update, 'us'),
    ]


def measure_full_fleet(rng: random.Random) -> list[figures.Figure]:
    """Measure a wake-up with waiting jobs when nothing has room."""
    index = room_index.RoomIndex(_ZONES[0], random.Random(1))
    agents = make_agents(_TARGET_FLEET, index, rng, is_full=True)
    name = f'dispatch_placement.full_wake_up_{_WAITING_JOBS}_jobs'
    sorting = measure_us(lambda: choose_by_sorting(agents, _REQUEST), 50)
    check = measure_us(lambda: index.max_free_cpu('intake'), _ROUNDS)
    return [
        figures.without_bound(f'{name}.sorting', sorting * _WAITING_JOBS, 'us'),
        figures.without_bound(f'{name}.index', check * _WAITING_JOBS, 'us'),
    ]


def main() -> None:
    """Print the time of a decision and of a wake-up without room."""
    rng = random.Random(1)
    for size in _FLEET_SIZES:
        figures.print_figures(measure_fleet(size, rng))
    figures.print_figures(measure_full_fleet(rng))


if __name__ == '__main__':
    main()
