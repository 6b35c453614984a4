"""Log lines about the runs at an agent's endpoint."""

import logging

from poplardrum import ids, log_events
from poplardrum.dispatch import endpoint_runs, entry_sessions, messages
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)


def log_tasks_received(
    session: entry_sessions.EntrySession, request: messages.StartTasks
) -> None:
    """Log a command to start runs, and whether it has to be confirmed."""
    log_events.emit(
        logger,
        'tasks received',
        job=request.job,
        entry=session.node,
        tasks=[run_id.task_index for run_id in request.runs],
        runs=[run_id.number for run_id in request.runs],
        in_doubt=session.is_in_doubt(),
    )


def log_stop_received(
    session: entry_sessions.EntrySession,
    job: ids.JobId,
    run_id: messages.RunId,
    run: endpoint_runs.Run | None,
) -> None:
    """Log a command to stop a run, which may not be tracked any more."""
    log_events.emit(
        logger,
        'stop received',
        job=job,
        entry=session.node,
        task=run_id.task_index,
        run=run_id.number,
        state=run.state.value if run else None,
    )


def log_tasks_refused(
    job: ids.JobId, reason: messages.Refusal, count: int, is_zone_open: bool
) -> None:
    """Log that tasks of a command were refused at once."""
    log_events.emit(
        logger,
        'task refused',
        job=job,
        reason=reason.name,
        tasks=count,
        zone_evacuated=not is_zone_open,
    )


def log_start_refused(run: endpoint_runs.Run, reason: str) -> None:
    """Log that a run did not start and never will."""
    log_events.emit(
        logger,
        'start refused',
        job=run.job,
        task=run.id.task_index,
        reason=reason,
    )


def log_run_ended(
    run: endpoint_runs.Run, outcome: messages.Outcome, reason: str
) -> None:
    """Log that a run is over without success."""
    log_events.emit(
        logger,
        'run ended',
        job=run.job,
        task=run.id.task_index,
        run=run.id.number,
        outcome=outcome.name,
        reason=reason,
    )


def log_endpoint_state(heartbeat: endpoints.Heartbeat) -> None:
    """Log the state that an endpoint announces."""
    log_events.emit(
        logger,
        'endpoint state changed',
        state=heartbeat.state,
        born=heartbeat.born,
        labels=heartbeat.labels,
        cpu=heartbeat.capacity.cpu_millicores,
    )
