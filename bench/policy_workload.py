"""Jobs for the policy benches, and the ideal time of a job."""

import dataclasses
import heapq
import math
import random
import typing

from poplardrum import ids

KIND_COUNT: typing.Final = 12
LONG_KIND: typing.Final = ids.TaskKindName('long')
_LONG_JOB_SHARE: typing.Final = 0.03
_MAX_JOB_TASKS: typing.Final = 200
_WARM_UP_SHARE: typing.Final = 0.2


@dataclasses.dataclass(frozen=True)
class Task:
    """One task; times in seconds at speed 1."""

    kind: ids.TaskKindName
    duration_s: float
    declared_s: float


@dataclasses.dataclass(eq=False)
class Job:
    """One job and what a run of the model finds out about it."""

    tenant: ids.TenantName
    arrival: float
    tasks: list[Task]
    urgency: int = 5
    deadline: float = math.inf
    is_measured: bool = True
    ideal_s: float = 0
    replied_at: float = math.inf
    failed_tasks: int = 0
    attempts: int = 0
    first_refusal_s: float = math.inf

    @property
    def slot_seconds(self) -> float:
        """Return the job's slot-seconds at speed 1."""
        return sum(task.duration_s for task in self.tasks)

    @property
    def stretch(self) -> float:
        """Return the response time over the ideal."""
        return (self.replied_at - self.arrival) / self.ideal_s


class TaskKinds:
    """Kinds of one tenant: usual times, and errors of the declared ones."""

    def __init__(self, choice: random.Random) -> None:
        """Draw the kinds."""
        self.rng = choice
        self.typical_s = {
            ids.TaskKindName(f'kind-{number}'): 0.05 * 20 ** choice.random()
            for number in range(KIND_COUNT)
        }
        self.declaration_error = {
            kind: 10 ** choice.uniform(-1, 1)
            for kind in (*self.typical_s, LONG_KIND)
        }

    def draw_job(self, tenant: str, arrival: float, size: int) -> Job:
        """Draw a job of `size` tasks, mostly of one kind."""
        choice = self.rng
        kind = choice.choice(list(self.typical_s))
        tasks = [
            self.draw_task(kind, self.typical_s[kind]) for _ in range(size)
        ]
        if choice.random() < _LONG_JOB_SHARE:
            tasks[0] = self.draw_task(LONG_KIND, choice.uniform(2, 6))
        return Job(ids.TenantName(tenant), arrival, tasks)

    def draw_task(self, kind: ids.TaskKindName, usual: float) -> Task:
        """Draw a task near its kind's usual time."""
        seconds = usual * math.exp(self.rng.gauss(0, 0.25))
        seconds = min(max(seconds, 0.05), 8)
        noise = math.exp(self.rng.gauss(0, 0.2))
        return Task(
            kind, seconds, seconds * self.declaration_error[kind] * noise
        )


def draw_jobs(
    kinds: TaskKinds,
    tenant: str,
    rate: float,
    span: tuple[float, float],
    largest: int = _MAX_JOB_TASKS,
) -> list[Job]:
    """Draw jobs with exponential gaps; `rate` in slot-seconds a second."""
    choice = kinds.rng
    jobs: list[Job] = []
    budget = rate * (span[1] - span[0])
    while budget > 0:
        size = round(largest ** choice.random())
        jobs.append(kinds.draw_job(tenant, choice.uniform(*span), size))
        budget -= jobs[-1].slot_seconds
    jobs.sort(key=lambda job: job.arrival)
    warm = span[0] + _WARM_UP_SHARE * (span[1] - span[0])
    for job in jobs:
        job.is_measured = job.arrival >= warm
    return jobs


def ideal_response_s(
    job: Job,
    slots: typing.Iterable[tuple[float, float]],
) -> float:
    """Return the finish of the longest-first, earliest-finish schedule.

    `slots` holds speed and seconds until it is free of each slot. The exact
    best finish is NP-hard; this schedule is within a few per cent of it.
    """
    free: dict[float, list[float]] = {}
    for speed, wait in slots:
        free.setdefault(speed, []).append(wait)
    for heap in free.values():
        heapq.heapify(heap)
    last = 0.0
    for seconds in sorted(
        (task.duration_s for task in job.tasks), reverse=True
    ):
        finish, speed = min(
            (heap[0] + seconds / speed, speed) for speed, heap in free.items()
        )
        heapq.heapreplace(free[speed], finish)
        last = max(last, finish)
    return last


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, `inf` of no values."""
    if not values:
        return math.inf
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]
