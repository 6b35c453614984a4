"""The runs that an agent tracks at its endpoint."""

import asyncio
import logging

from poplardrum import ids, log_events
from poplardrum.dispatch import endpoint_runs, entry_sessions, messages

logger = logging.getLogger(__name__)


class RunTable:
    """Tracked runs, at most one for each task.

    Whatever settles or stops a run names that run: waits for it may go on when
    another run of the task has taken its place, which is left as it is. The
    table by task is private, so that no run is found by its task alone.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_task: dict[endpoint_runs.RunKey, endpoint_runs.Run] = {}
        self.stored_run_added = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of tracked runs."""
        return len(self._by_task)

    def values(self) -> list[endpoint_runs.Run]:
        """Return all tracked runs."""
        return list(self._by_task.values())

    def of_session(
        self, session: entry_sessions.EntrySession
    ) -> list[endpoint_runs.Run]:
        """Return the tracked runs of an entry."""
        return [run for run in self._by_task.values() if run.session is session]

    def has(self, run: endpoint_runs.Run) -> bool:
        """Return whether a run is tracked: its outcome is still open."""
        return self._by_task.get(run.key()) is run

    def find(
        self,
        session: entry_sessions.EntrySession,
        job: ids.JobId,
        run_id: messages.RunId,
    ) -> endpoint_runs.Run | None:
        """Return the run that an entry means, `None` if it is not tracked."""
        run = self.competitor(job, run_id)
        if run is None or run.session is not session or run.id != run_id:
            return None
        return run

    def competitor(
        self, job: ids.JobId, run_id: messages.RunId
    ) -> endpoint_runs.Run | None:
        """Return the tracked run of a run's task, in whose way it may be."""
        return self._by_task.get((job, run_id.task_index))

    def add(self, run: endpoint_runs.Run) -> None:
        """Track a run of a task that has none."""
        self._by_task[run.key()] = run
        run.session.count_run(1)
        if run.stored:
            self.stored_run_added.set()

    def remove(self, run: endpoint_runs.Run) -> bool:
        """Stop tracking a run; return `False` if it was settled before."""
        if not self.has(run):
            log_events.emit(
                logger,
                'run settled before',
                job=run.job,
                task=run.id.task_index,
                run=run.id.number,
            )
            return False
        self._by_task.pop(run.key())
        run.session.count_run(-1)
        return True
