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
_TYPICAL_SECONDS: typing.Final = 0.3
# A worker below this part of the usual speed counts as slow.
_SLOW_PART: typing.Final = 0.9


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
    free: int
    queued: int
    speed: float = 1.0
    backlog: float = 0.0
    linked: bool = True
    ejected: bool = False
    next_free: float | None = None
    planned: float = 0.0

    @property
    def usable(self) -> bool:
        """Tell whether new work may go to this worker."""
        return self.linked and not self.ejected and self.slots > 0

    def wait(self, overtaken: float = math.inf) -> float:
        """Return the expected seconds until a new task would start.

        At most `overtaken` seconds of the queued work go ahead of it.
        """
        if self.free > 0:
            return 0
        rate = self.slots * self.speed
        first = self.next_free
        if first is None:
            first = _TYPICAL_SECONDS / rate
        queued = self.backlog or self.queued * _TYPICAL_SECONDS
        ahead = min(queued, overtaken) + self.planned
        return first + ahead / rate

    def note(self, expected: float) -> None:
        """Count a task granted after the last load report.

        `expected` is in seconds at speed 1.
        """
        if self.free > 0:
            self.free -= 1
            return
        self.backlog = self.backlog or self.queued * _TYPICAL_SECONDS
        self.queued += 1
        self.backlog += expected

    def add(self, expected: float) -> None:
        """Count a task of the job that is being placed."""
        if self.free > 0:
            self.free -= 1
            return
        self.planned += expected


@dataclasses.dataclass(frozen=True)
class Task:
    """One waiting task; `expected` is in seconds at speed 1."""

    index: int
    expected: float


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
    expected: float


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

    overtaken: float = 0.05
    spare: float = 0.02


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
    choice: random.Random,
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
    choice: random.Random,
) -> Plan:
    plan = Plan()
    for task in tasks:
        best = random_two(candidates, choice, task.expected)
        if best is not None:
            plan.grants.append(Grant(task.index, best.worker))
    return plan


@place.register
def _expected_finish(
    policy: ExpectedFinish,
    tasks: list[Task],
    candidates: list[Candidate],
    choice: random.Random,
) -> Plan:
    usable = _shuffled(candidates, choice)
    plan = Plan()
    if not usable:
        return plan
    for task in _longest_first(tasks):
        best = earliest(usable, task.expected)
        best.add(task.expected)
        plan.grants.append(Grant(task.index, best.worker))
    return plan


@place.register
def _late_binding(
    policy: LateBinding,
    tasks: list[Task],
    candidates: list[Candidate],
    choice: random.Random,
) -> Plan:
    usable = _shuffled(candidates, choice)
    plan = Plan()
    if not usable:
        return plan
    reserved: dict[ids.MemberId, list[float]] = {}
    overtaken = policy.overtaken * sum(task.expected for task in tasks)
    for task in _longest_first(tasks):
        best = earliest(usable, task.expected, overtaken)
        if best.free > 0:
            plan.grants.append(Grant(task.index, best.worker))
        else:
            reserved.setdefault(best.worker, []).append(task.expected)
        best.add(task.expected)
    plan.reservations = [
        Reservation(worker, len(times), math.fsum(times) / len(times))
        for worker, times in reserved.items()
    ]
    if plan.reservations:
        count = int(len(tasks) * policy.spare + choice.random())
        others = [cand for cand in usable if cand.worker not in reserved]
        others.sort(key=lambda cand: cand.wait(0))
        plan.reservations.extend(
            Reservation(cand.worker, 1, plan.reservations[0].expected)
            for cand in others[:count]
        )
    return plan


def fill(tasks: list[Task], candidates: list[Candidate]) -> list[Grant]:
    """Return grants of reserved tasks to slots that are free now.

    A task for which a busy worker is expected to finish sooner than any free
    one stays waiting. The candidates are updated as if the grants were sent.
    """
    usable = [candidate for candidate in candidates if candidate.usable]
    grants = []
    for task in _longest_first(tasks):
        if not any(candidate.free > 0 for candidate in usable):
            break
        best = earliest(usable, task.expected)
        if best.free > 0:
            best.add(task.expected)
            grants.append(Grant(task.index, best.worker))
    return grants


def divert(plan: Plan, worker: ids.MemberId) -> bool:
    """Give the first grant of a plan to an ejected worker, as its probe.

    Return false if the plan has no grant.
    """
    if plan.grants:
        plan.grants[0] = Grant(plan.grants[0].index, worker)
    return bool(plan.grants)


def pick(tasks: list[Task], speed: float, usual_speed: float) -> Task:
    """Return the waiting task for a worker that claims one of a job.

    A slow worker takes the shortest one, so that no long task starts there
    at the end of a job; any other takes the longest. Raises `ValueError` if
    no task waits.
    """
    if speed < _SLOW_PART * usual_speed:
        return min(tasks, key=_expected)
    return max(tasks, key=_expected)


def earliest(
    usable: list[Candidate],
    expected: float,
    overtaken: float = math.inf,
) -> Candidate:
    """Return the candidate where a task is expected to finish first."""
    return min(
        usable,
        key=lambda candidate: (
            candidate.wait(overtaken) + expected / candidate.speed
        ),
    )


def random_two(
    candidates: list[Candidate],
    choice: random.Random,
    expected: float = _TYPICAL_SECONDS,
) -> Candidate | None:
    """Return the less loaded of two random candidates, `None` of none."""
    usable = [candidate for candidate in candidates if candidate.usable]
    if not usable:
        return None
    pair = choice.sample(usable, min(2, len(usable)))
    best = min(pair, key=_pressure)
    best.note(expected)
    return best


def _pressure(candidate: Candidate) -> float:
    return (candidate.queued + 1 - candidate.free) / candidate.slots


def _expected(task: Task) -> float:
    return task.expected


def _longest_first(tasks: list[Task]) -> list[Task]:
    return sorted(tasks, key=_expected, reverse=True)


def _shuffled(
    candidates: list[Candidate],
    choice: random.Random,
) -> list[Candidate]:
    # Coordinators with the same view would otherwise all choose the same
    # worker among equal ones.
    usable = [candidate for candidate in candidates if candidate.usable]
    choice.shuffle(usable)
    return usable
