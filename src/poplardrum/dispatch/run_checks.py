"""Replies of an agent to questions of entries about their runs."""

import logging

from poplardrum import log_events
from poplardrum.dispatch import (
    completions,
    entry_sessions,
    messages,
    run_table,
)

logger = logging.getLogger(__name__)


def refuse_unknown(
    runs: run_table.RunTable,
    tracker: completions.CompletionTracker,
    session: entry_sessions.EntrySession,
    question: messages.CheckRuns,
) -> int:
    """Refuse the runs that are not here; return their number.

    Retained completions are sent again until the entry acknowledges them, so it
    learns of these runs anyway.
    """
    unknown = [
        (job, run_id)
        for job, run_id in question.runs
        if runs.find(session, job, run_id) is None
        and not tracker.retains(job, run_id.number)
    ]
    for job, run_id in unknown:
        session.send(
            messages.Refused(job, [run_id], messages.Refusal.unknown),
        )
        log_events.emit(
            logger,
            'run not known',
            job=job,
            level=logging.WARNING,
            entry=session.node,
            task=run_id.task_index,
            run=run_id.number,
        )
    return len(unknown)
