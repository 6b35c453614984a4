"""Stand-in for a worker of the users' platform, after PROTOCOL.md.

It runs what it is told under one lease, lists ends until they are taken note of, and
sends heartbeats to the agent on its machine. A specification is JSON: `ms` is the
time that each task takes.
"""

import asyncio
import contextlib
import json
import time
import typing

import aiohttp
from aiohttp import web

BEAT_S = 1.5
MAX_HOLD_MS = 1000
STOP_S = 0.02
MAX_LISTED = 500


class Run:
    """A run that is at work."""

    def __init__(self, task: str, number: int, ms: float, cpu_ms: int) -> None:
        self.task = task
        self.number = number
        self.ms = max(ms, 1)
        self.started_ms = cpu_ms
        self.stopping = False


class Worker:
    """One worker, which may crash and start again under its id."""

    def __init__(
        self,
        ip: str,
        app_port: int,
        control_port: int,
        note: typing.Callable[..., None],
        *,
        service: str,
        zone: str,
        labels: list[str],
        cpu: int,
    ) -> None:
        self.id = 'i-' + ip.replace('.', '-')
        self.ip = ip
        self.app_port = app_port
        self.control_port = control_port
        self.note = note
        self.service = service
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.is_up = False
        self.runner: web.AppRunner | None = None
        self.listener: web.TCPSite | None = None
        self.transports: set[asyncio.BaseTransport] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.on_start: typing.Callable[['Worker', str, int], None] = _nothing
        self.on_end: typing.Callable[['Worker', str, int, str], None] = _nothing
        # What the time of day of its machine is ahead of the true one.
        self.time_of_day_off_s = 0.0
        # While true, it is cut off: what is sent, either way, is held up.
        self.is_cut = False
        # While true, its machine is suspended; its steady clock stands still.
        self.is_suspended = False

    async def start(self) -> None:
        """Start a new incarnation that knows nothing of before."""
        self.born = int((time.time() + self.time_of_day_off_s) * 1000)
        self.started_at = time.monotonic()
        self.suspended_s = 0.0
        self.sequence = 0
        self.token = 0
        self.lease_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[typing.Any]] = []
        self.end_number = 0
        self.ended = asyncio.Event()
        self.is_up = True
        application = web.Application()
        for path, handler in (
            ('/run-start', self._run_start),
            ('/run-stop', self._run_stop),
            ('/hold', self._hold),
        ):
            application.router.add_post(path, self._tracked(handler))
        self.runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0
        )
        await self.runner.setup()
        self.listener = web.TCPSite(
            self.runner, self.ip, self.app_port, reuse_address=True
        )
        await self.listener.start()
        self.tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]
        self.note('worker', self.id, 'starts', born=self.born)

    async def crash(self) -> None:
        """End at once: all runs end, and all connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self.note(
            'worker',
            self.id,
            'crashes',
            running=[[run.task, run.number] for run in self.runs.values()],
        )
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            await self.listener.stop()
        for transport in list(self.transports):
            typing.cast(asyncio.Transport, transport).abort()
        self.transports.clear()
        self.runs.clear()
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def clock_ms(self) -> int:
        """Return the steady clock of this incarnation."""
        now = self.suspended_at if self.is_suspended else time.monotonic()
        return int((now - self.started_at - self.suspended_s) * 1000) + 1

    async def suspend(self, seconds: float) -> None:
        """Stand still, as a process of a machine that is suspended."""
        self.suspended_at = time.monotonic()
        self.is_suspended = True
        self.note('worker', self.id, 'is suspended')
        await asyncio.sleep(seconds)
        self.suspended_s += time.monotonic() - self.suspended_at
        self.is_suspended = False
        self.note('worker', self.id, 'goes on')

    async def _passage(self) -> None:
        while self.is_cut or self.is_suspended:
            await asyncio.sleep(0.002)

    async def _beat(self) -> None:
        url = f'http://{self.ip}:{self.control_port}/instances/{self.id}'
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._passage()
                self.sequence += 1
                body = {
                    'Service': self.service,
                    'Address': f'{self.ip}:{self.app_port}',
                    'Zone': self.zone,
                    'Version': 'v1',
                    'Slots': 8,
                    'State': 'ready',
                    'ColdRemainingMs': 0,
                    'Capacity': {
                        'Cpu': self.cpu,
                        'RequestedMemoryMb': 65536,
                        'Gpus': 0,
                    },
                    'Labels': self.labels,
                    'ClockMs': self.clock_ms(),
                    'Sequence': self.sequence,
                    'born': self.born,
                }
                acknowledged = False
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.put(url, json=body) as response:
                        acknowledged = response.status // 100 == 2
                await asyncio.sleep(BEAT_S if acknowledged else 0.3)

    async def _work(self) -> None:
        while True:
            if not self.is_suspended:
                self._advance()
            await asyncio.sleep(0.004)

    def _advance(self) -> None:
        now = self.clock_ms()
        if self.runs and now >= self.lease_ms:
            for run in list(self.runs.values()):
                self._end(run, 'lapsed')
        for run in list(self.runs.values()):
            if now - run.started_ms >= run.ms:
                self._end(run, 'done')

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self._raise_highest(run.task, run.number)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ''])
        self.note('worker', self.id, 'ends', task=run.task, run=run.number, how=how)
        self.on_end(self, run.task, run.number, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _raise_highest(self, task: str, number: int) -> None:
        self.highest[task] = max(self.highest.get(task, 0), number)

    def _tracked(self, handler: typing.Any) -> typing.Any:
        async def handle(request: web.Request) -> web.Response:
            transport = request.transport
            incarnation = self.born
            if transport is not None:
                self.transports.add(transport)
            body = await request.json()
            await self._passage()
            if not self.is_up or self.born != incarnation:
                # What comes for an incarnation that has crashed is lost.
                if transport is not None:
                    transport.abort()
                return web.Response(status=503)
            response = typing.cast(web.Response, await handler(body))
            await self._passage()
            return response

        return handle

    def _reply(self, status: int = 200, **body: typing.Any) -> web.Response:
        common = {'ClockMs': self.clock_ms(), 'born': self.born}
        return web.json_response(common | body, status=status)

    def _accepts(self, body: dict[str, typing.Any]) -> bool:
        token = body.get('FencingToken', 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            longest = self.clock_ms() + MAX_HOLD_MS
            self.lease_ms = max(self.lease_ms, min(until_ms, longest))

    async def _run_start(self, body: dict[str, typing.Any]) -> web.Response:
        self._advance()
        if not self._accepts(body):
            return self._reply(409, Reason='fence')
        task, number = body['Task'], body['Run']
        self._extend(body['UntilMs'])
        if (task, number) in self.runs:
            return self._reply()
        if number <= self.highest.get(task, 0):
            return self._reply(409, Reason='old')
        if body['UntilMs'] <= self.clock_ms():
            return self._reply(409, Reason='late')
        ms = json.loads(body['Specification'])['ms']
        self.runs[task, number] = Run(task, number, ms, self.clock_ms())
        self.note('worker', self.id, 'begins', task=task, run=number)
        self.on_start(self, task, number)
        return self._reply()

    async def _run_stop(self, body: dict[str, typing.Any]) -> web.Response:
        self._advance()
        if not self._accepts(body):
            return self._reply(409, Reason='fence')
        task, number = body['Task'], body['Run']
        self._raise_highest(task, number)
        run = self.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, 'stopped'
            )
        return self._reply()

    async def _hold(self, body: dict[str, typing.Any]) -> web.Response:
        self._advance()
        if not self._accepts(body):
            return self._reply(409, Reason='fence')
        self._extend(body.get('UntilMs'))
        self._take_note(body.get('LastSeen', 0))
        wait_s = min(body.get('WaitMs', 0), 2000) / 1000
        if wait_s and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait_s)
        self._advance()
        now = self.clock_ms()
        running = [
            [
                run.task,
                run.number,
                '',
                min(int(100 * (now - run.started_ms) / run.ms), 99),
                100,
            ]
            for run in self.runs.values()
        ]
        return self._reply(Running=running, Finished=self.ends[:MAX_LISTED])

    def _take_note(self, last_seen: int) -> None:
        for end in self.ends:
            if end[0] <= last_seen:
                self.note(
                    'worker', self.id, 'end noted', task=end[1], run=end[2], how=end[3]
                )
        self.ends = [end for end in self.ends if end[0] > last_seen]


def _nothing(*_: typing.Any) -> None:
    """Do nothing."""
