"""The client that submits a job and retries."""

import asyncio
import json
import typing
import unittest

import msgspec
from aiohttp import web

from poplardrum import ids
from poplardrum.callers import bodies, client
from poplardrum.commands import jobs
from poplardrum.standins import ports


def reply(
    state: str,
    code: str,
    verdict: str,
    retry_after_ms: int | None = None,
) -> bodies.JobReplyBody:
    """Return a reply without tasks."""
    return bodies.JobReplyBody(
        key='k',
        job='',
        state=state,
        code=code,
        verdict=verdict,
        message='',
        retry_after_ms=retry_after_ms,
        tasks=[],
    )


COMPLETE: typing.Final = reply('complete', 'ok', 'ran')
BUSY: typing.Final = reply('failed', 'overload', 'not_run', 2500)
LOST: typing.Final = reply('failed', 'link_lost', 'may_have_run')
REUSED: typing.Final = reply('failed', 'key_reused', 'not_run')
UNSURE: typing.Final = reply('failed', 'indeterminate', 'may_have_run')
LONG: typing.Final = reply('failed', 'quota', 'not_run', 3_600_000)
BROKEN: typing.Final = None


class Case(typing.NamedTuple):
    """Replies of the entries in order, and what the client does."""

    name: str
    replies: list[bodies.JobReplyBody | None]
    attempts: int
    exit_code: int
    waits: tuple[float, ...] = ()


CASES: typing.Final[tuple[Case, ...]] = (
    Case('complete', [COMPLETE], 1, jobs.COMPLETE_EXIT_CODE),
    Case('busy', [BUSY, COMPLETE], 2, jobs.COMPLETE_EXIT_CODE, (2.5,)),
    Case('lost link', [LOST, COMPLETE], 2, jobs.COMPLETE_EXIT_CODE, (0.5,)),
    Case('broken', [BROKEN, COMPLETE], 2, jobs.COMPLETE_EXIT_CODE, (0.5,)),
    Case('final refusal', [REUSED], 1, jobs.REFUSED_EXIT_CODE),
    Case('unsure', [UNSURE], 1, jobs.FAILED_EXIT_CODE),
    Case('long wait', [LONG, COMPLETE], 2, jobs.COMPLETE_EXIT_CODE, (30,)),
    Case('always busy', [BUSY] * 5, 5, jobs.REFUSED_EXIT_CODE, (2.5,) * 4),
    # The first attempt may have run; the refusals say nothing about it.
    Case('broken, busy', [BROKEN] + [BUSY] * 4, 5, jobs.FAILED_EXIT_CODE),
)


class Scripted:
    """Two entries that send the replies of one list."""

    def __init__(self, replies: list[bodies.JobReplyBody | None]) -> None:
        """Reply in the order of `replies`; `None` closes the connection."""
        self.replies = list(replies)
        self.seen: list[tuple[int, str, str]] = []
        self.ports = ports.free_ports(2)

    async def answer(self, request: web.Request) -> web.Response:
        """Record a submission and send the next reply."""
        address = request.transport and request.transport.get_extra_info(
            'sockname',
        )
        self.seen.append(
            (
                self.ports.index(address[1] if address else 0),
                request.headers['Idempotency-Key'],
                request.headers.get('Poplardrum-Attempt', ''),
            ),
        )
        body = self.replies.pop(0)
        if body is None:
            if request.transport:
                request.transport.close()
            return web.Response()
        return web.Response(body=msgspec.json.encode(body))

    async def run(self, *dead: str) -> tuple[list[client.Attempt], list[float]]:
        """Submit through the client; return attempts and waits in seconds."""
        app = web.Application()
        app.add_routes([web.post('/v1/jobs', self.answer)])
        runner = web.AppRunner(app, shutdown_timeout=1)
        await runner.setup()
        waits: list[float] = []

        async def sleep(seconds: float) -> None:
            waits.append(seconds)

        try:
            for port in self.ports:
                await web.TCPSite(runner, '127.0.0.1', port).start()
            entries = tuple(f'127.0.0.1:{port}' for port in self.ports)
            target = client.Target(
                (*dead, *entries),
                'x',
                ids.IdempotencyKey('k'),
            )
            attempts = await client.submit(target, b'{}', sleep)
        finally:
            await runner.cleanup()
        return attempts, waits


class ClientTest(unittest.TestCase):
    """Guards against retries that start a job twice, and missing retries."""

    def test_cases(self) -> None:
        """Guards against a wrong decision to retry or to stop."""
        for case in CASES:
            with self.subTest(case.name):
                scripted = Scripted(case.replies)
                attempts, waits = asyncio.run(scripted.run())
                self.assertEqual(len(attempts), case.attempts)
                self.assertEqual(jobs.exit_code(attempts), case.exit_code)
                for wait, least in zip(waits, case.waits, strict=False):
                    self.assertGreaterEqual(wait, least)
                    self.assertLessEqual(wait, least * 1.25)
                self.assertEqual(
                    scripted.seen,
                    [
                        (number % 2, 'k', '' if number else 'first')
                        for number in range(case.attempts)
                    ],
                )

    def test_first_after_dead_entry(self) -> None:
        """Guards against a retry mark on the first attempt that is sent."""
        scripted = Scripted([COMPLETE])
        dead = f'127.0.0.1:{ports.free_ports(1)[0]}'
        attempts, _ = asyncio.run(scripted.run(dead))
        self.assertEqual([attempt.sent for attempt in attempts], [False, True])
        self.assertEqual(scripted.seen, [(0, 'k', 'first')])

    def test_no_entry(self) -> None:
        """Guards against an error that hides that no entry was reached."""
        port = ports.free_ports(1)[0]
        target = client.Target(
            (f'127.0.0.1:{port}',),
            'x',
            ids.IdempotencyKey('k'),
            max_attempts=1,
        )
        attempts = asyncio.run(client.submit(target, b'{}'))
        self.assertEqual(jobs.exit_code(attempts), jobs.REFUSED_EXIT_CODE)
        self.assertIn('Connect', json.loads(jobs.encode(attempts))['message'])
