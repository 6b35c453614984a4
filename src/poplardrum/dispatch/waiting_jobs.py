"""Counts of stored jobs that have not started yet, by queue."""

import asyncio
import collections
import typing

import msgspec

from poplardrum import decoding, errors, ids
from poplardrum.dispatch import clocks, ownership, records, takeover
from poplardrum.platform import store

_INTERVAL_S: typing.Final = 0.7
_MAX_REMOVALS_PER_COMMIT: typing.Final = 30


class WaitingCounts(msgspec.Struct, frozen=True, array_like=True):
    """Number of jobs of one entry that have not started yet, by queue."""

    owner: ids.Incarnation
    waiting: dict[str, decoding.Amount]


class WaitingJobs:
    """Publish the counts of this entry and add up those of all entries.

    Each entry has a key for its counts while it has any. That of an entry that
    is gone stays until its jobs have been taken over.
    """

    def __init__(
        self,
        record_store: store.RecordStore,
        job_ownership: ownership.Ownership,
        owner_tracker: takeover.OwnerTracker,
    ) -> None:
        """Count the jobs of `job_ownership` as those of this entry."""
        self.store = record_store
        self.ownership = job_ownership
        self.owner_tracker = owner_tracker
        self.published: dict[str, int] = {}
        self.others: list[WaitingCounts] = []
        self.others_read_at = 0.0

    async def count(self, queue: str) -> int:
        """Return how many stored jobs of a queue have not started yet.

        Raise `errors.PoplardrumError` if the store does not answer.
        """
        now = clocks.now()
        if now - self.others_read_at > _INTERVAL_S:
            self.others = await self._read_others()
            self.others_read_at = now
        return self.count_own()[queue] + sum(
            counts.waiting.get(queue, 0) for counts in self.others
        )

    async def publish(self) -> None:
        """Publish the counts of this entry until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            counts = dict(self.count_own())
            if counts == self.published:
                continue
            try:
                await self.store.commit([self.change_to(counts)])
            except errors.PoplardrumError:
                # Outdated counts do no harm, and `RouteTable` logs that the
                # store is unreachable.
                continue
            self.published = counts

    def change_to(self, counts: dict[str, int]) -> store.Change:
        """Return the change that publishes counts, or removes them if none."""
        owner = self.ownership.incarnation
        content = msgspec.json.encode(WaitingCounts(owner, counts))
        return store.Change(
            records.WAITING_PREFIX + owner, content if counts else None
        )

    def count_own(self) -> collections.Counter[str]:
        """Return the number of this entry's jobs that wait, by queue."""
        return collections.Counter(
            owned.job.queue
            for owned in self.ownership.owned_jobs.values()
            if not owned.job.started
        )

    async def _read_others(self) -> list[WaitingCounts]:
        stored_values = await self.store.list(records.WAITING_PREFIX)
        published = [
            counts
            for counts in map(_decode_counts, stored_values)
            if counts is not None and counts.owner != self.ownership.incarnation
        ]
        announced = self.owner_tracker.announced()
        if all(counts.owner in announced for counts in published):
            return published
        jobs_by_owner = await self._count_markers()
        await self._remove_counts(
            counts.owner
            for counts in published
            if counts.owner not in announced and not jobs_by_owner[counts.owner]
        )
        return [
            counts
            if counts.owner in announced
            else _limit(counts, jobs_by_owner[counts.owner])
            for counts in published
        ]

    async def _remove_counts(
        self, owners: typing.Iterable[ids.Incarnation]
    ) -> None:
        """Remove the counts of owners whose jobs have all been taken over."""
        changes = [
            store.Change(records.WAITING_PREFIX + owner, None)
            for owner in owners
        ]
        if changes:
            await self.store.commit(changes[:_MAX_REMOVALS_PER_COMMIT])

    async def _count_markers(self) -> collections.Counter[str]:
        """Return the number of unfinished jobs by owner."""
        items = await self.store.list(records.OWNED_PREFIX)
        markers = [records.parse_marker_key(item.key) for item in items]
        return collections.Counter(marker[0] for marker in markers if marker)


def _limit(counts: WaitingCounts, limit: int) -> WaitingCounts:
    """Return counts of an owner that has `limit` jobs left to take over."""
    return WaitingCounts(
        counts.owner,
        {queue: min(count, limit) for queue, count in counts.waiting.items()},
    )


def _decode_counts(item: store.StoredValue) -> WaitingCounts | None:
    try:
        return decoding.decode_json(item.value, WaitingCounts)
    except ValueError:
        return None
