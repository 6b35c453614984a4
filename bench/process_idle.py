"""Response time of a single 50 ms task on an idle system."""

import typing

from bench import figures
from bench import process_system as base
from poplardrum.standins import fleet

_TASK: typing.Final = 0.05
_GAP: typing.Final = 0.08
_COUNT: typing.Final = 150
_WARM_UP: typing.Final = 20
_BOUND_MS: typing.Final = 5


def main() -> list[figures.Figure]:
    """Submit one job at a time and return what it took beyond the task."""
    plan = fleet.Plan((fleet.WorkerPlan(),) * 3)
    jobs = [
        base.Job('harbor', number * _GAP, [_TASK], entry=number % 2)
        for number in range(_COUNT)
    ]
    with base.running(plan, base.rules()) as system:
        complete = base.submit_all(system, jobs)
    extra = [
        (job.seconds - _TASK) * 1000 for job in jobs[_WARM_UP:] if job.status
    ]
    middle = figures.quantile(extra, 0.5)
    return [
        figures.at_most('idle.extra_p50', middle, 'ms', _BOUND_MS),
        figures.at_most(
            'idle.extra_p99',
            figures.quantile(extra, 0.99),
            'ms',
            _BOUND_MS,
        ),
        figures.at_least('idle.complete', len(complete), 'jobs', _COUNT),
    ]


if __name__ == '__main__':
    figures.show(main())
