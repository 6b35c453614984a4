"""Records and owners of stored jobs, without a network."""

import asyncio
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from poplardrum import errors, ids
from poplardrum.dispatch import (
    jobs,
    messages,
    ownership_validity,
    record_writer,
    records,
    stored_jobs,
)
from poplardrum.platform import store
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID


class TestRecordWriter(stored_world.StoredCase):
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
        result = record_writer.WriteResult.taken_over
        if withdrawn:
            result = record_writer.WriteResult.withdrawn
        self.assertIs(await put, result)
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
            [task.run_number for task in next_tasks],
            [records.RUNS_PER_OWNER] * 3,
        )
        self.assertIs(next_tasks[1].phase, jobs.Phase.done)
        self.assertEqual(next_tasks[2].failures, 1)


class TestOwnership(stored_world.StoredCase):
    """Jobs of entries without a connection, or gone."""

    async def asyncSetUp(self) -> None:
        """Create the monitor of the entry's validity, which does not run."""
        await super().asyncSetUp()
        self.validity = ownership_validity.ValidityMonitor(self.entry.ownership)

    async def test_nothing_starts_while_ownership_is_uncertain(self) -> None:
        """Guards against runs of an entry that others consider gone."""
        self.entry.can_own_jobs = False
        await self.entry.create_owned_job()
        await asyncio.sleep(0.02)
        self.assertEqual(self.started_runs(self.link), [])

    async def test_job_stored_while_ownership_is_uncertain(self) -> None:
        """Guards against two owners of a job that was stored in an outage.

        Another entry took it over before its creator was announced again.
        """
        self.entry.can_own_jobs = False
        await self.entry.create_owned_job()
        await stored_world.take_over(self.start('b'))
        monitor_task = asyncio.ensure_future(self.validity.run(0.001))
        self.addCleanup(monitor_task.cancel)
        self.entry.can_own_jobs = True
        await dispatch_world.wait_until(
            lambda: not self.entry.ownership.owned_jobs
        )
        self.assertEqual(self.started_runs(self.link), [])

    async def test_tasks_stop_when_ownership_ends(self) -> None:
        """Guards against runs besides those of the next owner."""
        await self.entry.create_owned_job()
        self.validity.was_valid = True
        monitor_task = asyncio.ensure_future(self.validity.run(0.001))
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
        await stored_world.take_over(other)
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
        await stored_world.take_over(other)
        await dispatch_world.wait_until(
            lambda: JOB_ID in other.ownership.finished_jobs
        )
        self.assertIs(self.store.record().state, records.State.cancelled)
        self.assertNotIn(records.CANCELS_PREFIX + JOB_ID, self.store.values)

    async def test_doubt_between_two_checks(self) -> None:
        """Guards against an accepted job that no entry ever runs.

        It was stored in a moment of doubt that was over before the next check
        of the validity, which looked for a change alone.
        """
        self.validity.was_valid = True
        self.entry.can_own_jobs = False
        await self.entry.create_owned_job(tasks=1)
        self.entry.can_own_jobs = True
        monitoring = asyncio.ensure_future(self.validity.run(0.001))
        self.addCleanup(monitoring.cancel)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.assertEqual(self.started_runs(self.link), [1])

    async def test_doubt_while_a_job_is_reclaimed(self) -> None:
        """Guards against a job that runs on after a doubt that was not resolved.

        Another entry may have taken the job over since the write.
        """
        owned = await self.entry.create_owned_job(tasks=1)
        job_ownership = self.entry.ownership
        self.validity.was_valid = True
        commits = self.store.commits
        for can_own_jobs in (False, True, False):
            self.entry.can_own_jobs = can_own_jobs
            self.validity.check()
        await dispatch_world.wait_until(lambda: self.store.commits > commits)
        await asyncio.sleep(0.02)
        self.entry.can_own_jobs = True
        self.assertFalse(job_ownership.may_start(owned.job))


class TestRequests(stored_world.StoredCase):
    """Responses to callers."""

    async def asyncSetUp(self) -> None:
        """Create the request handler of the entry."""
        await super().asyncSetUp()
        self.requests = stored_jobs.StoredJobs(
            self.store,
            self.entry.ownership,
            self.entry.waiting,
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

    async def test_refused_while_a_write_is_under_way(self) -> None:
        """Guards against an uncertain outcome of a job that was not stored.

        Its caller's time was over while the store was about to refuse a write.
        """
        # Longer than what a busy machine may add to the times below.
        write_s = 0.06

        async def refuse(_changes: typing.Sequence[store.Change]) -> None:
            await asyncio.sleep(write_s)
            raise store.platform_error('busy', may_have_written=False)

        with (
            mock.patch.object(self.store, 'commit', refuse),
            mock.patch.object(record_writer, '_RETRY_INTERVAL_S', 0.0),
        ):
            for number in range(10):
                error = await self.submit(0.4 + 0.01 * number)
                self.assertTrue(error and stored_world.is_not_run(error))
                self.entry.writer.store_reachable = True

    async def test_withdrawn_while_another_caller_waits(self) -> None:
        """Guards against a job that is accepted and not stored.

        It is submitted twice; the first caller gives up while the store is away.
        """
        self.store.is_away = True
        results = await asyncio.gather(self.submit(0.05), self.submit(5.0))
        for error in results:
            self.assertTrue(error and stored_world.is_not_run(error))
        self.assertEqual(self.store.values, {})

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

    async def test_outage_that_leaves_nothing_to_write(self) -> None:
        """Guards against an entry that refuses all stored jobs for good.

        The only job was withdrawn, so no commit was tried any more.
        """
        self.store.is_away = True
        self.assertIsNotNone(await self.submit(0.05))
        self.assertEqual(self.entry.writer.dirty_records, {})
        self.store.is_away = False
        await dispatch_world.wait_until(
            lambda: self.entry.writer.store_reachable
        )
        self.assertIsNone(await self.submit(5.0))

    async def test_outage_that_goes_on(self) -> None:
        """Guards against callers who wait for a store that is known to be away."""
        self.store.is_away = True
        self.assertIsNotNone(await self.submit(0.05))
        reads = self.store.reads
        started_at = asyncio.get_running_loop().time()
        for _ in range(20):
            error = await self.submit(5.0)
            self.assertTrue(error and stored_world.is_not_run(error))
        elapsed = asyncio.get_running_loop().time() - started_at
        # Refused without a call of the store.
        self.assertLessEqual(self.store.reads - reads, 1 + elapsed // 0.5)

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
            other.waiting,
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
