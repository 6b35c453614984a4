"""Release of the stored jobs of an entry that stops as planned.

Others would otherwise take them over only when the announcement has been missing for
long, since an owner that is merely cut off may still run them. One that has ended its
runs and says so in the markers may be replaced at once.
"""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import clocks, owned_jobs, ownership, timing

logger = logging.getLogger(__name__)

# No task starts in this last part of the time, so that most runs end by themselves.
_LAST_RUNS_S: typing.Final = 1.5
# Time to stop the runs that are left and to write the markers.
_RELEASE_S: typing.Final = timing.TOTAL_STOP_TIMEOUT_S + 0.5
_POLL_INTERVAL_S: typing.Final = 0.02


class JobRelease:
    """Release the jobs of an entry before it stops."""

    def __init__(self, job_ownership: ownership.Ownership) -> None:
        """Release the jobs of `job_ownership`."""
        self.ownership = job_ownership

    async def run(self, stop_at: float) -> None:
        """Release as many jobs as possible before a time of `clocks.now`."""
        await _sleep_until(stop_at - _RELEASE_S - _LAST_RUNS_S)
        self.ownership.is_leaving = True
        await self._release_until(stop_at - _RELEASE_S)
        for owned in self.ownership.owned_jobs.values():
            self.ownership.coordinator.stop_tasks(owned.job)
        await self._release_until(stop_at)
        if self.ownership.owned_jobs:
            log_events.emit(
                logger,
                'jobs not released',
                level=logging.WARNING,
                jobs=len(self.ownership.owned_jobs),
            )

    async def _release_until(self, deadline: float) -> None:
        """Release the jobs that have no runs, until there are none left."""
        while self.ownership.owned_jobs and clocks.now() < deadline:
            for owned in list(self.ownership.owned_jobs.values()):
                if _is_idle(owned):
                    self.ownership.release(owned)
            await asyncio.sleep(_POLL_INTERVAL_S)


def _is_idle(owned: owned_jobs.OwnedJob) -> bool:
    """Return whether nothing of a job runs, and it is neither over nor released."""
    return not (
        owned.pending.is_released
        or owned.job.outcome.done()
        or owned.job.placed_tasks()
    )


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(at - clocks.now(), 0))
