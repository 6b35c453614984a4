"""A worker that does what PROTOCOL.md says of workers.

Its service doesn't guard its capacity: it starts whatever it is told to start. A
task works for `work_ms` of its specification, a JSON text.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
import time
import typing

import aiohttp
from aiohttp import web

from stand_ins_3 import record

_MAX_LISTED: typing.Final = 500
_TICK_S: typing.Final = 0.002
_LATE_S: typing.Final = (2.0, 12.0)


@dataclasses.dataclass
class Work:
    """A task at work."""

    seen: record.TaskRun
    work_s: float
    ends_at: float
    stops_at: float | None = None


@dataclasses.dataclass
class Life:
    """One incarnation: all that a worker forgets when it crashes."""

    born: int
    clock_origin: float
    token: int = 0
    sequence: int = 0
    lease_until: float = 0.0
    running: dict[tuple[str, int], Work] = dataclasses.field(
        default_factory=dict
    )
    highest: dict[str, int] = dataclasses.field(default_factory=dict)
    finished: list[list[typing.Any]] = dataclasses.field(default_factory=list)
    ends: int = 0
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


Order = typing.Callable[[Life, dict[str, typing.Any]], web.Response]
Handler = typing.Callable[
    [web.Request], typing.Coroutine[typing.Any, typing.Any, web.Response]
]


class Worker:
    """One worker on the machine of an agent."""

    def __init__(
        self,
        case: record.Record,
        name: str,
        address: tuple[str, int],
        control: tuple[str, int],
        *,
        labels: list[str],
        zone: str,
        cpu: int = 16000,
        stop_s: float = 0.04,
        beat_s: float = 1.5,
        max_hold_s: float = 1.0,
    ) -> None:
        """Create a worker that is not up yet."""
        self.case = case
        self.name = name
        self.address = address
        self.control = control
        self.labels = labels
        self.zone = zone
        self.cpu = cpu
        self.stop_s = stop_s
        self.beat_s = beat_s
        self.max_hold_s = max_hold_s
        self.lives = 0
        self.life: Life | None = None
        self.runner: web.AppRunner | None = None
        self.transports: set[asyncio.BaseTransport] = set()
        self.tasks: list[asyncio.Future[None]] = []
        # Set unless its machine is suspended; then its clock stands still too.
        self.is_awake = asyncio.Event()
        self.is_awake.set()
        # While set, the worker is unhealthy: it answers starts with 503.
        self.sheds = False
        # Share of the orders (starts and stops) that get no answer and are carried
        # out some seconds later.
        self.late_share = 0.0

    async def start(self) -> None:
        """Begin a life: nothing runs, no token is known."""
        self.lives += 1
        now = time.monotonic()
        self.life = Life(int(time.time() * 1000), now - 5.0)
        app = web.Application()
        app.router.add_post('/run-start', self._ordered(self._run_start))
        app.router.add_post('/run-stop', self._ordered(self._run_stop))
        app.router.add_post('/hold', self._hold)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self.runner.setup()
        await web.TCPSite(
            self.runner, *self.address, reuse_address=True
        ).start()
        self.case.add(self.name, f'is up, life {self.lives}')
        self.tasks = [
            asyncio.ensure_future(self._tick(self.life)),
            asyncio.ensure_future(self._beat(self.life)),
        ]

    async def suspend(self, seconds: float) -> None:
        """Stand still; the worker's steady clock doesn't count the time."""
        life = self.life
        assert life is not None
        self._advance(life)
        self.is_awake.clear()
        self.case.add(self.name, f'is suspended, life {self.lives}')
        began_at = time.monotonic()
        await asyncio.sleep(seconds)
        pause = time.monotonic() - began_at
        life.clock_origin += pause
        life.lease_until += pause
        for work in life.running.values():
            work.ends_at += pause
            if work.stops_at is not None:
                work.stops_at += pause
        self.case.add(self.name, 'is back')
        self.is_awake.set()

    async def crash(self) -> None:
        """End a life at once."""
        life, self.life = self.life, None
        if life is None:
            return
        for task in self.tasks:
            task.cancel()
        for work in list(life.running.values()):
            self._end(life, work, 'crashed')
        life.ended.set()
        for transport in list(self.transports):
            typing.cast(asyncio.Transport, transport).abort()
        self.transports.clear()
        self.case.add(self.name, 'crashes')
        if self.runner is not None:
            await self.runner.cleanup()

    def _end(
        self,
        life: Life,
        work: Work,
        how: str,
        at: float | None = None,
    ) -> None:
        seen = work.seen
        life.running.pop((seen.task, seen.number), None)
        seen.ended_at = self.case.now() if at is None else at
        seen.how = how
        life.ends += 1
        life.finished.append([life.ends, seen.task, seen.number, how, ''])
        life.ended.set()
        self.case.add(self.name, f'{seen.task} run {seen.number} ends: {how}')

    async def _tick(self, life: Life) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self._advance(life)

    def _advance(self, life: Life) -> None:
        if not self.is_awake.is_set():
            return
        now = time.monotonic()
        for work in list(life.running.values()):
            if work.ends_at <= now:
                self._end(life, work, 'done')
            elif work.stops_at is not None and work.stops_at <= now:
                self._end(life, work, 'stopped')
            elif life.lease_until <= now:
                self._end(life, work, 'lapsed')

    async def _beat(self, life: Life) -> None:
        host, port = self.control
        url = f'http://{host}:{port}/instances/{self.name}'
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self.is_awake.wait()
                life.sequence += 1
                acknowledged = False
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.put(
                        url, json=self._about(life)
                    ) as response:
                        acknowledged = response.status // 100 == 2
                await asyncio.sleep(self.beat_s if acknowledged else 0.3)

    def _about(self, life: Life) -> dict[str, typing.Any]:
        return {
            'Service': 'intake',
            'Address': f'{self.address[0]}:{self.address[1]}',
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
            'ClockMs': self._clock_ms(life),
            'Sequence': life.sequence,
            'born': life.born,
        }

    def _clock_ms(self, life: Life) -> int:
        return int((time.monotonic() - life.clock_origin) * 1000)

    def _reply(
        self, life: Life, body: dict[str, typing.Any], status: int = 200
    ) -> web.Response:
        common = {'ClockMs': self._clock_ms(life), 'born': life.born}
        return web.json_response(common | body, status=status)

    def _enter(self, request: web.Request) -> Life:
        if self.life is None:
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        if request.transport is not None:
            self.transports.add(request.transport)
        self._advance(self.life)
        return self.life

    def _accepts(self, life: Life, body: dict[str, typing.Any]) -> bool:
        token = body.get('FencingToken', 0)
        if token < life.token:
            return False
        life.token = token
        return True

    def _extend(self, life: Life, body: dict[str, typing.Any]) -> None:
        until_ms = body.get('UntilMs')
        if until_ms is None:
            return
        until = life.clock_origin + until_ms / 1000
        until = min(until, time.monotonic() + self.max_hold_s)
        life.lease_until = max(life.lease_until, until)

    def _ordered(self, carry_out: Order) -> Handler:
        """Return a handler that leaves a share of the orders for later."""

        async def handle(request: web.Request) -> web.Response:
            body = await request.json()
            await self.is_awake.wait()
            life = self._enter(request)
            if random.random() >= self.late_share:
                return carry_out(life, body)
            what = f'{request.path} {body["Task"]} run {body["Run"]}'
            self.case.add(self.name, f'{what}: no answer, carried out later')
            asyncio.get_running_loop().call_later(
                random.uniform(*_LATE_S), self._carry_out, carry_out, life, body
            )
            await asyncio.Event().wait()
            raise asyncio.CancelledError

        return handle

    def _carry_out(
        self, carry_out: Order, life: Life, body: dict[str, typing.Any]
    ) -> None:
        if self.life is life:
            self._advance(life)
            carry_out(life, body)

    def _run_start(
        self, life: Life, body: dict[str, typing.Any]
    ) -> web.Response:
        task, number = body['Task'], body['Run']
        if self.sheds:
            self.case.add(self.name, f'{task} run {number}: 503, did nothing')
            return web.Response(status=503)
        if not self._accepts(life, body):
            return self._reply(life, {'Reason': 'fence'}, 409)
        self._extend(life, body)
        if (task, number) in life.running:
            return self._reply(life, {})
        if number <= life.highest.get(task, 0):
            self.case.add(self.name, f'{task} run {number}: 409 old')
            return self._reply(life, {'Reason': 'old'}, 409)
        now = time.monotonic()
        if life.clock_origin + body['UntilMs'] / 1000 <= now:
            return self._reply(life, {'Reason': 'late'}, 409)
        life.highest[task] = number
        work_s = json.loads(body['Specification'])['work_ms'] / 1000
        seen = record.TaskRun(
            self.name, self.lives, task, number, self.case.now()
        )
        self.case.runs.append(seen)
        life.running[task, number] = Work(seen, work_s, now + work_s)
        self.case.add(self.name, f'{task} run {number} starts')
        return self._reply(life, {})

    def _run_stop(
        self, life: Life, body: dict[str, typing.Any]
    ) -> web.Response:
        if not self._accepts(life, body):
            return self._reply(life, {'Reason': 'fence'}, 409)
        task, number = body['Task'], body['Run']
        life.highest[task] = max(life.highest.get(task, 0), number)
        work = life.running.get((task, number))
        if work is not None and work.stops_at is None:
            work.stops_at = time.monotonic() + self.stop_s
            self.case.add(self.name, f'{task} run {number} is told to stop')
        return self._reply(life, {})

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self.is_awake.wait()
        life = self._enter(request)
        if not self._accepts(life, body):
            return self._reply(life, {'Reason': 'fence'}, 409)
        self._extend(life, body)
        last_seen = body.get('LastSeen', 0)
        life.finished = [row for row in life.finished if row[0] > last_seen]
        deadline = time.monotonic() + body.get('WaitMs', 0) / 1000
        while not life.finished and time.monotonic() < deadline:
            life.ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    life.ended.wait(), max(deadline - time.monotonic(), 0)
                )
            await self.is_awake.wait()
            if self.life is not life:
                raise asyncio.CancelledError
        self._advance(life)
        now = time.monotonic()
        return self._reply(
            life,
            {
                'Running': [
                    [
                        work.seen.task,
                        work.seen.number,
                        '',
                        min(
                            int(100 * (1 - (work.ends_at - now) / work.work_s)),
                            99,
                        ),
                        1000,
                    ]
                    for work in life.running.values()
                ],
                'Finished': life.finished[:_MAX_LISTED],
            },
        )
