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

_QUIET_SECONDS: typing.Final = 5.0
_BUSY_SECONDS: typing.Final = 6.0
_FEW: typing.Final = 2
_MANY: typing.Final = 10
_TENANTS: typing.Final = 320
_RATES: typing.Final = (50, 200)
_JOB_TASKS: typing.Final = 10
_TASK_SECONDS: typing.Final = 0.05
_RECORDS: typing.Final = 1500
_CORE_BOUND: typing.Final = 2.3
_KB_BOUND: typing.Final = 16
_MB_BOUND: typing.Final = 64


class Reading(typing.NamedTuple):
    """Use of one process: seconds, bytes and resident KB."""

    at: float
    cpu: float
    transferred: int
    resident: int


def read(process: fleet.Process) -> Reading:
    """Read a process now; bytes are those of its reads and writes."""
    pid = process.running.pid
    lines = pathlib.Path(f'/proc/{pid}/io').read_text().splitlines()
    counts = dict(line.split(': ') for line in lines)
    return Reading(
        time.monotonic(),
        figures.cpu_seconds(pid),
        int(counts['rchar']) + int(counts['wchar']),
        figures.status_kb(pid, 'VmRSS'),
    )


def rates(before: Reading, after: Reading) -> tuple[float, float]:
    """Return per cent of a core and KB a second between two readings."""
    span = after.at - before.at
    return (
        100 * (after.cpu - before.cpu) / span,
        (after.transferred - before.transferred) / span / 1024,
    )


def plan(workers: int) -> fleet.Plan:
    """Return a system with that many fast workers and two entries."""
    return fleet.Plan((fleet.WorkerPlan(),) * workers)


def tenants(count: int) -> list[str]:
    """Return tenant names; the first one submits."""
    return [*base.TENANTS, *(f'tenant-{index}' for index in range(count - 3))]


def quiet(system: fleet.Fleet, name: str) -> list[figures.Figure]:
    """Measure entry and agent while nothing is submitted."""
    before = [read(system.entries[0]), read(system.agents[0])]
    time.sleep(_QUIET_SECONDS)
    after = [read(system.entries[0]), read(system.agents[0])]
    found: list[figures.Figure] = []
    for role, first, last in zip(
        ('entry', 'agent'), before, after, strict=True
    ):
        cpu, traffic = rates(first, last)
        found += [
            figures.at_most(
                f'{name}.{role}_core',
                cpu,
                'percent',
                _CORE_BOUND,
            ),
            figures.at_most(
                f'{name}.{role}_traffic',
                traffic,
                'KB/s',
                _KB_BOUND,
            ),
            figures.at_most(
                f'{name}.{role}_memory',
                last.resident / 1024,
                'MB',
                _MB_BOUND,
            ),
        ]
    return found


def busy(system: fleet.Fleet, rate: int) -> list[Reading]:
    """Run `rate` tasks a second; return differences summed by role."""
    count = round(rate * _BUSY_SECONDS / _JOB_TASKS)
    jobs = [
        base.Job(
            'harbor',
            number * _BUSY_SECONDS / count,
            [_TASK_SECONDS for _ in range(_JOB_TASKS)],
            number % 2,
        )
        for number in range(count)
    ]
    groups = (system.entries, system.agents)
    before = [[read(process) for process in group] for group in groups]
    complete = base.submit_all(system, jobs)
    if len(complete) != count:
        raise RuntimeError(f'{len(complete)} of {count} jobs complete')
    after = [[read(process) for process in group] for group in groups]
    return [
        total(first, last) for first, last in zip(before, after, strict=True)
    ]


def total(before: list[Reading], after: list[Reading]) -> Reading:
    """Return what a group of processes used between two readings."""
    cpu, transferred, resident = (
        sum(getattr(last, field) for last in after)
        - sum(getattr(first, field) for first in before)
        for field in ('cpu', 'transferred', 'resident')
    )
    return Reading(after[0].at - before[0].at, cpu, transferred, resident)


def per_task(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the slopes with tasks, from two rates of the same span."""
    slow, fast = (busy(system, rate) for rate in _RATES)
    extra = (_RATES[1] - _RATES[0]) * _BUSY_SECONDS
    return [
        figure
        for role, low, high in zip(('entry', 'agent'), slow, fast, strict=True)
        for figure in task_slopes(role, low, high, extra)
    ]


def task_slopes(
    role: str,
    low: Reading,
    high: Reading,
    tasks: float,
) -> list[figures.Figure]:
    """Return what one task costs all processes of a role together."""
    cpu = 1000 * (high.cpu - low.cpu) / tasks
    size = (high.transferred - low.transferred) / tasks
    return [
        figures.plain(f'task.{role}_cpu', cpu, 'ms'),
        figures.plain(f'task.{role}_bytes', size, 'B'),
    ]


def per_record(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the memory of a kept record of one small task at the agents."""
    before = [read(process) for process in system.agents]
    jobs = [
        base.Job('harbor', number * 0.004, [0.01], number % 2)
        for number in range(_RECORDS)
    ]
    complete = base.submit_all(system, jobs)
    grown = total(before, [read(process) for process in system.agents])
    return [
        figures.plain(
            'record.agent_memory',
            grown.resident * 1024 / max(1, len(complete)),
            'B',
        ),
    ]


def main() -> list[figures.Figure]:
    """Run three systems and return figures and slopes."""
    with base.running(plan(_FEW), base.rules()) as system:
        few = quiet(system, f'quiet.agents_{_FEW}')
    with base.running(plan(_MANY), base.rules()) as system:
        many = quiet(system, f'quiet.agents_{_MANY}')
        slopes = per_task(system)
    texts = base.rules(tenants=tenants(_TENANTS))
    with base.running(plan(_FEW), texts) as system:
        rich = quiet(system, f'quiet.tenants_{_TENANTS}')
        records = per_record(system)
    return [
        *few,
        *many,
        *difference('per_agent', few, many, _MANY - _FEW),
        *rich,
        *difference('per_tenant', few, rich, _TENANTS - len(base.TENANTS)),
        *slopes,
        *records,
    ]


def difference(
    name: str,
    small: list[figures.Figure],
    large: list[figures.Figure],
    count: int,
) -> list[figures.Figure]:
    """Return the slopes between two quiet systems."""
    return [
        figures.plain(
            f'{name}.{low.name.rpartition(".")[2]}',
            (high.value - low.value) / count,
            low.unit,
        )
        for low, high in zip(small, large, strict=True)
    ]


if __name__ == '__main__':
    figures.show(main())
