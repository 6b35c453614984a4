"""Completions of runs after which their tasks have started again.

No task may start after a run of it that is done, if the completion of that run is
acknowledged without a lapse of the lease in between.
"""

import asyncio
import typing
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import (
    completion_verdicts,
    connections,
    fleet,
    jobs,
    messages,
    records,
    timing,
)
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
TIMEOUT_S: typing.Final = 0.01
COMPLETION: typing.Final = messages.CompletionId(1, 5)


def completion_of(
    run: int, outcome: messages.Outcome = messages.Outcome.done
) -> messages.UnackedCompletion:
    """Return the completion of a run of task 0."""
    return messages.UnackedCompletion(JOB_ID, 0, 0, run, outcome, COMPLETION)


class OvertakenCase(stored_world.StoredCase):
    """Common set-up: agent `side-1` has run 1 of a task and can't be reached."""

    tasks = 1
    max_attempts = 3

    async def asyncSetUp(self) -> None:
        """Place a task and lose the agent's link."""
        await super().asyncSetUp()
        for name in ('LOST_AGENT_TIMEOUT_S', 'RELINK_TIMEOUT_S'):
            self.enterContext(mock.patch.object(timing, name, TIMEOUT_S))
        self.owned = await self.entry.create_owned_job(
            self.tasks, self.max_attempts
        )
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.agent.on_disconnected()

    async def give_up(self) -> None:
        """Let the owner give up the run."""
        self.other, self.other_link = self.entry.connect('side-2', False)
        self.entry.coordinator.schedule_expiry(self.agent)
        await dispatch_world.wait_until(
            lambda: self.owned.job.tasks[0].phase is jobs.Phase.waiting
        )

    async def start_again(self) -> None:
        """Let the owner give up the run and start the next one."""
        await self.give_up()
        self.entry.report_load(self.other)
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )

    async def finish(self) -> None:
        """Let run 2 of the task be done, and with it the job."""
        self.entry.complete(self.owned, 0, messages.Outcome.done, 9)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )

    def link_again(
        self,
        completion: messages.UnackedCompletion,
        entry: stored_world.Entry | None = None,
    ) -> dispatch_world.FakeLink:
        """Link the lost agent to an entry, with a completion to report."""
        entry = entry or self.entry
        link = dispatch_world.FakeLink()
        agent = fleet.Agent('side-1', 'toledo', self.agent.incarnation)
        if agent.incarnation in entry.coordinator.agents:
            agent = entry.coordinator.agents[agent.incarnation]
        else:
            entry.coordinator.add_agent(agent)
        agent.on_connected(typing.cast(connections.Link, link))
        for message in (completion, messages.ActiveRuns([])):
            entry.coordinator.handle_message(agent, message)
        return link

    async def assert_overtaken(self, link: dispatch_world.FakeLink) -> None:
        """Check that a completion is answered, and not acknowledged."""
        await self.look_up(link, messages.CompletionsOvertaken)
        self.assertEqual(stored_world.acknowledged_numbers(link), [])

    async def assert_acknowledged(self, link: dispatch_world.FakeLink) -> None:
        """Check that a completion is acknowledged."""
        await self.look_up(link, messages.CompletionsAcknowledged)
        self.assertEqual(link.sent_of(messages.CompletionsOvertaken), [])

    async def look_up(
        self,
        link: dispatch_world.FakeLink,
        answer: type[messages.Message],
    ) -> None:
        """Wait for an answer while all entries look up records."""
        looking_up = [
            asyncio.ensure_future(entry.takeover.look_up_unclaimed())
            for entry in self.entries
        ]
        await dispatch_world.wait_until(lambda: link.sent_of(answer))
        for each in looking_up:
            each.cancel()

    def start(self, name: str) -> stored_world.Entry:
        """Start an entry and remember it."""
        entry = super().start(name)
        self.entries = [*getattr(self, 'entries', []), entry]
        return entry


class TestOvertakenCompletions(OvertakenCase):
    """Run 1 is done at an agent that comes back when it is too late."""

    async def test_while_the_next_run_is_at_work(self) -> None:
        """Guards against an end that is acknowledged after a second start."""
        await self.start_again()
        await self.assert_overtaken(self.link_again(completion_of(1)))

    async def test_while_the_next_run_waits_for_room(self) -> None:
        """Guards against a done task that starts again though its end is known."""
        await self.give_up()
        await self.assert_acknowledged(self.link_again(completion_of(1)))
        self.entry.report_load(self.other)
        await asyncio.sleep(TIMEOUT_S)
        self.assertEqual(self.started_runs(self.other_link), [])

    async def test_after_the_next_run_was_refused(self) -> None:
        """Guards against a lapse where no second run has started."""
        await self.start_again()
        self.other.accepting = False
        self.entry.coordinator.handle_message(
            self.other,
            messages.Refused(
                JOB_ID, [messages.RunId(0, 2)], messages.Refusal.no_room
            ),
        )
        await self.assert_acknowledged(self.link_again(completion_of(1)))

    async def test_after_the_job_has_finished(self) -> None:
        """Guards against an owner that acknowledges what names a finished job."""
        await self.start_again()
        await self.finish()
        await self.assert_overtaken(self.link_again(completion_of(1)))

    async def test_known_before_the_job_finishes(self) -> None:
        """Guards against answers that change as the job finishes."""
        await self.start_again()
        link = self.link_again(completion_of(1))
        await self.assert_overtaken(link)
        await self.finish()
        await self.assert_overtaken(self.link_again(completion_of(1)))
        self.assertEqual(stored_world.acknowledged_numbers(link), [])

    async def test_at_an_entry_that_does_not_own_the_job(self) -> None:
        """Guards against another entry that reads a finished record."""
        await self.start_again()
        await self.finish()
        other = self.start('b')
        await self.assert_overtaken(self.link_again(completion_of(1), other))

    async def test_run_that_finished_the_job(self) -> None:
        """Guards against a lapse for a completion that is only sent again."""
        await self.start_again()
        await self.finish()
        await self.assert_acknowledged(self.link_again(completion_of(2)))

    async def test_cancelled_job(self) -> None:
        """Guards against a cancelled job whose done task had started again."""
        await self.start_again()
        await self.entry.ownership.cancel(self.owned)
        await self.assert_overtaken(self.link_again(completion_of(1)))

    async def test_last_run_of_a_cancelled_job(self) -> None:
        """Guards against a lapse for a run that nothing has followed."""
        await self.start_again()
        await self.entry.ownership.cancel(self.owned)
        await self.assert_acknowledged(self.link_again(completion_of(2)))


class TestUnstoredOutcome(stored_world.StoredCase):
    """A job is over, and its record is not stored yet."""

    async def test_completion_of_its_last_run(self) -> None:
        """Guards against an acknowledged completion that no record has.

        The next owner would start the task again.
        """
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.store.is_away = True
        cancelling = asyncio.ensure_future(self.entry.ownership.cancel(owned))
        await dispatch_world.wait_until(owned.pending.record.is_over)
        self.entry.coordinator.handle_message(self.agent, completion_of(1))
        await asyncio.sleep(0.02)
        self.assertEqual(stored_world.acknowledged_numbers(self.link), [])
        self.store.is_away = False
        self.assertTrue(await cancelling)
        await dispatch_world.wait_until(
            lambda: stored_world.acknowledged_numbers(self.link)
        )


class TestNextOwners(OvertakenCase):
    """The owner is lost as well, before or after the second start."""

    async def take_over(self, name: str) -> stored_world.Entry:
        """Let a new entry take the job over from all earlier ones."""
        for entry in self.entries:
            await entry.close()
        entry = self.start(name)
        for earlier in self.entries[:-1]:
            owner = earlier.ownership.incarnation
            entry.owner_tracker.missing_since[owner] = -1000.0
            self.store.values.pop(f'poplardrum/entries/node-{owner}', None)
        await stored_world.take_over(entry)
        return entry

    async def test_task_that_the_last_owner_started_again(self) -> None:
        """Guards against a next owner that does not know of a second start."""
        await self.start_again()
        entry = await self.take_over('b')
        await self.assert_overtaken(self.link_again(completion_of(1), entry))

    async def test_last_run_of_the_last_owner(self) -> None:
        """Guards against a lapse for each completion after a takeover."""
        entry = await self.take_over('b')
        await self.assert_acknowledged(self.link_again(completion_of(1), entry))

    async def test_task_that_an_owner_in_between_may_have_started(self) -> None:
        """Guards against a start of an owner that stored nothing about it."""
        second = await self.take_over('b')
        _, link = second.connect('side-2')
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        third = await self.take_over('c')
        await self.assert_overtaken(self.link_again(completion_of(1), third))

    async def test_task_that_the_next_owner_has_started(self) -> None:
        """Guards against a next owner that was not linked to the agent."""
        entry = await self.take_over('b')
        _, link = entry.connect('side-2')
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        await self.assert_overtaken(self.link_again(completion_of(1), entry))

    async def test_job_that_the_next_owner_cancelled(self) -> None:
        """Guards against a start of an owner that stored only the job's end."""
        entry = await self.take_over('b')
        _, link = entry.connect('side-2')
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        await entry.ownership.cancel(entry.ownership.owned_jobs[JOB_ID])
        await self.assert_overtaken(self.link_again(completion_of(1), entry))


class TestStoredLosses(OvertakenCase):
    """A run that is given up is stored before its task starts again."""

    async def test_store_does_not_answer(self) -> None:
        """Guards against a start that the next owner can't know of."""
        self.store.faults = ['refused'] * 1000
        await self.give_up()
        self.entry.report_load(self.other)
        await asyncio.sleep(5 * TIMEOUT_S)
        self.assertEqual(self.started_runs(self.other_link), [])
        self.store.faults = []
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )
        self.assertEqual(self.store.record().given_up_runs, {0: 1})


class TestFailedAttempts(OvertakenCase):
    """Failures count against the attempts, also those heard of late."""

    max_attempts = 1

    async def test_last_attempt_that_was_overtaken(self) -> None:
        """Guards against a start after all attempts have failed."""
        await self.start_again()
        link = self.link_again(completion_of(1, messages.Outcome.failed))
        await self.assert_overtaken(link)
        self.assertFalse(self.owned.job.outcome.done())

    async def test_last_attempt_that_was_not_overtaken(self) -> None:
        """Guards against a failed job that is tried again."""
        await self.give_up()
        link = self.link_again(completion_of(1, messages.Outcome.failed))
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        await self.assert_acknowledged(link)
        self.assertIs(self.store.record().state, records.State.failed)

    async def test_failure_with_attempts_left(self) -> None:
        """Guards against attempts that are not counted."""
        self.owned.job.max_attempts = 3
        self.owned.pending.record.max_attempts = 3
        await self.start_again()
        link = self.link_again(completion_of(1, messages.Outcome.failed))
        await self.assert_acknowledged(link)
        self.assertEqual(self.store.record().failure_counts, {0: 1})


class TestVerdicts(stored_world.StoredCase):
    """Verdicts that depend on the record alone."""

    def judge(self, record: records.Record, number: int) -> object:
        """Return the verdict on a run of task 0 that is done."""
        return completion_verdicts.judge(
            record, messages.RunId(0, number), messages.Outcome.done
        )

    async def test_record_of_the_previous_version(self) -> None:
        """Guards against a lapse at an upgrade for each finished job.

        The record does not name the runs that were done.
        """
        record = self.entry.new_record()
        record.done_tasks.append(0)
        self.assertIs(
            self.judge(record, 1), completion_verdicts.Verdict.settled
        )

    async def test_encoded(self) -> None:
        """Guards against a verdict that is lost with its owner."""
        record = self.entry.new_record()
        record.add_completion(messages.RunId(0, 2), is_done=True)
        record.given_up_runs[1] = 4
        decoded = records.decode(records.encode(record))
        self.assertEqual(decoded, record)
        next_record = record.with_next_owner(ids.Incarnation('b'))
        self.assertEqual(next_record.done_runs, {0: 2})
        self.assertEqual(next_record.given_up_runs, {1: 4})
        self.assertIs(
            self.judge(next_record, 1), completion_verdicts.Verdict.overtaken
        )
