"""Stored jobs of an entry that stops as planned."""

import asyncio
import typing
import unittest
from unittest import mock

import msgspec

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    job_release,
    membership,
    messages,
    records,
    stored_jobs,
    takeover,
)
from poplardrum.platform import store
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID


class ReleaseCase(stored_world.StoredCase):
    """Common set-up: entry `a` stops, and entry `b` may take its jobs over."""

    async def asyncSetUp(self) -> None:
        """Announce both entries."""
        await super().asyncSetUp()
        self.now = 100.0
        self.enterContext(mock.patch.object(clocks, 'now', lambda: self.now))
        self.other = self.start('b')
        self.other_agent, self.other_link = self.other.connect('side-2')
        for entry in (self.entry, self.other):
            self.announce(entry)
        self.release = job_release.JobRelease(self.entry.ownership)

    def announce(self, entry: stored_world.Entry) -> None:
        """Announce an entry in the store."""
        name = entry.ownership.incarnation
        member = membership.Member('10.0.0.1', 1, name)
        change = store.Change(
            f'{membership.PREFIX}node-{name}', msgspec.json.encode(member)
        )
        self.store.apply([change])

    async def leave(self) -> 'asyncio.Task[None]':
        """Let entry `a` begin to stop; it has no time left for new runs."""
        leaving = asyncio.ensure_future(self.release.run(self.now + 1.5))
        self.addCleanup(leaving.cancel)
        await dispatch_world.wait_until(lambda: self.entry.ownership.is_leaving)
        return leaving

    async def wait_for_release(self) -> None:
        """Wait until entry `a` has no jobs."""
        await dispatch_world.wait_until(
            lambda: not self.entry.ownership.owned_jobs
        )


class TestRelease(ReleaseCase):
    """What the entry that stops does."""

    async def test_job_that_waits(self) -> None:
        """Guards against jobs that stand still until their owner counts as gone.

        The owner is still announced, and nothing of the job runs.
        """
        self.agent.accepting = False
        await self.entry.create_owned_job(tasks=1)
        await self.leave()
        await self.wait_for_release()
        await self.other.takeover.scan()
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )
        self.assertEqual(
            self.started_runs(self.other_link), [records.RUNS_PER_OWNER + 1]
        )

    async def test_job_that_runs(self) -> None:
        """Guards against a release while a run may be active (TWICE)."""
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        await self.leave()
        self.now += 1
        await dispatch_world.wait_until(
            lambda: self.link.sent_of(messages.StopTasks)
        )
        await asyncio.sleep(0.05)
        await self.other.takeover.scan()
        self.assertEqual(self.other.ownership.owned_jobs, {})
        run = owned.job.tasks[0].run_id()
        self.entry.coordinator.handle_message(
            self.agent,
            messages.Completion(JOB_ID, run, messages.Outcome.stopped),
        )
        await self.wait_for_release()
        self.assertEqual(self.started_runs(self.link), [1])
        await self.other.takeover.scan()
        self.assertIn(JOB_ID, self.other.ownership.owned_jobs)

    async def test_job_that_ends_meanwhile(self) -> None:
        """Guards against a job that is done and released all the same."""
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        await self.leave()
        self.entry.complete(owned, 0, messages.Outcome.done, 1)
        await self.wait_for_release()
        self.assertIs(self.store.record().state, records.State.completed)
        self.assertEqual(await self.store.list(records.OWNED_PREFIX), [])

    async def test_nothing_is_taken_back(self) -> None:
        """Guards against an entry that takes over what it has released."""
        self.agent.accepting = False
        await self.entry.create_owned_job(tasks=1)
        await self.leave()
        await self.wait_for_release()
        await self.entry.takeover.scan()
        self.assertEqual(self.entry.ownership.owned_jobs, {})

    async def test_submitted_again(self) -> None:
        """Guards against a record that a repeated submission resets."""
        self.agent.accepting = False
        await self.entry.create_owned_job(tasks=1)
        await self.leave()
        await self.wait_for_release()
        before = dict(self.store.values)
        requests = stored_jobs.StoredJobs(
            self.store, self.entry.ownership, self.entry.waiting, 0.0
        )
        await requests.submit(JOB_ID, self.entry.new_record(), 1.0)
        self.assertEqual(self.store.values, before)
        self.assertEqual(await requests.state(JOB_ID), 'queued')

    async def test_store_away(self) -> None:
        """Guards against an entry that can't stop while the store is away."""
        self.agent.accepting = False
        await self.entry.create_owned_job(tasks=1)
        self.store.is_away = True
        leaving = await self.leave()
        self.now += 2
        with self.assertLogs(job_release.logger, 'WARNING') as logs:
            await leaving
        self.assertIn('jobs not released', logs.output[0])


class TestTakeover(ReleaseCase):
    """Which entry takes a released job over, and when."""

    async def test_entry_that_is_not_preferred(self) -> None:
        """Guards against entries that all try to take the same job over."""
        self.agent.accepting = False
        await self.entry.create_owned_job(tasks=1)
        await self.leave()
        await self.wait_for_release()
        tracker = self.other.owner_tracker
        preferred = mock.Mock(return_value=ids.Incarnation('c'))
        with mock.patch.object(tracker, 'preferred_owner', preferred):
            await self.other.takeover.scan()
            self.assertEqual(self.other.ownership.owned_jobs, {})
            self.now += takeover._FALLBACK_DELAY_S
            await self.other.takeover.scan()
        self.assertIn(JOB_ID, self.other.ownership.owned_jobs)
        await self.other.takeover.scan()
        self.assertEqual(tracker.released_since, {})

    async def test_owner_is_not_preferred(self) -> None:
        """Guards against jobs that wait for the entry that released them."""
        tracker = self.other.owner_tracker
        await self.other.takeover.scan()
        tracker.update_members(
            membership.decode(await self.store.list(membership.PREFIX))
        )
        for number in range(20):
            job = ids.JobId(f'{number:016x}')
            self.assertEqual(
                tracker.preferred_owner(job, ids.Incarnation('a')), 'b'
            )


class TestMarkers(unittest.TestCase):
    """Markers of this version and the previous one."""

    def test_previous_version(self) -> None:
        """Guards against a job of an older owner that counts as released."""
        content = records.encode_marker(
            records.MarkerContent('node', 'queue', True)
        )
        fields = msgspec.json.decode(content)
        value = store.StoredValue(
            records.OWNED_PREFIX + 'a/b', msgspec.json.encode(fields[:3]), 1
        )
        marker = records.parse_marker(value)
        self.assertIsNotNone(marker)
        if marker is not None:
            self.assertFalse(marker.content.is_released)
