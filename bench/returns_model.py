"""Model of a flood: refused callers come back when they are told to.

Cores run one job each; a job that finds no core within its wait is refused.
"""

import dataclasses
import heapq
import itertools
import math
import random
import typing

from poplardrum.dispatch import return_times

CORES: typing.Final = 40
MEAN_DURATION_S: typing.Final = 0.5
LONGEST_WAIT_S: typing.Final = 0.3
FLOOD_S: typing.Final = 5.0
FLOOD_FACTOR: typing.Final = 3.0
CALM_FACTOR: typing.Final = 0.5
CALM_S: typing.Final = 25.0
MAX_ATTEMPTS: typing.Final = 4


@dataclasses.dataclass
class Job:
    """One job; times are in seconds."""

    number: int
    duration: float
    arrived_at: float
    attempts: int = 0
    first_refused_at: float = math.inf
    started_at: float = math.inf


class RefusedJob(typing.NamedTuple):
    """What a policy knows when it refuses a job; work is in core-seconds."""

    now: float
    backlog: float
    work: float
    rate: float


Policy = typing.Callable[[RefusedJob], float]


def promised_returns() -> Policy:
    """Return the policy of the product."""
    returns = return_times.ReturnTimes()
    return lambda refused: returns.promise(*refused)


def random_returns(rng: random.Random, longest: float) -> Policy:
    """Return a policy that spreads returns evenly up to a longest time."""
    return lambda refused: rng.uniform(0, longest)


def fixed_returns(seconds: float) -> Policy:
    """Return a policy that tells all callers the same time."""
    return lambda refused: seconds


class Flood:
    """A simulation of the flood under one policy."""

    def __init__(self, seed: int, policy: Policy) -> None:
        """Prepare the arrivals; all policies get the same ones."""
        self.policy = policy
        self.jobs = _make_jobs(random.Random(seed))
        self.events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now = 0.0
        self.free_cores = CORES
        self.waiting: list[Job] = []
        self.running: dict[int, tuple[Job, float]] = {}
        self.rate = return_times.CompletionRate()
        self.core_seconds = 0.0

    def run(self) -> list[Job]:
        """Play all arrivals and returns; return the jobs."""
        for job in self.jobs:
            self._at(job.arrived_at, self._arrive, job)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.jobs

    def _at(
        self,
        time: float,
        action: typing.Callable[[Job], None],
        job: Job,
    ) -> None:
        heapq.heappush(
            self.events, (time, next(self.sequence), lambda: action(job))
        )

    def _arrive(self, job: Job) -> None:
        job.attempts += 1
        self.waiting.append(job)
        self._start_waiting()
        if job in self.waiting:
            self._at(self.now + LONGEST_WAIT_S, self._refuse, job)

    def _start_waiting(self) -> None:
        while self.free_cores and self.waiting:
            job = self.waiting.pop(0)
            job.started_at = self.now
            self.free_cores -= 1
            self.running[job.number] = job, self.now + job.duration
            self._at(self.now + job.duration, self._complete, job)

    def _complete(self, job: Job) -> None:
        self.running.pop(job.number)
        self.free_cores += 1
        self.rate.record(job.duration, self.now)
        self._start_waiting()

    def _refuse(self, job: Job) -> None:
        if job not in self.waiting:
            return
        self.waiting.remove(job)
        job.first_refused_at = min(job.first_refused_at, self.now)
        backlog = sum(
            ends_at - self.now for _, ends_at in self.running.values()
        )
        backlog += sum(each.duration for each in self.waiting)
        delay = self.policy(
            RefusedJob(self.now, backlog, job.duration, self.rate.value())
        )
        if job.attempts < MAX_ATTEMPTS:
            # The reply has whole seconds.
            self._at(self.now + math.ceil(delay), self._arrive, job)


class Outcome(typing.NamedTuple):
    """What callers got under one policy.

    `out_of_order` is the share of pairs of refused and served jobs of which the
    one that was refused first started last.
    """

    refusals_per_job: float
    served: float
    out_of_order: float
    last_start: float


def play(seed: int, policy: Policy) -> Outcome:
    """Return what callers get in a flood under a policy."""
    jobs = Flood(seed, policy).run()
    served = [job for job in jobs if job.started_at < math.inf]
    refused = sorted(
        (job for job in served if job.first_refused_at < math.inf),
        key=lambda job: job.first_refused_at,
    )
    pairs = list(itertools.combinations(refused, 2))
    inverted = sum(
        first.started_at > second.started_at for first, second in pairs
    )
    refusals = sum(job.attempts - (job.started_at < math.inf) for job in jobs)
    return Outcome(
        refusals / len(jobs),
        len(served) / len(jobs),
        inverted / max(len(pairs), 1),
        max(job.started_at for job in served),
    )


def _make_jobs(rng: random.Random) -> list[Job]:
    jobs: list[Job] = []
    time = 0.0
    while time < FLOOD_S + CALM_S:
        factor = FLOOD_FACTOR if time < FLOOD_S else CALM_FACTOR
        time += rng.expovariate(factor * CORES / MEAN_DURATION_S)
        duration = rng.expovariate(1 / MEAN_DURATION_S)
        jobs.append(Job(len(jobs), duration, time))
    return jobs
