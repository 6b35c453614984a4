"""Run entries, agents and stand-ins as processes on uvloop."""

import asyncio
import contextlib
import os
import pathlib
import typing

import uvloop

from poplardrum import ini, logs, settings

_STAND_IN_SHUTDOWN_TIMEOUT_S: typing.Final = 1.0


def run_loop(main: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run `main` on uvloop with UV_USE_IO_URING=0.

    Hosts do not allow io_uring. libuv reads the variable when the first loop
    starts. The libuv of uvloop 0.23.0 still opens one ring for epoll_ctl
    calls (KNOWN-RED.txt).
    """
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(main)


def run_entry(path: pathlib.Path) -> int:
    """Run an entry until a stop signal; raise `settings` if they are invalid."""
    from poplardrum.daemons import entry

    config = settings.load(path)
    logs.configure(config.logs)
    run_loop(entry.run(config))
    return 0


def run_agent(path: pathlib.Path) -> int:
    """Run an agent until a stop signal; raise `settings` if they are invalid."""
    from poplardrum.daemons import agent

    config = settings.load(path)
    logs.configure(config.logs)
    run_loop(agent.run(config))
    return 0


def run_stand_in(
    kind: str,
    listen: str,
    agent: str,
    slots: int,
    speed: float,
) -> int:
    """Run a stand-in until a stop signal.

    `kind` is `platform` or `endpoint`; the other arguments but `listen` apply
    to an endpoint alone.
    """
    logs.configure(settings.Logs('WARNING', 'text'))
    run_loop(_stand_in(kind, listen, agent, slots, speed))
    return 0


async def _stand_in(
    kind: str,
    listen: str,
    agent: str,
    slots: int,
    speed: float,
) -> None:
    from aiohttp import web

    from poplardrum.daemons import signals
    from poplardrum.standins import endpoint, platform

    stopping = asyncio.Event()
    signals.install(stopping)
    async with contextlib.AsyncExitStack() as stack:
        if kind == 'platform':
            app = platform.PlatformStandIn().application()
        else:
            stand_in = endpoint.EndpointStandIn(listen, slots, speed)
            app = stand_in.application()
            announcing = asyncio.ensure_future(
                endpoint.send_announcements(stand_in, listen, agent),
            )
            stack.callback(announcing.cancel)
        # Pending watches would delay the stop by aiohttp's default of 60 s.
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=_STAND_IN_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *ini.address(listen)).start()
        await stopping.wait()
