"""Messages between entries and agents, and their frames."""

import asyncio
import enum
import typing

import msgspec

from poplardrum import errors, ids, ini

_LENGTH_BYTES: typing.Final = 4
MAX_FRAME_BYTES: typing.Final = 4 * 1024 * 1024


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class AgentHello(Message, frozen=True, tag=1):
    """First message of an agent; an incarnation is one process start."""

    node: str
    zone: str
    incarnation: ids.Incarnation


class EntryHello(Message, frozen=True, tag=2):
    """First message of an entry; a new incarnation knows no older task."""

    node: str
    zone: str
    incarnation: ids.Incarnation


class Entries(Message, frozen=True, tag=3):
    """Addresses of all entries that the sender knows."""

    addresses: list[ini.Address]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Room that a task takes; `cpu` is in thousandths of a core."""

    cpu_millicores: int
    memory_mb: int
    gpus: int

    def covers(self, need: 'Resources') -> bool:
        """Return whether this room is enough."""
        return (
            self.cpu_millicores >= need.cpu_millicores
            and self.memory_mb >= need.memory_mb
            and self.gpus >= need.gpus
        )

    def minus(self, *taken: 'Resources') -> 'Resources':
        """Return the room that is left."""
        return Resources(
            self.cpu_millicores - sum(need.cpu_millicores for need in taken),
            self.memory_mb - sum(need.memory_mb for need in taken),
            self.gpus - sum(need.gpus for need in taken),
        )


class RunId(msgspec.Struct, frozen=True, array_like=True):
    """One task by its position in the job, and the number of this run."""

    task_index: int
    number: int


class StartTasks(Message, frozen=True, tag=4):
    """Start tasks of one step; each is answered by `Refused` or `Ended`.

    `first` is the index of the step's first task in the job. Ends of tasks
    of a `stored` job are kept by the endpoint until `EndsAcknowledged` names them;
    `saved` has the checkpoints to resume from, by index.
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


class StopTasks(Message, frozen=True, tag=5):
    """Stop tasks of one job; each is answered by `Ended`."""

    job: ids.JobId
    task_indexes: list[int]


class Ping(Message, frozen=True, tag=6):
    """Sign of life when nothing else was sent."""


class Refusal(enum.IntEnum):
    """Why an agent did not start a task."""

    no_room = 1
    not_accepting = 2
    conflict = 3
    endpoint = 4


class Refused(Message, frozen=True, tag=7):
    """Runs that have not started and never will."""

    job: ids.JobId
    runs: list[RunId]
    reason: Refusal


class Outcome(enum.IntEnum):
    """How a run that may have started has ended."""

    done = 1
    failed = 2
    stopped = 3
    lost = 4


class CompletionId(msgspec.Struct, frozen=True, array_like=True):
    """Name of an end that an endpoint remembers: its life and number."""

    incarnation: int
    number: int


class Completion(Message, frozen=True, tag=8):
    """End of one run; nothing of it is left at the endpoint.

    With a `end_id` the endpoint remembers it until `EndsAcknowledged` names it.
    `saved` is the checkpoint of the run.
    """

    job: ids.JobId
    run: RunId
    outcome: Outcome
    completion_id: CompletionId | None = None
    checkpoint: str = ''


class UnackedCompletion(Message, frozen=True, tag=12):
    """An end that is remembered and was not noted for a while.

    It goes to the entry of the run, and to all entries if that is gone.
    """

    job: ids.JobId
    step: int
    index_in_step: int
    run_number: int
    outcome: Outcome
    completion_id: CompletionId


class CompletionsAcknowledged(Message, frozen=True, tag=13):
    """Ends that need not be remembered any more."""

    completion_ids: list[CompletionId]


class Straggler(Message, frozen=True, tag=11):
    """A run that is far behind; `remaining` seconds are left, or `inf`."""

    job: ids.JobId
    run: RunId
    remaining: float


class ActiveRuns(Message, frozen=True, tag=10):
    """All runs of an entry at an agent when the two connect again."""

    runs: list[tuple[ids.JobId, RunId]]


class Load(Message, frozen=True, tag=9):
    """Room that is free at an endpoint, of its capacity.

    `slowness` is the usual ratio of the real to the estimated time;
    `orders` counts the `StartTasks` of this connection that it includes.
    """

    starts_received: int
    accepting: bool
    free: Resources
    capacity: Resources
    slowness: float
    service: str
    labels: list[str]


AnyMessage = (
    AgentHello
    | EntryHello
    | Entries
    | StartTasks
    | StopTasks
    | Ping
    | Refused
    | Completion
    | Load
    | ActiveRuns
    | Straggler
    | UnackedCompletion
    | CompletionsAcknowledged
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AnyMessage])


class Link:
    """One connection to a peer.

    Messages of one turn of the event loop leave in one frame.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take over a connection."""
        self.reader = reader
        self.writer = writer
        self.pending: list[Message] = []
        self.sent_at = 0.0
        self.starts_received = 0
        self.zone = ''
        self.load_sent_at = 0.0
        self.closed = False

    def send(self, message: Message) -> None:
        """Queue a message for the next frame."""
        if self.closed:
            return
        if not self.pending:
            asyncio.get_running_loop().call_soon(self.flush)
        self.pending.append(message)

    def flush(self) -> None:
        """Write the queued messages as one frame.

        A peer that does not read loses its connection, since memory is
        bounded and its silence ends the work behind it anyway.
        """
        if self.closed or not self.pending:
            return
        body = _encoder.encode(self.pending)
        self.pending = []
        length = len(body).to_bytes(_LENGTH_BYTES, 'big')
        self.sent_at = asyncio.get_running_loop().time()
        self.writer.write(length + body)
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_FRAME_BYTES:
            self.abort()

    async def receive(self, limit: float) -> list[AnyMessage]:
        """Return the next frame.

        Raise `link_lost` when the peer is silent for `limit` seconds, has
        closed or sends what cannot be read.
        """
        try:
            async with asyncio.timeout(limit):
                head = await self.reader.readexactly(_LENGTH_BYTES)
                length = int.from_bytes(head, 'big')
                if length > MAX_FRAME_BYTES:
                    raise ValueError(f'frame of {length} bytes')
                body = await self.reader.readexactly(length)
            return _decoder.decode(body)
        except TimeoutError:
            raise _link_lost(f'silent for {limit:g} s') from None
        except (EOFError, OSError, ValueError) as error:
            raise _link_lost(repr(error)) from None

    def abort(self) -> None:
        """Close without waiting for queued bytes."""
        if not self.closed:
            self.closed = True
            self.writer.transport.abort()

    def ping_if_idle(self, interval: float) -> None:
        """Send a sign of life when nothing was sent for `interval`."""
        now = asyncio.get_running_loop().time()
        if now - self.sent_at >= interval and not self.pending:
            self.send(Ping())


def _link_lost(message: str) -> errors.PoplardrumError:
    return errors.uncertain_outcome(errors.Code.link_lost, message)
