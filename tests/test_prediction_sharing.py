"""Learned durations that entries share through the store."""

import random
import typing
import unittest

from poplardrum import errors
from poplardrum.dispatch import estimates, prediction_sharing
from poplardrum.platform import store

QUEUE: typing.Final = 'manifests'
ENTRY_COUNT: typing.Final = 35


class MemoryStore:
    """The part of the store that is used, which may be unavailable."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.values: dict[str, bytes] = {}
        self.writes = 0
        self.leases = 0
        self.is_down = False

    async def read(self, key: str, *, is_prefix: bool) -> store.Snapshot:
        """Return all values."""
        self.check()
        return store.Snapshot(
            1,
            [
                store.StoredValue(name, content, 1)
                for name, content in self.values.items()
                if name.startswith(key)
            ],
        )

    async def grant_lease(self, ttl: float) -> store.LeaseId:
        """Grant a lease; only the latest one has not ended."""
        self.check()
        self.leases += 1
        return store.LeaseId(str(self.leases))

    async def renew_lease(self, lease: store.LeaseId) -> bool:
        """Return whether a lease has not ended."""
        self.check()
        return lease == str(self.leases)

    async def write(
        self, key: str, content: bytes, *, lease: store.LeaseId
    ) -> bool:
        """Write a value."""
        self.check()
        self.writes += 1
        self.values[key] = content
        return True

    def check(self) -> None:
        """Raise an error while the store is unavailable."""
        if self.is_down:
            raise errors.uncertain_outcome(errors.Code.platform, 'down')


class Entry:
    """The predictors of one entry and their exchange."""

    def __init__(self, kv_store: MemoryStore, node: str) -> None:
        """Start a process of an entry."""
        self.table = estimates.PredictorTable()
        self.sharing = prediction_sharing.PredictionSharing(
            typing.cast(store.Store, kv_store), node, self.table
        )

    def learn(self, source: random.Random, jobs: int) -> None:
        """Learn from jobs whose client timeout tells their duration."""
        for _ in range(jobs):
            duration = source.uniform(0.5, 3)
            estimate = duration * source.lognormvariate(0, 0.4)
            self.predictor().learn(estimate, 1 + 4 * duration, [duration])

    def predictor(self) -> estimates.DurationPredictor:
        """Return the predictor of the queue."""
        return self.table.get(QUEUE)


class TestRareJobs(unittest.IsolatedAsyncioTestCase):
    """A kind of job of which each of many entries sees few."""

    async def test_entries_learn_together(self) -> None:
        """Guards against predictions that come the later the more entries."""
        kv_store = MemoryStore()
        source = random.Random(1)
        entries = [
            Entry(kv_store, f'front-{each}') for each in range(ENTRY_COUNT)
        ]
        for _ in range(3):
            for entry in entries:
                entry.learn(source, 1)
                await entry.sharing.exchange()
        for entry in entries:
            await entry.sharing.exchange()
            self.assertTrue(entry.predictor().is_trained())
            # By the client timeout; the estimate is off.
            self.assertAlmostEqual(
                entry.predictor().predict(4.0, 1 + 4 * 1.5), 1.5, delta=0.1
            )

    async def test_restart(self) -> None:
        """Guards against an entry that starts from nothing."""
        kv_store = MemoryStore()
        before = Entry(kv_store, 'front-1')
        before.learn(random.Random(1), 60)
        await before.sharing.exchange()
        after = Entry(kv_store, 'front-1')
        await after.sharing.exchange()
        self.assertTrue(after.predictor().is_trained())
        # What is published still has it, for the next restart.
        after.learn(random.Random(2), 1)
        await after.sharing.exchange()
        last = Entry(kv_store, 'front-1')
        await last.sharing.exchange()
        self.assertTrue(last.predictor().is_trained())

    async def test_own_statistics_count_once(self) -> None:
        """Guards against an entry that takes its own jobs for others'."""
        kv_store = MemoryStore()
        entry = Entry(kv_store, 'front-1')
        entry.learn(random.Random(1), 5)
        for _ in range(4):
            await entry.sharing.exchange()
        known = entry.predictor().own.plus(entry.predictor().shared)
        self.assertLessEqual(known.by_estimate.weight, 5)
        self.assertEqual(kv_store.writes, 1)

    async def test_lease_that_has_ended(self) -> None:
        """Guards against statistics that vanish with a lease for good."""
        kv_store = MemoryStore()
        entry = Entry(kv_store, 'front-1')
        entry.learn(random.Random(1), 5)
        await entry.sharing.exchange()
        kv_store.leases += 1
        kv_store.values.clear()
        await entry.sharing.exchange()
        self.assertEqual(len(kv_store.values), 1)


class TestFaults(unittest.IsolatedAsyncioTestCase):
    """A store that is down, and values of another writer."""

    async def test_store_that_is_down_at_the_start(self) -> None:
        """Guards against overwriting what an earlier process had learned."""
        kv_store = MemoryStore()
        before = Entry(kv_store, 'front-1')
        before.learn(random.Random(1), 60)
        await before.sharing.exchange()
        after = Entry(kv_store, 'front-1')
        kv_store.is_down = True
        with self.assertRaises(errors.PoplardrumError):
            await after.sharing.exchange()
        after.learn(random.Random(2), 1)
        kv_store.is_down = False
        await after.sharing.exchange()
        self.assertTrue(after.predictor().is_trained())

    async def test_malformed_values(self) -> None:
        """Guards against values that break all predictions."""
        for content in (
            b'',
            b'[]',
            b'{"manifests": 1}',
            b'{"manifests": [[-5]]}',
            b'{"manifests": [[1e300, 1e300]]}',
            b'{"manifests": [["x"]]}',
            b'[' * 100_000,
        ):
            with self.subTest(content=content[:20]):
                kv_store = MemoryStore()
                kv_store.values[prediction_sharing.PREFIX + 'front-2'] = content
                entry = Entry(kv_store, 'front-1')
                await entry.sharing.exchange()
                self.assertEqual(entry.predictor().predict(0.4, 3.0), 0.4)
