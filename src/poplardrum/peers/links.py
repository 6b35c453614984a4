"""Links: one bidirectional stream of frames to each peer.

Each link has a reader and a writer task. A link on which no frame arrived for
longer than the silence limit is closed, since a peer that is suspended keeps
its connection open.
"""

import asyncio
import contextlib
import logging
import time
import typing

from grpclib import client, const, exceptions
from grpclib import server as grpc_server

from poplardrum import ids
from poplardrum.peers import codec, frames, handlers, messages, outbox

if typing.TYPE_CHECKING:
    from poplardrum import settings
    from poplardrum.daemons import node

logger = logging.getLogger(__name__)

LINK_ROUTE: typing.Final = '/poplardrum.Peer/Link'
JOIN_ROUTE: typing.Final = '/poplardrum.Peer/Join'
_BACKOFF_START_S: typing.Final = 0.05
_BACKOFF_MAX_S: typing.Final = 1.0
_STALL_THRESHOLD_S: typing.Final = 1.0
_MIN_WAIT_S: typing.Final = 0.05
_CLOSE_TIMEOUT_S: typing.Final = 1.0
RPC_ERRORS: typing.Final = (
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)
_CONNECTION_ERRORS: typing.Final = (
    OSError,
    EOFError,
    TimeoutError,
    *RPC_ERRORS,
)


class FrameStream(typing.Protocol):
    """The part of a grpclib stream that a link uses."""

    async def send_message(self, message: frames.Frame) -> None:
        """Write one frame."""

    async def recv_message(self) -> frames.Frame | None:
        """Read one frame; `None` at the end of the stream."""


class Link:
    """Open link to a peer, with the state that its frames reported."""

    def __init__(self, member: messages.Member, *, dialed: bool) -> None:
        """Create a link to the peer that the first frame described."""
        self.member = member
        self.dialed = dialed
        self.outbox = outbox.Outbox()
        self.load: messages.Load | None = None
        self.config_number = ids.ConfigNumber(0)
        self.offered_config_number = ids.ConfigNumber(0)
        self.last_seen = time.monotonic()
        self.min_clock_offset = float('inf')
        self.frame_age = 0.0
        self.peer_sent_at = 0.0
        self.echo = 0.0
        self.frames_sent = 0
        self.frames_received = 0

    @property
    def is_open(self) -> bool:
        """Return whether items can still be queued."""
        return not (self.outbox.is_closed or self.outbox.is_ending)

    def send(self, item: frames.AnyItem) -> bool:
        """Queue an item; return `False` when the link is closed."""
        return self.outbox.put(item)

    def record_frame(self, frame: frames.Frame) -> None:
        """Record load, configuration number and age of a received frame.

        The smallest difference between the two clocks so far is taken as that
        of a frame without delay; `frame_age` is the delay beyond it.
        """
        now = time.monotonic()
        self.last_seen = now
        self.frames_received += 1
        self.config_number = frame.config_number
        if frame.load is not None:
            self.load = frame.load
        self.min_clock_offset = min(self.min_clock_offset, now - frame.sent_at)
        self.frame_age = now - frame.sent_at - self.min_clock_offset
        self.peer_sent_at = frame.sent_at
        self.echo = frame.echo


class LocalLink(Link):
    """Link from a process to itself, without a connection."""

    def __init__(self, process: 'node.Node') -> None:
        """Create a link that delivers items to `process`."""
        super().__init__(process.member, dialed=True)
        self.process = process
        self.load = None

    def send(self, item: frames.AnyItem) -> bool:
        """Schedule the delivery of an item; the order of items is kept."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self.deliver, item, time.monotonic())
        return True

    def deliver(self, item: frames.AnyItem, sent_at: float) -> None:
        """Pass an item to its handler.

        The age of the frame includes a pause of the process.
        """
        self.frame_age = time.monotonic() - sent_at
        handlers.receive(item, self.process, self)


async def dial(process: 'node.Node', member: messages.Member) -> None:
    """Keep a link to `member` open until this task is cancelled.

    Failed connections are retried with jittered exponential back-off.
    """
    delay = _BACKOFF_START_S
    while True:
        started = time.monotonic()
        try:
            await _run_outgoing(process, member)
        except _CONNECTION_ERRORS as error:
            logger.debug('link to %s: %r', member.id, error)
            process.dial_failed(member, error)
        if time.monotonic() - started > _BACKOFF_MAX_S:
            delay = _BACKOFF_START_S
        await asyncio.sleep(delay * process.random.uniform(0.5, 1))
        delay = min(delay * 2, _BACKOFF_MAX_S)


async def _run_outgoing(
    process: 'node.Node',
    member: messages.Member,
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        channel = client.Channel(
            member.host,
            member.port,
            codec=codec.MessagePackCodec(),
        )
        stack.callback(channel.close)
        method = client.StreamStreamMethod(
            channel,
            LINK_ROUTE,
            frames.Frame,
            frames.Frame,
        )
        stream = await stack.enter_async_context(method.open())
        revision = process.view.revision
        async with asyncio.timeout(process.settings.peers.silence):
            await stream.send_request()
            await stream.send_message(_hello(process))
            first = await stream.recv_message()
        await _serve(process, stream, first, revision, dialed=True)
        await stream.cancel()


def _hello(process: 'node.Node') -> frames.Frame:
    return process.build_frame(
        [
            messages.Hello(process.member, process.known_members()),
        ]
    )


async def _serve(
    process: 'node.Node',
    stream: FrameStream,
    first: frames.Frame | None,
    revision: int,
    *,
    dialed: bool,
) -> None:
    if first is None or not isinstance(first.items[0], messages.Hello):
        return
    link = Link(first.items[0].member, dialed=dialed)
    async with contextlib.AsyncExitStack() as stack:
        # Both tasks start at the first await below, after the hello frame.
        tasks = (
            asyncio.ensure_future(_write(process, stream, link)),
            asyncio.ensure_future(_read(process, stream, link)),
        )
        stack.push_async_callback(_cancel, tasks)
        process.link_up(link)
        stack.callback(process.link_down, link)
        if process.view.revision != revision:
            # The view has changed since the hello frame was built.
            link.send(messages.View(process.known_members()))
        _receive_frame(process, link, first)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


async def _cancel(tasks: tuple[asyncio.Future[None], ...]) -> None:
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(outcome, (*_CONNECTION_ERRORS, type(None))):
            if not isinstance(outcome, asyncio.CancelledError):
                logger.error('link failed', exc_info=outcome)


async def _write(
    process: 'node.Node',
    stream: FrameStream,
    link: Link,
) -> None:
    limits = process.settings.peers
    while not link.outbox.is_closed:
        started = time.monotonic()
        items = await link.outbox.take(_wait_timeout_s(link, limits, started))
        overrun = time.monotonic() - started - limits.heartbeat
        if overrun > _STALL_THRESHOLD_S:
            # The event loop of this process was stalled: let the reader run
            # first, since frames of the peer may be waiting unread.
            await asyncio.sleep(0)
        elif time.monotonic() - link.last_seen > limits.silence:
            logger.warning('peer %s is silent', link.member.id)
            return
        if items:
            link.frames_sent += 1
            async with asyncio.timeout(limits.silence):
                await stream.send_message(
                    process.build_frame(items, link.peer_sent_at)
                )
        elif link.outbox.is_ending:
            return


def _wait_timeout_s(link: Link, limits: 'settings.Peers', now: float) -> float:
    remaining = link.last_seen + limits.silence - now
    return min(limits.heartbeat, max(_MIN_WAIT_S, remaining))


async def _read(
    process: 'node.Node',
    stream: FrameStream,
    link: Link,
) -> None:
    while not link.outbox.is_closed:
        frame = await stream.recv_message()
        if frame is None:
            return
        _receive_frame(process, link, frame)


def _receive_frame(
    process: 'node.Node',
    link: Link,
    frame: frames.Frame,
) -> None:
    link.record_frame(frame)
    process.frame_received(link)
    for item in frame.items:
        try:
            handlers.receive(item, process, link)
        except Exception:
            # An error in one handler must not close the link for the others.
            logger.exception('handler of %s failed', type(item).__name__)


async def join(
    process: 'node.Node',
    address: tuple[str, int],
) -> list[messages.Member]:
    """Send a join request; return the peer's members.

    Raises a connection error if the peer does not reply.
    """
    async with contextlib.AsyncExitStack() as stack:
        channel = client.Channel(*address, codec=codec.MessagePackCodec())
        stack.callback(channel.close)
        method: typing.Any = client.UnaryUnaryMethod(
            channel,
            JOIN_ROUTE,
            frames.JoinRequest,
            frames.JoinReply,
        )
        reply = await method(
            frames.JoinRequest(process.member),
            timeout=process.settings.peers.silence,
        )
    return list(reply.members)


class PeerService:
    """gRPC service for links and join requests of other processes."""

    def __init__(self, process: 'node.Node') -> None:
        """Create the service of `process`."""
        self.process = process

    async def link(self, stream: typing.Any) -> None:
        """Serve one link until either side closes it."""
        silence = self.process.settings.peers.silence
        async with asyncio.timeout(silence):
            first = await stream.recv_message()
            revision = self.process.view.revision
            await stream.send_message(_hello(self.process))
        with contextlib.suppress(*_CONNECTION_ERRORS):
            await _serve(self.process, stream, first, revision, dialed=False)

    async def join(self, stream: typing.Any) -> None:
        """Add the sender to the view and reply with all members."""
        request = await stream.recv_message()
        if request is not None:
            self.process.update_member(request.member)
            await stream.send_message(
                frames.JoinReply(self.process.known_members()),
            )

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the routes in the form of grpclib's generated code."""
        return {
            LINK_ROUTE: const.Handler(
                self.link,
                const.Cardinality.STREAM_STREAM,
                frames.Frame,
                frames.Frame,
            ),
            JOIN_ROUTE: const.Handler(
                self.join,
                const.Cardinality.UNARY_UNARY,
                frames.JoinRequest,
                frames.JoinReply,
            ),
        }


async def serve(
    process: 'node.Node',
    stack: contextlib.AsyncExitStack,
) -> None:
    """Listen for peers until the stack closes."""
    server = grpc_server.Server(
        [PeerService(process)],
        codec=codec.MessagePackCodec(),
    )
    await server.start(*process.settings.listen.peers)
    stack.push_async_callback(_close, server)


async def flush_and_close(process: 'node.Node') -> None:
    """Write the queued items, then close all links of `process`."""
    for link in process.all_links():
        link.outbox.finish()
    deadline = time.monotonic() + _CLOSE_TIMEOUT_S
    while process.all_links() and time.monotonic() < deadline:
        await asyncio.sleep(_MIN_WAIT_S / 5)


async def _close(server: grpc_server.Server) -> None:
    # `wait_closed` waits for all connections, and a suspended peer never
    # closes its own.
    server.close()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_CLOSE_TIMEOUT_S):
            await server.wait_closed()
