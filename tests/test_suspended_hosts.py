"""Hosts that are suspended: the endpoint's clock stands still meanwhile."""

import asyncio
import time
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum.dispatch import clocks, lease, messages, timing
from tests import dispatch_world, executor_case, profiles

LEASE_S: typing.Final = 0.65
MAX_HOLD_S: typing.Final = 1.0
CHECK_INTERVAL_S: typing.Final = 0.05
SUSPENSION_S: typing.Final = 1.2
MS_PER_S: typing.Final = 1000


class SuspendedHost:
    """A lease, and the clock of the endpoint that it is for, in fake time."""

    def __init__(self, clock_rate: float = 1.0) -> None:
        """Renew the lease once; the endpoint's clock has a rate."""
        self.now = 100.0
        self.endpoint_clock = 50.0
        self.clock_rate = clock_rate
        self.lease_until = 0.0
        self.lease = lease.Lease(LEASE_S)
        # Time of this process until its next check of the clock.
        self.until_tick = 0.0
        self.run(CHECK_INTERVAL_S / 2)
        self.answer()
        self.renew()

    def answer(self) -> None:
        """Let the endpoint tell its clock."""
        self.lease.observe_clock(int(self.endpoint_clock * MS_PER_S), self.now)

    def renew(self) -> None:
        """Renew the lease; the endpoint shortens what is too long."""
        until_ms = self.lease.renew(self.now)
        if until_ms is not None:
            longest = self.endpoint_clock + MAX_HOLD_S
            until = min(until_ms / MS_PER_S, longest)
            self.lease_until = max(self.lease_until, until)

    def run(self, seconds: float) -> None:
        """Let time pass, with the usual checks of the clock."""
        while seconds > 0:
            if self.until_tick <= 0:
                self.lease.tick(self.now, CHECK_INTERVAL_S)
                self.until_tick = CHECK_INTERVAL_S
            step = min(seconds, self.until_tick)
            seconds -= step
            self.until_tick -= step
            self.now += step
            self.endpoint_clock += step * self.clock_rate

    def suspend(self, seconds: float) -> None:
        """Let the host stand still; timers of its processes stand still too."""
        self.now += seconds

    def pause_process(self, seconds: float) -> None:
        """Let this process stand still, and the endpoint run on."""
        self.now += seconds
        self.endpoint_clock += seconds * self.clock_rate
        self.until_tick -= seconds

    def has_lapsed(self) -> bool:
        """Return whether the lease has lapsed by the endpoint's clock."""
        return self.endpoint_clock >= self.lease_until


class TestLease(unittest.TestCase):
    """What is known of a lease after a suspension."""

    def setUp(self) -> None:
        """Renew a lease."""
        self.host = SuspendedHost()

    def test_runs_on_after_a_suspension(self) -> None:
        """Guards against runs that are taken for over while they go on."""
        self.host.run(0.1)
        self.host.suspend(SUSPENSION_S)
        self.assertFalse(self.host.lease.has_lapsed(self.host.now))

    def test_lapses_after_a_suspension(self) -> None:
        """Guards against an endpoint whose runs are never given up."""
        self.host.suspend(SUSPENSION_S)
        self.host.run(1.0)
        self.assertTrue(self.host.lease.has_lapsed(self.host.now))

    def test_lapses_without_a_suspension(self) -> None:
        """Guards against a longer wait for endpoints that are lost."""
        self.host.run(LEASE_S)
        self.assertFalse(self.host.lease.has_lapsed(self.host.now))
        self.host.run(0.1)
        self.assertTrue(self.host.lease.has_lapsed(self.host.now))

    def test_lapses_at_a_process_that_is_always_late(self) -> None:
        """Guards against a lease that never lapses on a busy host."""
        for _ in range(30):
            self.host.pause_process(2 * CHECK_INTERVAL_S)
            self.host.lease.tick(self.host.now, CHECK_INTERVAL_S)
        self.assertTrue(self.host.lease.has_lapsed(self.host.now))

    def test_renewed_after_a_suspension(self) -> None:
        """Guards against a lease that is longer than the agent takes it for."""
        self.host.suspend(SUSPENSION_S)
        self.host.answer()
        self.host.renew()
        self.assertLessEqual(
            self.host.lease_until - self.host.endpoint_clock,
            timing.max_lease_duration(LEASE_S),
        )

    def test_renewed_before_an_answer(self) -> None:
        """Guards against a renewal by a clock that is not known any more."""
        self.host.suspend(SUSPENSION_S)
        self.host.renew()
        self.assertLessEqual(
            self.host.lease_until - self.host.endpoint_clock,
            timing.max_lease_duration(LEASE_S),
        )

    @profiles.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ('run', 'suspend', 'pause_process', 'renew', 'answer')
                ),
                strategies.floats(0.0, 2.0),
            ),
            max_size=20,
        ),
        strategies.floats(0.98, 1.0),
    )
    def test_any_order(
        self, steps: list[tuple[str, float]], clock_rate: float
    ) -> None:
        """Guards against a lease that counts as lapsed while runs go on."""
        host = SuspendedHost(clock_rate)
        for step, seconds in steps:
            match step:
                case 'run':
                    host.run(seconds)
                case 'suspend':
                    host.suspend(seconds)
                case 'pause_process':
                    host.pause_process(seconds)
                case 'renew':
                    host.renew()
                case 'answer':
                    host.answer()
            if host.lease.has_lapsed(host.now):
                self.assertTrue(host.has_lapsed(), steps)


class TestSuspendedAgents(executor_case.ExecutorCase):
    """An agent whose host is suspended while its endpoint has a run."""

    duration = 30.0

    async def test_run_goes_on(self) -> None:
        """Guards against a task that runs twice after a suspension.

        The answer to the request that was under way was too late, and the run
        was taken for lost at once.
        """
        endpoint = self.world.endpoint
        task_executor = self.world.executor
        watch = asyncio.ensure_future(
            task_executor.lease.watch_clock(task_executor.runs.values)
        )
        self.addCleanup(watch.cancel)
        self.world.start_tasks(1)
        await dispatch_world.wait_until(lambda: endpoint.leased.running)
        await asyncio.sleep(0.1)
        endpoint.timeout_s = 0.3
        endpoint.default_faults['fetch_report'] = 'lost'
        # Until a request is under way that is not answered.
        await asyncio.sleep(0.25)
        stopped_at = clocks.now()
        # Nothing runs in this process, and the endpoint's clock stands still.
        time.sleep(SUSPENSION_S)
        endpoint.suspended_s += clocks.now() - stopped_at
        await dispatch_world.wait_until(
            lambda: not self.world.executor.endpoint_reachable
        )
        endpoint.default_faults.clear()
        await dispatch_world.wait_until(
            lambda: self.world.executor.endpoint_reachable
        )
        self.assertEqual(len(endpoint.leased.running), 1)
        self.assertNotIn(messages.Outcome.lost, self.world.outcomes())
