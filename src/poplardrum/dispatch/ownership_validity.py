"""Stops of stored jobs while another entry may take them over."""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import owned_jobs, ownership, record_writer

logger = logging.getLogger(__name__)

_CHECK_INTERVAL_S: typing.Final = 0.1
_IDLE_CHECK_INTERVAL_S: typing.Final = 0.25


class ValidityMonitor:
    """Stop and resume the owned jobs by whether this entry may own them."""

    def __init__(self, job_ownership: ownership.Ownership) -> None:
        """Watch over the jobs of `job_ownership`."""
        self.ownership = job_ownership
        self.was_valid = False

    async def run(self, interval: float = _CHECK_INTERVAL_S) -> None:
        """Check each `interval` seconds until cancelled.

        A job is owned only after a write to the store, which others have seen
        too, so the checks may be rare until there is one.
        """
        while True:
            await asyncio.sleep(
                interval
                if self.ownership.owned_jobs
                else _IDLE_CHECK_INTERVAL_S
            )
            self.check()

    def check(self) -> None:
        """Stop or resume the owned jobs.

        A job may have been stored in a moment of doubt that no check has seen,
        so each one is looked at, not only changes of the validity.
        """
        valid = self.ownership.can_own_jobs()
        if valid != self.was_valid:
            self.was_valid = valid
            log_events.emit(
                logger,
                'ownership valid' if valid else 'ownership uncertain',
                level=logging.INFO if valid else logging.WARNING,
                jobs=len(self.ownership.owned_jobs),
            )
            if not valid:
                self._stop_all()
        if valid:
            self._reclaim_unconfirmed()

    def _stop_all(self) -> None:
        for owned in self.ownership.owned_jobs.values():
            owned.confirmed = False
            self.ownership.coordinator.stop_tasks(owned.job)

    def _reclaim_unconfirmed(self) -> None:
        for owned in self.ownership.owned_jobs.values():
            if not (owned.confirmed or owned.is_reclaiming):
                owned.is_reclaiming = True
                self.ownership.background.spawn(self._reclaim(owned))

    async def _reclaim(self, owned: owned_jobs.OwnedJob) -> None:
        """Resume a job if the record still names this entry as its owner."""
        result = await self.ownership.writer.put(owned.pending)
        owned.is_reclaiming = False
        if result is not record_writer.WriteResult.committed:
            self.ownership.relinquish(owned)
            return
        # In a new doubt the job may be taken over after this write.
        owned.confirmed = self.ownership.can_own_jobs()
        placer = self.ownership.coordinator.placer
        placer.add(owned.job)
        placer.schedule()
