"""Completions that an endpoint retains until they are acknowledged."""

import asyncio
import typing

from poplardrum.dispatch import clocks, messages
from poplardrum.platform import endpoints
from tests import dispatch_world, executor_case


class TestUnacknowledgedCompletions(executor_case.ExecutorCase):
    """Completions retained because an earlier one is not acknowledged."""

    duration = 30.0

    def fill_backlog(self) -> None:
        """Make the endpoint retain more completions than the limit."""
        self.world.executor.completions.last_listed = (
            endpoints.MAX_LISTED_COMPLETIONS
        )
        completion = endpoints.Completion(
            1,
            f'{dispatch_world.JOB_ID}.0.0.9',
            1,
            endpoints.RunOutcome.done,
        )
        self.world.executor.completions.retain(None, completion, 0.0)

    async def test_discarded_after_the_lease(self) -> None:
        """Guards against an endpoint whose new completions are not listed.

        An entry without a connection acknowledged nothing for 9 s. The
        endpoint then retained more completions than a report lists, and runs
        that completed were in neither list. Found by a day of stored jobs.
        """
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )
        self.fill_backlog()
        await self.wait_for_results(1)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.lost])
        self.assertEqual(self.world.endpoint.leased.running, {})
        await dispatch_world.wait_until(
            lambda: not self.world.executor.completions.unacknowledged
        )
        await dispatch_world.wait_until(self.world.executor.is_accepting)

    async def test_missing_run_in_incomplete_report_is_kept(self) -> None:
        """Guards against a run reported as lost while it is not listed yet."""
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )
        task_executor = self.world.executor
        await dispatch_world.wait_until(
            lambda: all(
                run.listed_from is not None
                for run in task_executor.runs.values()
            )
        )
        report = endpoints.Report(
            self.world.endpoint.clock_ms(),
            self.world.endpoint.incarnation,
            [],
            [],
            complete=False,
        )
        task_executor.apply_report(
            report, clocks.now(), task_executor.lease.fencing_token
        )
        self.assertEqual(self.world.outcomes(), [])


class TestCompletionsOfAnEarlierAgent(executor_case.ExecutorCase):
    """Completions that an agent finds when it starts."""

    async def test_sent_before_tasks_are_accepted(self) -> None:
        """Guards against a start of a task whose completion is not sent yet."""
        self.world.endpoint.default_faults['fetch_report'] = 'lost'
        self.world.start_tasks(1)
        leased = self.world.endpoint.leased
        await dispatch_world.wait_until(lambda: leased.started_runs)
        await asyncio.sleep(0.06)
        leased.advance(clocks.now())
        self.assertEqual(len(leased.done_tasks), 1)
        await self.world.stop()
        self.world.endpoint.default_faults.clear()
        second = dispatch_world.World(self.duration)
        second.endpoint = self.world.endpoint
        second.executor.endpoint = typing.cast(typing.Any, second.endpoint)
        self.addAsyncCleanup(second.stop)
        sent: list[tuple[messages.UnackedCompletion, bool]] = []
        second.executor.broadcast_completion = lambda message: sent.append(
            (message, second.executor.is_accepting()),
        )
        await second.start()
        self.assertEqual(
            [(message.job, accepting) for message, accepting in sent],
            [(dispatch_world.JOB_ID, False)],
        )


class TestLastCompletions(executor_case.ExecutorCase):
    """Completions after which an endpoint is idle."""

    async def test_acknowledged_while_idle(self) -> None:
        """Guards against completions that an idle endpoint never drops.

        An endpoint without runs got no more requests, so its last
        completions were never acknowledged. Found by the soak with stored
        jobs.
        """
        self.world.start_tasks(2)
        await self.wait_for_results(2)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.acknowledged_id == 2
        )
