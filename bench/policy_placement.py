"""Compare placement policies and job orders on the fleet model.

Run `python -m bench.policy_placement`; prints `name value unit` and, where
the design page states a target, `bound ok|short`.
"""

import dataclasses
import random
import typing

from bench import policy_model as model
from bench import policy_parts as parts
from bench import policy_workload as workload
from poplardrum.scheduling import ordering, placement

ARRIVAL_SPAN_S: typing.Final = 60.0
DRAIN_DURATION_S: typing.Final = 60.0
P50_STRETCH_BOUND: typing.Final = 1.1
P99_STRETCH_BOUND: typing.Final = 1.5
WASTED_PER_TASK_BOUND: typing.Final = 0.05
LOAD_RATIOS: typing.Final = (0.3, 0.6, 0.8)


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Jobs and fleet at the end of one simulation."""

    jobs: list[workload.Job]
    fleet: model.FleetModel

    def report(self, name: str, bounds: bool = False) -> None:
        """Print the figures of the simulation, with their bounds if asked."""
        measured = [job for job in self.jobs if job.is_measured]
        stretches = [job.stretch for job in measured if not job.failed_tasks]
        tasks = sum(len(job.tasks) for job in self.jobs)
        counts = self.fleet.counts
        wasted = counts.pop('wasted', 0)
        p50_bound = P50_STRETCH_BOUND if bounds else None
        p99_bound = P99_STRETCH_BOUND if bounds else None
        print_figure(
            f'{name}.p50', workload.quantile(stretches, 0.5), 'ratio', p50_bound
        )
        print_figure(f'{name}.p90', workload.quantile(stretches, 0.9), 'ratio')
        print_figure(
            f'{name}.p99',
            workload.quantile(stretches, 0.99),
            'ratio',
            p99_bound,
        )
        print_figure(f'{name}.messages', counts.total() / tasks, 'per_task')
        waste_bound = WASTED_PER_TASK_BOUND if bounds else None
        print_figure(f'{name}.wasted', wasted / tasks, 'per_task', waste_bound)


def print_figure(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
) -> None:
    """Print one figure, with its upper bound if there is one."""
    line = f'{name} {value:.3f} {unit}'
    if bound is not None:
        line += f' {bound} ' + ('ok' if value <= bound else 'short')
    print(line, flush=True)


def measure(scenario: parts.Scenario, load: float) -> RunResult:
    """Simulate two tenants that together offer `load` of the capacity."""
    rng = random.Random(scenario.seed)
    jobs = [
        job
        for tenant in ('lakeshore', 'consorcio')
        for job in workload.draw_jobs(
            workload.TaskKinds(rng),
            tenant,
            load * scenario.capacity / 2,
            (0, ARRIVAL_SPAN_S),
        )
    ]
    fleet = model.FleetModel(scenario)
    for job in jobs:
        fleet.schedule(job.arrival, fleet.submit, job)
    fleet.run(ARRIVAL_SPAN_S + DRAIN_DURATION_S)
    return RunResult(jobs, fleet)


def compare_policies() -> None:
    """Measure each policy at each load."""
    for name, policy in placement.POLICIES.items():
        for load in LOAD_RATIOS:
            result = measure(parts.Scenario(policy), load)
            bounds = load == LOAD_RATIOS[-1] and name == 'late_binding'
            result.report(f'{name}.load{load:.0%}', bounds)


def compare_orders() -> None:
    """Measure each order of jobs at the highest load."""
    orders: dict[str, ordering.Ordering] = {
        'first_come': ordering.FirstComeFirstServed(),
        'shortest': ordering.ShortestRemaining(),
        'stretched_1': ordering.StretchedFinish(1),
        'stretched_4': ordering.StretchedFinish(4),
    }
    for name, order in orders.items():
        measure(parts.Scenario(order=order), LOAD_RATIOS[-1]).report(
            f'order.{name}'
        )


def measure_faults() -> None:
    """Measure a straggler, a failing worker and a kind that always fails."""
    scenarios = {
        'straggler': parts.Scenario(
            straggler=8, slowdown_start_s=ARRIVAL_SPAN_S / 3
        ),
        'failing_worker': parts.Scenario(failing_worker=8),
        'failing_kind': parts.Scenario(failing_kind='kind-3'),
    }
    for name, scenario in scenarios.items():
        result = measure(scenario, LOAD_RATIOS[1])
        result.report(name)
        tasks = sum(len(job.tasks) for job in result.jobs)
        failed = sum(job.failed_tasks for job in result.jobs)
        print_figure(f'{name}.failed', failed / tasks, 'per_task')
        ejected = len(result.fleet.ejector.ejected)
        print_figure(f'{name}.ejected', ejected, 'workers')


def main() -> None:
    """Run all comparisons."""
    compare_policies()
    compare_orders()
    measure_faults()


if __name__ == '__main__':
    main()
