"""Processor time, bytes and memory of an entry and an agent, with slopes.

Run `python -m bench.cost_roles`. Each slope is the difference of two runs
that differ in one thing; docs/CAPACITY.md multiplies them up.
"""

import pathlib
import time
import typing

from bench import figures
from bench import process_system as base
from poplardrum.standins import fleet

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
    """Use of one process: seconds, bytes and resident KB."""

    read_at: float
    cpu_s: float
    transferred_bytes: int
    resident_kb: int


def read_usage(process: fleet.Process) -> Usage:
    """Read a process now; bytes are those of its reads and writes."""
    pid = process.running.pid
    lines = pathlib.Path(f'/proc/{pid}/io').read_text().splitlines()
    counts = dict(line.split(': ') for line in lines)
    return Usage(
        time.monotonic(),
        figures.cpu_seconds(pid),
        int(counts['rchar']) + int(counts['wchar']),
        figures.process_status_kb(pid, 'VmRSS'),
    )


def usage_rates(before: Usage, after: Usage) -> tuple[float, float]:
    """Return per cent of a core and KB a second between two readings."""
    span = after.read_at - before.read_at
    return (
        100 * (after.cpu_s - before.cpu_s) / span,
        (after.transferred_bytes - before.transferred_bytes) / span / 1024,
    )


def build_plan(workers: int) -> fleet.Plan:
    """Return a system with that many fast workers and two entries."""
    return fleet.Plan((fleet.WorkerPlan(),) * workers)


def tenant_names(count: int) -> list[str]:
    """Return tenant names; the first one submits."""
    return [
        *base.TENANT_NAMES,
        *(f'tenant-{index}' for index in range(count - 3)),
    ]


def measure_idle(system: fleet.Fleet, name: str) -> list[figures.Figure]:
    """Measure entry and agent while nothing is submitted."""
    before = [read_usage(system.entries[0]), read_usage(system.agents[0])]
    time.sleep(_IDLE_DURATION_S)
    after = [read_usage(system.entries[0]), read_usage(system.agents[0])]
    found: list[figures.Figure] = []
    for role, first, last in zip(
        ('entry', 'agent'), before, after, strict=True
    ):
        cpu, traffic = usage_rates(first, last)
        found += [
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
    return found


def measure_load(system: fleet.Fleet, rate: int) -> list[Usage]:
    """Run `rate` tasks a second; return differences summed by role."""
    count = round(rate * _LOAD_DURATION_S / _TASKS_PER_JOB)
    jobs = [
        base.Job(
            'harbor',
            number * _LOAD_DURATION_S / count,
            [_TASK_DURATION_S for _ in range(_TASKS_PER_JOB)],
            number % 2,
        )
        for number in range(count)
    ]
    groups = (system.entries, system.agents)
    before = [[read_usage(process) for process in group] for group in groups]
    complete = base.submit_all(system, jobs)
    if len(complete) != count:
        raise RuntimeError(f'{len(complete)} of {count} jobs complete')
    after = [[read_usage(process) for process in group] for group in groups]
    return [
        usage_difference(first, last)
        for first, last in zip(before, after, strict=True)
    ]


def usage_difference(before: list[Usage], after: list[Usage]) -> Usage:
    """Return what a group of processes used between two readings."""
    cpu, transferred, resident = (
        sum(getattr(last, field) for last in after)
        - sum(getattr(first, field) for first in before)
        for field in ('cpu_s', 'transferred_bytes', 'resident_kb')
    )
    return Usage(
        after[0].read_at - before[0].read_at, cpu, transferred, resident
    )


def measure_per_task(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the slopes with tasks, from two rates of the same span."""
    slow, fast = (measure_load(system, rate) for rate in _TASK_RATES_PER_S)
    extra = (_TASK_RATES_PER_S[1] - _TASK_RATES_PER_S[0]) * _LOAD_DURATION_S
    return [
        figure
        for role, low, high in zip(('entry', 'agent'), slow, fast, strict=True)
        for figure in task_slopes(role, low, high, extra)
    ]


def task_slopes(
    role: str,
    low: Usage,
    high: Usage,
    tasks: float,
) -> list[figures.Figure]:
    """Return what one task costs all processes of a role together."""
    cpu = 1000 * (high.cpu_s - low.cpu_s) / tasks
    size = (high.transferred_bytes - low.transferred_bytes) / tasks
    return [
        figures.without_bound(f'task.{role}_cpu', cpu, 'ms'),
        figures.without_bound(f'task.{role}_bytes', size, 'B'),
    ]


def measure_per_record(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the memory of a kept record of one small task at the agents."""
    before = [read_usage(process) for process in system.agents]
    jobs = [
        base.Job('harbor', number * 0.004, [0.01], number % 2)
        for number in range(_RECORD_COUNT)
    ]
    complete = base.submit_all(system, jobs)
    grown = usage_difference(
        before, [read_usage(process) for process in system.agents]
    )
    return [
        figures.without_bound(
            'record.agent_memory',
            grown.resident_kb * 1024 / max(1, len(complete)),
            'B',
        ),
    ]


def main() -> list[figures.Figure]:
    """Run three systems and return figures and slopes."""
    with base.run_system(build_plan(_FEW_AGENTS), base.rule_files()) as system:
        few = measure_idle(system, f'quiet.agents_{_FEW_AGENTS}')
    with base.run_system(build_plan(_MANY_AGENTS), base.rule_files()) as system:
        many = measure_idle(system, f'quiet.agents_{_MANY_AGENTS}')
        slopes = measure_per_task(system)
    texts = base.rule_files(tenants=tenant_names(_MANY_TENANTS))
    with base.run_system(build_plan(_FEW_AGENTS), texts) as system:
        rich = measure_idle(system, f'quiet.tenants_{_MANY_TENANTS}')
        records = measure_per_record(system)
    return [
        *few,
        *many,
        *slopes_between('per_agent', few, many, _MANY_AGENTS - _FEW_AGENTS),
        *rich,
        *slopes_between(
            'per_tenant', few, rich, _MANY_TENANTS - len(base.TENANT_NAMES)
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
    """Return the slopes between two quiet systems."""
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
