"""Slots and queue of a worker: what starts when, decided without I/O.

Times are monotonic seconds of the worker's process.
"""

import dataclasses
import enum
import itertools
import typing

from poplardrum import errors, ids
from poplardrum.daemons import backlog, memory
from poplardrum.peers import frames, messages

# A coordinator answers a claim within a round trip; one that is paused must
# not keep a slot from the other entries of the queue.
_CLAIM_SECONDS: typing.Final = 0.25
_CLAIM_KEPT_SECONDS: typing.Final = 10.0


class Owner(typing.NamedTuple):
    """A coordinator in one of its incarnations."""

    member: ids.MemberId
    incarnation: ids.Incarnation


class Phase(enum.Enum):
    """Phase of a task that the worker holds."""

    queued = 'queued'
    running = 'running'
    stopping = 'stopping'


@dataclasses.dataclass
class Held:
    """One task that is queued or running here.

    `expected` is the time in seconds that its tenant was charged at once.
    """

    start: messages.Start
    lease_ends: float
    deadline: float
    phase: Phase = Phase.queued
    expected: float = 0

    @property
    def owner(self) -> Owner:
        """Return the coordinator that granted the task."""
        return Owner(self.start.coordinator, self.start.incarnation)

    @property
    def task(self) -> ids.TaskId:
        """Return the task."""
        return self.start.task

    def lapsed(self, now: float) -> errors.Code | None:
        """Return why the task must not start any more, if so."""
        if min(self.lease_ends, self.deadline) <= now:
            return errors.Code.deadline
        return None


@dataclasses.dataclass
class OpenClaim:
    """A claim without an answer; it keeps a slot while `keeps_slot`.

    Its tenant was charged `expected` seconds at once.
    """

    owner: Owner
    tenant: ids.TenantName
    expected: float
    at: float
    keeps_slot: bool = True


class Port(typing.Protocol):
    """What the slots need from the process around them."""

    def send(self, owner: Owner, item: frames.AnyItem) -> bool:
        """Send to a coordinator; return `False` when its link is down."""

    def expected(self, item: messages.Start) -> float:
        """Return the expected run time of a task here in seconds."""

    def run(self, held: Held) -> None:
        """Start a task at the endpoint."""

    def stop(self, held: Held) -> None:
        """Stop a task that runs at the endpoint."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds on the tables of a worker."""

    queue: int
    records: int
    answers: int


class Slots:
    """Start granted tasks in free slots; claim reserved ones for the rest."""

    def __init__(self, port: Port, bounds: Bounds) -> None:
        """Start without an endpoint and without tasks."""
        self.port = port
        self.bounds = bounds
        self.memory = memory.Memory(bounds.records, bounds.answers)
        self.queue = backlog.Backlog()
        self.held: dict[ids.TaskId, Held] = {}
        self.claims: dict[int, OpenClaim] = {}
        self.numbers = itertools.count(1)
        self.slots = 0
        self.stuck: set[ids.TaskId] = set()
        self.orphans = 0
        self.only: ids.MemberId | None = None

    @property
    def running(self) -> int:
        """Return the number of tasks at the endpoint."""
        return sum(
            held.phase is not Phase.queued for held in self.held.values()
        )

    @property
    def free(self) -> int:
        """Return the slots that neither a task nor a claim takes."""
        claimed = sum(claim.keeps_slot for claim in self.claims.values())
        taken = self.running + claimed + len(self.stuck) + self.orphans
        return self.slots - taken

    def note_running(self, names: typing.Iterable[str], now: float) -> None:
        """Keep slots for tasks that an earlier agent left at the endpoint.

        `names` are all tasks that the endpoint runs. One that has just
        ended here may still be among them.
        """
        found = [_task_id(name) for name in names]
        self.orphans = sum(
            task not in self.held and self.memory.get(task) is None
            for task in found
        )
        self.pump(now)

    def drain(self, own: ids.MemberId, now: float) -> None:
        """Take no more work but from the coordinator of this process."""
        self.only = own
        self.queue.clear_reservations()
        for held in list(self.held.values()):
            if held.phase is Phase.queued and held.owner.member != own:
                self.refuse(held, errors.Code.stopping, now)

    def takes_from(self, coordinator: ids.MemberId) -> bool:
        """Tell whether new work of a coordinator is taken."""
        return self.slots > 0 and self.only in {None, coordinator}

    def offer(self, slots: int, now: float) -> None:
        """Set the usable slots; without any, queued tasks go back."""
        self.slots = slots
        if slots:
            self.pump(now)
            return
        self.queue.clear_reservations()
        for held in list(self.held.values()):
            if held.phase is Phase.queued:
                self.refuse(held, errors.Code.unavailable, now)

    def accept(self, item: messages.Start, age: float, now: float) -> None:
        """Take a grant whose frame waited `age` seconds.

        The lease runs from the claim that the grant answers, which this
        worker's own clock has timed, else from the age of the frame.
        """
        claim = self.claims.pop(item.claim, None)
        granted_at = claim.at if claim else now - age
        held = Held(
            start=item,
            lease_ends=granted_at + item.lease_ms / 1000,
            deadline=now - age + item.deadline_ms / 1000,
        )
        if self.known(held):
            self.settle_claim(claim)
            return
        reason = held.lapsed(now)
        if not self.takes_from(item.coordinator):
            reason = errors.Code.unavailable
        elif len(self.held) >= self.bounds.queue:
            reason = errors.Code.overload
        self.held[held.task] = held
        if reason is not None:
            self.settle_claim(claim)
            self.refuse(held, reason, now)
        elif claim and claim.tenant == item.tenant and self.free > 0:
            self.begin(held, claim.expected, now)
        else:
            self.settle_claim(claim)
            self.enqueue(held, now)
            self.pump(now)

    def enqueue(self, held: Held, now: float) -> None:
        """Queue a granted task until a slot is free for it."""
        ends = min(held.lease_ends, held.deadline)
        if held.start.queue_ms:
            ends = min(ends, now + held.start.queue_ms / 1000)
        self.queue.push_task(
            held.start,
            self.port.expected(held.start),
            ends,
            now,
        )

    def settle_claim(self, claim: OpenClaim | None) -> None:
        """Give a tenant back what a claim that starts nothing was charged."""
        if claim is not None:
            self.queue.queue.charge(claim.tenant, 0, claim.expected)

    def known(self, held: Held) -> bool:
        """Answer a grant of a task that needs no second start."""
        start = held.start
        if held.task in self.held:
            return True
        entry = self.memory.get(held.task)
        if entry is None:
            return False
        if entry.outcome is not None:
            done = messages.Done(held.task, entry.outcome)
            self.port.send(held.owner, done)
            return True
        if start.grant > entry.grant:
            return False
        self.port.send(
            held.owner,
            messages.NotStarted(
                [held.task],
                errors.Code.cancelled,
                [start.grant],
            ),
        )
        return True

    def reserve(self, item: messages.Reserve, owner: Owner, now: float) -> None:
        """Queue a reservation that is claimed when its turn comes."""
        if not self.takes_from(owner.member):
            return
        if len(self.queue) >= self.bounds.queue:
            return
        self.queue.push_reservation(owner, item, now)
        self.pump(now)

    def no_task(self, item: messages.NoTask, owner: Owner, now: float) -> None:
        """Free the slot of a claim; the job has no task left."""
        self.settle_claim(self.claims.pop(item.claim, None))
        self.queue.release(owner, [item.job])
        self.pump(now)

    def pump(self, now: float) -> None:
        """Start or claim in the order of the queue while slots are free."""
        while self.free > 0:
            entry = self.queue.queue.pop(now)
            if entry is None:
                return
            payload = entry.payload
            if isinstance(payload, backlog.Reservation):
                self.claim(entry, payload, now)
            else:
                self.begin(self.held[payload.task], entry.expected_s, now)

    def begin(self, held: Held, expected: float, now: float) -> None:
        """Start a task unless its lease or deadline has passed."""
        held.expected = expected
        reason = held.lapsed(now)
        if reason is not None:
            self.queue.queue.charge(held.start.tenant, 0, expected)
            self.refuse(held, reason, now)
            return
        held.phase = Phase.running
        self.port.run(held)

    def claim(
        self,
        entry: backlog.Entry,
        reserved: backlog.Reservation,
        now: float,
    ) -> None:
        """Ask for one task of a reserved job."""
        number = next(self.numbers)
        claim = OpenClaim(reserved.owner, entry.tenant, entry.expected_s, now)
        item = messages.Claim(reserved.job, number, entry.tenant)
        if self.port.send(reserved.owner, item):
            self.claims[number] = claim
        else:
            self.settle_claim(claim)

    def refuse(self, held: Held, reason: errors.Code, now: float) -> None:
        """Give back a task that has not started and never will here."""
        self.held.pop(held.task)
        self.queue.queue.remove(held.task)
        self.memory.refuse(held.task, held.start.grant, now)
        self.port.send(
            held.owner,
            messages.NotStarted([held.task], reason, [held.start.grant]),
        )

    def unreached(self, held: Held, reason: errors.Code, now: float) -> None:
        """Give back a task that was begun and did not reach the endpoint."""
        self.queue.queue.charge(held.start.tenant, 0, held.expected)
        self.refuse(held, reason, now)

    def ended(
        self,
        held: Held,
        outcome: messages.TaskOutcome,
        now: float,
    ) -> None:
        """Report the end of a task and use its slot again."""
        self.held.pop(held.task)
        self.queue.queue.charge(
            held.start.tenant,
            outcome.seconds,
            held.expected,
        )
        self.memory.finish(held.task, held.start.grant, outcome, now)
        self.port.send(held.owner, messages.Done(held.task, outcome))
        self.pump(now)

    def tick(self, now: float) -> None:
        """Give back what has lapsed and free slots of unanswered claims."""
        self.memory.expire(now)
        for number, claim in list(self.claims.items()):
            claim.keeps_slot = now - claim.at < _CLAIM_SECONDS
            if now - claim.at > _CLAIM_KEPT_SECONDS:
                self.settle_claim(self.claims.pop(number))
        for entry in self.queue.queue.remove_expired(now):
            payload = entry.payload
            if isinstance(payload, backlog.QueuedTask):
                held = self.held[payload.task]
                reason = held.lapsed(now) or errors.Code.overload
                self.refuse(held, reason, now)
        self.pump(now)

    def coordinator_lost(self, member: ids.MemberId, now: float) -> None:
        """Drop reservations and claims; granted tasks stay."""
        self.queue.drop_owner(member)
        for number, claim in list(self.claims.items()):
            if claim.owner.member == member:
                self.settle_claim(self.claims.pop(number))
        self.pump(now)

    def coordinator_back(self, owner: Owner, now: float) -> None:
        """Drop what an earlier incarnation has queued here."""
        for held in list(self.held.values()):
            if held.owner.member != owner.member or held.owner == owner:
                continue
            if held.phase is Phase.queued:
                self.refuse(held, errors.Code.link_lost, now)
        self.coordinator_lost(owner.member, now)


def _task_id(name: str) -> ids.TaskId:
    job, _, position = name.rpartition('.')
    return ids.TaskId(ids.JobId(job), int(position))
