"""What a flood of one tenant at 10 times the capacity costs two others."""

import random
import typing

from bench import figures
from bench import process_system as base
from poplardrum.standins import fleet

_WORKER_COUNT: typing.Final = 3
_SLOTS_PER_WORKER: typing.Final = 8
_ARRIVAL_SPAN_S: typing.Final = 15.0
_OTHER_TENANTS: typing.Final = ('depot', 'market')
_OTHER_LOAD_RATIO: typing.Final = 0.25
_FLOOD_LOAD_RATIO: typing.Final = 10.0
_FLOOD_TASKS_S: typing.Final = (0.1,) * 100
# Ends the run soon after the flood where nothing refuses it.
_FLOOD_DEADLINE_S: typing.Final = 10.0
_SEED: typing.Final = 11
_KEPT_SHARE_BOUND: typing.Final = 0.98
_P99_RATIO_BOUND: typing.Final = 1.25


def draw_other_jobs() -> list[base.Job]:
    """Return the work of the two other tenants, the same in each run."""
    choice = random.Random(_SEED)
    power = (
        _WORKER_COUNT
        * _SLOTS_PER_WORKER
        * _OTHER_LOAD_RATIO
        * len(_OTHER_TENANTS)
    )
    jobs: list[base.Job] = []
    while sum(job.slot_seconds for job in jobs) < power * _ARRIVAL_SPAN_S:
        tasks = [choice.uniform(0.05, 0.3) for _ in range(choice.randint(1, 8))]
        jobs.append(
            base.Job(
                choice.choice(_OTHER_TENANTS),
                choice.uniform(0, _ARRIVAL_SPAN_S),
                tasks,
                choice.randrange(2),
            ),
        )
    return jobs


def draw_flood_jobs() -> list[base.Job]:
    """Return the flooding tenant's work."""
    choice = random.Random(_SEED)
    power = _WORKER_COUNT * _SLOTS_PER_WORKER * _FLOOD_LOAD_RATIO
    count = round(power * _ARRIVAL_SPAN_S / sum(_FLOOD_TASKS_S))
    return [
        base.Job(
            'harbor',
            choice.uniform(0, _ARRIVAL_SPAN_S),
            list(_FLOOD_TASKS_S),
            choice.randrange(2),
            _FLOOD_DEADLINE_S,
        )
        for _ in range(count)
    ]


def run_beside(extra: list[base.Job]) -> list[base.Job]:
    """Run the others' work beside `extra` and return the others' jobs."""
    jobs = draw_other_jobs()
    plan = fleet.Plan(
        (fleet.WorkerPlan(slots=_SLOTS_PER_WORKER),) * _WORKER_COUNT
    )
    with base.run_system(plan, base.rule_files()) as system:
        base.submit_all(system, [*jobs, *extra])
    return jobs


def count_completed_tasks(jobs: list[base.Job]) -> int:
    """Return the number of tasks in jobs with a complete answer."""
    return sum(len(job.tasks) for job in jobs if job.status == 200)


def p99_response_s(jobs: list[base.Job]) -> float:
    """Return the 99th percentile of the response time in seconds."""
    return figures.quantile(
        [job.response_s for job in jobs if job.status == 200],
        0.99,
    )


def main() -> list[figures.Figure]:
    """Compare the two runs."""
    calm = run_beside([])
    flooding = draw_flood_jobs()
    flooded = run_beside(flooding)
    refused = sum(job.status == 429 for job in flooding) / len(flooding)
    return [
        figures.at_least(
            'flood.goodput_kept',
            count_completed_tasks(flooded)
            / max(1, count_completed_tasks(calm)),
            'share',
            _KEPT_SHARE_BOUND,
        ),
        figures.at_most(
            'flood.p99_ratio',
            p99_response_s(flooded) / p99_response_s(calm),
            'ratio',
            _P99_RATIO_BOUND,
        ),
        figures.without_bound('flood.calm_p99', p99_response_s(calm), 's'),
        figures.without_bound('flood.flooder_refused', refused, 'share'),
        figures.without_bound(
            'flood.flooder_tasks', count_completed_tasks(flooding), 'tasks'
        ),
    ]


if __name__ == '__main__':
    figures.print_figures(main())
