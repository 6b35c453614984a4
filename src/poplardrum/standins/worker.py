"""Stand-in for an endpoint that runs tasks under a lease, over HTTP."""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing
import weakref

import aiohttp
from aiohttp import web

from poplardrum import ini
from poplardrum.standins import leased_endpoint

_POLL_INTERVAL_S: typing.Final = 0.005
_HEARTBEAT_INTERVAL_S: typing.Final = 0.5
_MS_PER_S: typing.Final = 1000
_CRASH_DELAY_S: typing.Final = 0.012
_LATE_DELAY_RANGE_S: typing.Final = (2.0, 6.0)

Handler = typing.Callable[[web.Request], typing.Awaitable[web.Response]]


@dataclasses.dataclass(frozen=True)
class EndpointProfile:
    """Capacity, duration of each run and longest lease of an endpoint."""

    cpu_millicores: int = 8000
    run_duration_s: float = 0.05
    max_lease_s: float = 1.0


@dataclasses.dataclass
class CrashingTasks:
    """Tasks that crash the endpoint soon after they start.

    They have the `marker` in their specification. The endpoint is back after
    `restart_delay_s`. `starts` has the name of the task for each start.
    """

    marker: str = ''
    restart_delay_s: float = 1.0
    starts: list[str] = dataclasses.field(default_factory=list)
    # Crashes the endpoint in place of the stand-in.
    crash: typing.Callable[[], object] | None = None

    def matches(self, specification: str) -> bool:
        """Return whether a task is one of them."""
        return bool(self.marker) and self.marker in specification


class WorkerStandIn:
    """Serve a `LeasedEndpoint` over HTTP and send its heartbeats."""

    def __init__(
        self,
        name: str,
        agent_address: ini.Address,
        profile: EndpointProfile,
    ) -> None:
        """Create an idle endpoint of the agent at `agent_address`."""
        self.name = name
        self.agent_address = agent_address
        self.profile = profile
        self.endpoint = leased_endpoint.LeasedEndpoint(profile.max_lease_s)
        self.started_at_ms = int(time.time() * _MS_PER_S)
        self.state = 'ready'
        self.sequence = 0
        self.labels: list[str] = []
        self.specifications: set[str] = set()
        # Share of the requests that are carried out but get no reply, and of
        # those that are carried out seconds later and get none.
        self.lost_share = 0.0
        self.late_share = 0.0
        # While true, starts are answered with 503 and not carried out.
        self.is_unhealthy = False
        self.crashing_tasks = CrashingTasks()
        # While true, connections are reset and no heartbeats are sent.
        self.is_crashed = False
        self.transports: weakref.WeakSet[asyncio.BaseTransport] = (
            weakref.WeakSet()
        )
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

    def crash(self) -> None:
        """Stop answering; all connections break, idle ones too."""
        self.is_crashed = True
        for transport in list(self.transports):
            typing.cast(asyncio.Transport, transport).abort()
        self.transports.clear()

    def crash_for_a_while(self) -> None:
        """Crash now, and restart after the delay for crashing tasks."""
        if not self.is_crashed:
            self.crash()
            asyncio.get_running_loop().call_later(
                self.crashing_tasks.restart_delay_s, self._come_back
            )

    def restart(self) -> None:
        """Restart under the same name, without runs, completions and token."""
        self.endpoint = leased_endpoint.LeasedEndpoint(self.profile.max_lease_s)
        self.started_at_ms = int(time.time() * _MS_PER_S)
        self.sequence = 0

    def _come_back(self) -> None:
        self.restart()
        self.is_crashed = False

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the agent until cancelled."""
        host, port = self.agent_address
        url = f'http://{host}:{port}/instances/{self.name}'
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                if self.is_crashed:
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
            if request.transport is not None:
                self.transports.add(request.transport)
                if self.is_crashed:
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
            'Capacity': {
                'Cpu': self.profile.cpu_millicores,
                'RequestedMemoryMb': 65536,
            },
            'Labels': self.labels,
            'ClockMs': self._clock_ms(),
            'born': self.started_at_ms,
        }

    def _clock_ms(self) -> int:
        return int(time.monotonic() * _MS_PER_S)

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.is_unhealthy:
            return self._reply({}, status=503)
        now = time.monotonic()
        self.specifications.add(body['Specification'])
        result = self.endpoint.start(
            leased_endpoint.RunId(body['Task'], body['Run']),
            leased_endpoint.Run(
                body['Specification'], now + self.profile.run_duration_s
            ),
            now=now,
            lease_until=body['UntilMs'] / _MS_PER_S,
            token=body['FencingToken'],
        )
        if result is leased_endpoint.StartResult.accepted:
            if self.crashing_tasks.matches(body['Specification']):
                self.crashing_tasks.starts.append(body['Task'])
                asyncio.get_running_loop().call_later(
                    _CRASH_DELAY_S,
                    self.crashing_tasks.crash or self.crash_for_a_while,
                )
            return self._reply({})
        return self._reply({'Reason': result.value}, status=409)

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.endpoint.stop(
            leased_endpoint.RunId(body['Task'], body['Run']),
            now=time.monotonic(),
            token=body['FencingToken'],
        ):
            return self._reply({})
        return self._reply({'Reason': 'fence'}, status=409)

    async def _renew_and_report(self, request: web.Request) -> web.Response:
        body = await request.json()
        until_ms = body.get('UntilMs')
        endpoint = self.endpoint
        if not endpoint.renew_and_acknowledge(
            now=time.monotonic(),
            token=body['FencingToken'],
            acknowledged_id=body['LastSeen'],
            lease_until=None if until_ms is None else until_ms / _MS_PER_S,
        ):
            return self._reply({'Reason': 'fence'}, status=409)
        wait_s = body.get('WaitMs', 0) / _MS_PER_S
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline and not endpoint.unacknowledged():
            await asyncio.sleep(_POLL_INTERVAL_S)
            endpoint.advance(time.monotonic())
        has_crashed = self.is_crashed or endpoint is not self.endpoint
        if has_crashed and request.transport is not None:
            # A crash breaks the connections of the incarnation that ended.
            request.transport.abort()
        return self._reply(
            {
                'Running': [
                    [
                        run_id.task,
                        run_id.run,
                        '',
                        run.progress(time.monotonic()),
                    ]
                    for run_id, run in endpoint.running.items()
                ],
                'Finished': [
                    [
                        completion.completion_id,
                        completion.run_id.task,
                        completion.run_id.run,
                        completion.outcome,
                        '',
                    ]
                    for completion in endpoint.unacknowledged()
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
