"""Takeover of stored jobs while the store loses or delays replies."""

import typing
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    messages,
    record_writer,
    records,
    timing,
)
from poplardrum.platform import store
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID


class TestUnansweredTakeover(stored_world.StoredCase):
    """A takeover whose commit has no answer may have been carried out."""

    async def asyncSetUp(self) -> None:
        """Let entry `b` take over a job of `a` by a commit without a reply."""
        await super().asyncSetUp()
        await self.entry.create_owned_job(tasks=1)
        self.other = self.start('b')
        self.other_agent, self.other_link = self.other.connect('side-2')

    async def take_over_with_fault(self, fault: str) -> None:
        """Scan once while the store does not reply."""
        self.store.faults = [fault]
        with self.assertRaisesRegex(Exception, 'no answer'):
            await stored_world.take_over(self.other)
        self.assertEqual(self.other.ownership.owned_jobs, {})

    async def test_reply_lost(self) -> None:
        """Guards against an accepted job that no entry runs any more."""
        await self.take_over_with_fault('silent')
        self.assertEqual(self.store.record().owner, 'b')
        await self.other.takeover.scan()
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )
        self.assertEqual(len(self.started_runs(self.other_link)), 1)

    async def test_carried_out_late(self) -> None:
        """Guards against a late commit that replaces a newer owner's record."""
        await self.take_over_with_fault('late')
        await self.other.takeover.scan()
        epoch = self.store.record().epoch
        self.store.deliver_delayed()
        self.assertEqual(self.store.record().epoch, epoch)
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )

    async def test_carried_out_between_two_scans(self) -> None:
        """Guards against a second takeover that fails and leaves the job."""
        await self.take_over_with_fault('late')
        self.store.deliver_delayed()
        await self.other.takeover.scan()
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )
        self.assertEqual(list(self.other.ownership.owned_jobs), [JOB_ID])


class TestOwnMarkers(stored_world.StoredCase):
    """Markers of this entry at jobs that do not run here."""

    def marker_key(self) -> str:
        """Return the key of the entry's marker at the job."""
        return records.marker_key(self.entry.ownership.incarnation, JOB_ID)

    async def test_running_job_is_left_alone(self) -> None:
        """Guards against an entry that takes over its own running jobs."""
        owned = await self.entry.create_owned_job()
        await self.entry.takeover.scan()
        self.assertIs(self.entry.ownership.owned_jobs[JOB_ID], owned)
        self.assertEqual(self.store.record().epoch, 0)

    async def test_job_in_creation_is_left_alone(self) -> None:
        """Guards against two owners of a new job in one process."""
        record = self.entry.new_record()
        pending = self.entry.writer.open(JOB_ID, record)
        self.store.apply(pending.changes())
        await self.entry.takeover.scan()
        self.assertEqual(self.store.record().epoch, 0)
        self.assertEqual(self.entry.ownership.owned_jobs, {})

    async def test_marker_of_a_finished_job_is_removed(self) -> None:
        """Guards against markers that are read in each scan for ever."""
        self.store.apply([store.Change(self.marker_key(), b'node-a')])
        await self.entry.takeover.scan()
        self.assertNotIn(self.marker_key(), self.store.values)

    async def test_marker_that_was_written_again_is_kept(self) -> None:
        """Guards against a job that no entry can find after its owner's end."""
        change = store.Change(self.marker_key(), b'node-a')
        self.store.apply([change])

        async def write_again(key: str) -> None:
            self.store.apply([change])

        with mock.patch.object(self.store, 'get', write_again):
            await self.entry.takeover.scan()
        self.assertIn(self.marker_key(), self.store.values)


class TestMissingOwners(stored_world.StoredCase):
    """How long an owner has been missing, over scans far apart."""

    async def asyncSetUp(self) -> None:
        """Let entry `b` miss the owner of a job once."""
        await super().asyncSetUp()
        self.now = 100.0
        self.enterContext(mock.patch.object(clocks, 'now', lambda: self.now))
        await self.entry.create_owned_job(tasks=1)
        self.other = self.start('b')
        await self.other.takeover.scan()

    async def scan_until_taken_over(self) -> float:
        """Scan each second; return how long the takeover took."""
        started_at = self.now
        while not self.other.ownership.owned_jobs:
            self.now += 1
            await self.other.takeover.scan()
        return self.now - started_at

    async def test_long_after_the_last_scan(self) -> None:
        """Guards against two owners after an outage of the store.

        The entry could not scan. In the meantime the owner was announced again
        and may run its job still.
        """
        self.now += 60
        self.assertGreater(
            await self.scan_until_taken_over(), timing.TAKEOVER_TIMEOUT_S
        )

    async def test_owner_without_jobs_for_a_while(self) -> None:
        """Guards against an owner that is taken for gone at once.

        Its absence was noted at a time of which no job is left.
        """
        key = records.marker_key(ids.Incarnation('a'), JOB_ID)
        self.store.apply([store.Change(key, None)])
        for _ in range(10):
            self.now += 1
            await self.other.takeover.scan()
        self.store.apply([store.Change(key, b'node-a')])
        self.assertGreater(
            await self.scan_until_taken_over(), timing.TAKEOVER_TIMEOUT_S
        )


class TestFinishedRecord(stored_world.StoredCase):
    """A record of a finished job is never replaced by an active one."""

    async def test_submitted_again_to_its_owner(self) -> None:
        """Guards against a finished job that runs again.

        Its owner forgets the states of the oldest finished jobs.
        """
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.entry.complete(owned, 0, messages.Outcome.done, 1)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        pending = self.entry.writer.open(JOB_ID, self.entry.new_record())
        self.assertIs(
            await self.entry.writer.put(pending),
            record_writer.WriteResult.taken_over,
        )
        self.assertIs(self.store.record().state, records.State.completed)
