"""Random jobs for the policy benchmarks, and ideal response times."""

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
    """One job, and what a simulation records about it.

    Times are in seconds of the model's clock.
    """

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
        """Return the ratio of the response time to the ideal one."""
        return (self.replied_at - self.arrival) / self.ideal_s


class TaskKinds:
    """Task kinds of one tenant.

    Each kind has a typical duration, and a factor by which its declared
    durations are wrong.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the durations and factors."""
        self.rng = rng
        self.typical_s = {
            ids.TaskKindName(f'kind-{number}'): 0.05 * 20 ** rng.random()
            for number in range(KIND_COUNT)
        }
        self.declaration_error = {
            kind: 10 ** rng.uniform(-1, 1)
            for kind in (*self.typical_s, LONG_KIND)
        }

    def draw_job(self, tenant: str, arrival: float, size: int) -> Job:
        """Draw a job of `size` tasks of one kind; a few have one long task."""
        rng = self.rng
        kind = rng.choice(list(self.typical_s))
        tasks = [
            self.draw_task(kind, self.typical_s[kind]) for _ in range(size)
        ]
        if rng.random() < _LONG_JOB_SHARE:
            tasks[0] = self.draw_task(LONG_KIND, rng.uniform(2, 6))
        return Job(ids.TenantName(tenant), arrival, tasks)

    def draw_task(self, kind: ids.TaskKindName, typical_s: float) -> Task:
        """Draw a task with a duration near `typical_s`."""
        seconds = typical_s * math.exp(self.rng.gauss(0, 0.25))
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
    max_job_tasks: int = _MAX_JOB_TASKS,
) -> list[Job]:
    """Draw jobs whose arrivals have exponential gaps (a Poisson process).

    `rate` is in slot-seconds per second. Jobs that arrive during the warm-up
    at the start of `span` are not measured.
    """
    rng = kinds.rng
    jobs: list[Job] = []
    budget = rate * (span[1] - span[0])
    while budget > 0:
        size = round(max_job_tasks ** rng.random())
        jobs.append(kinds.draw_job(tenant, rng.uniform(*span), size))
        budget -= jobs[-1].slot_seconds
    jobs.sort(key=lambda job: job.arrival)
    warm_up_end = span[0] + _WARM_UP_SHARE * (span[1] - span[0])
    for job in jobs:
        job.is_measured = job.arrival >= warm_up_end
    return jobs


def ideal_response_s(
    job: Job,
    slots: typing.Iterable[tuple[float, float]],
) -> float:
    """Return the duration of the longest-first, earliest-finish schedule.

    `slots` has the speed of each slot and the seconds until it is free. The
    optimal schedule is NP-hard to find; this one is within a few percent of
    it.
    """
    free: dict[float, list[float]] = {}
    for speed, wait in slots:
        free.setdefault(speed, []).append(wait)
    for heap in free.values():
        heapq.heapify(heap)
    last_finish = 0.0
    for seconds in sorted(
        (task.duration_s for task in job.tasks), reverse=True
    ):
        finish, speed = min(
            (heap[0] + seconds / speed, speed) for speed, heap in free.items()
        )
        heapq.heapreplace(free[speed], finish)
        last_finish = max(last_finish, finish)
    return last_finish


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, or `inf` if there are no values."""
    if not values:
        return math.inf
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]
