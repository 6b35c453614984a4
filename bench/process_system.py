"""Run a system with callers, for benchmarks of real processes."""

import asyncio
import contextlib
import dataclasses
import heapq
import json
import pathlib
import random
import tempfile
import time
import typing

import aiohttp

from poplardrum.standins import fleet

TENANT_NAMES: typing.Final = ('harbor', 'depot', 'market')
_REQUEST_TIMEOUT_S: typing.Final = 120
_HTTP_OK: typing.Final = 200
# Share of long jobs, and task durations, in the load of the design page.
_LONG_JOB_SHARE: typing.Final = 0.03
_LONG_TASK_RANGE_S: typing.Final = (2.0, 6.0)
_SHORT_TASK_RANGE_S: typing.Final = (0.05, 1.0)
_MAX_JOB_TASKS: typing.Final = 200


@dataclasses.dataclass
class Job:
    """One job and its reply.

    Times are in seconds; `tasks` has the durations at speed 1.
    """

    tenant: str
    arrival: float
    tasks: list[float]
    entry_index: int = 0
    deadline_s: float = 60
    status: int = 0
    code: str = ''
    response_s: float = 0
    submitted_at: float = 0

    @property
    def slot_seconds(self) -> float:
        """Return the job's slot-seconds at speed 1."""
        return sum(self.tasks)


def rule_files(
    policy: str = 'late_binding',
    tenants: typing.Sequence[str] = TENANT_NAMES,
) -> dict[str, str]:
    """Return rule files by name; each tenant's credential is its name."""
    rule_texts = [fleet.tenant_rule(name, name) for name in tenants]
    limits = 'max_jobs = 100000\nmax_tasks = 1000000\n'
    return {
        '10-tenants.ini': ''.join(f'{text}{limits}' for text in rule_texts),
        '20-placement.ini': f'[placement]\npolicy = {policy}\n',
    }


@contextlib.contextmanager
def run_system(
    plan: fleet.Plan,
    rule_texts: dict[str, str],
) -> typing.Iterator[fleet.Fleet]:
    """Start a system and stop it at the end of the block."""
    with tempfile.TemporaryDirectory() as folder:
        system = fleet.Fleet(plan, pathlib.Path(folder))
        try:
            system.start(rule_texts)
            yield system
        finally:
            system.stop()


def draw_tasks(rng: random.Random) -> list[float]:
    """Draw the task durations of one job.

    Most jobs have 1 to 200 tasks of 50 ms to 1 s, some a single longer task.
    """
    low, high = _SHORT_TASK_RANGE_S
    if rng.random() < _LONG_JOB_SHARE:
        return [rng.uniform(*_LONG_TASK_RANGE_S)]
    typical_s = low * (high / low) ** rng.random()
    count = round(_MAX_JOB_TASKS ** rng.random())
    return [
        min(max(typical_s * rng.uniform(0.7, 1.3), low), high)
        for _ in range(count)
    ]


def draw_jobs(
    rng: random.Random,
    offered_load: float,
    span: float,
    tenants: typing.Sequence[str] = TENANT_NAMES,
) -> list[Job]:
    """Draw jobs with open-loop arrivals.

    `offered_load` is in slot-seconds per second.
    """
    jobs: list[Job] = []
    while sum(job.slot_seconds for job in jobs) < offered_load * span:
        jobs.append(Job(rng.choice(tenants), 0, draw_tasks(rng)))
    for job in jobs:
        job.arrival = rng.uniform(0, span)
        job.entry_index = rng.randrange(2)
    return sorted(jobs, key=lambda job: job.arrival)


def ideal_response_times(
    jobs: list[Job], speeds: typing.Sequence[float]
) -> list[float]:
    """Return each job's response time in a schedule that knows all durations.

    Jobs are scheduled in order, their longest task first, each task on the
    slot that finishes it earliest; `speeds` has the speed of each slot.
    """
    free_at: dict[float, list[float]] = {}
    for speed in speeds:
        free_at.setdefault(speed, []).append(0)
    response_times = []
    for job in jobs:
        finish_times = [
            place_task(free_at, job.arrival, seconds)
            for seconds in sorted(job.tasks, reverse=True)
        ]
        response_times.append(max(finish_times) - job.arrival)
    return response_times


def place_task(
    free_at: dict[float, list[float]],
    arrival: float,
    seconds: float,
) -> float:
    """Put one task on the slot that finishes it earliest; return the time."""
    finish, speed = min(
        (max(heap[0], arrival) + seconds / speed, speed)
        for speed, heap in free_at.items()
    )
    heapq.heapreplace(free_at[speed], finish)
    return finish


class LoadGenerator:
    """Submits jobs at their arrival times and records the replies."""

    def __init__(
        self,
        system: fleet.Fleet,
        session: aiohttp.ClientSession,
    ) -> None:
        """Submit to the entries of `system`."""
        self.system = system
        self.session = session

    async def run(self, jobs: typing.Sequence[Job]) -> None:
        """Submit all jobs at their arrival times and wait for the replies."""
        start = time.monotonic()
        await asyncio.gather(*(self.submit(job, start) for job in jobs))

    async def submit(self, job: Job, start: float) -> None:
        """Submit one job once, at its arrival time."""
        body = encode_job(job)
        await asyncio.sleep(start + job.arrival - time.monotonic())
        job.submitted_at = time.monotonic()
        addresses = self.system.entry_addresses
        address = addresses[job.entry_index % len(addresses)]
        try:
            async with self.session.post(
                f'http://{address}/v1/jobs',
                data=body,
                headers={'Authorization': f'Bearer {job.tenant}'},
            ) as response:
                job.status = response.status
                job.code = json.loads(await response.read())['code']
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            job.code = type(error).__name__
        job.response_s = time.monotonic() - job.submitted_at


def encode_job(job: Job) -> bytes:
    """Return the request body of a job."""
    tasks = [
        {
            'kind': 'weigh-in',
            'payload': json.dumps({'seconds': seconds}),
            'declared_ms': seconds * 1000,
        }
        for seconds in job.tasks
    ]
    body = {'tasks': tasks, 'deadline_ms': job.deadline_s * 1000}
    return json.dumps(body).encode()


def submit_all(
    system: fleet.Fleet,
    jobs: typing.Sequence[Job],
) -> list[Job]:
    """Run all jobs and return those that were completed."""
    asyncio.run(_submit_all(system, jobs))
    return [job for job in jobs if job.status == _HTTP_OK]


async def _submit_all(
    system: fleet.Fleet,
    jobs: typing.Sequence[Job],
) -> None:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
    ) as session:
        await LoadGenerator(system, session).run(jobs)
