"""Slots and queue of a worker: what starts when, decided without I/O.

Times are monotonic seconds of the worker's process.
"""

import dataclasses
import enum
import itertools
import typing

from poplardrum import errors, ids
from poplardrum.daemons import backlog, history
from poplardrum.peers import frames, messages

# A coordinator answers a claim within a round trip; one that is paused must
# not keep a slot from the other entries of the queue.
_CLAIM_SLOT_TIMEOUT_S: typing.Final = 0.25
_CLAIM_EXPIRY_S: typing.Final = 10.0


class CoordinatorRef(typing.NamedTuple):
    """A coordinator in one of its incarnations."""

    member: ids.MemberId
    incarnation: ids.Incarnation


class Phase(enum.Enum):
    """Phase of a task that the worker holds."""

    queued = 'queued'
    running = 'running'
    stopping = 'stopping'


@dataclasses.dataclass
class WorkerTask:
    """One task that is queued or running here.

    `expected` is the time in seconds that its tenant was charged at once.
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
    def task(self) -> ids.TaskId:
        """Return the task."""
        return self.start.task

    def lapse_reason(self, now: float) -> errors.Code | None:
        """Return why the task must not start any more, if so."""
        if min(self.lease_expires_at, self.deadline) <= now:
            return errors.Code.deadline
        return None


@dataclasses.dataclass
class OpenClaim:
    """A claim without an answer; it keeps a slot while `keeps_slot`.

    Its tenant was charged `expected` seconds at once.
    """

    coordinator: CoordinatorRef
    tenant: ids.TenantName
    expected_s: float
    sent_at: float
    reserves_slot: bool = True


class Port(typing.Protocol):
    """What the slots need from the process around them."""

    def send(self, owner: CoordinatorRef, item: frames.AnyItem) -> bool:
        """Send to a coordinator; return `False` when its link is down."""

    def expected(self, item: messages.Start) -> float:
        """Return the expected run time of a task here in seconds."""

    def run(self, held: WorkerTask) -> None:
        """Start a task at the endpoint."""

    def stop(self, held: WorkerTask) -> None:
        """Stop a task that runs at the endpoint."""


@dataclasses.dataclass(frozen=True)
class WorkerLimits:
    """Bounds on the tables of a worker."""

    max_queue: int
    max_records: int
    max_answer_bytes: int


class Slots:
    """Start granted tasks in free slots; claim reserved ones for the rest."""

    def __init__(self, port: Port, bounds: WorkerLimits) -> None:
        """Start without an endpoint and without tasks."""
        self.port = port
        self.limits = bounds
        self.history = history.TaskHistory(
            bounds.max_records, bounds.max_answer_bytes
        )
        self.queue = backlog.Backlog()
        self.tasks: dict[ids.TaskId, WorkerTask] = {}
        self.claims: dict[int, OpenClaim] = {}
        self.numbers = itertools.count(1)
        self.slot_count = 0
        self.unconfirmed_stops: set[ids.TaskId] = set()
        self.orphan_count = 0
        self.only_coordinator: ids.MemberId | None = None

    @property
    def running_count(self) -> int:
        """Return the number of tasks at the endpoint."""
        return sum(
            held.phase is not Phase.queued for held in self.tasks.values()
        )

    @property
    def free_slots(self) -> int:
        """Return the slots that neither a task nor a claim takes."""
        claimed = sum(claim.reserves_slot for claim in self.claims.values())
        taken = (
            self.running_count
            + claimed
            + len(self.unconfirmed_stops)
            + self.orphan_count
        )
        return self.slot_count - taken

    def update_orphans(self, names: typing.Iterable[str], now: float) -> None:
        """Keep slots for tasks that an earlier agent left at the endpoint.

        `names` are all tasks that the endpoint runs. One that has just
        ended here may still be among them.
        """
        found = [_task_id(name) for name in names]
        self.orphan_count = sum(
            task not in self.tasks and self.history.get(task) is None
            for task in found
        )
        self.fill_slots(now)

    def drain(self, own: ids.MemberId, now: float) -> None:
        """Take no more work but from the coordinator of this process."""
        self.only_coordinator = own
        self.queue.clear_reservations()
        for held in list(self.tasks.values()):
            if held.phase is Phase.queued and held.coordinator.member != own:
                self.refuse(held, errors.Code.stopping, now)

    def accepts_from(self, coordinator: ids.MemberId) -> bool:
        """Tell whether new work of a coordinator is taken."""
        return self.slot_count > 0 and self.only_coordinator in {
            None,
            coordinator,
        }

    def set_slots(self, slots: int, now: float) -> None:
        """Set the usable slots; without any, queued tasks go back."""
        self.slot_count = slots
        if slots:
            self.fill_slots(now)
            return
        self.queue.clear_reservations()
        for held in list(self.tasks.values()):
            if held.phase is Phase.queued:
                self.refuse(held, errors.Code.unavailable, now)

    def accept_grant(
        self, item: messages.Start, age: float, now: float
    ) -> None:
        """Take a grant whose frame waited `age` seconds.

        The lease runs from the claim that the grant answers, which this
        worker's own clock has timed, else from the age of the frame.
        """
        claim = self.claims.pop(item.claim_number, None)
        granted_at = claim.sent_at if claim else now - age
        held = WorkerTask(
            start=item,
            lease_expires_at=granted_at + item.lease_ms / 1000,
            deadline=now - age + item.deadline_ms / 1000,
        )
        if self.answer_if_known(held):
            self.refund_claim(claim)
            return
        reason = held.lapse_reason(now)
        if not self.accepts_from(item.coordinator):
            reason = errors.Code.unavailable
        elif len(self.tasks) >= self.limits.max_queue:
            reason = errors.Code.overload
        self.tasks[held.task] = held
        if reason is not None:
            self.refund_claim(claim)
            self.refuse(held, reason, now)
        elif claim and claim.tenant == item.tenant and self.free_slots > 0:
            self.start_task(held, claim.expected_s, now)
        else:
            self.refund_claim(claim)
            self.enqueue(held, now)
            self.fill_slots(now)

    def enqueue(self, held: WorkerTask, now: float) -> None:
        """Queue a granted task until a slot is free for it."""
        ends = min(held.lease_expires_at, held.deadline)
        if held.start.queue_timeout_ms:
            ends = min(ends, now + held.start.queue_timeout_ms / 1000)
        self.queue.push_task(
            held.start,
            self.port.expected(held.start),
            ends,
            now,
        )

    def refund_claim(self, claim: OpenClaim | None) -> None:
        """Give a tenant back what a claim that starts nothing was charged."""
        if claim is not None:
            self.queue.fair_queue.charge(claim.tenant, 0, claim.expected_s)

    def answer_if_known(self, held: WorkerTask) -> bool:
        """Answer a grant of a task that needs no second start."""
        start = held.start
        if held.task in self.tasks:
            return True
        entry = self.history.get(held.task)
        if entry is None:
            return False
        if entry.outcome is not None:
            done = messages.Done(held.task, entry.outcome)
            self.port.send(held.coordinator, done)
            return True
        if start.grant_number > entry.grant_number:
            return False
        self.port.send(
            held.coordinator,
            messages.NotStarted(
                [held.task],
                errors.Code.cancelled,
                [start.grant_number],
            ),
        )
        return True

    def reserve(
        self, item: messages.Reserve, owner: CoordinatorRef, now: float
    ) -> None:
        """Queue a reservation that is claimed when its turn comes."""
        if not self.accepts_from(owner.member):
            return
        if len(self.queue) >= self.limits.max_queue:
            return
        self.queue.push_reservation(owner, item, now)
        self.fill_slots(now)

    def no_task(
        self, item: messages.NoTask, owner: CoordinatorRef, now: float
    ) -> None:
        """Free the slot of a claim; the job has no task left."""
        self.refund_claim(self.claims.pop(item.claim_number, None))
        self.queue.release(owner, [item.job])
        self.fill_slots(now)

    def fill_slots(self, now: float) -> None:
        """Start or claim in the order of the queue while slots are free."""
        while self.free_slots > 0:
            entry = self.queue.fair_queue.pop(now)
            if entry is None:
                return
            payload = entry.payload
            if isinstance(payload, backlog.Reservation):
                self.send_claim(entry, payload, now)
            else:
                self.start_task(self.tasks[payload.task], entry.expected_s, now)

    def start_task(self, held: WorkerTask, expected: float, now: float) -> None:
        """Start a task unless its lease or deadline has passed."""
        held.expected_s = expected
        reason = held.lapse_reason(now)
        if reason is not None:
            self.queue.fair_queue.charge(held.start.tenant, 0, expected)
            self.refuse(held, reason, now)
            return
        held.phase = Phase.running
        self.port.run(held)

    def send_claim(
        self,
        entry: backlog.Entry,
        reserved: backlog.Reservation,
        now: float,
    ) -> None:
        """Ask for one task of a reserved job."""
        number = next(self.numbers)
        claim = OpenClaim(
            reserved.coordinator, entry.tenant, entry.expected_s, now
        )
        item = messages.Claim(reserved.job, number, entry.tenant)
        if self.port.send(reserved.coordinator, item):
            self.claims[number] = claim
        else:
            self.refund_claim(claim)

    def refuse(self, held: WorkerTask, reason: errors.Code, now: float) -> None:
        """Give back a task that has not started and never will here."""
        self.tasks.pop(held.task)
        self.queue.fair_queue.remove(held.task)
        self.history.record_refusal(held.task, held.start.grant_number, now)
        self.port.send(
            held.coordinator,
            messages.NotStarted([held.task], reason, [held.start.grant_number]),
        )

    def start_failed(
        self, held: WorkerTask, reason: errors.Code, now: float
    ) -> None:
        """Give back a task that was begun and did not reach the endpoint."""
        self.queue.fair_queue.charge(held.start.tenant, 0, held.expected_s)
        self.refuse(held, reason, now)

    def task_ended(
        self,
        held: WorkerTask,
        outcome: messages.TaskOutcome,
        now: float,
    ) -> None:
        """Report the end of a task and use its slot again."""
        self.tasks.pop(held.task)
        self.queue.fair_queue.charge(
            held.start.tenant,
            outcome.seconds,
            held.expected_s,
        )
        self.history.record_outcome(
            held.task, held.start.grant_number, outcome, now
        )
        self.port.send(held.coordinator, messages.Done(held.task, outcome))
        self.fill_slots(now)

    def enforce_timeouts(self, now: float) -> None:
        """Give back what has lapsed and free slots of unanswered claims."""
        self.history.expire(now)
        for number, claim in list(self.claims.items()):
            claim.reserves_slot = now - claim.sent_at < _CLAIM_SLOT_TIMEOUT_S
            if now - claim.sent_at > _CLAIM_EXPIRY_S:
                self.refund_claim(self.claims.pop(number))
        for entry in self.queue.fair_queue.remove_expired(now):
            payload = entry.payload
            if isinstance(payload, backlog.QueuedTask):
                held = self.tasks[payload.task]
                reason = held.lapse_reason(now) or errors.Code.overload
                self.refuse(held, reason, now)
        self.fill_slots(now)

    def coordinator_lost(self, member: ids.MemberId, now: float) -> None:
        """Drop reservations and claims; granted tasks stay."""
        self.queue.remove_coordinator(member)
        for number, claim in list(self.claims.items()):
            if claim.coordinator.member == member:
                self.refund_claim(self.claims.pop(number))
        self.fill_slots(now)

    def coordinator_reconnected(
        self, owner: CoordinatorRef, now: float
    ) -> None:
        """Drop what an earlier incarnation has queued here."""
        for held in list(self.tasks.values()):
            if (
                held.coordinator.member != owner.member
                or held.coordinator == owner
            ):
                continue
            if held.phase is Phase.queued:
                self.refuse(held, errors.Code.link_lost, now)
        self.coordinator_lost(owner.member, now)


def _task_id(name: str) -> ids.TaskId:
    job, _, position = name.rpartition('.')
    return ids.TaskId(ids.JobId(job), int(position))
