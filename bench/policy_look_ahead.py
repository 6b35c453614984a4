"""Compare placement that looks ahead with placement that does not, by width.

Run `python -m bench.policy_look_ahead`. The fleet has lost a third of its
endpoints; all policies get the same arrivals.
"""

import random
import typing

from bench import cost_dispatch_placement as placement_cost
from bench import figures
from bench import look_ahead_model as model
from poplardrum.dispatch import look_ahead, messages, room_index

_AGENTS: typing.Final = 36
_LOAD: typing.Final = 1.05
_SECONDS: typing.Final = 1.0
_SEEDS: typing.Final = (1, 2)
_WIDTHS: typing.Final = ('1-2', '3-4', '5-8', '9-16')
_FLEET_SIZES: typing.Final = (72, 700)
_WAITING_JOBS: typing.Final = 50
_PASSES: typing.Final = 20
_MS_PER_S: typing.Final = 1000
_KIND: typing.Final = model.Kind(1, 8, 0.13, 0.28)
_NEED: typing.Final = messages.Resources(5100, 64, 0)


class BestFitIndex(room_index.RoomIndex):
    """Baseline: among agents of like speed, those with least room come first."""

    def by_room(
        self, service: str, speed: int, min_cpu: int, *, own_zone: bool
    ) -> typing.Iterator[typing.Any]:
        """Yield the agents of a speed class, those with least free CPU first."""
        agents = super().by_room(service, speed, min_cpu, own_zone=own_zone)
        yield from reversed(list(agents))


def measure_policy(policy: str) -> list[figures.Figure]:
    """Measure jobs in time, waits by width and refused starts."""
    results = []
    for seed in _SEEDS:
        fleet = model.Model(
            seed, _LOAD, agents=_AGENTS, looks_ahead=policy == 'look_ahead'
        )
        if policy == 'best_fit':
            for entry in fleet.entries:
                entry.index.__class__ = BestFitIndex
        results.append(fleet.run(_SECONDS))
    name = f'look_ahead.load_{_LOAD}.{policy}'
    measured = []
    for width in _WIDTHS:
        arrived = sum(each.arrived[width] for each in results)
        in_time = sum(each.in_time[width] for each in results)
        waits = [wait for each in results for wait in each.waits[width]]
        measured += [
            figures.without_bound(
                f'{name}.in_time_{width}', in_time / max(arrived, 1), 'ratio'
            ),
            figures.without_bound(
                f'{name}.wait_p90_{width}',
                figures.quantile(waits, 0.9) * _MS_PER_S,
                'ms',
            ),
        ]
    starts = sum(each.starts for each in results)
    refused = sum(each.refused_starts for each in results)
    measured.append(
        figures.without_bound(
            f'{name}.refused_starts', refused / starts, 'ratio'
        )
    )
    return measured


def measure_cost(size: int, *, looks_ahead: bool) -> figures.Figure:
    """Measure a pass with waiting jobs in a fleet that is nearly full."""
    entry = model.Entry(0, float, looks=looks_ahead)
    entry.index = room_index.RoomIndex('north', random.Random(1))
    entry.look_ahead = look_ahead.LookAhead(entry.index, float)
    agents = placement_cost.make_agents(
        size, entry.index, random.Random(1), is_full=True
    )
    for agent in agents:
        agent.forecast = (5, 10, 30)
    for number in range(_WAITING_JOBS):
        job = model.make_job(number, _KIND, 8, _NEED, 0.0)
        entry.waiting[job.id] = job

    def decide() -> None:
        for job in entry.in_turn(0.01):
            request = model.request_for(job, 0.01)
            entry.choose(job, request, 0.01)

    policy = 'look_ahead' if looks_ahead else 'today'
    return figures.without_bound(
        f'look_ahead.pass_{_WAITING_JOBS}_jobs.agents_{size}.{policy}',
        placement_cost.measure_us(decide, _PASSES),
        'us',
    )


def main() -> None:
    """Print all figures."""
    for size in _FLEET_SIZES:
        for looks_ahead in (False, True):
            figures.print_figures([measure_cost(size, looks_ahead=looks_ahead)])
    for policy in ('today', 'best_fit', 'look_ahead'):
        figures.print_figures(measure_policy(policy))


if __name__ == '__main__':
    main()
