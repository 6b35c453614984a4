"""What a flood of one tenant at 10 times the capacity costs two others."""

import random
import typing

from bench import figures
from bench import process_system as base
from poplardrum.standins import fleet

_WORKERS: typing.Final = 3
_SLOTS: typing.Final = 8
_SPAN: typing.Final = 15.0
_OTHERS: typing.Final = ('depot', 'market')
_OTHER_LOAD: typing.Final = 0.25
_FLOOD_LOAD: typing.Final = 10.0
_FLOOD_JOB: typing.Final = (0.1,) * 100
# Ends the run soon after the flood where nothing refuses it.
_FLOOD_DEADLINE: typing.Final = 10.0
_SEED: typing.Final = 11
_KEPT_BOUND: typing.Final = 0.98
_P99_BOUND: typing.Final = 1.25


def others() -> list[base.Job]:
    """Return the work of the two other tenants, the same in each run."""
    choice = random.Random(_SEED)
    power = _WORKERS * _SLOTS * _OTHER_LOAD * len(_OTHERS)
    jobs: list[base.Job] = []
    while sum(job.work for job in jobs) < power * _SPAN:
        tasks = [choice.uniform(0.05, 0.3) for _ in range(choice.randint(1, 8))]
        jobs.append(
            base.Job(
                choice.choice(_OTHERS),
                choice.uniform(0, _SPAN),
                tasks,
                choice.randrange(2),
            ),
        )
    return jobs


def flood() -> list[base.Job]:
    """Return the flooding tenant's work."""
    choice = random.Random(_SEED)
    power = _WORKERS * _SLOTS * _FLOOD_LOAD
    count = round(power * _SPAN / sum(_FLOOD_JOB))
    return [
        base.Job(
            'harbor',
            choice.uniform(0, _SPAN),
            list(_FLOOD_JOB),
            choice.randrange(2),
            _FLOOD_DEADLINE,
        )
        for _ in range(count)
    ]


def run(extra: list[base.Job]) -> list[base.Job]:
    """Run the others' work beside `extra` and return the others' jobs."""
    jobs = others()
    plan = fleet.Plan((fleet.WorkerPlan(slots=_SLOTS),) * _WORKERS)
    with base.running(plan, base.rules()) as system:
        base.submit_all(system, [*jobs, *extra])
    return jobs


def good_tasks(jobs: list[base.Job]) -> int:
    """Return the number of tasks in jobs with a complete answer."""
    return sum(len(job.tasks) for job in jobs if job.status == 200)


def p99(jobs: list[base.Job]) -> float:
    """Return the 99th percentile of the response time in seconds."""
    return figures.quantile(
        [job.seconds for job in jobs if job.status == 200],
        0.99,
    )


def main() -> list[figures.Figure]:
    """Compare the two runs."""
    calm = run([])
    flooding = flood()
    flooded = run(flooding)
    refused = sum(job.status == 429 for job in flooding) / len(flooding)
    return [
        figures.at_least(
            'flood.goodput_kept',
            good_tasks(flooded) / max(1, good_tasks(calm)),
            'share',
            _KEPT_BOUND,
        ),
        figures.at_most(
            'flood.p99_ratio',
            p99(flooded) / p99(calm),
            'ratio',
            _P99_BOUND,
        ),
        figures.plain('flood.calm_p99', p99(calm), 's'),
        figures.plain('flood.flooder_refused', refused, 'share'),
        figures.plain('flood.flooder_tasks', good_tasks(flooding), 'tasks'),
    ]


if __name__ == '__main__':
    figures.show(main())
