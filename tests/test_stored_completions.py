"""Completions of tasks of stored jobs, without a network."""

import asyncio
import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import (
    completions,
    endpoint_runs,
    jobs,
    messages,
    records,
)
from poplardrum.platform import endpoints
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID


class TestTaskCompletions(stored_world.StoredCase):
    """A completion is acknowledged only once it is stored."""

    async def test_acknowledged_after_the_commit(self) -> None:
        """Guards against a completion that is lost with its entry."""
        owned = await self.entry.create_owned_job()
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.store.faults = ['refused'] * 3
        self.entry.complete(owned, 0, messages.Outcome.done, 7)
        await asyncio.sleep(0.02)
        self.assertEqual(stored_world.acknowledged_numbers(self.link), [])
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )
        self.assertEqual(stored_world.acknowledged_numbers(self.link), [7])
        self.assertEqual(self.store.record().done_tasks, [0])

    async def test_completed_when_stored(self) -> None:
        """Guards against reporting a completed job that is not stored as such."""
        owned = await self.entry.create_owned_job()
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        for index in (0, 1):
            self.entry.complete(owned, index, messages.Outcome.done, index + 1)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        record = self.store.record()
        self.assertIs(record.state, records.State.completed)
        self.assertEqual(
            sorted(stored_world.acknowledged_numbers(self.link)), [1, 2]
        )
        marker = records.marker_key(self.entry.ownership.incarnation, JOB_ID)
        self.assertNotIn(marker, self.store.values)

    async def test_attempts_are_kept_at_takeover(self) -> None:
        """Guards against more failed runs than the maximum of the queue."""
        owned = await self.entry.create_owned_job(tasks=1, max_attempts=2)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.entry.complete(owned, 0, messages.Outcome.failed, 1)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )
        other = self.start('b')
        agent, link = other.connect('side-2')
        taken_over = await stored_world.take_over(other)
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        other.complete(taken_over, 0, messages.Outcome.failed, 2)
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        self.assertIs(self.store.record().state, records.State.failed)
        self.assertEqual(self.started_runs(link), [records.RUNS_PER_OWNER + 1])

    async def test_completion_not_stored_by_the_last_owner(self) -> None:
        """Guards against a start of a task whose completion is acknowledged."""
        await self.entry.create_owned_job()
        other = self.start('b')
        agent, link = other.connect('side-1')
        message = messages.UnackedCompletion(
            JOB_ID,
            0,
            1,
            1,
            messages.Outcome.done,
            messages.CompletionId(1, 5),
        )
        other.coordinator.handle_message(agent, message)
        self.assertEqual(stored_world.acknowledged_numbers(link), [])
        await stored_world.take_over(other)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(link)
        )
        started = [
            run.task_index
            for request in link.sent_of(messages.StartTasks)
            for run in request.runs
        ]
        self.assertEqual(started, [0])
        self.assertEqual(self.store.record().done_tasks, [1])

    async def test_completion_of_the_current_run_after_its_agent_was_killed(
        self,
    ) -> None:
        """Guards against a start of a task whose completion is acknowledged.

        A restarted agent accepted tasks before it sent the completions that
        it had found. Found by test_stored_path under load.
        """
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.agent.on_disconnected()
        self.entry.coordinator.schedule_expiry(self.agent)
        restarted, link = self.entry.connect('side-1', accepting=False)
        message = messages.UnackedCompletion(
            JOB_ID,
            0,
            0,
            1,
            messages.Outcome.done,
            messages.CompletionId(1, 5),
        )
        self.entry.coordinator.handle_message(restarted, message)
        self.entry.report_load(restarted)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(link)
        )
        self.assertEqual(self.started_runs(link), [])
        self.assertIs(owned.job.outcome.result(), jobs.JobOutcome.completed)

    async def state_after_late_completions(
        self,
        outcome: messages.Outcome,
        runs: int,
    ) -> records.State:
        """Return the state of a job whose runs complete after a takeover."""
        await self.entry.create_owned_job(tasks=1, max_attempts=2)
        other = self.start('b')
        await stored_world.take_over(other)
        agent, _ = other.connect('side-1', accepting=False)
        for run in range(1, runs + 1):
            completion_id = messages.CompletionId(1, run)
            other.coordinator.handle_message(
                agent,
                messages.UnackedCompletion(
                    JOB_ID, 0, 0, run, outcome, completion_id
                ),
            )
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        return self.store.record().state

    async def test_last_completion_after_takeover(self) -> None:
        """Guards against a completed job that stays active."""
        state = await self.state_after_late_completions(
            messages.Outcome.done, 1
        )
        self.assertIs(state, records.State.completed)

    async def test_duration_of_a_run_of_the_last_owner(self) -> None:
        """Guards against jobs that are told to come back too early.

        The run counted as long as the host had been up, and so did the work
        that endpoints were taken to complete.
        """
        await self.entry.create_owned_job(tasks=1)
        other = self.start('b')
        await stored_world.take_over(other)
        agent, _ = other.connect('side-1', accepting=False)
        completion = messages.UnackedCompletion(
            JOB_ID, 0, 0, 1, messages.Outcome.done, messages.CompletionId(1, 1)
        )
        other.coordinator.handle_message(agent, completion)
        rate = other.coordinator.deadlines.completion_rate
        self.assertAlmostEqual(rate.value(), 0.0)

    async def test_last_failure_after_takeover(self) -> None:
        """Guards against a start after all attempts have failed."""
        state = await self.state_after_late_completions(
            messages.Outcome.failed, 2
        )
        self.assertIs(state, records.State.failed)

    async def test_attempts_exhausted_before_takeover(self) -> None:
        """Guards against a start after all attempts have failed."""
        owned = await self.entry.create_owned_job(tasks=1, max_attempts=2)
        owned.pending.record.failure_counts[0] = 2
        await self.entry.writer.put(owned.pending)
        other = self.start('b')
        _, link = other.connect('side-2')
        await stored_world.take_over(other)
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        self.assertIs(self.store.record().state, records.State.failed)
        self.assertEqual(self.started_runs(link), [])

    async def test_completion_of_an_unknown_job(self) -> None:
        """Guards against an endpoint that can never drop its completions."""
        message = messages.UnackedCompletion(
            ids.JobId('f' * 16),
            0,
            0,
            1,
            messages.Outcome.done,
            messages.CompletionId(1, 5),
        )
        self.entry.coordinator.handle_message(self.agent, message)
        lookup_task = asyncio.ensure_future(
            self.entry.takeover.look_up_unclaimed()
        )
        self.addCleanup(lookup_task.cancel)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )

    async def test_checkpoint_is_resumed(self) -> None:
        """Guards against losing the checkpoint of a stopped run."""
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        run_id = messages.RunId(0, 1)
        self.entry.coordinator.handle_message(
            self.agent,
            messages.Completion(
                JOB_ID, run_id, messages.Outcome.stopped, None, 'half-way'
            ),
        )
        await dispatch_world.wait_until(
            lambda: len(self.started_runs(self.link)) == 2
        )
        request = self.link.sent_of(messages.StartTasks)[-1]
        self.assertEqual(request.checkpoints, {0: 'half-way'})
        self.assertEqual(owned.pending.record.checkpoints, {0: 'half-way'})


class TestCompletionTracker(unittest.TestCase):
    """Completions that an endpoint may drop."""

    def listed_completion(self, number: int) -> endpoints.Completion:
        """Return a completion as a report lists it."""
        return endpoints.Completion(
            number, f'{JOB_ID}.0.0.0', 1, endpoints.RunOutcome.done
        )

    def test_retained_completion_keeps_later_ones(self) -> None:
        """Guards against an acknowledgement that covers an unstored one."""
        tracker = completions.CompletionTracker()
        for number in (1, 2, 3):
            self.assertTrue(tracker.observe(number))
        completion_id = tracker.retain(None, self.listed_completion(2), 0.0)
        self.assertEqual(tracker.acknowledged_up_to(), 1)
        self.assertTrue(
            tracker.acknowledge(
                [typing.cast(messages.CompletionId, completion_id)]
            )
        )
        self.assertEqual(tracker.acknowledged_up_to(), 3)

    def test_acknowledgement_of_an_earlier_incarnation(self) -> None:
        """Guards against acknowledgements of an earlier incarnation."""
        tracker = completions.CompletionTracker()
        tracker.reset(5)
        tracker.observe(1)
        tracker.retain(None, self.listed_completion(1), 0.0)
        self.assertFalse(tracker.acknowledge([messages.CompletionId(4, 1)]))
        self.assertEqual(tracker.acknowledged_up_to(), 0)

    def test_resent(self) -> None:
        """Guards against a completion that never reaches its entry."""
        tracker = completions.CompletionTracker()
        tracker.observe(1)
        tracker.retain(None, self.listed_completion(1), 10.0)
        self.assertEqual(tracker.due_for_resend(10.1), [])
        self.assertEqual(len(tracker.due_for_resend(11.0)), 1)
        self.assertEqual(tracker.due_for_resend(11.1), [])

    def test_names(self) -> None:
        """Guards against a malformed name parsed as a task of some job."""
        self.assertEqual(
            endpoint_runs.parse_task_name(f'{JOB_ID}.0.2.17'), (JOB_ID, 2, 17)
        )
        for name in (
            '',
            'x',
            f'{JOB_ID}.0.2',
            f'{JOB_ID}.0.x.1',
            f'{JOB_ID}.0.2.-1',
        ):
            self.assertIsNone(endpoint_runs.parse_task_name(name))
