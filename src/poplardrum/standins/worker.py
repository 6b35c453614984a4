"""Stand-in for an endpoint that runs tasks under a lease, over HTTP."""

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
    """CPU in thousandths, duration of a run and longest lease in seconds."""

    cpu: int = 8000
    duration: float = 0.05
    max_lease_s: float = 1.0


class WorkerStandIn:
    """Serve a `LeasedEndpoint` over HTTP and send its heartbeats."""

    def __init__(
        self,
        name: str,
        agent_address: ini.Address,
        profile: Kind,
    ) -> None:
        """Create an idle endpoint of the agent at `agent_address`."""
        self.name = name
        self.agent_address = agent_address
        self.profile = profile
        self.world = leased.LeasedEndpoint(profile.max_lease_s)
        self.started_at_ms = int(time.time() * _MS_PER_S)
        self.state = 'ready'
        self.sequence = 0
        self.specifications: set[str] = set()
        # Share of the requests that are carried out but get no reply, and of
        # those that are carried out seconds later and get none.
        self.lost_share = 0.0
        self.late_share = 0.0
        # While true, connections are reset and no heartbeats are sent.
        self.away = False
        self.random = random.Random()

    def application(self) -> web.Application:
        """Return the HTTP application of the endpoint's requests."""
        app = web.Application()
        for path, handler in (
            ('/run-start', self._start),
            ('/run-stop', self._stop),
            ('/hold', self._renew_and_report),
        ):
            app.router.add_post(path, self._with_faults(handler))
        return app

    def restart(self) -> None:
        """Restart under the same name, without runs, completions and token."""
        self.world = leased.LeasedEndpoint(self.profile.max_lease_s)
        self.started_at_ms = int(time.time() * _MS_PER_S)
        self.sequence = 0

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the agent until cancelled."""
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
            reply_lost = late or self.random.random() < self.lost_share
            if late:
                await request.read()
                await asyncio.sleep(self.random.uniform(*_LATE_DELAY_RANGE_S))
            response = await handler(request)
            if reply_lost and request.transport is not None:
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
        body = await request.json()
        now = time.monotonic()
        self.specifications.add(body['Specification'])
        result = self.world.start(
            leased.Name(body['Task'], body['Run']),
            leased.Run(body['Specification'], now + self.profile.duration),
            now=now,
            until=body['UntilMs'] / _MS_PER_S,
            token=body['FencingToken'],
        )
        if result is leased.Start.accepted:
            return self._reply({})
        return self._reply({'Reason': result.value}, status=409)

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.world.stop(
            leased.Name(body['Task'], body['Run']),
            now=time.monotonic(),
            token=body['FencingToken'],
        ):
            return self._reply({})
        return self._reply({'Reason': 'fence'}, status=409)

    async def _renew_and_report(self, request: web.Request) -> web.Response:
        body = await request.json()
        until_ms = body.get('UntilMs')
        world = self.world
        if not world.hold(
            now=time.monotonic(),
            token=body['FencingToken'],
            seen=body['LastSeen'],
            until=None if until_ms is None else until_ms / _MS_PER_S,
        ):
            return self._reply({'Reason': 'fence'}, status=409)
        wait_s = body.get('WaitMs', 0) / _MS_PER_S
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline and not world.listed():
            await asyncio.sleep(_POLL_INTERVAL_S)
            world.advance(time.monotonic())
        has_crashed = self.away or world is not self.world
        if has_crashed and request.transport is not None:
            # A crash breaks the connections of the incarnation that ended.
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
        common = {'ClockMs': self._clock_ms(), 'born': self.started_at_ms}
        return web.json_response(common | body, status=status)
