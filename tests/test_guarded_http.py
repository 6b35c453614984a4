"""Tests of HTTP connections and bodies within limits."""

import asyncio
import contextlib
import socket
import typing
import unittest

from aiohttp import web_request, web_response

from poplardrum import errors
from poplardrum.dispatch import (
    body_reading,
    guarded_http,
    lifecycle,
    memory_budget,
    metrics,
    process_guard,
)
from poplardrum.standins import ports
from tests import dispatch_world

_MB: typing.Final = 1_000_000
_HEAD: typing.Final = (
    b'POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
)
_LARGE: typing.Final = 262_144


class GuardedCase(unittest.IsolatedAsyncioTestCase):
    """Set-up: a listener with a budget of 1 MB that returns a body's length."""

    async def asyncSetUp(self) -> None:
        """Serve."""
        self.guard = process_guard.for_process(metrics.Metrics(), 0, 400)
        self.guard.budget = memory_budget.MemoryBudget(_MB)
        self.callers = self.guard.at('callers')
        self.address = ('127.0.0.1', ports.free_ports(1)[0])
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        # Bodies arrive in many parts, as they do at a busy process.
        listener = self.stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        listener.setblocking(False)
        listener.bind(self.address)
        listener.listen()
        await lifecycle.serve_http(
            self.stack,
            self.handle,
            self.address,
            {self.address: listener},
            self.callers,
        )

    async def handle(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        """Return the length of the body, or 404 without reading it."""
        if request.path == '/none':
            return web_response.Response(status=404)
        try:
            body = await body_reading.read(request)
        except errors.PoplardrumError as error:
            return web_response.Response(status=503, text=error.code.value)
        return web_response.Response(text=str(len(body)))

    async def connect(
        self, content: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection over which bytes were sent."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.stack.callback(writer.close)
        writer.write(content)
        return reader, writer

    async def exchange(self, content: bytes) -> bytes:
        """Send bytes and return the status line."""
        reader, _ = await self.connect(content)
        async with asyncio.timeout(10):
            return await reader.readline()

    async def hold(self, size: int) -> None:
        """Wait until this many bytes are held."""
        await dispatch_world.wait_until(lambda: self.guard.budget.held >= size)


class TestBodies(GuardedCase):
    """Bodies within the budget, and beyond it."""

    async def test_whole_bodies(self) -> None:
        """Guards against bytes that stay charged, or a body that is cut."""
        reader, writer = await self.connect(b'')
        for _ in range(8):
            writer.write(_HEAD % (b'', _LARGE) + b' ' * _LARGE)
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b' 200 ', head)
            self.assertEqual(await reader.readexactly(6), b'262144')
        self.assertEqual(self.guard.budget.held, 0)

    async def test_declared_beyond_the_budget(self) -> None:
        """Guards against a body that is read before it is refused."""
        await self.connect(_HEAD % (b'', 400_000))
        await self.hold(400_000)
        status = await self.exchange(_HEAD % (b'', 500_000))
        self.assertIn(b' 503 ', status)
        self.assertIn(b' 200 ', await self.exchange(_HEAD % (b'', 1) + b'x'))

    async def test_too_large(self) -> None:
        """Guards against a body longer than any that is legal."""
        await self.exchange(_HEAD % (b'', 10 * _MB))
        self.assertEqual(self.guard.causes, {process_guard.Cause.too_large: 1})

    async def test_body_that_is_not_needed(self) -> None:
        """Guards against a refusal that is lost in a reset connection."""
        reader, writer = await self.connect(b'')
        for _ in range(2):
            writer.write(_HEAD % (b'none', _LARGE) + b' ' * _LARGE)
            async with asyncio.timeout(10):
                head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b' 404 ', head)

    async def test_closed_connections_hold_nothing(self) -> None:
        """Guards against a budget that shrinks with each lost client."""
        _, writer = await self.connect(_HEAD % (b'', _LARGE) + b' ' * 1000)
        await self.hold(_LARGE)
        writer.transport.abort()
        await dispatch_world.wait_until(lambda: not self.guard.budget.held)
        self.assertFalse(self.callers.limit.addresses)
        self.assertFalse(self.guard.budget.incomplete)


class TestTimes(GuardedCase):
    """Times in which each state must end."""

    async def check_closed(self, content: bytes, after_s: float) -> None:
        """Check that a connection is open until a time, and then closed."""
        reader, _ = await self.connect(content)
        await dispatch_world.wait_until(
            lambda: len(self.callers.limit.addresses) == 1
        )
        if content:
            await self.hold(len(content))
        now = asyncio.get_running_loop().time()
        self.guard.review(now + after_s - 2)
        self.assertEqual(self.guard.budget.closing, 0)
        self.assertFalse(self.guard.causes)
        self.guard.review(now + after_s + 2)
        async with asyncio.timeout(10):
            with contextlib.suppress(ConnectionError):
                self.assertEqual(await reader.read(), b'')

    async def test_idle(self) -> None:
        """Guards against idle connections that stay for ever."""
        await self.check_closed(b'', guarded_http.IDLE_TIMEOUT_S)

    async def test_header(self) -> None:
        """Guards against headers without an end."""
        await self.check_closed(b'POST / HT', guarded_http.HEADER_TIMEOUT_S)

    async def test_body(self) -> None:
        """Guards against bodies without an end."""
        content = _HEAD % (b'', 5000) + b'x'
        await self.check_closed(content, guarded_http.BODY_TIMEOUT_S)
