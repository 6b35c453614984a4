"""Commands and outcomes that mean another run of a task than the current one."""

import asyncio
import typing

from poplardrum.dispatch import (
    clocks,
    connections,
    entry_sessions,
    messages,
    run_checks,
)
from tests import dispatch_world, executor_case


class TestSettledRuns(executor_case.ExecutorCase):
    """Waits that go on after their run was settled."""

    duration = 30.0

    async def start_after_silence(self) -> None:
        """Send a start that waits for a sign of life of its entry."""
        session, link = self.world.session, self.world.link
        link.is_confirmed.clear()
        self.world.start_tasks(1, run=1)
        await asyncio.sleep(0)
        self.silent_link = link
        self.world.link = dispatch_world.FakeLink()
        session.link = typing.cast(connections.Link, self.world.link)

    async def wait_for_background_tasks(self) -> None:
        """Wait until all starts and stops are over."""
        tasks = self.world.executor.background.running
        await dispatch_world.wait_until(lambda: not tasks)

    async def test_refusal_of_an_earlier_run(self) -> None:
        """Guards against a task that stands still after a freeze of its agent.

        The wait of run 1 ended when run 2 was active. Its refusal removed run
        2, which was stopped as unknown, and no entry heard of that.
        """
        await self.start_after_silence()
        self.world.stop_tasks([0], run=1)
        await self.wait_for_results(1)
        self.world.start_tasks(1, run=2)
        leased = self.world.endpoint.leased
        await dispatch_world.wait_until(lambda: leased.running)
        await self.wait_for_background_tasks()
        runs = self.world.executor.runs.values()
        self.assertEqual([run.id.number for run in runs], [2])
        self.assertEqual([run_id.run for run_id in leased.running], [2])
        self.assertEqual(self.world.session.active_runs, 1)

    async def test_start_of_a_settled_run(self) -> None:
        """Guards against a run that starts after it was reported as lost."""
        await self.start_after_silence()
        task_executor = self.world.executor
        task_executor.lease.renewed_at = 0
        task_executor.expire_runs(clocks.now())
        self.assertEqual(self.world.outcomes(), [messages.Outcome.lost])
        self.world.session.link = typing.cast(
            connections.Link, self.silent_link
        )
        self.silent_link.is_confirmed.set()
        await self.wait_for_background_tasks()
        self.assertEqual(self.world.endpoint.leased.started_runs, [])


class TestStopsOfOtherRuns(executor_case.ExecutorCase):
    """Stops name the run that they mean."""

    duration = 30.0

    async def check_not_stopped(
        self, run: int, session: entry_sessions.EntrySession | None = None
    ) -> None:
        """Check that run 1 goes on after a stop of another one."""
        self.world.start_tasks(1, run=1)
        leased = self.world.endpoint.leased
        await dispatch_world.wait_until(lambda: leased.running)
        self.world.stop_tasks([0], run, session)
        await asyncio.sleep(2 * dispatch_world.STOP_TIME_S)
        tracked = self.world.executor.runs.values()
        self.assertEqual([each.stopping for each in tracked], [False])
        self.assertEqual([run_id.run for run_id in leased.running], [1])

    async def test_stop_of_another_run(self) -> None:
        """Guards against a late stop that ends the next run of the task."""
        await self.check_not_stopped(run=2)

    async def test_stop_by_another_entry(self) -> None:
        """Guards against an earlier owner that stops its successor's runs."""
        session, _ = self.world.connect_entry('front-2')
        await self.check_not_stopped(1, session)


class TestRepeatedStarts(executor_case.ExecutorCase):
    """A start that comes twice."""

    duration = 30.0

    async def test_repeated_start(self) -> None:
        """Guards against a refusal of an active run, which starts elsewhere."""
        self.world.start_tasks(1)
        leased = self.world.endpoint.leased
        await dispatch_world.wait_until(lambda: leased.running)
        self.world.start_tasks(1)
        await asyncio.sleep(0.02)
        self.assertEqual(self.world.refused(), 0)
        self.assertEqual(len(self.world.executor.runs), 1)

    async def test_unknown_run(self) -> None:
        """Guards against a silent agent when an entry asks for a lost run."""
        question = messages.CheckRuns(
            [(dispatch_world.JOB_ID, messages.RunId(0, 1))]
        )
        refused = run_checks.refuse_unknown(
            self.world.executor.runs,
            self.world.executor.completions,
            self.world.session,
            question,
        )
        self.assertEqual(refused, 1)
        reasons = [
            each.reason for each in self.world.link.sent_of(messages.Refused)
        ]
        self.assertEqual(reasons, [messages.Refusal.unknown])
