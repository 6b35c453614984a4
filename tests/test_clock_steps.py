"""Endpoints that restart while the time of day of their host goes back."""

import asyncio
import math
import typing

from poplardrum.dispatch import clocks, messages
from poplardrum.platform import endpoints
from tests import dispatch_world, executor_case

FIRST_BORN: typing.Final = 100_000
LOWER_BORN: typing.Final = 98_000


class TestLowerBorn(executor_case.ExecutorCase):
    """The next incarnation has started earlier by its time of day."""

    duration = 30.0

    async def asyncSetUp(self) -> None:
        """Let an incarnation with a run be followed by one with a lower time."""
        await super().asyncSetUp()
        self.world.endpoint.incarnation = FIRST_BORN
        self.world.send_heartbeat('ready')
        await dispatch_world.wait_until(self.world.executor.is_accepting)

    def restart(self, born: int) -> None:
        """Restart the endpoint."""
        endpoint = self.world.endpoint
        endpoint.leased = type(endpoint.leased)(dispatch_world.LEASE_S)
        endpoint.incarnation = born
        self.world.sequence = 0

    async def wait_until_known(self, born: int) -> None:
        """Wait until the agent sends tasks to an incarnation."""
        executor = self.world.executor
        await dispatch_world.wait_until(
            lambda: executor.status.incarnation == born
        )
        await dispatch_world.wait_until(executor.is_accepting)

    async def start_run(self, run: int) -> None:
        """Start a run and wait until the endpoint has it."""
        self.world.start_tasks(1, run)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )

    async def test_runs_of_the_earlier_incarnation(self) -> None:
        """Guards against runs that are waited for, for good."""
        await self.start_run(1)
        self.restart(LOWER_BORN)
        await self.wait_for_results(1)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.lost])

    async def test_accepts_tasks_again(self) -> None:
        """Guards against an agent that takes no more tasks."""
        await self.start_run(1)
        self.restart(LOWER_BORN)
        self.world.send_heartbeat('ready')
        await self.wait_for_results(1)
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        await self.start_run(2)

    async def test_idle_endpoint(self) -> None:
        """Guards against a restart that no report shows, as nothing runs."""
        self.restart(LOWER_BORN)
        self.world.send_heartbeat('ready')
        await self.wait_until_known(LOWER_BORN)

    async def test_time_of_day_that_jumps_back_again(self) -> None:
        """Guards against incarnations that are told apart by their order."""
        for number, born in enumerate((LOWER_BORN, FIRST_BORN + 5, 97_000)):
            self.restart(born)
            self.world.send_heartbeat('ready')
            await self.wait_until_known(born)
            await self.start_run(number + 1)

    async def test_late_heartbeat_of_a_replaced_incarnation(self) -> None:
        """Guards against the higher time of an incarnation that has ended."""
        self.restart(LOWER_BORN)
        self.world.send_heartbeat('ready')
        status = self.world.executor.status
        await self.wait_until_known(LOWER_BORN)
        self.world.endpoint.incarnation = FIRST_BORN
        self.world.send_heartbeat('draining')
        self.world.endpoint.incarnation = LOWER_BORN
        self.assertEqual(status.incarnation, LOWER_BORN)
        self.assertTrue(self.world.executor.is_accepting())

    async def test_late_heartbeat_of_an_earlier_incarnation(self) -> None:
        """Guards against a late heartbeat that is taken for a restart."""
        self.world.endpoint.incarnation = LOWER_BORN
        self.world.send_heartbeat('draining')
        self.world.endpoint.incarnation = FIRST_BORN
        await asyncio.sleep(0.1)
        self.assertEqual(self.world.executor.status.incarnation, FIRST_BORN)
        self.assertTrue(self.world.executor.is_accepting())

    async def test_late_report_of_an_earlier_incarnation(self) -> None:
        """Guards against a report that was overtaken by one of the next."""
        executor = self.world.executor
        report = endpoints.Report(
            self.world.endpoint.clock_ms(), 90_000, [], []
        )
        executor.apply_report(report, requested_at=-math.inf, fencing_token=0)
        self.assertEqual(executor.status.incarnation, FIRST_BORN)
        executor.apply_report(
            report, requested_at=clocks.now(), fencing_token=0
        )
        self.assertEqual(executor.status.incarnation, 90_000)
