"""Renewal of the owner leases at an agent, and the end of runs without one."""

import asyncio
import logging

from poplardrum import ids, log_events
from poplardrum.dispatch import clocks, endpoint_runs, executor, timing

logger = logging.getLogger(__name__)


class OwnerLeaseKeeper:
    """Renew the leases of the entries with stored jobs; stop what has none."""

    def __init__(self, task_executor: executor.Executor) -> None:
        """Watch over the runs of an executor."""
        self.executor = task_executor

    async def run(self) -> None:
        """Check the leases while there are runs of stored jobs."""
        runs = self.executor.runs
        while True:
            await runs.stored_run_added.wait()
            if not self.check(clocks.now()):
                runs.stored_run_added.clear()
            await asyncio.sleep(timing.OWNER_LEASE_CHECK_INTERVAL_S)

    def check(self, now: float) -> bool:
        """Renew the leases, stop runs whose lease has expired.

        Return whether there are runs of stored jobs.
        """
        stored_runs = [run for run in self.executor.runs.values() if run.stored]
        expired: dict[ids.Incarnation, list[endpoint_runs.Run]] = {}
        for run in stored_runs:
            if run.has_lost_owner(now):
                expired.setdefault(run.session.incarnation, []).append(run)
            elif run.session.link is not None:
                run.session.link.ping_if_older(
                    now - timing.OWNER_LEASE_RENEWAL_INTERVAL_S
                )
        for runs in expired.values():
            self._stop(runs)
        return bool(stored_runs)

    def _stop(self, runs: list[endpoint_runs.Run]) -> None:
        """Stop the runs of one entry; log the first time."""
        unstopped = [run for run in runs if not run.stopping]
        if not unstopped:
            return
        log_events.emit(
            logger,
            'owner lease expired',
            level=logging.WARNING,
            entry=unstopped[0].session.node,
            jobs=sorted({run.job for run in unstopped}),
            runs=len(unstopped),
        )
        for run in unstopped:
            self.executor.stop_run(run)
