"""Measure how a flood at 10 times the capacity affects other tenants."""

import random
import typing

from bench import figures, process_system
from poplardrum.standins import fleet

_WORKER_COUNT: typing.Final = 3
_SLOTS_PER_WORKER: typing.Final = 8
_ARRIVAL_SPAN_S: typing.Final = 15.0
_OTHER_TENANTS: typing.Final = ('depot', 'market')
_OTHER_LOAD_RATIO: typing.Final = 0.25
_FLOOD_LOAD_RATIO: typing.Final = 10.0
_FLOOD_TASKS_S: typing.Final = (0.1,) * 100
# Lets the measurement end soon after the flood even if no job is refused.
_FLOOD_DEADLINE_S: typing.Final = 10.0
_SEED: typing.Final = 11
_KEPT_SHARE_BOUND: typing.Final = 0.98
_P99_RATIO_BOUND: typing.Final = 1.25


def draw_other_jobs() -> list[process_system.Job]:
    """Return the jobs of the two other tenants, the same in each call."""
    rng = random.Random(_SEED)
    offered_load = (
        _WORKER_COUNT
        * _SLOTS_PER_WORKER
        * _OTHER_LOAD_RATIO
        * len(_OTHER_TENANTS)
    )
    jobs: list[process_system.Job] = []
    while (
        sum(job.slot_seconds for job in jobs) < offered_load * _ARRIVAL_SPAN_S
    ):
        tasks = [rng.uniform(0.05, 0.3) for _ in range(rng.randint(1, 8))]
        jobs.append(
            process_system.Job(
                rng.choice(_OTHER_TENANTS),
                rng.uniform(0, _ARRIVAL_SPAN_S),
                tasks,
                rng.randrange(2),
            ),
        )
    return jobs


def draw_flood_jobs() -> list[process_system.Job]:
    """Return the jobs of the flooding tenant."""
    rng = random.Random(_SEED)
    offered_load = _WORKER_COUNT * _SLOTS_PER_WORKER * _FLOOD_LOAD_RATIO
    count = round(offered_load * _ARRIVAL_SPAN_S / sum(_FLOOD_TASKS_S))
    return [
        process_system.Job(
            'harbor',
            rng.uniform(0, _ARRIVAL_SPAN_S),
            list(_FLOOD_TASKS_S),
            rng.randrange(2),
            _FLOOD_DEADLINE_S,
        )
        for _ in range(count)
    ]


def run_beside(
    extra_jobs: list[process_system.Job],
) -> list[process_system.Job]:
    """Run the others' jobs and `extra_jobs`; return the others' jobs."""
    jobs = draw_other_jobs()
    plan = fleet.Plan(
        (fleet.WorkerPlan(slots=_SLOTS_PER_WORKER),) * _WORKER_COUNT
    )
    with process_system.run_system(plan, process_system.rule_files()) as system:
        process_system.submit_all(system, [*jobs, *extra_jobs])
    return jobs


def count_completed_tasks(jobs: list[process_system.Job]) -> int:
    """Return the number of tasks in completed jobs."""
    return sum(len(job.tasks) for job in jobs if job.status == 200)


def p99_response_s(jobs: list[process_system.Job]) -> float:
    """Return the 99th percentile of the response times in seconds."""
    return figures.quantile(
        [job.response_s for job in jobs if job.status == 200],
        0.99,
    )


def main() -> list[figures.Figure]:
    """Compare the other tenants' jobs with and without the flood."""
    unflooded = run_beside([])
    flooding = draw_flood_jobs()
    flooded = run_beside(flooding)
    refused = sum(job.status == 429 for job in flooding) / len(flooding)
    return [
        figures.at_least(
            'flood.goodput_kept',
            count_completed_tasks(flooded)
            / max(1, count_completed_tasks(unflooded)),
            'share',
            _KEPT_SHARE_BOUND,
        ),
        figures.at_most(
            'flood.p99_ratio',
            p99_response_s(flooded) / p99_response_s(unflooded),
            'ratio',
            _P99_RATIO_BOUND,
        ),
        figures.without_bound('flood.calm_p99', p99_response_s(unflooded), 's'),
        figures.without_bound('flood.flooder_refused', refused, 'share'),
        figures.without_bound(
            'flood.flooder_tasks', count_completed_tasks(flooding), 'tasks'
        ),
    ]


if __name__ == '__main__':
    figures.print_figures(main())
