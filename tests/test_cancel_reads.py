"""Starts of stored jobs whose cancel requests their owner can't read."""

import asyncio
import typing
import unittest
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import (
    cancel_reads,
    clocks,
    jobs,
    messages,
    owned_jobs,
    records,
    stored_jobs,
    timing,
)
from poplardrum.platform import store
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
CANCEL_KEY: typing.Final = records.CANCELS_PREFIX + JOB_ID
# The bound of the users' sites.
CANCEL_BOUND_S: typing.Final = 3.0


class CancelCase(stored_world.StoredCase):
    """Common set-up: an entry with requests, at a time that the test sets."""

    async def asyncSetUp(self) -> None:
        """Start the entry and its requests."""
        await super().asyncSetUp()
        self.now = 100.0
        self.enterContext(mock.patch.object(clocks, 'now', lambda: self.now))
        self.requests = self.requests_of(self.entry)

    def requests_of(self, entry: stored_world.Entry) -> stored_jobs.StoredJobs:
        """Return the requests of an entry, to which the bound applies."""
        entry.ownership.cancels.max_age_s = CANCEL_BOUND_S - (
            timing.START_REQUEST_S
        )
        return stored_jobs.StoredJobs(
            self.store, entry.ownership, entry.waiting, 0.0
        )

    async def settle(self) -> None:
        """Let whatever is due in the event loop happen."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def read_cancels(self) -> None:
        """Let the entry read the cancel requests once."""
        await self.requests._read_cancels()
        await self.settle()


class TestCutOwner(CancelCase):
    """An owner that can't reach the store while its job is cancelled."""

    async def asyncSetUp(self) -> None:
        """Start the first task of a job of two steps."""
        await super().asyncSetUp()
        self.owned = await self.create_job_of_two_steps()
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))

    async def create_job_of_two_steps(self) -> owned_jobs.OwnedJob:
        """Store a job whose second task follows the first one."""
        record = self.entry.new_record(tasks=1)
        record.steps.append(
            jobs.Step(1, 1, 1, stored_world.DEMAND, 0.1, after=(0,))
        )
        with mock.patch.object(self.entry, 'new_record', return_value=record):
            return await self.entry.create_owned_job()

    def cancel_elsewhere(self) -> None:
        """Let another entry store a cancel request and acknowledge it."""
        self.store.apply([store.Change(CANCEL_KEY, b'1')])

    async def finish_first_step(self) -> None:
        """Let the first task end while the store can't be reached."""
        self.entry.complete(self.owned, 0, messages.Outcome.done, 1)
        await self.settle()

    def started_tasks(self) -> list[int]:
        """Return the indexes of the tasks that were sent to agents."""
        return [
            run.task_index
            for request in self.link.sent_of(messages.StartTasks)
            for run in request.runs
        ]

    async def test_next_step_in_a_cut(self) -> None:
        """Guards against tasks that start long after the cancel of their job.

        The request was acknowledged by another entry, and the owner, which was
        cut off from the store, went on until its ownership ended.
        """
        self.cancel_elsewhere()
        self.now += CANCEL_BOUND_S
        await self.finish_first_step()
        self.assertEqual(self.started_tasks(), [0])

    async def test_after_a_freeze(self) -> None:
        """Guards against a start between the end of a freeze and the next read."""
        self.cancel_elsewhere()
        self.now += 3.5
        await self.finish_first_step()
        self.assertEqual(self.started_tasks(), [0])
        await self.read_cancels()
        self.assertEqual(self.started_tasks(), [0])
        self.assertTrue(self.owned.pending.cancelled)

    async def test_without_a_cancel(self) -> None:
        """Guards against a job that stands still after an outage."""
        self.now += 3.5
        await self.finish_first_step()
        await self.read_cancels()
        self.assertEqual(self.started_tasks(), [0, 1])

    async def test_short_outage(self) -> None:
        """Guards against steps that wait though a cancel would be in time."""
        self.now += 2.0
        await self.finish_first_step()
        self.assertEqual(self.started_tasks(), [0, 1])

    async def test_slow_reply(self) -> None:
        """Guards against a read that counts from its reply.

        The cancel was stored after the store had read the requests.
        """
        read_list = self.store.list

        async def reply_late(prefix: str) -> list[store.StoredValue]:
            found = await read_list(prefix)
            self.cancel_elsewhere()
            self.now += CANCEL_BOUND_S
            return found

        with mock.patch.object(self.store, 'list', reply_late):
            await self.read_cancels()
        await self.finish_first_step()
        self.assertEqual(self.started_tasks(), [0])

    async def test_read_that_fails(self) -> None:
        """Guards against an error that counts as a read."""
        error = store.platform_error('busy', may_have_written=False)
        self.now += CANCEL_BOUND_S
        with mock.patch.object(self.store, 'list', side_effect=error):
            with self.assertLogs(stored_jobs.logger, 'WARNING') as logs:
                await self.read_cancels()
        self.assertIn('starts held', logs.output[0])
        await self.finish_first_step()
        self.assertEqual(self.started_tasks(), [0])


class TestTakeover(CancelCase):
    """A cancel request that comes while the job is taken over."""

    async def test_read_that_passed_over_the_job(self) -> None:
        """Guards against the start of a job whose cancel was read and ignored.

        The request came after the next owner had looked for one of this job,
        and before it read all requests, when it did not own the job yet.
        """
        await self.entry.create_owned_job(tasks=1)
        other = self.start('b')
        requests = self.requests_of(other)
        _, link = other.connect('side-2')
        await other.create_owned_job(tasks=1, job=ids.JobId('f' * 16))
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        commit = self.store.commit

        async def cancel_before(
            changes: typing.Sequence[store.Change],
        ) -> store.CommitResult:
            self.now += 0.1
            self.store.apply([store.Change(CANCEL_KEY, b'1')])
            self.now += 0.1
            await requests._read_cancels()
            return await commit(changes)

        with mock.patch.object(self.store, 'commit', cancel_before):
            await stored_world.take_over(other)
        await self.settle()
        self.assertIn(JOB_ID, other.ownership.owned_jobs)
        self.assertEqual(self.started_jobs(link), {'f' * 16})
        self.assertTrue(other.ownership.cancels.read_needed.is_set())
        await requests._read_cancels()
        await self.settle()
        self.assertEqual(self.started_jobs(link), {'f' * 16})

    def started_jobs(self, link: dispatch_world.FakeLink) -> set[str]:
        """Return the jobs of which tasks were started over a link."""
        return {request.job for request in link.sent_of(messages.StartTasks)}


class TestNewJobs(CancelCase):
    """Jobs that were just accepted."""

    async def test_first_job_after_a_while(self) -> None:
        """Guards against a first job that waits for the next read."""
        self.now += 1000
        await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))

    async def test_accepted_during_a_read(self) -> None:
        """Guards against a job that waits for the interval of the reads."""
        await self.entry.create_owned_job()
        self.entry.ownership.cancels.read_at = self.now + 1
        job = ids.JobId('f' * 16)
        owned = await self.entry.create_owned_job(tasks=1, job=job)
        await self.settle()
        self.assertFalse(self.entry.ownership.may_start(owned.job))
        self.now += 1
        poll = asyncio.ensure_future(self.requests.poll_cancels())
        self.addCleanup(poll.cancel)
        await dispatch_world.wait_until(
            lambda: self.entry.ownership.may_start(owned.job)
        )


class TestBounds(unittest.TestCase):
    """The time until which agents may start tasks."""

    def test_last_start(self) -> None:
        """Guards against a start that is sent in time and carried out late."""
        reads = cancel_reads.CancelReads(CANCEL_BOUND_S)
        reads.record_read(100.0, ())
        with mock.patch.object(clocks, 'now', lambda: 100.0):
            last_start = 100.0 + reads.start_time_left()
        self.assertLessEqual(
            last_start + timing.START_REQUEST_S, 100.0 + CANCEL_BOUND_S
        )

    def test_never_read(self) -> None:
        """Guards against starts before the first read."""
        reads = cancel_reads.CancelReads(CANCEL_BOUND_S)
        self.assertEqual(reads.start_time_left(), 0)


class TestRequestsThatCameLate(CancelCase):
    """Cancel requests that are stored while their job ends."""

    async def test_removed_with_the_record(self) -> None:
        """Guards against requests that stay in the store and are read for ever."""
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.entry.complete(owned, 0, messages.Outcome.done, 1)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        self.store.apply([store.Change(CANCEL_KEY, b'1')])
        self.now += 1
        with mock.patch.object(stored_jobs, '_REMOVAL_INTERVAL_S', 0.001):
            removal = asyncio.ensure_future(
                self.requests.remove_expired_records()
            )
            self.addCleanup(removal.cancel)
            await dispatch_world.wait_until(lambda: not self.store.values)

    async def test_rows_of_a_removal(self) -> None:
        """Guards against a transaction that the store refuses as too large."""
        finished = [ids.JobId(f'{number:016x}') for number in range(40)]
        self.entry.ownership.records_to_remove.extend(
            (0.0, job) for job in finished
        )
        with mock.patch.object(stored_jobs, '_REMOVAL_INTERVAL_S', 0.001):
            removal = asyncio.ensure_future(
                self.requests.remove_expired_records()
            )
            self.addCleanup(removal.cancel)
            await dispatch_world.wait_until(lambda: self.store.commits >= 3)
        self.assertLessEqual(self.store.max_rows, 32)
