"""Signals, background tasks and servers of a process."""

import asyncio
import contextlib
import logging
import os
import signal
import typing

from aiohttp import web

from poplardrum import ini
from poplardrum.dispatch import messages
from poplardrum.platform import listeners

logger = logging.getLogger(__name__)

_FAULT_EXIT_CODE: typing.Final = 70
_LISTEN_BACKLOG: typing.Final = 1024
# Time for requests that arrive while a server closes.
SHUTDOWN_TIMEOUT_S: typing.Final = 0.9

HttpHandler = typing.Callable[[web.BaseRequest], typing.Awaitable[web.Response]]


def stop_event() -> asyncio.Event:
    """Return an event that is set by SIGTERM and SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    return stopping


def reload_event() -> asyncio.Event:
    """Return an event that is set by SIGHUP."""
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    return reload_requested


def supervise(
    coroutine: typing.Coroutine[typing.Any, typing.Any, None],
) -> asyncio.Task[None]:
    """Run a background task; an exception in it ends the process."""
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(_exit_on_error)
    return task


def _exit_on_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logger.critical('background task failed', exc_info=error)
        # A process that has lost a background task is replaced as a whole.
        os._exit(_FAULT_EXIT_CODE)


@contextlib.contextmanager
def keep_alive(
    link: messages.Link,
    interval: float,
) -> typing.Iterator[None]:
    """Send keep-alive messages on an idle link; abort the link at the end."""
    pinging = asyncio.ensure_future(_send_pings(link, interval))
    try:
        yield
    finally:
        pinging.cancel()
        link.abort()


async def _send_pings(link: messages.Link, interval: float) -> None:
    while not link.closed:
        link.ping_if_idle(interval / 2)
        await asyncio.sleep(interval)


ConnectionHandler = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]


async def serve_connections(
    stack: contextlib.AsyncExitStack,
    handler: ConnectionHandler,
    address: ini.Address,
    listening: listeners.Listeners,
) -> None:
    """Accept connections at an address until the stack closes."""
    listener = listening.get(address)
    if listener is not None:
        server = await asyncio.start_server(handler, sock=listener)
    else:
        server = await asyncio.start_server(handler, *address)
    stack.callback(server.close)


async def serve_http(
    stack: contextlib.AsyncExitStack,
    handler: HttpHandler,
    address: ini.Address,
    listening: listeners.Listeners,
) -> None:
    """Serve HTTP at an address until the stack closes."""
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        tcp_keepalive=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    listener = listening.get(address)
    if listener is not None:
        await web.SockSite(runner, listener, backlog=_LISTEN_BACKLOG).start()
        return
    host, port = address
    await web.TCPSite(runner, host, port, backlog=_LISTEN_BACKLOG).start()
