"""Signals, background tasks and servers of a process."""

import asyncio
import contextlib
import logging
import os
import signal
import typing

from poplardrum import network_address
from poplardrum.dispatch import (
    clocks,
    guarded_http,
    metrics,
    process_guard,
)
from poplardrum.platform import listeners, settings_file

logger = logging.getLogger(__name__)

_FAULT_EXIT_CODE: typing.Final = 70
_RESTART_DELAY_S: typing.Final = 0.1
_FAILURE_WINDOW_S: typing.Final = 60.0
_MAX_FAILURES: typing.Final = 20
_LISTEN_BACKLOG: typing.Final = 1024
# Time for requests that arrive while a server closes.
SHUTDOWN_TIMEOUT_S: typing.Final = 0.9


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


BackgroundLoop = typing.Callable[
    [], typing.Coroutine[typing.Any, typing.Any, None]
]


def supervise(
    name: str,
    background_loop: BackgroundLoop,
    *,
    restart_delay_s: float = _RESTART_DELAY_S,
    exit_process: typing.Callable[[int], object] = os._exit,
) -> asyncio.Task[None]:
    """Run a background loop, and run it again after an exception.

    A loop that fails too often within a minute ends the process, which is
    then replaced as a whole.
    """
    return asyncio.ensure_future(
        _keep_running(name, background_loop, restart_delay_s, exit_process)
    )


def supervise_all(
    stack: contextlib.AsyncExitStack,
    background_loops: typing.Iterable[tuple[str, BackgroundLoop]],
) -> None:
    """Supervise background loops, with their names, until the stack closes."""
    for name, background_loop in background_loops:
        stack.callback(supervise(name, background_loop).cancel)


async def _keep_running(
    name: str,
    background_loop: BackgroundLoop,
    restart_delay_s: float,
    exit_process: typing.Callable[[int], object],
) -> None:
    failed_at: list[float] = []
    while True:
        try:
            await background_loop()
        except Exception:
            logger.exception('background loop failed: %s', name)
        else:
            return
        now = clocks.now()
        failed_at = [at for at in failed_at if now - at < _FAILURE_WINDOW_S] + [
            now
        ]
        if len(failed_at) > _MAX_FAILURES:
            logger.critical('background loop fails again and again: %s', name)
            exit_process(_FAULT_EXIT_CODE)
            return
        await asyncio.sleep(restart_delay_s)


ConnectionHandler = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]


def guard_process(
    config: settings_file.ProcessSettings,
    process_metrics: metrics.Metrics,
    *,
    is_entry: bool,
) -> process_guard.ProcessGuard:
    """Return the guard of a process with these settings."""
    return process_guard.for_process(
        process_metrics,
        config.memory_mb,
        config.descriptors,
        is_entry=is_entry,
    )


async def serve_connections(
    stack: contextlib.AsyncExitStack,
    handler: ConnectionHandler,
    address: network_address.Address,
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
    handler: guarded_http.Handler,
    address: network_address.Address,
    listening: listeners.Listeners,
    guard: process_guard.ListenerGuard | None = None,
) -> None:
    """Serve HTTP at an address until the stack closes, within limits.

    Without a guard the limits are those of a process of unknown size.

    The low-level server is used without the runners of `aiohttp.web`: importing
    those costs each start a fifteenth of its CPU time.
    """
    if guard is None:
        guard = process_guard.for_process(metrics.Metrics()).at('callers')
    server = guarded_http.GuardedServer(guard, handler)
    loop = asyncio.get_running_loop()
    listener = listening.get(address)
    if listener is not None:
        accepting = await loop.create_server(
            server, sock=listener, backlog=_LISTEN_BACKLOG
        )
    else:
        accepting = await loop.create_server(
            server, *address, backlog=_LISTEN_BACKLOG
        )
    stack.push_async_callback(_stop_serving, server, accepting)


async def serve_metrics(
    stack: contextlib.AsyncExitStack,
    served: metrics.Metrics,
    host: str,
    listening: listeners.Listeners,
    guard: process_guard.ProcessGuard,
) -> None:
    """Serve the metrics of a process on a host until the stack closes."""
    await serve_http(
        stack,
        served.serve,
        (host, metrics.PORT),
        listening,
        guard.at('metrics'),
    )


async def _stop_serving(
    server: guarded_http.GuardedServer, accepting: asyncio.AbstractServer
) -> None:
    """Accept no connections, close idle ones and wait for open requests."""
    accepting.close()
    # Connections that were accepted in this iteration reach the server.
    await asyncio.sleep(0)
    server.pre_shutdown()
    await server.shutdown(SHUTDOWN_TIMEOUT_S)
