"""Typed messages between the processes, encoded as MessagePack.

Times are in milliseconds where a field name ends in `_ms`, else in seconds.
The class name of an item is its tag on the wire.
"""

import enum

import msgspec

from poplardrum import decoding, errors, ids


class Role(enum.Enum):
    """Role of a process: an entry accepts requests, an agent runs tasks."""

    entry = 'entry'
    agent = 'agent'


class MemberState(enum.Enum):
    """State that a member reports of itself.

    A member that is leaving accepts no new work; one that is gone has ended.
    """

    ready = 'ready'
    leaving = 'leaving'
    gone = 'gone'


class Member(msgspec.Struct, frozen=True):
    """One process of the system as its peers know it.

    Registrations are read from the store, to which others may write, so the
    values are bounded by what peers can dial and encode.
    """

    id: ids.MemberId
    role: Role
    incarnation: ids.Incarnation
    host: decoding.Name
    port: decoding.Port
    region: decoding.Name
    zone: decoding.Name
    state: MemberState = MemberState.ready
    version: decoding.Sequence = 0


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of one agent.

    `backlog_s` is the expected run time of the queued tasks by tenant,
    `next_free_slot_s` the expected time until a slot is free. `ejected` lists
    the workers to which this coordinator currently sends no tasks.
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
    """Outcome of one task; `seconds` is its run time at the worker."""

    verdict: errors.Verdict
    code: errors.Code
    output: str = ''
    worker: ids.MemberId = ids.MemberId('')
    seconds: float = 0


class Answer(msgspec.Struct, frozen=True):
    """Complete answer of a job, or the error that is reported instead."""

    job: ids.JobId
    code: errors.Code
    verdict: errors.Verdict
    message: str = ''
    retry_after: float | None = None
    tasks: list[TaskOutcome] = []


class Item(msgspec.Struct, array_like=True, tag=True):
    """Base class of the items in a frame."""


class Hello(Item):
    """First item on a new link: the sender and all members that it knows."""

    member: Member
    known_members: list[Member] = []


class View(Item):
    """Members that are new or have changed."""

    members: list[Member]


class Heartbeat(Item):
    """Item that keeps a link alive when nothing else is to be sent."""


class Leaving(Item):
    """Announce a changed state of the sender, such as `leaving`."""

    member: Member


class ConfigUpdate(Item):
    """Configuration document that is newer than the receiver's."""

    number: ids.ConfigNumber
    document: bytes


class Hint(msgspec.Struct, array_like=True, frozen=True):
    """Load of one worker, as the entry knows it when it forwards a job."""

    worker: ids.MemberId
    load: Load


class SubmitJob(Item):
    """Submit a job to a coordinator, or attach to it if the key is known.

    `deadline_ms` is the time left when the frame was sent;
    `client_timeout_ms` is the whole time that the caller allowed, the same in
    every attempt. `unreachable` lists the agents ranked above the receiver
    that the entry may pass over, since they no longer count as stable.
    `refusal_retry_after_s` is set if the entry would refuse this job as new
    work: a coordinator that does not know the key refuses it as not run, with
    this time until a retry.
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
    """Fetch the answer of a known key from a coordinator."""

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey
    wait: bool


class CancelJob(Item):
    """Cancel the job of a known key."""

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey


class JobReply(Item):
    """Reply of a coordinator to a request of an entry.

    `redirect` is the id of another coordinator that owns the key.
    """

    request: ids.RequestId
    answer: Answer
    redirect: ids.MemberId | None = None


class Start(Item):
    """Grant one task to a worker under a lease.

    `grant_number` is unique per coordinator and increases. `claim_number` is
    that of the claim which this grant answers, 0 if there was none. `order`
    and `deadline_ms` are relative to the time at which the frame was sent. A
    task that gets no free slot within `queue_timeout_ms` is returned; with 0
    it may wait until the lease expires.
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
    """Let a worker claim up to `count` tasks of a job when slots are free."""

    job: ids.JobId
    tenant: ids.TenantName
    urgency: int
    order: float
    count: int
    expected_ms: float


class Claim(Item):
    """Request a task of a reserved job for one free slot.

    If the job has no waiting task, the coordinator grants one of another job
    of the same tenant, or else of any tenant.
    """

    job: ids.JobId
    number: int
    tenant: ids.TenantName = ids.TenantName('')


class NoTask(Item):
    """Reply to a claim for which no task is waiting any more."""

    job: ids.JobId
    claim_number: int


class Release(Item):
    """Release the reservations of jobs that have no waiting task."""

    jobs: list[ids.JobId]


class Withdraw(Item):
    """Withdraw tasks that have not started.

    Here and in the messages below, `grant_numbers` are in the order of
    `tasks`.
    """

    tasks: list[ids.TaskId]
    grant_numbers: list[int] = []


class StopTasks(Item):
    """Stop tasks, queued or running."""

    tasks: list[ids.TaskId]
    grant_numbers: list[int] = []


class QueryTasks(Item):
    """Request the state of tasks that were granted before a link broke.

    `oldest_grant_age_ms` is the time since the oldest grant was sent.
    """

    tasks: list[ids.TaskId]
    worker_incarnation: ids.Incarnation
    grant_numbers: list[int] = []
    oldest_grant_age_ms: float = 0


class Done(Item):
    """Report the outcome of one task."""

    task: ids.TaskId
    outcome: TaskOutcome


class NotStarted(Item):
    """Guarantee that tasks have not started and never will on this grant."""

    tasks: list[ids.TaskId]
    reason: errors.Code
    grant_numbers: list[int] = []


class TaskRunning(Item):
    """Reply to a query that tasks are queued or running at the sender."""

    tasks: list[ids.TaskId]


class AskRecord(Item):
    """Query an agent whether it may have started the job of a key.

    `retention_s` is the time for which a record of the key may be needed: the
    job's whole client timeout and the resubmission window. With `read_only`
    the agent records no tombstone.
    """

    request: ids.RequestId
    tenant: ids.TenantName
    key: ids.IdempotencyKey
    sender: Member
    retention_s: float = 0
    read_only: bool = False


class RecordState(enum.Enum):
    """What the queried agent knows of a key."""

    owned = 'owned'
    tombstone = 'tombstone'
    elsewhere = 'elsewhere'
    # The agent is stopping, or its tables are full: it can guarantee nothing.
    unable = 'unable'


class RecordReply(Item):
    """Reply to `AskRecord`; `owner` is set for a redirect.

    `clean` is true if no earlier incarnation of the agent can have owned the
    key without handing it over.
    """

    request: ids.RequestId
    state: RecordState
    incarnation: ids.Incarnation
    stable: bool
    owner: ids.MemberId | None = None
    clean: bool = False


class TransferredRecord(msgspec.Struct, array_like=True, frozen=True):
    """Finished record that moves to another agent at a planned stop."""

    tenant: ids.TenantName
    key: ids.IdempotencyKey
    digest: bytes
    answer: Answer
    expires_in_s: float


class TransferredTombstone(msgspec.Struct, array_like=True, frozen=True):
    """Tombstone that moves to another agent at a planned stop."""

    tenant: ids.TenantName
    key: ids.IdempotencyKey
    owner: ids.MemberId
    expires_in_s: float


class HandOver(Item):
    """Transfer records and tombstones to the agent that is next in rank."""

    request: ids.RequestId
    records: list[TransferredRecord]
    tombstones: list[TransferredTombstone] = []


class HandOverAck(Item):
    """Acknowledge transferred items; `accepted` is how many are stored."""

    request: ids.RequestId
    accepted: int
