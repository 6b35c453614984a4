"""Tasks at a worker, and what its slots need from their surroundings."""

import dataclasses
import enum
import typing

from poplardrum import errors, ids
from poplardrum.peers import frames, messages


class CoordinatorRef(typing.NamedTuple):
    """Reference to one incarnation of a coordinator."""

    member: ids.MemberId
    incarnation: ids.Incarnation


class Phase(enum.Enum):
    """Phase of a task at the worker."""

    queued = 'queued'
    running = 'running'
    stopping = 'stopping'


@dataclasses.dataclass
class WorkerTask:
    """Task that is queued or running at this worker.

    `expected_s` is the time that its tenant was charged at the start.
    """

    start: messages.Start
    lease_expires_at: float
    deadline: float
    phase: Phase = Phase.queued
    expected_s: float = 0

    @property
    def coordinator(self) -> CoordinatorRef:
        """Return the coordinator that granted the task."""
        return CoordinatorRef(self.start.coordinator, self.start.incarnation)

    @property
    def task_id(self) -> ids.TaskId:
        """Return the id of the task."""
        return self.start.task

    def lapse_reason(self, now: float) -> errors.Code | None:
        """Return why the task must not start any more, `None` if it may."""
        if min(self.lease_expires_at, self.deadline) <= now:
            return errors.Code.deadline
        return None


@dataclasses.dataclass
class OpenClaim:
    """Claim without a reply; a slot is reserved for it if `reserves_slot`.

    Its tenant was charged `expected_s` when the claim was sent.
    """

    coordinator: CoordinatorRef
    tenant: ids.TenantName
    expected_s: float
    sent_at: float
    reserves_slot: bool = True


class Port(typing.Protocol):
    """Operations that the slots need from their process."""

    def send(self, coordinator: CoordinatorRef, item: frames.AnyItem) -> bool:
        """Send to a coordinator; return `False` if its link is down."""

    def expected_time(self, item: messages.Start) -> float:
        """Return the expected run time of a task here in seconds."""

    def run(self, task: WorkerTask) -> None:
        """Start a task at the endpoint."""

    def stop(self, task: WorkerTask) -> None:
        """Stop a task that runs at the endpoint."""


@dataclasses.dataclass(frozen=True)
class WorkerLimits:
    """Limits of the tables of a worker.

    `max_queue` is for the granted tasks and for the queue, `max_records` for
    the entries of the history, `max_answer_bytes` for all the outputs in it
    together, counted in characters.
    """

    max_queue: int
    max_records: int
    max_answer_bytes: int
