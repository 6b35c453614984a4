"""Placement of the tasks of a job on workers.

Policies are types; `place` dispatches on the type of the policy.
"""

import dataclasses
import functools
import math
import random
import typing

from poplardrum import ids

# Assumed time of a task in seconds at speed 1 where none is known.
_TYPICAL_TASK_S: typing.Final = 0.3
# A worker below this fraction of the fleet's mean speed counts as slow.
_SLOW_SPEED_FRACTION: typing.Final = 0.9


@dataclasses.dataclass
class Candidate:
    """State of one worker as a coordinator knows it during placement.

    `backlog_s` is the expected time of the queued tasks in seconds at speed 1,
    or 0 if only their number is known. `speed` is 1 for a worker at which
    tasks take their declared times. `ejected` is true for a worker that
    receives no tasks because too many have failed there. `next_free_s` is the
    expected time until a busy slot becomes free, or `None` if unknown.
    `planned_s` is the time of the tasks of the current job that are planned
    for the worker's queue. Coordinators leave `linked` and `next_free_s` at
    their defaults; only tests and benchmarks set them.
    """

    worker: ids.MemberId
    slots: int
    free_slots: int
    queued_tasks: int
    speed: float = 1.0
    backlog_s: float = 0.0
    linked: bool = True
    ejected: bool = False
    next_free_s: float | None = None
    planned_s: float = 0.0

    @property
    def usable(self) -> bool:
        """Return whether new tasks may be sent to this worker."""
        return self.linked and not self.ejected and self.slots > 0

    def expected_wait(self, max_queued_ahead_s: float = math.inf) -> float:
        """Return the expected seconds until a new task would start.

        At most `max_queued_ahead_s` seconds of queued work run before it.
        """
        if self.free_slots > 0:
            return 0
        rate = self.slots * self.speed
        first_slot_s = self.next_free_s
        if first_slot_s is None:
            first_slot_s = _TYPICAL_TASK_S / rate
        queued_s = self.backlog_s or self.queued_tasks * _TYPICAL_TASK_S
        ahead_s = min(queued_s, max_queued_ahead_s) + self.planned_s
        return first_slot_s + ahead_s / rate

    def add_granted(self, expected_s: float) -> None:
        """Count a task as started in a free slot or as part of the queue.

        `expected_s` is in seconds at speed 1. `less_loaded_of_two` uses it
        for the job that is being placed, since it compares the numbers of
        queued tasks. The benchmarks use it for grants that the last load
        report does not include.
        """
        if self.free_slots > 0:
            self.free_slots -= 1
            return
        self.backlog_s = self.backlog_s or self.queued_tasks * _TYPICAL_TASK_S
        self.queued_tasks += 1
        self.backlog_s += expected_s

    def add_planned(self, expected_s: float) -> None:
        """Count a task of the job that is being placed.

        It is counted apart from the backlog, so that the limit on queued work
        in `expected_wait` does not apply to it.
        """
        if self.free_slots > 0:
            self.free_slots -= 1
            return
        self.planned_s += expected_s


@dataclasses.dataclass(frozen=True)
class Task:
    """One waiting task; `expected_s` is in seconds at speed 1."""

    index: int
    expected_s: float


@dataclasses.dataclass(frozen=True)
class Grant:
    """Assignment of one task to a worker."""

    index: int
    worker: ids.MemberId


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Right of a worker to claim up to `count` tasks of the job.

    `expected_s` is the expected time of one of them in seconds at speed 1.
    """

    worker: ids.MemberId
    count: int
    expected_s: float


@dataclasses.dataclass
class Plan:
    """Grants and reservations to send.

    Tasks without a grant stay with the coordinator until they are claimed.
    Coordinators send only the grants; their reservations are those of
    `poplardrum.daemons.reservations`. The benchmarks use those of the plan.
    """

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
    """Grant tasks to free slots; make reservations at busy workers.

    A waiting task is bound to a worker when the worker claims it. Queues order
    jobs by a target finish time, which is early for jobs of short tasks: of
    the work that waits at a worker, at most `queued_ahead_factor` times the
    waiting work of the job is expected to run before it.

    `spare_reservations_per_task` is the number of reservations in the plan
    beyond the waiting tasks, per waiting task. A spare reservation that is not
    used costs up to two messages; there should be at most 0.05 such messages
    per task.
    """

    queued_ahead_factor: float = 0.05
    spare_reservations_per_task: float = 0.02


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
    """Return grants and reservations for the waiting tasks of one job.

    Updates the candidates as if the plan had been carried out. The plan is
    empty if no candidate is usable.
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
    usable = _usable_shuffled(candidates, rng)
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
    usable = _usable_shuffled(candidates, rng)
    plan = Plan()
    if not usable:
        return plan
    reserved_times: dict[ids.MemberId, list[float]] = {}
    max_queued_ahead_s = policy.queued_ahead_factor * sum(
        task.expected_s for task in tasks
    )
    for task in _longest_first(tasks):
        best = earliest_finish(usable, task.expected_s, max_queued_ahead_s)
        if best.free_slots > 0:
            plan.grants.append(Grant(task.index, best.worker))
        else:
            reserved_times.setdefault(best.worker, []).append(task.expected_s)
        best.add_planned(task.expected_s)
    plan.reservations = [
        Reservation(worker, len(times), math.fsum(times) / len(times))
        for worker, times in reserved_times.items()
    ]
    if plan.reservations:
        # Rounded up or down at random, so that small jobs have the same ratio.
        count = int(
            len(tasks) * policy.spare_reservations_per_task + rng.random()
        )
        others = [cand for cand in usable if cand.worker not in reserved_times]
        # Ordered without the queued work, by when the first slot is free.
        others.sort(key=lambda cand: cand.expected_wait(0))
        # A spare one is for no particular task, so the expected time of the
        # first reservation is used.
        plan.reservations.extend(
            Reservation(cand.worker, 1, plan.reservations[0].expected_s)
            for cand in others[:count]
        )
    return plan


def fill_free_slots(
    tasks: list[Task], candidates: list[Candidate]
) -> list[Grant]:
    """Return grants of waiting tasks to slots that are free now.

    A task that a busy worker is expected to finish earlier than any worker
    with a free slot stays waiting. Updates the candidates as if the grants
    had been sent. Coordinators do not use it, only benchmarks and tests.
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
    """Reassign the first grant of a plan to an ejected worker as a probe.

    The outcome of a probe shows whether the worker is able to run tasks
    again. Returns false if the plan has no grant. Only benchmarks use it;
    coordinators start probes in `poplardrum.daemons.workers`.
    """
    if plan.grants:
        plan.grants[0] = Grant(plan.grants[0].index, worker)
    return bool(plan.grants)


def choose_claimed_task(
    tasks: list[Task], speed: float, mean_speed: float
) -> Task:
    """Return the waiting task for a worker that claims a task of the job.

    A slow worker receives the shortest task, so that no long task starts
    there at the end of a job; any other worker receives the longest. Raises
    `ValueError` if no task waits. Coordinators do not use it, only benchmarks
    and tests.
    """
    if speed < _SLOW_SPEED_FRACTION * mean_speed:
        return min(tasks, key=_expected_time)
    return max(tasks, key=_expected_time)


def earliest_finish(
    usable: list[Candidate],
    expected_s: float,
    max_queued_ahead_s: float = math.inf,
) -> Candidate:
    """Return the candidate at which a task is expected to finish first."""
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
    """Return the less loaded of two random usable candidates.

    Counts a task of `expected_s` seconds as granted to it. Returns `None` if
    no candidate is usable.
    """
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


def _usable_shuffled(
    candidates: list[Candidate],
    rng: random.Random,
) -> list[Candidate]:
    # Shuffled, so that coordinators with the same view choose different
    # workers among equally good ones.
    usable = [candidate for candidate in candidates if candidate.usable]
    rng.shuffle(usable)
    return usable
