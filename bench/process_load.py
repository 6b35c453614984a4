"""Measure response times at 80% load on workers of three speeds.

Run `python -m bench.process_load [POLICY ...] [--span SECONDS]`.
"""

import argparse
import random
import typing

from bench import figures, process_system
from poplardrum.standins import fleet

_WORKER_SPEEDS: typing.Final = (0.5, 0.5, 0.5, 1, 1, 1, 1, 2, 2, 2)
_SLOTS_PER_WORKER: typing.Final = 8
_LOAD_RATIO: typing.Final = 0.8
_ARRIVAL_SPAN_S: typing.Final = 40.0
_WARM_UP_SHARE: typing.Final = 0.2
_SEED: typing.Final = 7
_P50_RATIO_BOUND: typing.Final = 1.1
_P99_RATIO_BOUND: typing.Final = 1.5
_WASTED_PER_TASK_BOUND: typing.Final = 0.05


def measure(policy: str, span: float) -> list[figures.Figure]:
    """Run the load with one placement policy."""
    slots = [
        speed for speed in _WORKER_SPEEDS for _ in range(_SLOTS_PER_WORKER)
    ]
    offered_load = sum(slots) * _LOAD_RATIO
    jobs = process_system.draw_jobs(random.Random(_SEED), offered_load, span)
    plan = fleet.Plan(
        tuple(fleet.WorkerPlan(speed=speed) for speed in _WORKER_SPEEDS),
    )
    with process_system.run_system(
        plan, process_system.rule_files(policy)
    ) as system:
        before = sum_counters(system)
        process_system.submit_all(system, jobs)
        after = sum_counters(system)
    tasks = sum(len(job.tasks) for job in jobs)
    name = f'load.{policy}'
    return [
        *response_figures(name, jobs, slots, span),
        figures.without_bound(
            f'{name}.frames',
            _per_task(before, after, 'frames_total', tasks),
            'per_task',
        ),
        figures.at_most(
            f'{name}.wasted',
            _per_task(before, after, 'wasted_messages_total', tasks),
            'per_task',
            _WASTED_PER_TASK_BOUND,
        ),
        figures.without_bound(f'{name}.tasks', tasks, 'tasks'),
    ]


def response_figures(
    name: str,
    jobs: list[process_system.Job],
    slots: list[float],
    span: float,
) -> list[figures.Figure]:
    """Return ratios to the ideal schedule, and to each job on an empty fleet."""
    ideal_times = process_system.ideal_response_times(jobs, slots)
    measured = [
        (job, ideal_s)
        for job, ideal_s in zip(jobs, ideal_times, strict=True)
        if job.arrival >= span * _WARM_UP_SHARE and job.status == 200
    ]
    ratios = [job.response_s / ideal_s for job, ideal_s in measured]
    empty_fleet_ratios = [
        job.response_s / process_system.ideal_response_times([job], slots)[0]
        for job, _ in measured
    ]
    completed_share = sum(job.status == 200 for job in jobs) / len(jobs)
    p50, p90, p99 = (
        figures.quantile(ratios, share) for share in (0.5, 0.9, 0.99)
    )
    return [
        figures.at_most(f'{name}.p50', p50, 'ratio', _P50_RATIO_BOUND),
        figures.without_bound(f'{name}.p90', p90, 'ratio'),
        figures.at_most(f'{name}.p99', p99, 'ratio', _P99_RATIO_BOUND),
        figures.without_bound(
            f'{name}.p99_over_empty_fleet',
            figures.quantile(empty_fleet_ratios, 0.99),
            'ratio',
        ),
        figures.at_least(f'{name}.complete', completed_share, 'share', 1),
    ]


def sum_counters(system: fleet.Fleet) -> dict[str, float]:
    """Return the counters by name, summed over all processes."""
    total: dict[str, float] = {}
    for address in (*system.entry_addresses, *system.agent_addresses):
        for name, value in figures.read_counters(address).items():
            total[name] = total.get(name, 0) + value
    return total


def _per_task(
    before: dict[str, float],
    after: dict[str, float],
    name: str,
    tasks: int,
) -> float:
    return (after.get(name, 0) - before.get(name, 0)) / tasks


def main() -> None:
    """Measure the policies that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('policies', nargs='*', default=['late_binding'])
    parser.add_argument('--span', type=float, default=_ARRIVAL_SPAN_S)
    arguments = parser.parse_args()
    for policy in arguments.policies:
        figures.print_figures(measure(policy, arguments.span))


if __name__ == '__main__':
    main()
