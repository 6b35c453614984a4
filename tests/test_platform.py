"""The Consul adapter: verdicts, circuit breakers and the rate limit."""

import asyncio
import contextlib
import random
import typing
import unittest

import hypothesis
from aiohttp import web
from hypothesis import strategies

from poplardrum import errors
from poplardrum.platform import consul, store, throttling
from poplardrum.standins import platform, ports
from tests import profiles

WORKERS: typing.Final = 700
KEY: typing.Final = 'poplardrum/test'


class Harness:
    """A store stand-in in this process and adapters that call it."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Choose a port; `stack` closes all that is opened."""
        self.stack = stack
        self.address = ('127.0.0.1', ports.free_ports(1)[0])
        self.stand_in = platform.PlatformStandIn()

    async def serve(self) -> None:
        """Start to serve the stand-in."""
        runner = web.AppRunner(self.stand_in.application(), access_log=None)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *self.address).start()

    def store(self, calls: float = 1000) -> consul.ConsulStore:
        """Return an adapter with a short timeout."""
        adapter = consul.ConsulStore(self.address, 0.3, calls)
        self.stack.push_async_callback(adapter.close)
        return adapter


class ConsulStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that report a wrong verdict."""

    async def asyncSetUp(self) -> None:
        """Start the stand-in."""
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.harness = Harness(stack)
        await self.harness.serve()

    async def failure(
        self,
        call: typing.Awaitable[typing.Any],
    ) -> errors.PoplardrumError:
        """Return the error that a call raises."""
        with self.assertRaises(errors.PoplardrumError) as raised:
            await call
        self.assertIs(raised.exception.code, errors.Code.platform)
        return raised.exception

    async def test_compare_and_swap(self) -> None:
        """Guards against a write that replaces a value it has not read."""
        adapter = self.harness.store()
        self.assertTrue(await adapter.write(KEY, b'1', expected_index=0))
        self.assertFalse(await adapter.write(KEY, b'2', expected_index=0))
        found = (await adapter.read(KEY)).values[0]
        self.assertEqual(found.value, b'1')
        self.assertTrue(
            await adapter.write(KEY, b'3', expected_index=found.index)
        )

    async def test_slow_write(self) -> None:
        """Guards against `not_run` for a write that may still take effect."""
        self.harness.stand_in.delay_s = 1.0
        error = await self.failure(self.harness.store().write(KEY, b'1'))
        self.assertIs(error.verdict, errors.Verdict.may_have_run)

    async def test_outage(self) -> None:
        """Guards against `may_have_run` for a read or an unsent write."""
        self.harness.stand_in.outage = True
        adapter = self.harness.store()
        error = await self.failure(adapter.write(KEY, b'1'))
        self.assertIs(error.verdict, errors.Verdict.may_have_run)
        error = await self.failure(adapter.write(KEY, b'1'))
        self.assertIs(error.verdict, errors.Verdict.not_run)
        self.assertIsNotNone(error.retry_after)
        error = await self.failure(adapter.read(KEY))
        self.assertIs(error.verdict, errors.Verdict.not_run)

    async def test_refused_connection(self) -> None:
        """Guards against a write reported as sent without a connection."""
        self.harness.address = ('127.0.0.1', ports.free_ports(1)[0])
        error = await self.failure(self.harness.store().write(KEY, b'1'))
        self.assertIs(error.verdict, errors.Verdict.not_run)

    async def test_watch(self) -> None:
        """Guards against a watch that misses a change or polls the store."""
        adapter = self.harness.store()
        await adapter.write(KEY, b'1')
        index = (await adapter.read(KEY)).index
        pending = asyncio.ensure_future(
            adapter.read(KEY, after_index=index, wait_s=50),
        )
        writer = self.harness.store()
        self.assertTrue(await writer.write(KEY, b'2', expected_index=index))
        async with asyncio.timeout(30):
            self.assertEqual((await pending).values[0].value, b'2')
        self.assertEqual(adapter.call_counts['read_sent'], 2)
        self.assertEqual(self.harness.stand_in.calls['GET'], 2)

    async def test_recovery(self) -> None:
        """Guards against a circuit that stays open after the outage."""
        self.harness.stand_in.outage = True
        adapter = self.harness.store()
        for _ in range(20):
            await self.failure(adapter.read(KEY))
        self.assertLess(self.harness.stand_in.calls['GET'], 20)
        self.harness.stand_in.outage = False
        async with asyncio.timeout(30):
            while not await self.is_read(adapter):
                await asyncio.sleep(0.01)

    async def is_read(self, adapter: store.Store) -> bool:
        """Return whether a read succeeds now."""
        try:
            await adapter.read(KEY)
        except errors.PoplardrumError:
            return False
        return True

    async def test_budget(self) -> None:
        """Guards against a process that calls the store without a limit."""
        adapter = self.harness.store(calls=5)
        succeeded = [await self.is_read(adapter) for _ in range(200)]
        self.assertIn(False, succeeded)
        self.assertEqual(
            self.harness.stand_in.calls['GET'],
            succeeded.count(True),
        )


class CircuitTest(unittest.TestCase):
    """Guards against too many calls during an outage and after it."""

    def test_registrations_in_outage(self) -> None:
        """Guards against more registrations than the store can serve.

        In an outage of five minutes, 700 processes try every second.
        """
        source = random.Random(1)
        group = consul.CallGroup.other.value
        breakers = [
            throttling.CircuitBreaker(group, source) for _ in range(WORKERS)
        ]
        calls = [0] * 300
        for second in range(300):
            for breaker in breakers:
                if not breaker.admit(second):
                    calls[second] += 1
                    breaker.record_failure(second)
        self.assertLessEqual(max(calls[60:]), 150)
        self.assertLessEqual(sum(calls[60:]), 70 * 240)

    @profiles.settings()
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(('enter', 'fail', 'succeed', 'abandon')),
            max_size=40,
        ),
        strategies.integers(0, 99),
    )
    def test_any_order(self, steps: list[str], seed: int) -> None:
        """Guards against a circuit breaker that never admits a call again."""
        breaker = throttling.CircuitBreaker(2, random.Random(seed))
        now = 0.0
        actions: dict[str, typing.Callable[[float], object]] = {
            'fail': breaker.record_failure,
            'succeed': lambda _: breaker.record_success(),
            'abandon': lambda _: breaker.record_cancellation(),
            'enter': breaker.admit,
        }
        for step in steps:
            now += 0.05
            actions[step](now)
        breaker.record_cancellation()
        self.assertEqual(breaker.admit(now + 2), 0)

    @profiles.settings()
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 1), max_size=200),
        strategies.integers(1, 20),
    )
    def test_budget(self, pauses: list[float], rate: int) -> None:
        """Guards against more calls than the rate and one burst."""
        budget = throttling.TokenBucket(rate)
        now = 0.0
        allowed = 0
        for pause in pauses:
            now += pause
            allowed += not budget.admit(now)
        self.assertLessEqual(allowed, rate + now * rate + 1e-6)
