"""Choice of workers for the tasks of a job.

Policies are types; `place` chooses by the type of the policy.
"""

import dataclasses
import functools
import math
import random
import typing

from poplardrum import ids

# Tasks that wait ahead of a new one run for this long each when the worker
# reports a number of tasks but no backlog in seconds.
_TYPICAL_TASK_S: typing.Final = 0.3
# A worker below this part of the usual speed counts as slow.
_SLOW_SPEED_FRACTION: typing.Final = 0.9


@dataclasses.dataclass
class Candidate:
    """What a coordinator knows of one worker when it places tasks.

    `backlog` holds the expected seconds of the queued tasks at speed 1, zero
    if only their number is known. `speed` is relative to the usual worker.
    `next_free` is the expected time in seconds until the first busy slot is
    free, `None` if the worker does not report it.
    """

    worker: ids.MemberId
    slots: int
    free_slots: int
    queued_tasks: int
    speed: float = 1.0
    backlog: float = 0.0
    linked: bool = True
    ejected: bool = False
    next_free_s: float | None = None
    planned_s: float = 0.0

    @property
    def usable(self) -> bool:
        """Tell whether new work may go to this worker."""
        return self.linked and not self.ejected and self.slots > 0

    def expected_wait(self, max_queued_ahead_s: float = math.inf) -> float:
        """Return the expected seconds until a new task would start.

        At most `overtaken` seconds of the queued work go ahead of it.
        """
        if self.free_slots > 0:
            return 0
        rate = self.slots * self.speed
        first = self.next_free_s
        if first is None:
            first = _TYPICAL_TASK_S / rate
        queued = self.backlog or self.queued_tasks * _TYPICAL_TASK_S
        ahead = min(queued, max_queued_ahead_s) + self.planned_s
        return first + ahead / rate

    def add_granted(self, expected_s: float) -> None:
        """Count a task granted after the last load report.

        `expected` is in seconds at speed 1.
        """
        if self.free_slots > 0:
            self.free_slots -= 1
            return
        self.backlog = self.backlog or self.queued_tasks * _TYPICAL_TASK_S
        self.queued_tasks += 1
        self.backlog += expected_s

    def add_planned(self, expected_s: float) -> None:
        """Count a task of the job that is being placed."""
        if self.free_slots > 0:
            self.free_slots -= 1
            return
        self.planned_s += expected_s


@dataclasses.dataclass(frozen=True)
class Task:
    """One waiting task; `expected` is in seconds at speed 1."""

    index: int
    expected_s: float


@dataclasses.dataclass(frozen=True)
class Grant:
    """Start the task at this worker."""

    index: int
    worker: ids.MemberId


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Let this worker claim up to `count` tasks; `expected` seconds each."""

    worker: ids.MemberId
    count: int
    expected_s: float


@dataclasses.dataclass
class Plan:
    """Messages to send; tasks in no grant stay with the coordinator."""

    grants: list[Grant] = dataclasses.field(default_factory=list)
    reservations: list[Reservation] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class RandomTwo:
    """Grant each task to the less loaded of two random workers."""


@dataclasses.dataclass(frozen=True)
class ExpectedFinish:
    """Grant each task to the worker with the earliest expected finish."""


@dataclasses.dataclass(frozen=True)
class LateBinding:
    """Grant to free slots; reserve elsewhere and bind at the claim.

    Jobs are ordered by size in the queues, so that queued work up to
    `overtaken` times that of the job is expected to go ahead of it. `spare`
    is the number of reservations beyond the waiting tasks, for each task of
    the job: each may end in one or two messages without use, and the target
    is 0.05 of these for each task.
    """

    queued_ahead_factor: float = 0.05
    spare_reservations: float = 0.02


Policy = RandomTwo | ExpectedFinish | LateBinding
POLICIES: typing.Final[typing.Mapping[str, Policy]] = {
    'random_two': RandomTwo(),
    'expected_finish': ExpectedFinish(),
    'late_binding': LateBinding(),
}


@functools.singledispatch
def place(
    policy: Policy,
    tasks: list[Task],
    candidates: list[Candidate],
    rng: random.Random,
) -> Plan:
    """Return grants and reservations for waiting tasks of one job.

    The candidates are updated as if the plan had been carried out. Without
    a usable candidate the plan is empty.
    """
    raise NotImplementedError(policy)


@place.register
def _random_two(
    policy: RandomTwo,
    tasks: list[Task],
    candidates: list[Candidate],
    rng: random.Random,
) -> Plan:
    plan = Plan()
    for task in tasks:
        best = less_loaded_of_two(candidates, rng, task.expected_s)
        if best is not None:
            plan.grants.append(Grant(task.index, best.worker))
    return plan


@place.register
def _expected_finish(
    policy: ExpectedFinish,
    tasks: list[Task],
    candidates: list[Candidate],
    rng: random.Random,
) -> Plan:
    usable = _shuffled(candidates, rng)
    plan = Plan()
    if not usable:
        return plan
    for task in _longest_first(tasks):
        best = earliest_finish(usable, task.expected_s)
        best.add_planned(task.expected_s)
        plan.grants.append(Grant(task.index, best.worker))
    return plan


@place.register
def _late_binding(
    policy: LateBinding,
    tasks: list[Task],
    candidates: list[Candidate],
    rng: random.Random,
) -> Plan:
    usable = _shuffled(candidates, rng)
    plan = Plan()
    if not usable:
        return plan
    reserved: dict[ids.MemberId, list[float]] = {}
    overtaken = policy.queued_ahead_factor * sum(
        task.expected_s for task in tasks
    )
    for task in _longest_first(tasks):
        best = earliest_finish(usable, task.expected_s, overtaken)
        if best.free_slots > 0:
            plan.grants.append(Grant(task.index, best.worker))
        else:
            reserved.setdefault(best.worker, []).append(task.expected_s)
        best.add_planned(task.expected_s)
    plan.reservations = [
        Reservation(worker, len(times), math.fsum(times) / len(times))
        for worker, times in reserved.items()
    ]
    if plan.reservations:
        count = int(len(tasks) * policy.spare_reservations + rng.random())
        others = [cand for cand in usable if cand.worker not in reserved]
        others.sort(key=lambda cand: cand.expected_wait(0))
        plan.reservations.extend(
            Reservation(cand.worker, 1, plan.reservations[0].expected_s)
            for cand in others[:count]
        )
    return plan


def fill_free_slots(
    tasks: list[Task], candidates: list[Candidate]
) -> list[Grant]:
    """Return grants of reserved tasks to slots that are free now.

    A task for which a busy worker is expected to finish sooner than any free
    one stays waiting. The candidates are updated as if the grants were sent.
    """
    usable = [candidate for candidate in candidates if candidate.usable]
    grants = []
    for task in _longest_first(tasks):
        if not any(candidate.free_slots > 0 for candidate in usable):
            break
        best = earliest_finish(usable, task.expected_s)
        if best.free_slots > 0:
            best.add_planned(task.expected_s)
            grants.append(Grant(task.index, best.worker))
    return grants


def assign_probe(plan: Plan, worker: ids.MemberId) -> bool:
    """Give the first grant of a plan to an ejected worker, as its probe.

    Return false if the plan has no grant.
    """
    if plan.grants:
        plan.grants[0] = Grant(plan.grants[0].index, worker)
    return bool(plan.grants)


def choose_claimed_task(
    tasks: list[Task], speed: float, usual_speed: float
) -> Task:
    """Return the waiting task for a worker that claims one of a job.

    A slow worker takes the shortest one, so that no long task starts there
    at the end of a job; any other takes the longest. Raises `ValueError` if
    no task waits.
    """
    if speed < _SLOW_SPEED_FRACTION * usual_speed:
        return min(tasks, key=_expected_time)
    return max(tasks, key=_expected_time)


def earliest_finish(
    usable: list[Candidate],
    expected_s: float,
    max_queued_ahead_s: float = math.inf,
) -> Candidate:
    """Return the candidate where a task is expected to finish first."""
    return min(
        usable,
        key=lambda candidate: (
            candidate.expected_wait(max_queued_ahead_s)
            + expected_s / candidate.speed
        ),
    )


def less_loaded_of_two(
    candidates: list[Candidate],
    rng: random.Random,
    expected_s: float = _TYPICAL_TASK_S,
) -> Candidate | None:
    """Return the less loaded of two random candidates, `None` of none."""
    usable = [candidate for candidate in candidates if candidate.usable]
    if not usable:
        return None
    pair = rng.sample(usable, min(2, len(usable)))
    best = min(pair, key=_load_per_slot)
    best.add_granted(expected_s)
    return best


def _load_per_slot(candidate: Candidate) -> float:
    return (candidate.queued_tasks + 1 - candidate.free_slots) / candidate.slots


def _expected_time(task: Task) -> float:
    return task.expected_s


def _longest_first(tasks: list[Task]) -> list[Task]:
    return sorted(tasks, key=_expected_time, reverse=True)


def _shuffled(
    candidates: list[Candidate],
    rng: random.Random,
) -> list[Candidate]:
    # Coordinators with the same view would otherwise all choose the same
    # worker among equal ones.
    usable = [candidate for candidate in candidates if candidate.usable]
    rng.shuffle(usable)
    return usable
