"""Messages between entries and agents."""

import enum
import typing

import msgspec

from poplardrum import ids, network_address


_MILLICORES: typing.Final = 1000


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; fields are sent by position."""


class AgentHello(Message, frozen=True, tag=1):
    """First message of an agent; an incarnation is one start of its process."""

    node: str
    zone: str
    incarnation: ids.Incarnation


class EntryHello(Message, frozen=True, tag=2):
    """First message of an entry; a new incarnation has no earlier tasks."""

    node: str
    zone: str
    incarnation: ids.Incarnation


class EntryAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where agents reach an entry, and its availability zone.

    Agents of the services that it `lacks` link to it, wherever they are.
    """

    host: str
    port: int
    zone: str = ''
    lacks: tuple[str, ...] = ()

    def address(self) -> network_address.Address:
        """Return the address that agents connect to."""
        return self.host, self.port


class Entries(Message, frozen=True, tag=3):
    """All announced entries as of a revision of the store."""

    revision: int
    entries: list[EntryAddress]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Capacity or free capacity of an endpoint, or demand of a task."""

    cpu_millicores: int
    memory_mb: int
    gpus: int

    def cores(self) -> float:
        """Return the CPU in cores."""
        return self.cpu_millicores / _MILLICORES

    def covers(self, demand: 'Resources') -> bool:
        """Return whether this free capacity is enough for a demand."""
        return (
            self.cpu_millicores >= demand.cpu_millicores
            and self.memory_mb >= demand.memory_mb
            and self.gpus >= demand.gpus
        )

    def minus(self, *subtracted: 'Resources') -> 'Resources':
        """Return these resources less the `subtracted` ones."""
        return Resources(
            self.cpu_millicores
            - sum(each.cpu_millicores for each in subtracted),
            self.memory_mb - sum(each.memory_mb for each in subtracted),
            self.gpus - sum(each.gpus for each in subtracted),
        )


class RunId(msgspec.Struct, frozen=True, array_like=True):
    """A run of a task: the index of the task in the job and the run's number."""

    task_index: int
    number: int


class Isolation(enum.IntEnum):
    """Whether a task starts apart from others, as one that may crash endpoints.

    No other task starts for a while after it. A task that starts `when_quiet`
    is refused if another one has just started; one that starts `by_force` waits
    for a moment without starts, in which the endpoint refuses others.
    """

    none = 0
    when_quiet = 1
    by_force = 2


class StartTasks(Message, frozen=True, tag=4):
    """Command to start tasks of one step.

    Each run is answered by `Refused` or `Completion`. `first_index` is the
    index of the step's first task in the job. The endpoint retains completions
    of runs of a `stored` job until they are acknowledged by
    `CompletionsAcknowledged` or `CompletionsOvertaken`. `checkpoints` has the checkpoints to resume from,
    by task index.
    """

    job: ids.JobId
    specification: str
    demand: Resources
    estimate: float
    runs: list[RunId]
    step: int = 0
    first_index: int = 0
    stored: bool = False
    checkpoints: dict[int, str] = {}
    isolation: Isolation = Isolation.none


class StopTasks(Message, frozen=True, tag=5):
    """Command to stop runs of one job; each is answered by `Completion`.

    An agent stops a run only if the sender started it: two entries may number
    their runs of a task alike.
    """

    job: ids.JobId
    runs: list[RunId]


class Ping(Message, frozen=True, tag=6):
    """Request for a `Pong`, sent after a silence; `number` counts those of a link."""

    number: int = 0


class OwnerLeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """For how long an agent may run the stored jobs of an entry.

    Runs may go on for `run_s` seconds from the reply: that long the entry certainly
    owns its jobs. Tasks may start for `start_s` seconds: that long no job can have
    been cancelled early enough to forbid it.
    """

    run_s: float
    start_s: float


class Pong(Message, frozen=True, tag=14):
    """Reply to the `Ping` with the same number.

    An entry grants a lease on its stored jobs. Agents and entries of the previous
    version grant none.
    """

    number: int = 0
    owner_lease: OwnerLeaseGrant | None = None


class Refusal(enum.IntEnum):
    """Why an agent did not start a run.

    An `unknown` run is neither active nor retained when an entry asks for it. The
    `owner_lease` of the entry did not let the run of a stored job start.
    """

    no_room = 1
    not_accepting = 2
    conflict = 3
    endpoint = 4
    unknown = 5
    owner_lease = 6


class Refused(Message, frozen=True, tag=7):
    """Runs that have not started and will not start."""

    job: ids.JobId
    runs: list[RunId]
    reason: Refusal


class Outcome(enum.IntEnum):
    """Outcome of a run that may have started."""

    done = 1
    failed = 2
    stopped = 3
    lost = 4


class CompletionId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a completion that an endpoint retains.

    `number` is unique within an `incarnation` of the endpoint.
    """

    incarnation: int
    number: int


class Completion(Message, frozen=True, tag=8):
    """Notice that a run is over; nothing of it is left at the endpoint.

    If it has a `completion_id`, the endpoint retains it until it is
    acknowledged by `CompletionsAcknowledged`. `checkpoint` is the last
    checkpoint of the run.
    """

    job: ids.JobId
    run: RunId
    outcome: Outcome
    completion_id: CompletionId | None = None
    checkpoint: str = ''


class UnackedCompletion(Message, frozen=True, tag=12):
    """A retained completion that has not been acknowledged for a while.

    It is sent to the entry of the run, or to all entries if that is gone or does
    not acknowledge it.
    """

    job: ids.JobId
    step: int
    index_in_step: int
    run_number: int
    outcome: Outcome
    completion_id: CompletionId


class CompletionsAcknowledged(Message, frozen=True, tag=13):
    """Completions that no longer have to be retained."""

    completion_ids: list[CompletionId]


class CompletionsOvertaken(Message, frozen=True, tag=19):
    """Completions after which their tasks may have been started again.

    The endpoint may drop them only once its lease has lapsed since.
    """

    completion_ids: list[CompletionId]


class Straggler(Message, frozen=True, tag=11):
    """A run that is far behind.

    `remaining` is the projected time until its end in seconds, `inf` if the
    run has stalled.
    """

    job: ids.JobId
    run: RunId
    remaining: float


class CrashState(enum.IntEnum):
    """What is known of the loss of an endpoint.

    It is `suspected` to be a crash until the endpoint is back: `confirmed` if
    it is a new incarnation, `refuted` if it is the same one or had left.
    """

    suspected = 1
    confirmed = 2
    refuted = 3


class CrashNotice(Message, frozen=True, tag=15):
    """Notice of the loss of an incarnation of an endpoint, sent to all entries.

    `tasks` started just before it, so that one of them may have caused it;
    `bystanders` had run for longer, or may not have started. A later notice of
    the incarnation replaces an earlier one.
    """

    incarnation: int
    state: CrashState
    tasks: list[ids.TaskId]
    bystanders: list[ids.TaskId] = []


class ActiveRuns(Message, frozen=True, tag=10):
    """All active runs of an entry at an agent, sent after a reconnect."""

    runs: list[tuple[ids.JobId, RunId]]


class CheckRuns(Message, frozen=True, tag=16):
    """Question about runs of the sender; those that are not here are refused."""

    runs: list[tuple[ids.JobId, RunId]]


class Load(Message, frozen=True, tag=9):
    """Report of the state of an endpoint.

    `slowness` is the expected ratio of actual to estimated durations.
    `starts_received` is the number of `StartTasks` of this connection that
    `free` accounts for. `forecast` has the cores that runs are expected to leave
    by each time of `forecasts.POINTS_S`; it is empty where nobody looks ahead.
    """

    starts_received: int
    accepting: bool
    free: Resources
    capacity: Resources
    slowness: float
    service: str
    labels: list[str]
    forecast: tuple[int, ...] = ()


class RunStarted(Message, frozen=True, tag=18):
    """Notice that the endpoint has accepted a run of a stored job.

    It is sent again after a reconnect while the run is active.
    """

    job: ids.JobId
    run: RunId


class EvacuatedZones(Message, frozen=True, tag=17):
    """The zones in which no task may start, as of a revision of the store."""

    revision: int
    zones: list[str]


# Messages of an agent that are for the owner of a stored job.
OwnerMessage = UnackedCompletion | RunStarted
AnyMessage = (
    AgentHello
    | EntryHello
    | Entries
    | StartTasks
    | StopTasks
    | Ping
    | Pong
    | Refused
    | Completion
    | Load
    | ActiveRuns
    | Straggler
    | UnackedCompletion
    | CompletionsAcknowledged
    | CrashNotice
    | CheckRuns
    | EvacuatedZones
    | RunStarted
    | CompletionsOvertaken
)
