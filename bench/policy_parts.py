"""Scenario, messages and job state of the fleet model."""

import dataclasses
import typing

from bench import policy_workload as workload
from poplardrum import ids
from poplardrum.scheduling import ordering, placement

if typing.TYPE_CHECKING:
    from bench import policy_coordinator as coordinators

HOP_DELAY_S: typing.Final = 0.001
REPORT_INTERVAL_S: typing.Final = 0.1
FAILURE_DURATION_S: typing.Final = 0.005
SLOTS_PER_WORKER: typing.Final = 8
WORKER_SPEEDS: typing.Final = (0.5, 0.5, 0.5, 1, 1, 1, 1, 2, 2, 2)


@dataclasses.dataclass
class Scenario:
    """Fleet, policy and faults of one simulation.

    `straggler` and `failing_worker` are worker numbers; tasks of
    `failing_kind` always fail.
    """

    policy: placement.Policy = placement.LateBinding()
    order: ordering.Ordering = ordering.DEFAULT_ORDERING
    speeds: tuple[float, ...] = WORKER_SPEEDS
    seed: int = 1
    report_interval_s: float = REPORT_INTERVAL_S
    straggler: int | None = None
    slowdown_start_s: float = 0
    slowdown_factor: float = 0.1
    failing_worker: int | None = None
    failing_kind: str = ''
    has_shared_queue: bool = False
    uses_urgency: bool = True

    @property
    def capacity(self) -> float:
        """Return the capacity in slot-seconds at speed 1 per second."""
        return SLOTS_PER_WORKER * sum(self.speeds)


@dataclasses.dataclass(eq=False)
class RunningJob:
    """State of a job at its coordinator.

    `waiting` has the indexes of tasks without a grant; `unused_reservations`
    the workers with a reservation that has not received a task.
    """

    job: workload.Job
    expected_s: list[float]
    order: float
    waiting: list[int]
    unfinished: int
    entry_estimates_s: list[float]
    unused_reservations: set[int] = dataclasses.field(default_factory=set)
    completions: list['Completion'] = dataclasses.field(default_factory=list)

    def tasks(self) -> list[placement.Task]:
        """Return the waiting tasks as input for placement."""
        return [
            placement.Task(index, self.expected_s[index])
            for index in self.waiting
        ]


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load report of one worker; `backlog_s` is by tenant, as in a frame."""

    sent_at: float
    free_slots: int
    queued_tasks: int
    backlog_s: dict[ids.TenantName, float]
    next_free_s: float


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Payload of a queue item; `index` is `None` for a reservation."""

    coordinator: 'coordinators.Coordinator'
    running_job: RunningJob
    index: int | None


@dataclasses.dataclass(frozen=True)
class Completion:
    """Completion of a task that occupied a slot for `duration_s`."""

    assignment: Assignment
    duration_s: float
    failed: bool
    worker: str


def member_id(number: int) -> ids.MemberId:
    """Return the id of a worker."""
    return ids.MemberId(str(number))


def worker_number(worker_id: ids.MemberId) -> int:
    """Return the number of a worker."""
    return int(worker_id)
