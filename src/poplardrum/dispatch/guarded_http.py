"""HTTP connections within the limits of the process.

Bytes are charged as they arrive, before they are parsed. A connection is in one of
these states, each with a time in which it must end: it waits for a request, a
header or a body is incomplete, or a request is handled, which has no limit here.
"""

import asyncio
import math
import typing

from aiohttp import (
    abc,
    http_parser,
    streams,
    web_protocol,
    web_request,
    web_response,
    web_server,
)

from poplardrum.dispatch import memory_budget, process_guard

# All three exceed what clients of the users' platform are promised.
IDLE_TIMEOUT_S: typing.Final = 60.0
HEADER_TIMEOUT_S: typing.Final = 6.0
BODY_TIMEOUT_S: typing.Final = 15.0
MAX_HEADER_BYTES: typing.Final = 64 * 1024
# A body is refused by its declared length, or once it is longer.
MAX_BODY_BYTES: typing.Final = 512 * 1024
# Parts of a body in flight between two passes of the event loop.
_READ_BUFFER_BYTES: typing.Final = 32 * 1024
_RETRY_AFTER_S: typing.Final = 1
_BUSY_RESPONSE: typing.Final = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Type: application/json\r\nContent-Length: 2\r\n'
    b'Retry-After: %d\r\nConnection: close\r\n\r\n{}' % _RETRY_AFTER_S
)

Handler = typing.Callable[
    [web_request.BaseRequest], typing.Awaitable[web_response.Response]
]


class GuardedProtocol(web_protocol.RequestHandler):
    """Serves the requests of one connection within the limits."""

    __slots__ = (
        'account',
        'beyond',
        'expires_at',
        'guard',
        'in_request',
        'refused',
        'socket',
    )

    def __init__(
        self,
        guard: process_guard.ListenerGuard,
        server: web_server.Server,
        **options: typing.Any,
    ) -> None:
        """Create the protocol of a connection that is not open yet."""
        super().__init__(server, **options)
        self.guard = guard
        self.account = memory_budget.Account('', self._abort)
        self.expires_at = math.inf
        self.in_request = False
        # Whether the rest of the body is not read, and the connection closed.
        self.refused = False
        # Bytes that arrived behind the request that is handled.
        self.beyond = 0
        self.socket: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit a connection."""
        super().connection_made(transport)
        self.socket = self.transport
        peer = transport.get_extra_info('peername')
        self.account.address = peer[0] if peer else ''
        self.expires_at = self._loop.time() + IDLE_TIMEOUT_S
        self.guard.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what the connection held."""
        self.expires_at = math.inf
        super().connection_lost(exc)
        self.guard.forget(self)
        self.socket = None

    def data_received(self, data: bytes) -> None:
        """Charge what has arrived, then parse it."""
        account = self.account
        if account.closing:
            return
        now = self._loop.time()
        if not self.in_request and not account.held:
            self.expires_at = now + HEADER_TIMEOUT_S
            self.guard.budget.begin(account, now)
        if not self.guard.budget.arrive(account, len(data), now):
            self._refuse()
            return
        super().data_received(data)
        if self.in_request:
            self._check_beyond(len(data))
        elif account.held > MAX_HEADER_BYTES and not self._messages:
            self.guard.close(self, process_guard.Cause.header)

    def late_cause(self) -> process_guard.Cause:
        """Return why it is closed when its time is over."""
        if self.in_request or self.account.held:
            return process_guard.Cause.too_slow
        return process_guard.Cause.idle

    def begin_request(self, content: streams.StreamReader) -> None:
        """Record that a request's header is complete."""
        self.in_request = True
        self.guard.limit.begin_request(self)
        if content.is_eof():
            self.complete_body()
        else:
            self.expires_at = self._loop.time() + BODY_TIMEOUT_S

    def expect_body(self, size: int, timeout_s: float) -> bool:
        """Charge the declared size of a body; return whether it may be read."""
        now = self._loop.time()
        self.expires_at = now + min(timeout_s, BODY_TIMEOUT_S)
        account = self.account
        return self.hold(max(size - account.held, 0), declared=True)

    def complete_body(self) -> None:
        """Record that the request has arrived as a whole."""
        self.expires_at = math.inf
        self.guard.budget.complete(self.account)

    def hold(self, size: int, *, declared: bool = False) -> bool:
        """Charge bytes for this request; return whether they fit."""
        budget = self.guard.budget
        charge = budget.declare if declared else budget.charge
        if charge(self.account, size, self._loop.time()):
            return True
        self.refuse(process_guard.Cause.memory)
        return False

    def refuse(self, cause: process_guard.Cause) -> None:
        """Close the connection after the response, without reading on."""
        self.refused = True
        self.guard.process.count(cause)

    def end_request(self) -> None:
        """Free what the request held; wait for the next one."""
        now = self._loop.time()
        budget = self.guard.budget
        self.in_request = False
        budget.complete(self.account)
        if not self._messages:
            budget.keep(self.account, self.beyond)
        self.beyond = 0
        if self.account.held:
            self.expires_at = now + HEADER_TIMEOUT_S
            budget.begin(self.account, now)
        else:
            self.expires_at = now + IDLE_TIMEOUT_S
        self.guard.limit.end_request(self)

    def _check_beyond(self, size: int) -> None:
        """Limit what a client sends before it has its response."""
        if self.expires_at == math.inf:
            self.beyond += size
            if self.beyond > MAX_HEADER_BYTES:
                self.guard.close(self, process_guard.Cause.header)

    def _refuse(self) -> None:
        """Refuse bytes that don't fit, before they are parsed."""
        if not self.in_request and self.socket is not None:
            self.socket.write(_BUSY_RESPONSE)
            self.socket.close()
        self.guard.close(self, process_guard.Cause.memory)

    def _abort(self) -> None:
        if self.socket is not None and not self.socket.is_closing():
            self.socket.abort()


class GuardedServer(web_server.Server):
    """An HTTP server whose connections are within limits."""

    def __init__(
        self, guard: process_guard.ListenerGuard, handler: Handler
    ) -> None:
        """Serve requests by a handler; it may be cancelled."""
        super().__init__(
            _guarded(handler),
            request_factory=_make_request,
            handler_cancellation=True,
        )
        self.guard = guard

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol of a new connection."""
        return GuardedProtocol(
            self.guard,
            self,
            loop=self._loop,
            access_log=None,
            tcp_keepalive=False,
            lingering_time=0,
            read_bufsize=_READ_BUFFER_BYTES,
        )


def _make_request(
    message: http_parser.RawRequestMessage,
    payload: streams.StreamReader,
    connection: web_protocol.RequestHandler,
    writer: abc.AbstractStreamWriter,
    task: 'asyncio.Task[None]',
) -> web_request.BaseRequest:
    """Return a request as soon as it is taken from those that were parsed.

    Its handler starts a pass of the event loop later, and more of the body may
    arrive until then.
    """
    assert isinstance(connection, GuardedProtocol)
    connection.begin_request(payload)
    return web_request.BaseRequest(
        message, payload, connection, writer, task, task.get_loop()
    )


def _guarded(handler: Handler) -> Handler:
    """Return a handler that keeps the state of the connection."""

    async def handle(request: web_request.BaseRequest) -> web_response.Response:
        connection = request.protocol
        assert isinstance(connection, GuardedProtocol)
        try:
            response = await handler(request)
            if not request.content.is_eof():
                await _discard_body(request, connection)
        finally:
            connection.end_request()
        if connection.refused:
            response.force_close()
        return response

    return handle


async def _discard_body(
    request: web_request.BaseRequest, connection: GuardedProtocol
) -> None:
    """Read a body that was not needed, so that the client gets its response."""
    size = 0
    while not (connection.refused or request.content.is_eof()):
        size += len(await request.content.readany())
        if size > MAX_BODY_BYTES:
            connection.refuse(process_guard.Cause.too_large)
