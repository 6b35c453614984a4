"""Counts of stored jobs that wait, over entries that come and go."""

import typing
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import clocks, membership, messages, records
from poplardrum.platform import store
from tests import dispatch_world, stored_world

QUEUE: typing.Final = 'r-1'


class TestWaitingJobs(stored_world.StoredCase):
    """Entry `b` counts a job that entry `a` owns and has no room for."""

    async def asyncSetUp(self) -> None:
        """Let entry `a` publish its counts."""
        await super().asyncSetUp()
        self.now = 100.0
        self.enterContext(mock.patch.object(clocks, 'now', lambda: self.now))
        self.agent.accepting = False
        await self.entry.create_owned_job()
        self.publish(self.entry)
        self.other = self.start('b')

    def publish(self, entry: stored_world.Entry) -> None:
        """Publish the counts of an entry once."""
        counts = dict(entry.waiting.count_own())
        self.store.apply([entry.waiting.change_to(counts)])

    async def count(self) -> int:
        """Return what entry `b` counts now."""
        self.now += 10
        return await self.other.waiting.count(QUEUE)

    def announce(self, name: str) -> None:
        """Announce entry `a`, as entry `b` sees it."""
        member = membership.Member('10.0.0.1', 1, ids.Incarnation(name))
        self.other.owner_tracker.update_members({'node-a': member})

    async def test_owner_that_is_announced(self) -> None:
        """Guards against jobs of other entries that are left out."""
        self.announce('a')
        self.assertEqual(await self.count(), 1)

    async def test_owner_that_has_restarted(self) -> None:
        """Guards against a count of 0 while jobs wait for their next owner.

        The counts of the earlier process were left out, and its successor had
        none yet.
        """
        self.announce('a-2')
        self.assertEqual(await self.count(), 1)

    async def test_jobs_that_were_taken_over(self) -> None:
        """Guards against jobs that are counted for both owners."""
        await stored_world.take_over(self.other)
        self.assertEqual(await self.count(), 1)
        key = records.WAITING_PREFIX + 'a'
        self.assertNotIn(key, self.store.values)

    async def test_job_that_has_started(self) -> None:
        """Guards against counts that stay in the store when no job waits."""
        self.entry.report_load(self.agent)
        await dispatch_world.wait_until(
            lambda: self.link.sent_of(messages.StartTasks)
        )
        self.publish(self.entry)
        self.announce('a')
        self.assertEqual(await self.count(), 0)
        self.assertEqual(await self.store.list(records.WAITING_PREFIX), [])

    async def test_odd_counts(self) -> None:
        """Guards against a value of another writer that breaks the sum."""
        self.announce('a')
        for content in (b'["x",{"r-1":-5}]', b'["x",{"r-1":1e99}]', b'[1]'):
            odd = store.Change(records.WAITING_PREFIX + 'odd', content)
            self.store.apply([odd])
            self.assertEqual(await self.count(), 1)
