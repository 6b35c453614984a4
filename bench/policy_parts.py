"""Messages, plan and records of the model of a fleet."""

import dataclasses
import typing

from bench import policy_workload as workload
from poplardrum import ids
from poplardrum.scheduling import ordering, placement

if typing.TYPE_CHECKING:
    from bench import policy_coordinator as coordinators

HOP_SECONDS: typing.Final = 0.001
REPORT_SECONDS: typing.Final = 0.1
FAST_FAILURE: typing.Final = 0.005
SLOTS: typing.Final = 8
SPEEDS: typing.Final = (0.5, 0.5, 0.5, 1, 1, 1, 1, 2, 2, 2)


@dataclasses.dataclass
class Plan:
    """Fleet, policy and faults of one run."""

    policy: placement.Policy = placement.LateBinding()
    order: ordering.Ordering = ordering.DEFAULT_ORDERING
    speeds: tuple[float, ...] = SPEEDS
    seed: int = 1
    report_seconds: float = REPORT_SECONDS
    straggler: int | None = None
    slow_from: float = 0
    slow_factor: float = 0.1
    broken: int | None = None
    bad_kind: str = ''
    shared_queue: bool = False
    heed_urgency: bool = True

    @property
    def capacity(self) -> float:
        """Return the slot-seconds of speed 1 per second."""
        return SLOTS * sum(self.speeds)


@dataclasses.dataclass(eq=False)
class Running:
    """A job at its coordinator."""

    job: workload.Job
    expected: list[float]
    order: float
    waiting: list[int]
    left: int
    hinted: list[float]
    idle_reserves: set[int] = dataclasses.field(default_factory=set)
    ends: list['Ended'] = dataclasses.field(default_factory=list)

    def tasks(self) -> list[placement.Task]:
        """Return the waiting tasks in the form that placement takes."""
        return [
            placement.Task(index, self.expected[index])
            for index in self.waiting
        ]


@dataclasses.dataclass(frozen=True)
class Load:
    """Load report of one worker; `backlog` by tenant as in a real frame."""

    at: float
    free: int
    queued: int
    backlog: dict[ids.TenantName, float]
    next_free: float


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Payload of a queue entry; `index` is `None` for a reservation."""

    home: 'coordinators.Coordinator'
    running: Running
    index: int | None


@dataclasses.dataclass(frozen=True)
class Ended:
    """End of a task at a worker after `seconds` of its slot."""

    ticket: Ticket
    seconds: float
    failed: bool
    worker: str


def member(number: int) -> ids.MemberId:
    """Return the id of a worker."""
    return ids.MemberId(str(number))


def number_of(name: ids.MemberId) -> int:
    """Return the number of a worker."""
    return int(name)
