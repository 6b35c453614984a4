"""Typed messages between the processes; the wire form is MessagePack.

Times are in milliseconds where a field ends in `_ms`, else in seconds.
"""

import enum

import msgspec

from poplardrum import errors, ids


class Role(enum.Enum):
    """Role of a process."""

    entry = 'entry'
    agent = 'agent'


class MemberState(enum.Enum):
    """What a member says of itself."""

    ready = 'ready'
    leaving = 'leaving'
    gone = 'gone'


class Member(msgspec.Struct, frozen=True):
    """One process of the system as its peers know it."""

    id: ids.MemberId
    role: Role
    incarnation: ids.Incarnation
    host: str
    port: int
    region: str
    zone: str
    state: MemberState = MemberState.ready
    version: int = 0


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of one agent; `backlog` is queued seconds by tenant.

    `next_free` is the expected seconds until a slot is free.
    `ejected` lists the workers that this coordinator sends no tasks now.
    """

    slots: int
    free_slots: int
    queued_tasks: int
    speed: float = 1.0
    backlog_s: dict[ids.TenantName, float] = {}
    next_free_slot_s: float = 0.0
    ejected: list[ids.MemberId] = []


class TaskSpec(msgspec.Struct, array_like=True, frozen=True):
    """One task as its caller submitted it."""

    kind: ids.TaskKindName
    payload: str
    declared_ms: float
    idempotent: bool


class TaskOutcome(msgspec.Struct, frozen=True):
    """End of one task; `seconds` is its run time at the worker."""

    verdict: errors.Verdict
    code: errors.Code
    output: str = ''
    worker: ids.MemberId = ids.MemberId('')
    seconds: float = 0


class Answer(msgspec.Struct, frozen=True):
    """Complete answer of a job, or its plain failure."""

    job: ids.JobId
    code: errors.Code
    verdict: errors.Verdict
    message: str = ''
    retry_after: float | None = None
    tasks: list[TaskOutcome] = []


class Item(msgspec.Struct, array_like=True, tag=True):
    """Base of everything that a frame carries."""


class Hello(Item):
    """Introduce the sender on a new link; `view` is all it knows."""

    member: Member
    known_members: list[Member] = []


class View(Item):
    """Tell a peer about members that are new or have changed."""

    members: list[Member]


class Heartbeat(Item):
    """Keep a link alive when nothing else was sent."""


class Leaving(Item):
    """Announce that the sender takes no new work."""

    member: Member


class ConfigUpdate(Item):
    """Carry the configuration document to an agent."""

    number: ids.ConfigNumber
    document: bytes


class Hint(msgspec.Struct, array_like=True, frozen=True):
    """What an entry knows of one worker when it forwards a job."""

    worker: ids.MemberId
    load: Load


class SubmitJob(Item):
    """Ask a coordinator to run a job, or to attach to it.

    `deadline_ms` is the time left when the frame was sent, `span_ms` the
    whole time that the caller allowed, the same in every attempt.
    `unreachable` lists the agents ranked above the receiver that cannot
    believe that the entry still counts on them. `refuse_after` is set if the
    entry would refuse this job as new work: a coordinator that does not know
    the key refuses it as not run, with this time in seconds to come back.
    """

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey
    digest: bytes
    first: bool
    job_class: ids.JobClassName
    urgency: int
    deadline_ms: float
    tasks: list[TaskSpec]
    wait: bool = True
    hints: list[Hint] = []
    unreachable: list[ids.MemberId] = []
    refusal_retry_after_s: float | None = None
    client_timeout_ms: float = 0


class FetchJob(Item):
    """Ask a coordinator for the answer of a known key."""

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey
    wait: bool


class CancelJob(Item):
    """Ask a coordinator to cancel the job of a known key."""

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey


class JobReply(Item):
    """Answer of a coordinator to an entry's request.

    `redirect` names the coordinator that owns the key instead.
    """

    request: ids.RequestId
    answer: Answer
    redirect: ids.MemberId | None = None


class Start(Item):
    """Grant one task to a worker under a lease.

    `grant` numbers the grants of a coordinator. `claim` names the claim
    that this answers, 0 when there was none. `order` and `deadline_ms` are
    relative to the time the frame was sent. A task that finds no free slot
    within `queue_ms` is given back, 0 lets it wait until the lease ends.
    """

    task: ids.TaskId
    coordinator: ids.MemberId
    incarnation: ids.Incarnation
    tenant: ids.TenantName
    urgency: int
    order: float
    lease_ms: float
    deadline_ms: float
    spec: TaskSpec
    grant_number: int = 0
    claim_number: int = 0
    queue_timeout_ms: float = 0


class Reserve(Item):
    """Ask a worker to claim up to `count` tasks of a job when it can."""

    job: ids.JobId
    tenant: ids.TenantName
    urgency: int
    order: float
    count: int
    expected_ms: float


class Claim(Item):
    """Ask the coordinator for a task of a reserved job, for one free slot.

    When the job has none, one of the same tenant or of any other will do.
    """

    job: ids.JobId
    number: int
    tenant: ids.TenantName = ids.TenantName('')


class NoTask(Item):
    """Answer a claim for which no task waits any more."""

    job: ids.JobId
    claim_number: int


class Release(Item):
    """Drop the reservations of jobs that have no task waiting."""

    jobs: list[ids.JobId]


class Withdraw(Item):
    """Take tasks back that have not started; `grants` by position."""

    tasks: list[ids.TaskId]
    grant_numbers: list[int] = []


class StopTasks(Item):
    """Stop tasks, queued or running, of a cancelled job."""

    tasks: list[ids.TaskId]
    grant_numbers: list[int] = []


class QueryTasks(Item):
    """Ask after tasks that were granted before a link broke.

    `age_ms` is the time since the oldest of the grants was sent.
    """

    tasks: list[ids.TaskId]
    worker_incarnation: ids.Incarnation
    grant_numbers: list[int] = []
    oldest_grant_age_ms: float = 0


class Done(Item):
    """Report the end of one task, once."""

    task: ids.TaskId
    outcome: TaskOutcome


class NotStarted(Item):
    """Promise that tasks have not started and never will on this grant."""

    tasks: list[ids.TaskId]
    reason: errors.Code
    grant_numbers: list[int] = []


class TaskRunning(Item):
    """Say after a query that tasks are queued or running here."""

    tasks: list[ids.TaskId]


class AskRecord(Item):
    """Ask an agent whether it may have started the job of a key.

    `hold` is the time in seconds for which any record of the key may matter:
    the job's whole deadline and the resubmission window. `peek` asks without
    wanting a tombstone.
    """

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey
    sender: Member
    retention_s: float = 0
    read_only: bool = False


class RecordState(enum.Enum):
    """What an asked agent knows of a key."""

    owned = 'owned'
    tombstone = 'tombstone'
    elsewhere = 'elsewhere'
    # The agent is stopping or full and can promise nothing.
    unable = 'unable'


class RecordReply(Item):
    """Answer to `AskRecord`; `owner` is set for a redirect.

    `clean` says that no earlier incarnation of the agent can have held the
    key without having handed it over.
    """

    request: ids.RequestId
    state: RecordState
    incarnation: ids.Incarnation
    stable: bool
    owner: ids.MemberId | None = None
    clean: bool = False


class TransferredRecord(msgspec.Struct, array_like=True, frozen=True):
    """One finished record that moves to another agent at a planned stop."""

    tenant: ids.TenantName
    key: ids.IdempotencyKey
    digest: bytes
    answer: Answer
    expires_in_s: float


class TransferredTombstone(msgspec.Struct, array_like=True, frozen=True):
    """One tombstone that moves to another agent at a planned stop."""

    tenant: ids.TenantName
    key: ids.IdempotencyKey
    owner: ids.MemberId
    expires_in_s: float


class HandOver(Item):
    """Carry kept records and tombstones to the next agent in rank."""

    request: ids.RequestId
    records: list[TransferredRecord]
    tombstones: list[TransferredTombstone] = []


class HandOverAck(Item):
    """Confirm that handed-over records are kept."""

    request: ids.RequestId
    accepted: int
