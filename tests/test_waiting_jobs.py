"""Counts of stored jobs that wait, over entries that come and go."""

import asyncio
import typing
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    fleet,
    jobs,
    messages,
    owned_jobs,
    ownership_validity,
    records,
)
from poplardrum.platform import store
from tests import dispatch_world, stored_world

QUEUE: typing.Final = 'r-1'
OTHER_QUEUE: typing.Final = 'r-2'


def new_jobs(count: int, first: int = 0) -> list[ids.JobId]:
    """Return ids of jobs."""
    return [ids.JobId(f'{first + number:016x}') for number in range(count)]


class WaitingCase(stored_world.StoredCase):
    """Common set-up: entry `a` has jobs, and entry `b` counts them."""

    async def asyncSetUp(self) -> None:
        """Start both entries; entry `a` has no room."""
        await super().asyncSetUp()
        self.now = 100.0
        self.enterContext(mock.patch.object(clocks, 'now', lambda: self.now))
        self.agent.accepting = False
        self.other = self.start('b')

    async def count(self, queue: str = QUEUE) -> int:
        """Return what entry `b` counts now."""
        self.now += 10
        return await self.other.waiting.count(queue)

    async def accept(
        self, entry: stored_world.Entry, *accepted: ids.JobId, queue: str
    ) -> None:
        """Let an entry accept jobs."""
        await asyncio.gather(
            *(entry.create_owned_job(job=job, queue=queue) for job in accepted)
        )

    async def place(self, owned: owned_jobs.OwnedJob) -> messages.RunId:
        """Give an agent room; return the run that entry `a` sends to it."""
        self.entry.report_load(self.agent)
        await dispatch_world.wait_until(
            lambda: self.link.sent_of(messages.StartTasks)
        )
        return owned.job.tasks[0].run_id()

    def send(self, *sent: messages.AnyMessage) -> None:
        """Let the agent of entry `a` send messages."""
        for message in sent:
            self.entry.coordinator.handle_message(self.agent, message)

    async def store_starts(self, entry: stored_world.Entry) -> None:
        """Let an entry write its outdated markers, and wait for the writes."""
        entry.ownership.store_starts()
        await dispatch_world.wait_until(
            lambda: (
                not any(
                    owned.is_marker_outdated()
                    or owned.pending.dirty
                    or owned.pending.is_writing
                    for owned in entry.ownership.owned_jobs.values()
                )
            )
        )


class TestWaitingJobs(WaitingCase):
    """Entry `b` counts a job that entry `a` owns and has no room for."""

    async def asyncSetUp(self) -> None:
        """Let entry `a` accept a job."""
        await super().asyncSetUp()
        self.owned = await self.entry.create_owned_job()

    async def test_owner_that_is_announced(self) -> None:
        """Guards against jobs of other entries that are left out."""
        self.assertEqual(await self.count(), 1)

    async def test_owner_that_has_restarted(self) -> None:
        """Guards against a count of 0 while jobs wait for their next owner."""
        await self.entry.close()
        self.start('a-2')
        self.assertEqual(await self.count(), 1)

    async def test_jobs_that_were_taken_over(self) -> None:
        """Guards against jobs that are counted for both owners."""
        await self.count()
        await stored_world.take_over(self.other)
        # The markers that were read before the takeover are still in use.
        self.assertEqual(await self.other.waiting.count(QUEUE), 1)
        self.assertEqual(await self.count(), 1)
        self.assertEqual(await self.start('c').waiting.count(QUEUE), 1)

    async def test_job_that_has_started(self) -> None:
        """Guards against jobs that count as waiting while they run."""
        run = await self.place(self.owned)
        self.send(messages.RunStarted(self.owned.job.id, run))
        self.assertEqual(await self.entry.waiting.count(QUEUE), 0)
        await self.store_starts(self.entry)
        self.assertEqual(await self.count(), 0)

    async def test_job_that_is_over(self) -> None:
        """Guards against counts that stay in the store when no job waits."""
        await self.entry.ownership.cancel(self.owned)
        self.assertEqual(await self.count(), 0)
        self.assertEqual(await self.store.list(records.OWNED_PREFIX), [])

    async def test_odd_markers(self) -> None:
        """Guards against a value of another writer that breaks the sum."""
        contents = (b'["x",-5]', b'[1e99]', b'\xff', b'{"x":', b'[]')
        for number, content in enumerate(contents):
            key = f'{records.OWNED_PREFIX}odd/{number}'
            self.store.apply([store.Change(key, content)])
        self.store.apply([store.Change(records.OWNED_PREFIX + 'x', b'')])
        self.assertEqual(await self.count(), 1)

    async def test_marker_of_the_previous_version(self) -> None:
        """Guards against an upgrade after which nobody takes jobs over."""
        key = records.marker_key(ids.Incarnation('a'), self.owned.job.id)
        self.store.apply([store.Change(key, b'node-a')])
        self.assertEqual(await self.count(), 0)
        await stored_world.take_over(self.other)
        self.assertEqual(await self.count(), 1)
        self.assertEqual(
            self.other.owner_tracker.nodes[ids.Incarnation('a')], 'node-a'
        )


class TestLostOwners(WaitingCase):
    """Jobs count from the moment at which they are accepted.

    Their owner used to publish counts each 0.7 s, apart from the records: what
    it had accepted since was in no count when it was lost.
    """

    async def test_killed_just_after_acceptance(self) -> None:
        """Guards against accepted jobs that are missing while nobody has them."""
        await self.accept(self.entry, *new_jobs(10), queue=QUEUE)
        await self.entry.close()
        self.assertEqual(await self.count(), 10)

    async def test_smaller_count_seen_before(self) -> None:
        """Guards against an upper limit by what was known before a kill."""
        await self.accept(self.entry, *new_jobs(2), queue=QUEUE)
        self.assertEqual(await self.count(), 2)
        await self.accept(self.entry, *new_jobs(8, first=2), queue=QUEUE)
        await self.entry.close()
        self.assertEqual(await self.count(), 10)

    async def test_owner_that_is_frozen_or_cut_off(self) -> None:
        """Guards against a count that depends on whether the owner is gone."""
        await self.accept(self.entry, *new_jobs(10), queue=QUEUE)
        self.entry.can_own_jobs = False
        ownership_validity.ValidityMonitor(self.entry.ownership).check()
        self.assertEqual(await self.count(), 10)

    async def test_two_owners_and_two_queues(self) -> None:
        """Guards against jobs of one lost entry or queue that hide others."""
        third = self.start('c')
        await self.accept(self.entry, *new_jobs(3), queue=QUEUE)
        await self.accept(self.entry, *new_jobs(4, first=3), queue=OTHER_QUEUE)
        await self.accept(third, *new_jobs(5, first=7), queue=QUEUE)
        await self.entry.close()
        await third.close()
        self.assertEqual(await self.count(), 8)
        self.assertEqual(await self.count(OTHER_QUEUE), 4)

    async def test_each_step_of_a_takeover(self) -> None:
        """Guards against jobs that count twice, or not at all, meanwhile.

        The next owner is lost as well, right after one of its commits.
        """
        await self.accept(self.entry, *new_jobs(6), queue=QUEUE)
        await self.entry.close()
        observer = self.start('c')
        counts = []
        commit = self.store.commit

        async def commit_and_count(
            changes: typing.Sequence[store.Change],
        ) -> store.CommitResult:
            result = await commit(changes)
            self.now += 1
            counts.append(await observer.waiting.count(QUEUE))
            return result

        with mock.patch.object(self.store, 'commit', commit_and_count):
            await stored_world.take_over(self.other)
        self.assertEqual(counts, [6] * 6)
        await self.other.close()
        self.now += 1
        self.assertEqual(await observer.waiting.count(QUEUE), 6)

    async def test_next_owner_knows_what_has_begun(self) -> None:
        """Guards against jobs that wait again because their owner was lost."""
        owned = await self.entry.create_owned_job()
        run = await self.place(owned)
        self.send(messages.RunStarted(owned.job.id, run))
        await self.store_starts(self.entry)
        await self.entry.close()
        await stored_world.take_over(self.other)
        self.assertEqual(await self.other.waiting.count(QUEUE), 0)
        self.assertEqual(await self.start('c').waiting.count(QUEUE), 0)


class TestStarts(WaitingCase):
    """A job has begun when an endpoint has accepted one of its tasks."""

    async def asyncSetUp(self) -> None:
        """Let entry `a` send a task of its only job to its agent."""
        await super().asyncSetUp()
        self.owned = await self.entry.create_owned_job(tasks=1)
        self.run_id = await self.place(self.owned)

    async def assert_waiting(self, count: int) -> None:
        """Check the counts of both entries and the job's state."""
        await self.store_starts(self.entry)
        self.assertEqual(await self.entry.waiting.count(QUEUE), count)
        self.assertEqual(await self.count(), count)

    async def test_start_that_was_only_sent(self) -> None:
        """Guards against a job that counts as begun while no task runs."""
        await self.assert_waiting(1)

    async def test_refused_start(self) -> None:
        """Guards against a job that counts as begun after a refusal."""
        self.agent.accepting = False
        self.send(
            messages.Refused(
                self.owned.job.id, [self.run_id], messages.Refusal.no_room
            )
        )
        self.assertIs(self.owned.job.tasks[0].phase, jobs.Phase.waiting)
        await self.assert_waiting(1)

    async def test_notice_of_another_run(self) -> None:
        """Guards against a late notice of a run that is no longer meant."""
        other_run = messages.RunId(0, self.run_id.number + 1)
        self.send(messages.RunStarted(self.owned.job.id, other_run))
        await self.assert_waiting(1)

    async def test_run_that_ended_before_its_notice(self) -> None:
        """Guards against a job that waits though a run of it has ended."""
        self.entry.complete(self.owned, 0, messages.Outcome.failed, 1)
        self.agent.accepting = False
        await dispatch_world.wait_until(lambda: self.store.record().failed_runs)
        await self.assert_waiting(0)

    async def test_best_effort_job(self) -> None:
        """Guards against a notice that ends the link of a job without record."""
        stranger = fleet.Agent('side-9', 'toledo', ids.new_incarnation())
        self.entry.coordinator.handle_message(
            stranger, messages.RunStarted(ids.JobId('0' * 16), self.run_id)
        )
        await self.assert_waiting(1)


class TestMarkerWrites(WaitingCase):
    """What it costs to tell other entries that jobs have begun."""

    async def begin(self, count: int) -> None:
        """Let jobs of entry `a` begin."""
        await self.accept(self.entry, *new_jobs(count), queue=QUEUE)
        for owned in self.entry.ownership.owned_jobs.values():
            owned.pending.has_begun = True

    async def test_grouped(self) -> None:
        """Guards against one commit for each job that begins."""
        await self.begin(40)
        before = self.store.commits
        await self.store_starts(self.entry)
        self.assertLessEqual(self.store.commits - before, 5)
        self.assertLessEqual(self.store.max_rows, 32)
        self.assertEqual(await self.count(), 0)

    async def test_written_once(self) -> None:
        """Guards against markers that are written again each time."""
        await self.begin(3)
        await self.store_starts(self.entry)
        before = self.store.commits
        await self.store_starts(self.entry)
        self.assertEqual(self.store.commits, before)

    async def test_new_jobs_come_first(self) -> None:
        """Guards against callers who wait behind writes of markers."""
        await self.begin(200)
        self.entry.ownership.store_starts()
        await asyncio.sleep(0)
        before = self.store.commits
        await self.entry.create_owned_job(job=ids.JobId('f' * 16))
        # The transaction that is on its way, and the one with the new job.
        self.assertLessEqual(self.store.commits - before, 2)

    async def test_job_that_ends_soon(self) -> None:
        """Guards against a write for each job that begins."""
        owned = await self.entry.create_owned_job(tasks=1)
        run = await self.place(owned)
        before = self.store.commits
        self.send(messages.RunStarted(owned.job.id, run))
        self.entry.complete(owned, 0, messages.Outcome.done, 1)
        await dispatch_world.wait_until(
            lambda: owned.job.id in self.entry.ownership.finished_jobs
        )
        await self.store_starts(self.entry)
        self.assertLessEqual(self.store.commits - before, 2)
