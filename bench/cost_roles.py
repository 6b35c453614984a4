"""Measure CPU time, traffic and memory of entries and agents.

Run `python -m bench.cost_roles`. It also prints slopes: the cost of one more
agent, tenant, task or record, taken from two measurements that differ in this
number alone. docs/CAPACITY.md extrapolates from the slopes.
"""

import pathlib
import time
import typing

from bench import figures, process_system
from poplardrum.standins import fleet, processes

_IDLE_DURATION_S: typing.Final = 5.0
_LOAD_DURATION_S: typing.Final = 6.0
_FEW_AGENTS: typing.Final = 2
_MANY_AGENTS: typing.Final = 10
_MANY_TENANTS: typing.Final = 320
_TASK_RATES_PER_S: typing.Final = (50, 200)
_TASKS_PER_JOB: typing.Final = 10
_TASK_DURATION_S: typing.Final = 0.05
_RECORD_COUNT: typing.Final = 1500
_CPU_BOUND_PERCENT: typing.Final = 2.3
_TRAFFIC_BOUND_KB_PER_S: typing.Final = 16
_MEMORY_BOUND_MB: typing.Final = 64


class Usage(typing.NamedTuple):
    """Resource usage of one process, or summed over several."""

    read_at: float
    cpu_s: float
    transferred_bytes: int
    resident_kb: int


def read_usage(process: processes.Process) -> Usage:
    """Return the usage of a process; bytes count its reads and writes."""
    pid = process.handle.pid
    lines = pathlib.Path(f'/proc/{pid}/io').read_text().splitlines()
    counts = dict(line.split(': ') for line in lines)
    return Usage(
        time.monotonic(),
        figures.cpu_seconds(pid),
        int(counts['rchar']) + int(counts['wchar']),
        figures.process_status_kb(pid, 'VmRSS'),
    )


def usage_rates(before: Usage, after: Usage) -> tuple[float, float]:
    """Return percent of a core and KB per second between two readings."""
    elapsed_s = after.read_at - before.read_at
    return (
        100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        (after.transferred_bytes - before.transferred_bytes) / elapsed_s / 1024,
    )


def build_plan(workers: int) -> fleet.Plan:
    """Return a plan of two entries and `workers` workers."""
    return fleet.Plan((fleet.WorkerPlan(),) * workers)


def tenant_names(count: int) -> list[str]:
    """Return `count` tenant names, including those that submit jobs."""
    return [
        *process_system.TENANT_NAMES,
        *(f'tenant-{index}' for index in range(count - 3)),
    ]


def measure_idle(system: fleet.Fleet, name: str) -> list[figures.Figure]:
    """Measure an entry and an agent while no jobs are submitted."""
    before = [read_usage(system.entries[0]), read_usage(system.agents[0])]
    time.sleep(_IDLE_DURATION_S)
    after = [read_usage(system.entries[0]), read_usage(system.agents[0])]
    measured: list[figures.Figure] = []
    for role, first, last in zip(
        ('entry', 'agent'), before, after, strict=True
    ):
        cpu, traffic = usage_rates(first, last)
        measured += [
            figures.at_most(
                f'{name}.{role}_core',
                cpu,
                'percent',
                _CPU_BOUND_PERCENT,
            ),
            figures.at_most(
                f'{name}.{role}_traffic',
                traffic,
                'KB/s',
                _TRAFFIC_BOUND_KB_PER_S,
            ),
            figures.at_most(
                f'{name}.{role}_memory',
                last.resident_kb / 1024,
                'MB',
                _MEMORY_BOUND_MB,
            ),
        ]
    return measured


def measure_load(system: fleet.Fleet, task_rate: int) -> list[Usage]:
    """Run `task_rate` tasks per second; return the usage summed by role."""
    count = round(task_rate * _LOAD_DURATION_S / _TASKS_PER_JOB)
    jobs = [
        process_system.Job(
            'harbor',
            number * _LOAD_DURATION_S / count,
            [_TASK_DURATION_S for _ in range(_TASKS_PER_JOB)],
            number % 2,
        )
        for number in range(count)
    ]
    groups = (system.entries, system.agents)
    before = [[read_usage(process) for process in group] for group in groups]
    completed = process_system.submit_all(system, jobs)
    if len(completed) != count:
        raise RuntimeError(f'{len(completed)} of {count} jobs complete')
    after = [[read_usage(process) for process in group] for group in groups]
    return [
        usage_difference(first, last)
        for first, last in zip(before, after, strict=True)
    ]


def usage_difference(before: list[Usage], after: list[Usage]) -> Usage:
    """Return the usage of a group of processes between two readings."""
    cpu, transferred, resident = (
        sum(getattr(last, field) for last in after)
        - sum(getattr(first, field) for first in before)
        for field in ('cpu_s', 'transferred_bytes', 'resident_kb')
    )
    return Usage(
        after[0].read_at - before[0].read_at, cpu, transferred, resident
    )


def measure_per_task(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the cost of a task, from two task rates of equal duration."""
    low_rate, high_rate = (
        measure_load(system, rate) for rate in _TASK_RATES_PER_S
    )
    extra_tasks = (
        _TASK_RATES_PER_S[1] - _TASK_RATES_PER_S[0]
    ) * _LOAD_DURATION_S
    return [
        figure
        for role, low, high in zip(
            ('entry', 'agent'), low_rate, high_rate, strict=True
        )
        for figure in task_slopes(role, low, high, extra_tasks)
    ]


def task_slopes(
    role: str,
    low: Usage,
    high: Usage,
    tasks: float,
) -> list[figures.Figure]:
    """Return the cost of one task, summed over the processes of a role."""
    cpu = 1000 * (high.cpu_s - low.cpu_s) / tasks
    size = (high.transferred_bytes - low.transferred_bytes) / tasks
    return [
        figures.without_bound(f'task.{role}_cpu', cpu, 'ms'),
        figures.without_bound(f'task.{role}_bytes', size, 'B'),
    ]


def measure_per_record(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the agents' memory for each stored record of a small job."""
    before = [read_usage(process) for process in system.agents]
    jobs = [
        process_system.Job('harbor', number * 0.004, [0.01], number % 2)
        for number in range(_RECORD_COUNT)
    ]
    completed = process_system.submit_all(system, jobs)
    growth = usage_difference(
        before, [read_usage(process) for process in system.agents]
    )
    return [
        figures.without_bound(
            'record.agent_memory',
            growth.resident_kb * 1024 / max(1, len(completed)),
            'B',
        ),
    ]


def main() -> list[figures.Figure]:
    """Measure three systems and return their figures and slopes."""
    with process_system.run_system(
        build_plan(_FEW_AGENTS), process_system.rule_files()
    ) as system:
        few_agents = measure_idle(system, f'quiet.agents_{_FEW_AGENTS}')
    with process_system.run_system(
        build_plan(_MANY_AGENTS), process_system.rule_files()
    ) as system:
        many_agents = measure_idle(system, f'quiet.agents_{_MANY_AGENTS}')
        slopes = measure_per_task(system)
    texts = process_system.rule_files(tenants=tenant_names(_MANY_TENANTS))
    with process_system.run_system(build_plan(_FEW_AGENTS), texts) as system:
        many_tenants = measure_idle(system, f'quiet.tenants_{_MANY_TENANTS}')
        records = measure_per_record(system)
    return [
        *few_agents,
        *many_agents,
        *slopes_between(
            'per_agent', few_agents, many_agents, _MANY_AGENTS - _FEW_AGENTS
        ),
        *many_tenants,
        *slopes_between(
            'per_tenant',
            few_agents,
            many_tenants,
            _MANY_TENANTS - len(process_system.TENANT_NAMES),
        ),
        *slopes,
        *records,
    ]


def slopes_between(
    name: str,
    small: list[figures.Figure],
    large: list[figures.Figure],
    count: int,
) -> list[figures.Figure]:
    """Return the slopes between two idle systems."""
    return [
        figures.without_bound(
            f'{name}.{low.name.rpartition(".")[2]}',
            (high.value - low.value) / count,
            low.unit,
        )
        for low, high in zip(small, large, strict=True)
    ]


if __name__ == '__main__':
    figures.print_figures(main())
