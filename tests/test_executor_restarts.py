"""Restarts of an endpoint, and of its agent."""

import asyncio
import typing
import unittest

from poplardrum.dispatch import messages, polling
from poplardrum.platform import endpoints
from tests import dispatch_world, executor_case


class TestRestarts(executor_case.ExecutorCase):
    """Crashes and restarts of the endpoint and of the agent."""

    duration = 30.0

    async def test_restart_under_the_same_name(self) -> None:
        """Guards against waiting for runs of an earlier incarnation."""
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )
        self._restart()
        await self.wait_for_results(1)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.lost])
        self.world.send_heartbeat('ready')
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.world.start_tasks(1, run=2)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )

    async def test_start_delayed_past_a_restart(self) -> None:
        """Guards against a run that starts after it was reported as lost.

        A start request sent before a restart of the endpoint was carried
        out after it, although the run had been reported as lost and the task
        started elsewhere. Found by the soak with seed 2.
        """
        self.world.endpoint.faults['start'] = ['late']
        self.world.start_tasks(1)
        await dispatch_world.wait_until(lambda: self.world.endpoint.delayed)
        self._restart()
        self.world.send_heartbeat('ready')
        await self.wait_for_results(1)
        self.world.endpoint.deliver_delayed()
        self.assertEqual(self.world.endpoint.leased.started_runs, [])

    async def test_delayed_start_accepted_after_a_restart(self) -> None:
        """Guards against a second run besides one in the next incarnation."""
        self.world.endpoint.faults['start'] = ['late']
        self.world.start_tasks(1)
        await dispatch_world.wait_until(lambda: self.world.endpoint.delayed)
        self._restart()
        self.world.endpoint.deliver_delayed()
        self.world.send_heartbeat('ready')
        await asyncio.sleep(0.3)
        self.assertEqual(self.world.outcomes(), [])
        self.assertEqual(self.world.refused(), 0)

    async def test_start_accepted_before_the_restart_is_known(self) -> None:
        """Guards against losing a run that the next incarnation accepted.

        Runs started between a restart of the endpoint and its next
        heartbeat were considered lost with the earlier incarnation, and
        their tasks were started a second time elsewhere. Found by the soak
        with seed 2.
        """
        self.world.endpoint.default_faults['fetch_report'] = 'lost'
        self._restart()
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )
        await asyncio.sleep(0.05)
        self.world.endpoint.default_faults.clear()
        self.world.send_heartbeat('ready')
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.assertEqual(self.world.outcomes(), [])
        self.assertEqual(len(self.world.endpoint.leased.running), 1)

    async def test_completions_after_a_restart_are_listed(self) -> None:
        """Guards against completions that a restarted endpoint drops.

        The number of the last completion of the earlier incarnation was
        sent to the next one, which dropped its own first completions; their
        tasks ran again. Found by a day of stored jobs with endpoint crashes.
        """
        self.world.endpoint.duration = 0.05
        self.world.start_tasks(3)
        await self.wait_for_results(3)
        # The endpoint restarts while no reports are requested.
        await dispatch_world.wait_until(
            lambda: not self.world.executor.report_needed.is_set()
        )
        self._restart()
        self.world.start_tasks(1, run=2)
        await self.wait_for_results(4)
        self.assertEqual(
            self.world.outcomes()[-1],
            messages.Outcome.done,
        )

    async def test_higher_token_of_an_earlier_process(self) -> None:
        """Guards against an agent whose tokens its endpoint never accepts."""
        second = dispatch_world.World()
        second.endpoint.leased.fencing_token = 10**12
        self.addAsyncCleanup(second.stop)
        await second.start()
        second.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: second.endpoint.leased.started_runs
        )

    async def test_late_heartbeat_of_an_earlier_incarnation(self) -> None:
        """Guards against a late heartbeat that replaces the current one."""
        self._restart()
        self.world.send_heartbeat('ready')
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.world.endpoint.incarnation = 1
        self.world.send_heartbeat('draining')
        self.assertTrue(self.world.executor.is_accepting())

    async def test_unresponsive_endpoint(self) -> None:
        """Guards against runs that never complete after an endpoint died."""
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )
        self.world.endpoint.unreachable = True
        await self.wait_for_results(1)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.lost])
        self.assertFalse(self.world.executor.is_accepting())

    async def test_runs_of_an_earlier_agent_are_stopped_first(self) -> None:
        """Guards against a second run besides one of a killed agent."""
        self.world.start_tasks(2)
        await dispatch_world.wait_until(
            lambda: len(self.world.endpoint.leased.running) == 2
        )
        await self.world.stop()
        second = dispatch_world.World(self.duration)
        second.endpoint = self.world.endpoint
        second.executor.endpoint = typing.cast(typing.Any, second.endpoint)
        self.addAsyncCleanup(second.stop)
        await second.start()
        self.assertEqual(second.endpoint.leased.running, {})
        self.assertGreaterEqual(
            second.executor.lease.fencing_token,
            self.world.executor.lease.fencing_token,
        )

    def _restart(self) -> None:
        endpoint = self.world.endpoint
        endpoint.leased = type(endpoint.leased)(dispatch_world.LEASE_S)
        endpoint.incarnation += 1


class TestRestoredStatus(unittest.IsolatedAsyncioTestCase):
    """An agent that restarts while its endpoint keeps running."""

    async def asyncSetUp(self) -> None:
        """Create an agent that has received no heartbeat yet."""
        self.world = dispatch_world.World()
        self.addAsyncCleanup(self.world.stop)

    def restore(self, incarnation: int) -> None:
        """Restore the status of an earlier process and poll the endpoint."""
        self.world.executor.restore_status(
            endpoints.Heartbeat(
                'intake',
                'ready',
                7,
                endpoints.Capacity(2000, 65536),
                incarnation,
            ),
        )
        self.world.background_tasks.append(
            asyncio.ensure_future(
                polling.EndpointPoller(self.world.executor).run()
            ),
        )

    async def test_same_incarnation(self) -> None:
        """Guards against an endpoint left idle until its next heartbeat."""
        self.world.endpoint.leased.fencing_token = (
            self.world.endpoint.clock_ms()
        )
        self.restore(self.world.endpoint.incarnation)
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.assertEqual(
            self.world.executor.free_capacity().cpu_millicores, 2000
        )

    async def test_another_incarnation(self) -> None:
        """Guards against restoring a capacity that a restart has changed."""
        self.world.endpoint.incarnation = 5
        self.restore(4)
        await dispatch_world.wait_until(
            lambda: self.world.executor.status.incarnation == 5
        )
        self.assertFalse(self.world.executor.is_accepting())

    async def test_missing_heartbeats(self) -> None:
        """Guards against starts at an endpoint that has gone meanwhile."""
        self.restore(self.world.endpoint.incarnation)
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.world.executor.status.restored_at -= 60
        self.assertFalse(self.world.executor.is_accepting())

    async def test_heartbeat_replaces_restored_status(self) -> None:
        """Guards against a stale capacity after a heartbeat has arrived."""
        self.restore(self.world.endpoint.incarnation)
        await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.world.sequence = 7
        self.world.send_heartbeat('draining')
        self.assertFalse(self.world.executor.is_accepting())
        self.assertEqual(
            self.world.executor.free_capacity().cpu_millicores, 4000
        )
