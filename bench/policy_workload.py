"""Jobs for the policy benches, and the ideal time of a job."""

import dataclasses
import heapq
import math
import random
import typing

from poplardrum import ids

KINDS: typing.Final = 12
LONG_KIND: typing.Final = ids.TaskKindName('long')
_LONG_JOBS: typing.Final = 0.03
_MAX_TASKS: typing.Final = 200
_WARM_UP: typing.Final = 0.2


@dataclasses.dataclass(frozen=True)
class Work:
    """One task; times in seconds at speed 1."""

    kind: ids.TaskKindName
    seconds: float
    declared: float


@dataclasses.dataclass(eq=False)
class Job:
    """One job and what a run of the model finds out about it."""

    tenant: ids.TenantName
    arrival: float
    tasks: list[Work]
    urgency: int = 5
    deadline: float = math.inf
    measured: bool = True
    ideal: float = 0
    answered: float = math.inf
    failed: int = 0
    attempts: int = 0
    first_refusal: float = math.inf

    @property
    def work(self) -> float:
        """Return the job's slot-seconds at speed 1."""
        return sum(task.seconds for task in self.tasks)

    @property
    def stretch(self) -> float:
        """Return the response time over the ideal."""
        return (self.answered - self.arrival) / self.ideal


class Kinds:
    """Kinds of one tenant: usual times, and errors of the declared ones."""

    def __init__(self, choice: random.Random) -> None:
        """Draw the kinds."""
        self.choice = choice
        self.usual = {
            ids.TaskKindName(f'kind-{number}'): 0.05 * 20 ** choice.random()
            for number in range(KINDS)
        }
        self.error = {
            kind: 10 ** choice.uniform(-1, 1)
            for kind in (*self.usual, LONG_KIND)
        }

    def job(self, tenant: str, arrival: float, size: int) -> Job:
        """Draw a job of `size` tasks, mostly of one kind."""
        choice = self.choice
        kind = choice.choice(list(self.usual))
        tasks = [self.task(kind, self.usual[kind]) for _ in range(size)]
        if choice.random() < _LONG_JOBS:
            tasks[0] = self.task(LONG_KIND, choice.uniform(2, 6))
        return Job(ids.TenantName(tenant), arrival, tasks)

    def task(self, kind: ids.TaskKindName, usual: float) -> Work:
        """Draw a task near its kind's usual time."""
        seconds = usual * math.exp(self.choice.gauss(0, 0.25))
        seconds = min(max(seconds, 0.05), 8)
        noise = math.exp(self.choice.gauss(0, 0.2))
        return Work(kind, seconds, seconds * self.error[kind] * noise)


def stream(
    kinds: Kinds,
    tenant: str,
    rate: float,
    span: tuple[float, float],
    largest: int = _MAX_TASKS,
) -> list[Job]:
    """Draw jobs with exponential gaps; `rate` in slot-seconds a second."""
    choice = kinds.choice
    jobs: list[Job] = []
    budget = rate * (span[1] - span[0])
    while budget > 0:
        size = round(largest ** choice.random())
        jobs.append(kinds.job(tenant, choice.uniform(*span), size))
        budget -= jobs[-1].work
    jobs.sort(key=lambda job: job.arrival)
    warm = span[0] + _WARM_UP * (span[1] - span[0])
    for job in jobs:
        job.measured = job.arrival >= warm
    return jobs


def ideal_seconds(
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
    for seconds in sorted((task.seconds for task in job.tasks), reverse=True):
        finish, speed = min(
            (heap[0] + seconds / speed, speed) for speed, heap in free.items()
        )
        heapq.heapreplace(free[speed], finish)
        last = max(last, finish)
    return last


def quantile(values: list[float], part: float) -> float:
    """Return a quantile, `inf` of no values."""
    if not values:
        return math.inf
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]
