"""Records, owners and ends of stored jobs without a network."""

import asyncio
import typing
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from poplardrum import errors, ids
from poplardrum.dispatch import (
    ends,
    jobs,
    membership,
    messages,
    record_writer,
    records,
    stored,
    takeover,
    tasks,
    timing,
)
from poplardrum.platform import endpoints, store
from tests import dispatch_world, stored_world

JOB: typing.Final = stored_world.JOB


class StoredCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: one entry with one agent."""

    async def asyncSetUp(self) -> None:
        """Start the entry."""
        self.store = stored_world.MemoryStore()
        self.entry = self.start('a')
        self.agent, self.link = self.entry.connect('side-1')

    def start(self, name: str) -> stored_world.Entry:
        """Start an entry on the same store."""
        entry = stored_world.Entry(self.store, name)
        self.addAsyncCleanup(entry.close)
        return entry

    def starts(self, link: dispatch_world.FakeLink) -> list[int]:
        """Return the runs that were ordered over a link."""
        return [
            run.number
            for order in link.of(messages.StartTasks)
            for run in order.runs
        ]


class TestLedger(StoredCase):
    """Records are stored in groups, under the condition that they are ours."""

    async def put_all(self, count: int) -> list[record_writer.Outcome]:
        """Create many records at once."""
        lines = [
            self.entry.writer.open(
                ids.JobId(f'{number:016x}'),
                self.entry.record(),
            )
            for number in range(count)
        ]
        return await asyncio.gather(*map(self.entry.writer.put, lines))

    async def test_groups(self) -> None:
        """Guards against a call a record, and against too large calls."""
        found = await self.put_all(40)
        self.assertEqual(set(found), {record_writer.Outcome.committed})
        self.assertLess(self.store.commits, 10)
        self.assertLessEqual(self.store.most_rows, 32)

    async def test_answer_lost(self) -> None:
        """Guards against a job taken for another's after a lost answer."""
        self.store.faults = ['silent', 'silent']
        found = await self.put_all(3)
        self.assertEqual(set(found), {record_writer.Outcome.committed})

    async def test_write_that_arrives_late(self) -> None:
        """Guards against an old form of a record that replaces a newer."""
        pending = self.entry.writer.open(JOB, self.entry.record())
        self.store.faults = ['late']
        creating = asyncio.ensure_future(self.entry.writer.put(pending))
        await dispatch_world.until(lambda: self.store.late)
        pending.record.done.append(0)
        await creating
        self.store.deliver_late()
        self.assertEqual(self.store.record().done, [0])

    async def test_id_of_another_entry(self) -> None:
        """Guards against two entries that run one job."""
        await self.entry.own()
        other = self.start('b')
        pending = other.writer.open(JOB, other.record())
        self.assertIs(
            await other.writer.put(pending), record_writer.Outcome.taken
        )
        self.assertEqual(self.store.record().owner, 'a')

    async def test_one_taken_record_does_not_hold_up_its_group(self) -> None:
        """Guards against a group that fails for ever for one record."""
        await self.entry.own()
        other = self.start('b')
        taken = other.writer.open(JOB, other.record())
        free = other.writer.open(ids.JobId('1' * 16), other.record())
        found = await asyncio.gather(
            other.writer.put(taken),
            other.writer.put(free),
        )
        self.assertEqual(
            found,
            [record_writer.Outcome.taken, record_writer.Outcome.committed],
        )

    async def withdrawn(self, fault: str) -> bool:
        """Return whether a record can be withdrawn after a fault."""
        self.store.faults = [fault] + ['refused'] * 1000
        pending = self.entry.writer.open(JOB, self.entry.record())
        put = asyncio.ensure_future(self.entry.writer.put(pending))
        await dispatch_world.until(lambda: self.store.commits > 1)
        await dispatch_world.until(lambda: not pending.writing)
        found = self.entry.writer.withdraw(pending)
        self.entry.writer.close(pending)
        self.assertIs(await put, record_writer.Outcome.taken)
        return found

    async def test_withdrawn_when_nothing_was_done(self) -> None:
        """Guards against a job without an answer that need not be so."""
        self.assertTrue(await self.withdrawn('refused'))

    async def test_not_withdrawn_after_a_write_without_answer(self) -> None:
        """Guards against a refusal of a job that may be stored later."""
        self.assertFalse(await self.withdrawn('late'))


class TestRecords(unittest.TestCase):
    """The stored form of a job."""

    @hypothesis.given(strategies.binary(max_size=60))
    def test_what_another_writer_left(self, content: bytes) -> None:
        """Guards against a value that ends the process that reads it."""
        found = records.decode(content)
        self.assertTrue(found is None or isinstance(found, records.Record))

    def test_next_owner(self) -> None:
        """Guards against runs of two owners that have one number."""
        step = jobs.Step(0, 0, 3, stored_world.NEED, 0.1)
        first = records.Record(
            ids.Incarnation('a'), 0, 'q', 's', 0, 2, 1.0, 'x', [step]
        )
        first.done.append(1)
        first.failures[2] = 1
        taken = first.taken_by(ids.Incarnation('b'))
        found = records.decode(records.encode(taken))
        self.assertEqual(found, taken)
        self.assertEqual(taken.epoch, 1)
        again = taken.tasks()
        self.assertEqual([task.run for task in again], [1000, 1000, 1000])
        self.assertIs(again[1].phase, jobs.Phase.done)
        self.assertEqual(again[2].failures, 1)


class TestEndsOfTasks(StoredCase):
    """An end is forgotten only when the store knows it."""

    async def test_noted_after_the_commit(self) -> None:
        """Guards against an end that is lost with its entry."""
        owned = await self.entry.own()
        await dispatch_world.until(lambda: self.starts(self.link))
        self.store.faults = ['refused'] * 3
        self.entry.end(owned, 0, messages.Outcome.done, 7)
        await asyncio.sleep(0.02)
        self.assertEqual(stored_world.noted(self.link), [])
        await dispatch_world.until(lambda: stored_world.noted(self.link))
        self.assertEqual(stored_world.noted(self.link), [7])
        self.assertEqual(self.store.record().done, [0])

    async def test_completed_when_stored(self) -> None:
        """Guards against a job shown as completed that is not stored so."""
        owned = await self.entry.own()
        await dispatch_world.until(lambda: self.starts(self.link))
        for index in (0, 1):
            self.entry.end(owned, index, messages.Outcome.done, index + 1)
        await dispatch_world.until(lambda: JOB in self.entry.ownership.finished)
        record = self.store.record()
        self.assertIs(record.state, records.State.completed)
        self.assertEqual(sorted(stored_world.noted(self.link)), [1, 2])
        marker = records.marker(self.entry.ownership.incarnation, JOB)
        self.assertNotIn(marker, self.store.values)

    async def test_attempts_outlive_the_owner(self) -> None:
        """Guards against more failed runs than the queue allows."""
        owned = await self.entry.own(tasks=1, attempts=2)
        await dispatch_world.until(lambda: self.starts(self.link))
        self.entry.end(owned, 0, messages.Outcome.failed, 1)
        await dispatch_world.until(lambda: stored_world.noted(self.link))
        other = self.start('b')
        agent, link = other.connect('side-2')
        adopted = await take_over(other)
        await dispatch_world.until(lambda: self.starts(link))
        other.end(adopted, 0, messages.Outcome.failed, 2)
        await dispatch_world.until(lambda: JOB in other.ownership.finished)
        self.assertIs(self.store.record().state, records.State.failed)
        self.assertEqual(self.starts(link), [1001])

    async def test_end_that_the_last_owner_did_not_store(self) -> None:
        """Guards against a start after an end that will be noted."""
        await self.entry.own()
        other = self.start('b')
        agent, link = other.connect('side-1')
        unacked = messages.UnackedCompletion(
            JOB,
            0,
            1,
            1,
            messages.Outcome.done,
            messages.CompletionId(1, 5),
        )
        other.jobs.take(agent, unacked)
        self.assertEqual(stored_world.noted(link), [])
        await take_over(other)
        await dispatch_world.until(lambda: stored_world.noted(link))
        started = [
            run.task_index
            for order in link.of(messages.StartTasks)
            for run in order.runs
        ]
        self.assertEqual(started, [0])
        self.assertEqual(self.store.record().done, [1])

    async def test_end_of_the_present_run_after_its_agent_was_killed(
        self,
    ) -> None:
        """Guards against a start after an end that will be noted.

        Found by test_stored_path under load: the next process of an agent
        accepted work before it told of the ends that it had found.
        """
        owned = await self.entry.own(tasks=1)
        await dispatch_world.until(lambda: self.starts(self.link))
        self.agent.disconnected()
        self.entry.jobs.detach(self.agent)
        again, link = self.entry.connect('side-1', accepting=False)
        unacked = messages.UnackedCompletion(
            JOB,
            0,
            0,
            1,
            messages.Outcome.done,
            messages.CompletionId(1, 5),
        )
        self.entry.jobs.take(again, unacked)
        self.entry.accept(again)
        await dispatch_world.until(lambda: stored_world.noted(link))
        self.assertEqual(self.starts(link), [])
        self.assertIs(owned.job.answer.result(), jobs.Answer.completed)

    async def strays_after_adoption(
        self,
        outcome: messages.Outcome,
        runs: int,
    ) -> records.State:
        """Return how a job of one task ends by ends told after takeover."""
        await self.entry.own(tasks=1, attempts=2)
        other = self.start('b')
        await take_over(other)
        agent, _ = other.connect('side-1', accepting=False)
        for run in range(1, runs + 1):
            end_id = messages.CompletionId(1, run)
            other.jobs.take(
                agent,
                messages.UnackedCompletion(JOB, 0, 0, run, outcome, end_id),
            )
        await dispatch_world.until(lambda: JOB in other.ownership.finished)
        return self.store.record().state

    async def test_last_end_is_told_after_adoption(self) -> None:
        """Guards against a job that is done and never said to be."""
        state = await self.strays_after_adoption(messages.Outcome.done, 1)
        self.assertIs(state, records.State.completed)

    async def test_last_attempt_is_told_after_adoption(self) -> None:
        """Guards against a start after all attempts have failed."""
        state = await self.strays_after_adoption(messages.Outcome.failed, 2)
        self.assertIs(state, records.State.failed)

    async def test_attempts_were_used_up_when_the_owner_died(self) -> None:
        """Guards against a start after all attempts have failed."""
        owned = await self.entry.own(tasks=1, attempts=2)
        owned.pending.record.failures[0] = 2
        await self.entry.writer.put(owned.pending)
        other = self.start('b')
        _, link = other.connect('side-2')
        await take_over(other)
        await dispatch_world.until(lambda: JOB in other.ownership.finished)
        self.assertIs(self.store.record().state, records.State.failed)
        self.assertEqual(self.starts(link), [])

    async def test_end_of_a_job_that_nobody_keeps(self) -> None:
        """Guards against an endpoint that can forget no end any more."""
        unacked = messages.UnackedCompletion(
            ids.JobId('f' * 16),
            0,
            0,
            1,
            messages.Outcome.done,
            messages.CompletionId(1, 5),
        )
        self.entry.jobs.take(self.agent, unacked)
        looking = asyncio.ensure_future(self.entry.takeover.look_up())
        self.addCleanup(looking.cancel)
        await dispatch_world.until(lambda: stored_world.noted(self.link))

    async def test_checkpoint_is_resumed(self) -> None:
        """Guards against work that is thrown away at a stop."""
        owned = await self.entry.own(tasks=1)
        await dispatch_world.until(lambda: self.starts(self.link))
        run = messages.RunId(0, 1)
        self.entry.jobs.take(
            self.agent,
            messages.Completion(
                JOB, run, messages.Outcome.stopped, None, 'half-way'
            ),
        )
        await dispatch_world.until(lambda: len(self.starts(self.link)) == 2)
        order = self.link.of(messages.StartTasks)[-1]
        self.assertEqual(order.checkpoints, {0: 'half-way'})
        self.assertEqual(owned.pending.record.saved, {0: 'half-way'})


class TestEnds(unittest.TestCase):
    """Which ends an endpoint may forget."""

    def listed(self, number: int) -> endpoints.Completion:
        """Return an end of a task."""
        return endpoints.Completion(
            number, f'{JOB}.0.0.0', 1, endpoints.RunOutcome.done
        )

    def test_remembered_end_keeps_later_ones(self) -> None:
        """Guards against a number that covers an end not yet stored."""
        found = ends.CompletionTracker()
        for number in (1, 2, 3):
            self.assertTrue(found.observe(number))
        end_id = found.retain(None, self.listed(2), 0.0)
        self.assertEqual(found.acknowledged_up_to(), 1)
        self.assertTrue(
            found.acknowledge([typing.cast(messages.CompletionId, end_id)])
        )
        self.assertEqual(found.acknowledged_up_to(), 3)

    def test_receipt_of_an_earlier_life(self) -> None:
        """Guards against an end forgotten for one of an earlier life."""
        found = ends.CompletionTracker()
        found.reset(5)
        found.observe(1)
        found.retain(None, self.listed(1), 0.0)
        self.assertFalse(found.acknowledge([messages.CompletionId(4, 1)]))
        self.assertEqual(found.acknowledged_up_to(), 0)

    def test_told_again(self) -> None:
        """Guards against an end whose entry never hears of it."""
        found = ends.CompletionTracker()
        found.observe(1)
        found.retain(None, self.listed(1), 10.0)
        self.assertEqual(found.due_for_resend(10.1), [])
        self.assertEqual(len(found.due_for_resend(11.0)), 1)
        self.assertEqual(found.due_for_resend(11.1), [])

    def test_names(self) -> None:
        """Guards against a task of another job by a malformed name."""
        self.assertEqual(tasks.parse_task_name(f'{JOB}.0.2.17'), (JOB, 2, 17))
        for name in ('', 'x', f'{JOB}.0.2', f'{JOB}.0.x.1', f'{JOB}.0.2.-1'):
            self.assertIsNone(tasks.parse_task_name(name))


class TestOwners(unittest.TestCase):
    """When an owner's tasks have ended for certain."""

    def members(self, **named: str) -> dict[str, membership.Member]:
        """Return announced members by node."""
        return {
            node: membership.Member('10.0.0.1', 1, ids.Incarnation(name))
            for node, name in named.items()
        }

    def gone(self, owners: takeover.Owners, now: float) -> bool:
        """Return whether the owner `a` is gone."""
        return owners.gone_for(ids.Incarnation('a'), now) > 0

    def test_missing_owner_may_still_run(self) -> None:
        """Guards against two owners while one is cut off from the store."""
        owners = takeover.Owners()
        owners.announce(self.members(n1='a', n2='b'))
        owners.announce(self.members(n2='b'))
        self.assertFalse(self.gone(owners, 100.0))
        self.assertFalse(self.gone(owners, 100.0 + timing.ABANDONED - 0.1))
        self.assertTrue(self.gone(owners, 100.0 + timing.ABANDONED + 0.1))

    def test_owner_that_comes_back(self) -> None:
        """Guards against an outage of the store that takes all owners."""
        owners = takeover.Owners()
        owners.announce({})
        self.assertFalse(self.gone(owners, 100.0))
        owners.announce(self.members(n1='a'))
        self.assertFalse(self.gone(owners, 105.0))
        owners.announce({})
        self.assertFalse(self.gone(owners, 106.0))

    def test_node_that_started_again(self) -> None:
        """Guards against jobs that wait for a process known to be dead."""
        owners = takeover.Owners()
        owners.announce(self.members(n1='a'))
        owners.announce(self.members(n1='c'))
        self.assertFalse(self.gone(owners, 100.0))
        self.assertTrue(self.gone(owners, 100.1 + timing.IN_DOUBT))

    def test_silent_owner_stops_before_others_take_over(self) -> None:
        """Guards against bounds that let two owners run one job."""
        # A stop takes its budget, and the lease ends what was not stopped.
        last = timing.OWNED + timing.STOP_BUDGET + timing.lapse(timing.LEASE)
        self.assertLess(last, timing.ABANDONED)

    def test_one_member_goes_first(self) -> None:
        """Guards against all entries that take over one job at once."""
        owners = takeover.Owners()
        owners.announce(self.members(n1='a', n2='b', n3='c'))
        turns = {
            owners.turn(ids.JobId(f'{number:016x}')) for number in range(40)
        }
        self.assertEqual(turns, {'a', 'b', 'c'})


class TestOwnership(StoredCase):
    """Jobs of entries that are cut off, or gone."""

    async def test_nothing_starts_while_ownership_is_in_doubt(self) -> None:
        """Guards against runs of an entry that others take for gone."""
        self.entry.present = False
        await self.entry.own()
        await asyncio.sleep(0.02)
        self.assertEqual(self.starts(self.link), [])

    async def test_tasks_stop_when_ownership_ends(self) -> None:
        """Guards against runs beside those of the next owner."""
        await self.entry.own()
        self.entry.ownership.was_in_force = True
        guard = asyncio.ensure_future(self.entry.ownership.guard(0.001))
        self.addCleanup(guard.cancel)
        await dispatch_world.until(lambda: self.starts(self.link))
        self.entry.present = False
        await dispatch_world.until(lambda: self.link.of(messages.StopTasks))

    async def test_owner_learns_that_its_job_was_taken(self) -> None:
        """Guards against an owner that goes on after an outage."""
        owned = await self.entry.own()
        await dispatch_world.until(lambda: self.starts(self.link))
        other = self.start('b')
        await take_over(other)
        self.entry.end(owned, 0, messages.Outcome.done, 1)
        await dispatch_world.until(lambda: not self.entry.ownership.owned)
        self.assertEqual(stored_world.noted(self.link), [])
        self.assertEqual(self.store.record().owner, 'b')
        self.assertTrue(self.link.of(messages.StopTasks))

    async def test_cancelled_before_it_was_taken_over(self) -> None:
        """Guards against a cancelled job that the next owner starts."""
        await self.entry.own()
        self.store.apply([store.Change(records.CANCELS + JOB, b'1')])
        other = self.start('b')
        _, link = other.connect('side-2')
        await take_over(other)
        await dispatch_world.until(lambda: JOB in other.ownership.finished)
        self.assertIs(self.store.record().state, records.State.cancelled)
        self.assertNotIn(records.CANCELS + JOB, self.store.values)


class TestRequests(StoredCase):
    """What callers are told."""

    async def asyncSetUp(self) -> None:
        """Serve requests at the entry."""
        await super().asyncSetUp()
        self.requests = stored.StoredJobs(
            self.store,
            self.entry.ownership,
            self.entry.owners,
            'node-a',
            0.0,
        )

    async def code(self, patience: float) -> errors.PoplardrumError | None:
        """Submit a job and return the error, if there is one."""
        try:
            await self.requests.submit(JOB, self.entry.record(), patience)
        except errors.PoplardrumError as error:
            return error
        return None

    async def test_accepted_once(self) -> None:
        """Guards against a second start of a job that is sent again."""
        found = await asyncio.gather(*(self.code(5.0) for _ in range(3)))
        self.assertEqual(found, [None, None, None])
        await dispatch_world.until(lambda: self.starts(self.link))
        self.assertIsNone(await self.code(5.0))
        self.assertEqual(self.starts(self.link), [1, 1])

    async def test_refusal_is_true(self) -> None:
        """Guards against a refused job that starts."""
        self.store.faults = ['refused'] * 1000
        error = await self.code(0.05)
        self.assertIsNotNone(error)
        if error is not None:
            self.assertTrue(stored_world.is_refusal(error))
        self.store.faults.clear()
        await asyncio.sleep(0.3)
        self.assertEqual(self.starts(self.link), [])
        self.assertEqual(self.store.values, {})

    async def test_unknown_outcome_is_no_refusal(self) -> None:
        """Guards against a refusal of a job that the store has."""
        self.store.faults = ['silent'] + ['refused'] * 5
        error = await self.code(0.05)
        if error is None:
            self.fail('accepted without an answer of the store')
        self.assertFalse(stored_world.is_refusal(error))
        await dispatch_world.until(lambda: self.starts(self.link))

    async def test_states(self) -> None:
        """Guards against a state that another entry cannot tell."""
        self.assertIsNone(await self.code(5.0))
        other = self.start('b')
        asked = stored.StoredJobs(
            self.store,
            other.ownership,
            other.owners,
            'node-b',
            0.0,
        )
        self.assertEqual(await asked.state(JOB), 'queued')
        await asked.cancel(JOB)
        following = asyncio.ensure_future(self.requests.follow_cancels())
        self.addCleanup(following.cancel)
        await dispatch_world.until(lambda: JOB in self.entry.ownership.finished)
        self.assertEqual(await asked.state(JOB), 'cancelled')
        with self.assertRaises(errors.PoplardrumError) as caught:
            await asked.state(ids.JobId('e' * 16))
        self.assertIs(caught.exception.code, errors.Code.unknown_job)


async def take_over(entry: stored_world.Entry) -> typing.Any:
    """Let an entry take over all jobs of owners that are gone."""
    entry.owners.missing_since[ids.Incarnation('a')] = -1000.0
    name = entry.ownership.incarnation
    member = membership.Member('10.0.0.1', 1, name)
    entry.store.apply(
        [
            store.Change(
                f'{membership.PREFIX}node-{name}',
                msgspec.json.encode(member),
            ),
        ],
    )
    await entry.takeover.scan()
    return entry.ownership.owned.get(JOB)
