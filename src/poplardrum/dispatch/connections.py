"""Connections between entries and agents, which carry frames of messages."""

import asyncio
import contextlib
import logging
import typing

import msgspec

from poplardrum import decoding, errors
from poplardrum.dispatch import (
    clocks,
    confirmation,
    messages,
    owner_lease,
    timing,
)

logger = logging.getLogger(__name__)

_LENGTH_BYTES: typing.Final = 4
MAX_FRAME_BYTES: typing.Final = 4 * 1024 * 1024
# The first frame of a peer, which may be a stranger.
_MAX_HELLO_FRAME_BYTES: typing.Final = 64 * 1024
_READ_BYTES: typing.Final = 64 * 1024

HelloMessage = typing.TypeVar(
    'HelloMessage', messages.AgentHello, messages.EntryHello
)

# Returns for how long an entry's stored jobs may run from now on.
GrantOwnerLease = typing.Callable[[], messages.OwnerLeaseGrant]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[messages.AnyMessage])


class Unread(bytearray):
    """Bytes that were read and not decoded yet, and their limits.

    `max_frame` is the longest frame. `may_hold` returns whether this many bytes
    may be held.
    """

    max_frame = MAX_FRAME_BYTES
    may_hold: typing.Callable[[int], bool] | None = None


class Link:
    """A connection to a peer.

    Messages that are sent in one iteration of the event loop share a frame.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        grant_owner_lease: GrantOwnerLease | None = None,
    ) -> None:
        """Wrap an open connection; an entry grants a lease with each pong."""
        self.reader = reader
        self.writer = writer
        self.pending: list[messages.Message] = []
        self.unread = Unread()
        self.starts_received = 0
        self.zone = ''
        # The last load that was sent, and when.
        self.load_sent: messages.Load | None = None
        self.load_sent_at = 0.0
        # Returns a message to append to a frame that is being written.
        self.trailer: typing.Callable[[], messages.Message | None] | None = None
        self.closed = False
        # Times are of `clocks.now`. A link is stale while a ping has no reply.
        self.last_received_at = clocks.now()
        self.confirmation = confirmation.Confirmation()
        # The peer's lease on its stored jobs, if it is an entry.
        self.owner_lease = owner_lease.OwnerLease()
        # Set here alone: an agent must never grant a lease.
        self._grant_owner_lease = grant_owner_lease
        self.busy_since: float | None = None
        self.is_stale = False
        self.received = asyncio.Event()

    def send(self, message: messages.Message) -> None:
        """Queue a message for the next frame."""
        if self.closed:
            return
        if not self.pending:
            asyncio.get_running_loop().call_soon(self.flush)
        self.pending.append(message)

    def flush(self) -> None:
        """Write the queued messages as one frame.

        The connection of a peer that does not read is aborted: memory is
        bounded, and the runs of a peer that is silent are stopped anyway.
        """
        if self.closed or not self.pending:
            return
        if self.writer.transport.is_closing():
            # The end of the connection has not been read yet.
            self.abort()
            return
        if self.trailer is not None:
            trailer = self.trailer()
            if trailer is not None:
                self.pending.append(trailer)
        pending, self.pending = self.pending, []
        try:
            body = _encoder.encode(pending)
        except (OverflowError, TypeError, ValueError):
            # The peer reconnects, and both sides compare their active runs.
            logger.exception('cannot encode a frame')
            self.abort()
            return
        length = len(body).to_bytes(_LENGTH_BYTES, 'big')
        self.writer.write(length + body)
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_FRAME_BYTES:
            self.abort()

    def ping(self) -> None:
        """Ask for a sign of life."""
        self.send(self.confirmation.next_ping(clocks.now()))

    def ping_if_older(self, time: float) -> None:
        """Ping the peer unless a ping was sent after a time."""
        if self.confirmation.pinged_at < time:
            self.ping()

    async def confirm(self, timeout_s: float) -> bool:
        """Return whether the peer is there now; ping it if that is in doubt."""
        if self.confirmation.needs_ping():
            self.ping()
        await self._wait_for(self.confirmation.is_given, timeout_s)
        return self.confirmation.is_given() and not self.closed

    async def ask_for_owner_lease(self, since: float, timeout_s: float) -> bool:
        """Return whether the peer's stored jobs may start; ping it if in doubt.

        A ping that was sent at `since` or later is not repeated.
        """
        if not self._may_start_stored_jobs():
            self.ping_if_older(since)
            await self._wait_for(self._may_start_stored_jobs, timeout_s)
        return self._may_start_stored_jobs() and not self.closed

    def _may_start_stored_jobs(self) -> bool:
        return self.owner_lease.may_start(clocks.now())

    async def _wait_for(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> None:
        """Wait until received messages make a condition hold."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not (self.closed or condition()):
                    await self.received.wait()

    def set_busy(self, busy: bool) -> None:
        """Record whether this side depends on the peer."""
        if not busy:
            self.busy_since = None
        elif self.busy_since is None:
            self.busy_since = clocks.now()

    async def receive(
        self, timeout_s: float | None = None
    ) -> list[messages.AnyMessage]:
        """Return the messages of all frames that have arrived; answer pings.

        Raise `link_lost` if the peer sends nothing for `timeout_s`, has closed
        the connection or sends an invalid frame. Without a timeout, the keep-alive
        of the process aborts a silent link.
        """
        try:
            if timeout_s is None:
                received = await self._read_messages()
            else:
                async with asyncio.timeout(timeout_s):
                    received = await self._read_messages()
        except TimeoutError:
            raise _link_lost(f'silent for {timeout_s:g} s') from None
        except (EOFError, OSError, ValueError) as error:
            raise _link_lost(repr(error)) from None
        self._record_frame(received)
        return received

    async def _read_messages(self) -> list[messages.AnyMessage]:
        while True:
            received = self._take_messages()
            may_hold = self.unread.may_hold
            if may_hold is not None and not may_hold(len(self.unread)):
                raise EOFError('no memory for its frames')
            if received is not None:
                return received
            chunk = await self.reader.read(_READ_BYTES)
            if not chunk:
                raise EOFError('closed by the peer')
            self.unread += chunk

    def _take_messages(self) -> list[messages.AnyMessage] | None:
        """Take the messages of all whole frames, `None` if there is none.

        Raise `ValueError` if the first frame is invalid. A later invalid one is
        left for the next call, so that it does not cost those before it.
        """
        received: list[messages.AnyMessage] | None = None
        start = 0
        try:
            while (frame := self._frame_at(start)) is not None:
                decoded = decoding.decode_message(_decoder, frame)
                start += _LENGTH_BYTES + len(frame)
                received = decoded if received is None else received + decoded
        except ValueError:
            if received is None:
                raise
        if start:
            # Without a slice, which would copy what is left.
            self.unread[:start] = b''
        return received

    def _frame_at(self, start: int) -> bytes | None:
        """Return the body of the frame at an offset if all of it has arrived."""
        body_start = start + _LENGTH_BYTES
        if len(self.unread) < body_start:
            return None
        length = int.from_bytes(self.unread[start:body_start], 'big')
        if length > self.unread.max_frame:
            raise ValueError(f'frame of {length} bytes')
        if len(self.unread) < body_start + length:
            return None
        return bytes(self.unread[body_start : body_start + length])

    def _record_frame(self, received: list[messages.AnyMessage]) -> None:
        now = clocks.now()
        if now - self.last_received_at > timing.CONFIRM_AFTER_S:
            self.confirmation.record_silence()
        self.last_received_at = now
        self.is_stale = False
        for message in received:
            match message:
                case messages.Ping():
                    self._answer(message)
                case messages.Pong():
                    self._record_pong(message)
                case _:
                    pass
        self._wake_waiters()

    def _answer(self, ping: messages.Ping) -> None:
        grant = self._grant_owner_lease
        self.send(messages.Pong(ping.number, grant() if grant else None))

    def _record_pong(self, pong: messages.Pong) -> None:
        asked_at = self.confirmation.record_pong(pong)
        if asked_at is not None:
            self.owner_lease.renew(asked_at, pong.owner_lease)

    def _wake_waiters(self) -> None:
        self.received.set()
        self.received.clear()

    async def receive_hello(
        self, kind: type[HelloMessage], timeout_s: float
    ) -> tuple[HelloMessage, list[messages.AnyMessage]]:
        """Return the hello that a peer sends first, and what follows it.

        Raise `link_lost` as `receive` does, or if the first message is of
        another kind.
        """
        self.unread.max_frame = _MAX_HELLO_FRAME_BYTES
        received = await self.receive(timeout_s)
        self.unread.max_frame = MAX_FRAME_BYTES
        if not received or not isinstance(received[0], kind):
            raise _link_lost('first message is not a hello')
        # Nothing that a delay could make harmful precedes what follows it.
        self.confirmation.reset()
        return received[0], received[1:]

    def abort(self) -> None:
        """Close the connection without sending queued bytes."""
        if not self.closed:
            self.closed = True
            self.writer.transport.abort()
            self._wake_waiters()


def _link_lost(message: str) -> errors.PoplardrumError:
    return errors.uncertain_outcome(errors.Code.link_lost, message)
