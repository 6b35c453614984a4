"""Completions of tasks of stored jobs that arrive more than once."""

import asyncio
import typing

from poplardrum.dispatch import fleet, jobs, messages, owned_jobs
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
_COMPLETION_NUMBER: typing.Final = 7
_REDELIVERIES: typing.Final = 3


def redelivered(
    outcome: messages.Outcome,
    run_number: int = 1,
    number: int = _COMPLETION_NUMBER,
) -> messages.UnackedCompletion:
    """Return the completion of a run of task 0, as an agent sends it again."""
    return messages.UnackedCompletion(
        JOB_ID, 0, 0, run_number, outcome, messages.CompletionId(1, number)
    )


class TestFailedRuns(stored_world.StoredCase):
    """Each failed run uses up one attempt, however often it is reported."""

    async def fail_once(self) -> owned_jobs.OwnedJob:
        """Start a job of one task, whose run fails; no agent has room then."""
        owned = await self.entry.create_owned_job(tasks=1, max_attempts=3)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.agent.accepting = False
        self.entry.complete(
            owned, 0, messages.Outcome.failed, _COMPLETION_NUMBER
        )
        return owned

    def redeliver(self, entry: stored_world.Entry, agent: fleet.Agent) -> None:
        """Deliver the completion of run 1 a few more times."""
        for _ in range(_REDELIVERIES):
            entry.coordinator.handle_message(
                agent, redelivered(messages.Outcome.failed)
            )

    async def test_redelivered_during_a_store_outage(self) -> None:
        """Guards against a job shown as failed after one of three attempts."""
        owned = await self.fail_once()
        self.store.faults = ['refused'] * 1000
        await asyncio.sleep(0)
        self.redeliver(self.entry, self.agent)
        self.assertFalse(owned.job.outcome.done())
        self.store.faults.clear()
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )
        self.assertEqual(self.store.record().failure_counts, {0: 1})

    async def test_redelivered_after_a_lost_acknowledgement(self) -> None:
        """Guards against a failed run that is counted once it is stored."""
        owned = await self.fail_once()
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )
        self.redeliver(self.entry, self.agent)
        self.assertEqual(owned.job.tasks[0].failures, 1)
        self.assertEqual(
            stored_world.acknowledged_numbers(self.link),
            [_COMPLETION_NUMBER] * (1 + _REDELIVERIES),
        )

    async def test_redelivered_to_the_next_owner(self) -> None:
        """Guards against a failed run that each owner counts again."""
        await self.fail_once()
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )
        other = self.start('b')
        agent, link = other.connect('side-1', accepting=False)
        self.redeliver(other, agent)
        taken_over = await stored_world.take_over(other)
        self.redeliver(other, agent)
        self.assertEqual(taken_over.job.tasks[0].failures, 1)
        self.assertFalse(taken_over.job.outcome.done())
        self.assertIn(
            _COMPLETION_NUMBER, stored_world.acknowledged_numbers(link)
        )

    async def test_redelivered_by_a_restarted_agent(self) -> None:
        """Guards against an acknowledgement to a process that is gone."""
        self.store.faults = []
        await self.fail_once()
        self.store.faults = ['refused'] * 3
        restarted, link = self.entry.connect('side-1', accepting=False)
        self.redeliver(self.entry, restarted)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(link)
        )
        self.assertEqual(self.store.record().failure_counts, {0: 1})

    async def test_earlier_run_failed(self) -> None:
        """Guards against more failed runs than the maximum of the queue."""
        await self.entry.create_owned_job(tasks=1, max_attempts=2)
        other = self.start('b')
        agent, link = other.connect('side-1')
        taken_over = await stored_world.take_over(other)
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        other.coordinator.handle_message(
            agent, redelivered(messages.Outcome.failed)
        )
        self.assertFalse(taken_over.job.outcome.done())
        other.complete(taken_over, 0, messages.Outcome.failed, 2)
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        self.assertEqual(len(self.started_runs(link)), 1)


class TestDoneRuns(stored_world.StoredCase):
    """A completion of a done task is acknowledged again."""

    async def test_redelivered_after_a_lost_acknowledgement(self) -> None:
        """Guards against an endpoint that retains completions of a long job."""
        owned = await self.entry.create_owned_job(tasks=2)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.entry.complete(owned, 0, messages.Outcome.done, _COMPLETION_NUMBER)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )
        self.entry.coordinator.handle_message(
            self.agent, redelivered(messages.Outcome.done)
        )
        self.assertEqual(
            stored_world.acknowledged_numbers(self.link),
            [_COMPLETION_NUMBER] * 2,
        )
        self.assertIs(owned.job.tasks[0].phase, jobs.Phase.done)

    async def test_reported_when_the_entry_returns(self) -> None:
        """Guards against a done task that starts again after a freeze.

        The agent has dropped its session; it reports the completion before
        its active runs, which lack the run.
        """
        await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        _, idle_link = self.entry.connect('side-2')
        self.entry.coordinator.handle_message(
            self.agent, redelivered(messages.Outcome.done)
        )
        self.entry.coordinator.handle_message(
            self.agent, messages.ActiveRuns([])
        )
        self.entry.report_load(self.agent)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        self.assertEqual(len(self.started_runs(self.link)), 1)
        self.assertEqual(self.started_runs(idle_link), [])
