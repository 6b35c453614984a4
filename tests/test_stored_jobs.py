"""Records, owners and completions of stored jobs, without a network."""

import asyncio
import typing
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from poplardrum import errors, ids
from poplardrum.dispatch import (
    completions,
    endpoint_runs,
    jobs,
    membership,
    messages,
    record_writer,
    records,
    stored_jobs,
    takeover,
    timing,
)
from poplardrum.platform import endpoints, store
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID


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

    def started_runs(self, link: dispatch_world.FakeLink) -> list[int]:
        """Return the numbers of the runs started over a link."""
        return [
            run.number
            for request in link.sent_of(messages.StartTasks)
            for run in request.runs
        ]


class TestRecordWriter(StoredCase):
    """Grouped writes of records, each conditional on its ownership."""

    async def create_records(
        self, count: int
    ) -> list[record_writer.WriteResult]:
        """Create many records at once."""
        pending_records = [
            self.entry.writer.open(
                ids.JobId(f'{number:016x}'),
                self.entry.new_record(),
            )
            for number in range(count)
        ]
        return await asyncio.gather(
            *map(self.entry.writer.put, pending_records)
        )

    async def test_groups(self) -> None:
        """Guards against one commit per record, and against too large ones."""
        results = await self.create_records(40)
        self.assertEqual(set(results), {record_writer.WriteResult.committed})
        self.assertLess(self.store.commits, 10)
        self.assertLessEqual(self.store.max_rows, 32)

    async def test_reply_lost(self) -> None:
        """Guards against a lost reply mistaken for a change of the owner."""
        self.store.faults = ['silent', 'silent']
        results = await self.create_records(3)
        self.assertEqual(set(results), {record_writer.WriteResult.committed})

    async def test_delayed_write(self) -> None:
        """Guards against an old version of a record that replaces a newer."""
        pending = self.entry.writer.open(JOB_ID, self.entry.new_record())
        self.store.faults = ['late']
        creating = asyncio.ensure_future(self.entry.writer.put(pending))
        await dispatch_world.wait_until(lambda: self.store.delayed)
        pending.record.done_tasks.append(0)
        await creating
        self.store.deliver_delayed()
        self.assertEqual(self.store.record().done_tasks, [0])

    async def test_job_owned_by_another_entry(self) -> None:
        """Guards against two entries that run one job."""
        await self.entry.create_owned_job()
        other = self.start('b')
        pending = other.writer.open(JOB_ID, other.new_record())
        self.assertIs(
            await other.writer.put(pending),
            record_writer.WriteResult.taken_over,
        )
        self.assertEqual(self.store.record().owner, 'a')

    async def test_one_taken_record_does_not_block_its_group(self) -> None:
        """Guards against a group that never commits because of one record."""
        await self.entry.create_owned_job()
        other = self.start('b')
        taken = other.writer.open(JOB_ID, other.new_record())
        free = other.writer.open(ids.JobId('1' * 16), other.new_record())
        results = await asyncio.gather(
            other.writer.put(taken),
            other.writer.put(free),
        )
        self.assertEqual(
            results,
            [
                record_writer.WriteResult.taken_over,
                record_writer.WriteResult.committed,
            ],
        )

    async def withdraw_after_fault(self, fault: str) -> bool:
        """Return whether a record can be withdrawn after a fault."""
        self.store.faults = [fault] + ['refused'] * 1000
        pending = self.entry.writer.open(JOB_ID, self.entry.new_record())
        put = asyncio.ensure_future(self.entry.writer.put(pending))
        await dispatch_world.wait_until(lambda: self.store.commits > 1)
        await dispatch_world.wait_until(lambda: not pending.is_writing)
        withdrawn = self.entry.writer.withdraw(pending)
        self.entry.writer.close(pending)
        self.assertIs(await put, record_writer.WriteResult.taken_over)
        return withdrawn

    async def test_withdrawn_after_a_refused_write(self) -> None:
        """Guards against an uncertain outcome where nothing was written."""
        self.assertTrue(await self.withdraw_after_fault('refused'))

    async def test_not_withdrawn_after_an_unanswered_write(self) -> None:
        """Guards against a refusal of a job that may be stored later."""
        self.assertFalse(await self.withdraw_after_fault('late'))


class TestRecords(unittest.TestCase):
    """Stored records of jobs."""

    @hypothesis.given(strategies.binary(max_size=60))
    def test_value_of_another_writer(self, content: bytes) -> None:
        """Guards against a stored value that crashes its reader."""
        decoded = records.decode(content)
        self.assertTrue(decoded is None or isinstance(decoded, records.Record))

    def test_next_owner(self) -> None:
        """Guards against runs of two owners with the same number."""
        step = jobs.Step(0, 0, 3, stored_world.DEMAND, 0.1)
        first = records.Record(
            ids.Incarnation('a'), 0, 'q', 's', 0, 2, 1.0, 'x', [step]
        )
        first.done_tasks.append(1)
        first.failure_counts[2] = 1
        next_record = first.with_next_owner(ids.Incarnation('b'))
        decoded = records.decode(records.encode(next_record))
        self.assertEqual(decoded, next_record)
        self.assertEqual(next_record.epoch, 1)
        next_tasks = next_record.make_tasks()
        self.assertEqual(
            [task.run_number for task in next_tasks], [1000, 1000, 1000]
        )
        self.assertIs(next_tasks[1].phase, jobs.Phase.done)
        self.assertEqual(next_tasks[2].failures, 1)


class TestTaskCompletions(StoredCase):
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
        taken_over = await take_over(other)
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        other.complete(taken_over, 0, messages.Outcome.failed, 2)
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        self.assertIs(self.store.record().state, records.State.failed)
        self.assertEqual(self.started_runs(link), [1001])

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
        await take_over(other)
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
        await take_over(other)
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
        await take_over(other)
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


class TestOwnerTracker(unittest.TestCase):
    """When all tasks of an owner have certainly ended."""

    def members(self, **named: str) -> dict[str, membership.Member]:
        """Return announced members by node."""
        return {
            node: membership.Member('10.0.0.1', 1, ids.Incarnation(name))
            for node, name in named.items()
        }

    def is_gone(self, tracker: takeover.OwnerTracker, now: float) -> bool:
        """Return whether the owner `a` is gone."""
        return tracker.gone_for(ids.Incarnation('a'), now) > 0

    def test_missing_owner_may_still_run(self) -> None:
        """Guards against two owners while one cannot reach the store."""
        tracker = takeover.OwnerTracker()
        tracker.update_members(self.members(n1='a', n2='b'))
        tracker.update_members(self.members(n2='b'))
        self.assertFalse(self.is_gone(tracker, 100.0))
        self.assertFalse(
            self.is_gone(tracker, 100.0 + timing.TAKEOVER_TIMEOUT_S - 0.1)
        )
        self.assertTrue(
            self.is_gone(tracker, 100.0 + timing.TAKEOVER_TIMEOUT_S + 0.1)
        )

    def test_owner_that_comes_back(self) -> None:
        """Guards against takeovers after an outage of the store."""
        tracker = takeover.OwnerTracker()
        tracker.update_members({})
        self.assertFalse(self.is_gone(tracker, 100.0))
        tracker.update_members(self.members(n1='a'))
        self.assertFalse(self.is_gone(tracker, 105.0))
        tracker.update_members({})
        self.assertFalse(self.is_gone(tracker, 106.0))

    def test_node_that_started_again(self) -> None:
        """Guards against waiting for a process that is known to be gone."""
        tracker = takeover.OwnerTracker()
        tracker.update_members(self.members(n1='a'))
        tracker.update_members(self.members(n1='c'))
        self.assertFalse(self.is_gone(tracker, 100.0))
        self.assertTrue(
            self.is_gone(tracker, 100.1 + timing.LOST_AGENT_TIMEOUT_S)
        )

    def test_owner_stops_before_others_take_over(self) -> None:
        """Guards against timeouts that let two owners run one job."""
        # A stop may use all of its time, and then the lease has to lapse.
        latest_end = (
            timing.OWNERSHIP_TIMEOUT_S
            + timing.TOTAL_STOP_TIMEOUT_S
            + timing.max_lease_duration(timing.LEASE_S)
        )
        self.assertLess(latest_end, timing.TAKEOVER_TIMEOUT_S)

    def test_one_member_is_preferred(self) -> None:
        """Guards against all entries taking over the same job at once."""
        tracker = takeover.OwnerTracker()
        tracker.update_members(self.members(n1='a', n2='b', n3='c'))
        preferred = {
            tracker.preferred_owner(ids.JobId(f'{number:016x}'))
            for number in range(40)
        }
        self.assertEqual(preferred, {'a', 'b', 'c'})


class TestOwnership(StoredCase):
    """Jobs of entries without a connection, or gone."""

    async def test_nothing_starts_while_ownership_is_uncertain(self) -> None:
        """Guards against runs of an entry that others consider gone."""
        self.entry.can_own_jobs = False
        await self.entry.create_owned_job()
        await asyncio.sleep(0.02)
        self.assertEqual(self.started_runs(self.link), [])

    async def test_tasks_stop_when_ownership_ends(self) -> None:
        """Guards against runs besides those of the next owner."""
        await self.entry.create_owned_job()
        self.entry.ownership.could_own_jobs = True
        monitor_task = asyncio.ensure_future(
            self.entry.ownership.monitor_validity(0.001)
        )
        self.addCleanup(monitor_task.cancel)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.entry.can_own_jobs = False
        await dispatch_world.wait_until(
            lambda: self.link.sent_of(messages.StopTasks)
        )

    async def test_owner_relinquishes_a_job_taken_over(self) -> None:
        """Guards against an owner that continues a job after its takeover."""
        owned = await self.entry.create_owned_job()
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        other = self.start('b')
        await take_over(other)
        self.entry.complete(owned, 0, messages.Outcome.done, 1)
        await dispatch_world.wait_until(
            lambda: not self.entry.ownership.owned_jobs
        )
        self.assertEqual(stored_world.acknowledged_numbers(self.link), [])
        self.assertEqual(self.store.record().owner, 'b')
        self.assertTrue(self.link.sent_of(messages.StopTasks))

    async def test_cancelled_before_it_was_taken_over(self) -> None:
        """Guards against a cancelled job that the next owner starts."""
        await self.entry.create_owned_job()
        self.store.apply([store.Change(records.CANCELS_PREFIX + JOB_ID, b'1')])
        other = self.start('b')
        _, link = other.connect('side-2')
        await take_over(other)
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        self.assertIs(self.store.record().state, records.State.cancelled)
        self.assertNotIn(records.CANCELS_PREFIX + JOB_ID, self.store.values)


class TestRequests(StoredCase):
    """Responses to callers."""

    async def asyncSetUp(self) -> None:
        """Create the request handler of the entry."""
        await super().asyncSetUp()
        self.requests = stored_jobs.StoredJobs(
            self.store,
            self.entry.ownership,
            self.entry.owner_tracker,
            'node-a',
            0.0,
        )

    async def submit(
        self, client_timeout: float
    ) -> errors.PoplardrumError | None:
        """Submit a job; return the error, if any."""
        try:
            await self.requests.submit(
                JOB_ID, self.entry.new_record(), client_timeout
            )
        except errors.PoplardrumError as error:
            return error
        return None

    async def test_accepted_once(self) -> None:
        """Guards against a second start of a job that is submitted again."""
        results = await asyncio.gather(*(self.submit(5.0) for _ in range(3)))
        self.assertEqual(results, [None, None, None])
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.assertIsNone(await self.submit(5.0))
        self.assertEqual(self.started_runs(self.link), [1, 1])

    async def test_refused_job_does_not_start(self) -> None:
        """Guards against a refused job that starts."""
        self.store.faults = ['refused'] * 1000
        error = await self.submit(0.05)
        self.assertIsNotNone(error)
        if error is not None:
            self.assertTrue(stored_world.is_not_run(error))
        self.store.faults.clear()
        await asyncio.sleep(0.3)
        self.assertEqual(self.started_runs(self.link), [])
        self.assertEqual(self.store.values, {})

    async def test_unanswered_write_is_not_refused(self) -> None:
        """Guards against a refusal of a job that is stored."""
        self.store.faults = ['silent'] + ['refused'] * 5
        error = await self.submit(0.05)
        if error is None:
            self.fail('accepted without a reply of the store')
        self.assertFalse(stored_world.is_not_run(error))
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))

    async def test_states(self) -> None:
        """Guards against a state that only the owner can return."""
        self.assertIsNone(await self.submit(5.0))
        other = self.start('b')
        other_requests = stored_jobs.StoredJobs(
            self.store,
            other.ownership,
            other.owner_tracker,
            'node-b',
            0.0,
        )
        self.assertEqual(await other_requests.state(JOB_ID), 'queued')
        await other_requests.cancel(JOB_ID)
        poll_task = asyncio.ensure_future(self.requests.poll_cancels())
        self.addCleanup(poll_task.cancel)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        self.assertEqual(await other_requests.state(JOB_ID), 'cancelled')
        with self.assertRaises(errors.PoplardrumError) as caught:
            await other_requests.state(ids.JobId('e' * 16))
        self.assertIs(caught.exception.code, errors.Code.unknown_job)


async def take_over(entry: stored_world.Entry) -> typing.Any:
    """Make an entry take over all jobs of owners that are gone."""
    entry.owner_tracker.missing_since[ids.Incarnation('a')] = -1000.0
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
    return entry.ownership.owned_jobs.get(JOB_ID)
