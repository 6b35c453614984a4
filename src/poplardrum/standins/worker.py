"""Stand-in for an endpoint under a lease, over HTTP."""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing

import aiohttp
from aiohttp import web

from poplardrum import ini
from poplardrum.standins import leased

_POLL_INTERVAL_S: typing.Final = 0.005
_HEARTBEAT_INTERVAL_S: typing.Final = 0.5
_MS_PER_S: typing.Final = 1000
_LATE_DELAY_RANGE_S: typing.Final = (2.0, 6.0)

Handler = typing.Callable[[web.Request], typing.Awaitable[web.Response]]


@dataclasses.dataclass(frozen=True)
class Kind:
    """What an endpoint is like; times in seconds."""

    cpu: int = 8000
    duration: float = 0.05
    max_lease_s: float = 1.0


class WorkerStandIn:
    """Serve a `LeasedEndpoint` and send its heartbeats."""

    def __init__(self, name: str, registry: ini.Address, kind: Kind) -> None:
        """Send heartbeats to the agent at `registry`."""
        self.name = name
        self.agent_address = registry
        self.profile = kind
        self.world = leased.LeasedEndpoint(kind.max_lease_s)
        self.started_at_ms = int(time.time() * _MS_PER_S)
        self.state = 'ready'
        self.sequence = 0
        self.specifications: set[str] = set()
        # Shares of the orders whose answer is lost, or that are carried
        # out seconds later and not answered.
        self.lost_share = 0.0
        self.late_share = 0.0
        # Crashed: connections are reset and no heartbeats are sent.
        self.away = False
        self.random = random.Random()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        for path, handler in (
            ('/run-start', self._start),
            ('/run-stop', self._stop),
            ('/hold', self._renew_and_report),
        ):
            app.router.add_post(path, self._with_faults(handler))
        return app

    def restart(self) -> None:
        """Crash and come back under the same name, knowing nothing."""
        self.world = leased.LeasedEndpoint(self.profile.max_lease_s)
        self.started_at_ms = int(time.time() * _MS_PER_S)
        self.sequence = 0

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        host, port = self.agent_address
        url = f'http://{host}:{port}/instances/{self.name}'
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                if self.away:
                    await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
                    continue
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    response = await session.put(
                        url, json=self._next_heartbeat()
                    )
                    response.release()
                await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    def _with_faults(self, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            if self.away and request.transport is not None:
                request.transport.abort()
            late = self.random.random() < self.late_share
            lost = late or self.random.random() < self.lost_share
            if late:
                await request.read()
                await asyncio.sleep(self.random.uniform(*_LATE_DELAY_RANGE_S))
            response = await handler(request)
            if lost and request.transport is not None:
                request.transport.abort()
            return response

        return handle

    def _next_heartbeat(self) -> dict[str, typing.Any]:
        self.sequence += 1
        return {
            'Service': 'intake',
            'State': self.state,
            'Sequence': self.sequence,
            'Capacity': {'Cpu': self.profile.cpu, 'RequestedMemoryMb': 65536},
            'ClockMs': self._clock_ms(),
            'born': self.started_at_ms,
        }

    def _clock_ms(self) -> int:
        return int(time.monotonic() * _MS_PER_S)

    async def _start(self, request: web.Request) -> web.Response:
        order = await request.json()
        now = time.monotonic()
        self.specifications.add(order['Specification'])
        found = self.world.start(
            leased.Name(order['Task'], order['Run']),
            leased.Run(order['Specification'], now + self.profile.duration),
            now=now,
            until=order['UntilMs'] / _MS_PER_S,
            token=order['FencingToken'],
        )
        if found is leased.Start.accepted:
            return self._reply({})
        return self._reply({'Reason': found.value}, status=409)

    async def _stop(self, request: web.Request) -> web.Response:
        order = await request.json()
        if self.world.stop(
            leased.Name(order['Task'], order['Run']),
            now=time.monotonic(),
            token=order['FencingToken'],
        ):
            return self._reply({})
        return self._reply({'Reason': 'fence'}, status=409)

    async def _renew_and_report(self, request: web.Request) -> web.Response:
        order = await request.json()
        until = order.get('UntilMs')
        world = self.world
        if not world.hold(
            now=time.monotonic(),
            token=order['FencingToken'],
            seen=order['LastSeen'],
            until=None if until is None else until / _MS_PER_S,
        ):
            return self._reply({'Reason': 'fence'}, status=409)
        wait = order.get('WaitMs', 0) / _MS_PER_S
        stop_at = time.monotonic() + wait
        while time.monotonic() < stop_at and not world.listed():
            await asyncio.sleep(_POLL_INTERVAL_S)
            world.advance(time.monotonic())
        gone = self.away or world is not self.world
        if gone and request.transport is not None:
            # A crash breaks the connections of the life that ended.
            request.transport.abort()
        return self._reply(
            {
                'Running': [
                    [name.task, name.run, '', run.progress(time.monotonic())]
                    for name, run in world.running.items()
                ],
                'Finished': [
                    [end.number, end.name.task, end.name.run, end.how, '']
                    for end in world.listed()
                ],
            },
        )

    def _reply(
        self,
        body: dict[str, typing.Any],
        status: int = 200,
    ) -> web.Response:
        known = {'ClockMs': self._clock_ms(), 'born': self.started_at_ms}
        return web.json_response(known | body, status=status)
