"""Measure the response time of a single 50 ms task on an idle system."""

import typing

from bench import figures, process_system
from poplardrum.standins import fleet

_TASK_DURATION_S: typing.Final = 0.05
_SUBMIT_INTERVAL_S: typing.Final = 0.08
_JOB_COUNT: typing.Final = 150
_WARM_UP_JOBS: typing.Final = 20
_EXTRA_BOUND_MS: typing.Final = 5


def main() -> list[figures.Figure]:
    """Submit one job at a time; return its time beyond the task's own."""
    plan = fleet.Plan((fleet.WorkerPlan(),) * 3)
    jobs = [
        process_system.Job(
            'harbor',
            number * _SUBMIT_INTERVAL_S,
            [_TASK_DURATION_S],
            entry_index=number % 2,
        )
        for number in range(_JOB_COUNT)
    ]
    with process_system.run_system(plan, process_system.rule_files()) as system:
        completed = process_system.submit_all(system, jobs)
    extra_ms = [
        (job.response_s - _TASK_DURATION_S) * 1000
        for job in jobs[_WARM_UP_JOBS:]
        if job.status
    ]
    p50_ms = figures.quantile(extra_ms, 0.5)
    return [
        figures.at_most('idle.extra_p50', p50_ms, 'ms', _EXTRA_BOUND_MS),
        figures.at_most(
            'idle.extra_p99',
            figures.quantile(extra_ms, 0.99),
            'ms',
            _EXTRA_BOUND_MS,
        ),
        figures.at_least('idle.complete', len(completed), 'jobs', _JOB_COUNT),
    ]


if __name__ == '__main__':
    figures.print_figures(main())
