"""Counts of stored jobs of which no task has started yet."""

import asyncio
import typing

from poplardrum import ids
from poplardrum.dispatch import clocks, ownership, records
from poplardrum.platform import store

_INTERVAL_S: typing.Final = 0.7


class WaitingJobs:
    """Count the jobs of all entries that wait.

    The jobs of other entries are counted by their markers, which are written
    together with the records: a job that is accepted counts from then on,
    whatever happens to its owner.
    """

    def __init__(
        self,
        record_store: store.RecordStore,
        job_ownership: ownership.Ownership,
    ) -> None:
        """Count the jobs of `job_ownership` as those of this entry."""
        self.store = record_store
        self.ownership = job_ownership
        # Queues of the jobs that wait by their markers.
        self.marked_queues: dict[ids.JobId, str] = {}
        self.markers_read_at = 0.0

    async def count(self, queue: str) -> int:
        """Return how many stored jobs of a queue have not started yet.

        Raise `errors.PoplardrumError` if the store does not answer.
        """
        now = clocks.now()
        if now - self.markers_read_at > _INTERVAL_S:
            self.marked_queues = await self._read_markers()
            self.markers_read_at = now
        others = sum(
            marked_queue == queue and not self._is_known_here(job)
            for job, marked_queue in self.marked_queues.items()
        )
        return self.ownership.count_waiting(queue) + others

    async def update_markers(self) -> None:
        """Keep the markers of this entry's jobs current until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.ownership.store_starts()

    def _is_known_here(self, job: ids.JobId) -> bool:
        return (
            self.ownership.has_record(job)
            or job in self.ownership.finished_jobs
        )

    async def _read_markers(self) -> dict[ids.JobId, str]:
        """Return the queues of the jobs that have not begun."""
        stored_markers = await self.store.list(records.OWNED_PREFIX)
        markers = map(records.parse_marker, stored_markers)
        return {
            marker.job: marker.content.queue
            for marker in markers
            if marker is not None and not marker.content.has_begun
        }
