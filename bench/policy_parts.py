"""Messages, plan and records of the model of a fleet."""

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
    """Fleet, policy and faults of one run."""

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
        """Return the slot-seconds of speed 1 per second."""
        return SLOTS_PER_WORKER * sum(self.speeds)


@dataclasses.dataclass(eq=False)
class RunningJob:
    """A job at its coordinator."""

    job: workload.Job
    expected_s: list[float]
    order: float
    waiting: list[int]
    unfinished: int
    entry_estimates_s: list[float]
    unused_reservations: set[int] = dataclasses.field(default_factory=set)
    completions: list['Completion'] = dataclasses.field(default_factory=list)

    def tasks(self) -> list[placement.Task]:
        """Return the waiting tasks in the form that placement takes."""
        return [
            placement.Task(index, self.expected_s[index])
            for index in self.waiting
        ]


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load report of one worker; `backlog` by tenant as in a real frame."""

    sent_at: float
    free_slots: int
    queued_tasks: int
    backlog_s: dict[ids.TenantName, float]
    next_free_s: float


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Payload of a queue entry; `index` is `None` for a reservation."""

    coordinator: 'coordinators.Coordinator'
    running_job: RunningJob
    index: int | None


@dataclasses.dataclass(frozen=True)
class Completion:
    """End of a task at a worker after `seconds` of its slot."""

    assignment: Assignment
    duration_s: float
    failed: bool
    worker: str


def member_id(number: int) -> ids.MemberId:
    """Return the id of a worker."""
    return ids.MemberId(str(number))


def worker_number(name: ids.MemberId) -> int:
    """Return the number of a worker."""
    return int(name)
