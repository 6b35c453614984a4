"""Decision whether to move a straggler to another endpoint."""

from poplardrum.dispatch import (
    fleet,
    jobs,
    messages,
    placement,
    room_index,
    stragglers,
)


def restart_duration(
    index: room_index.RoomIndex,
    job: jobs.Job,
    task: jobs.Task,
    straggler: messages.Straggler,
    now: float,
) -> float | None:
    """Return how long a straggler takes elsewhere, `None` if it stays.

    A task that is a straggler on two endpoints is slow by itself. Without a
    prediction a slow run may be a long task, so only one without any progress
    is moved.
    """
    if task.was_moved or job.outcome.done():
        return None
    has_stalled = straggler.remaining == stragglers.STALLED
    if not job.has_prediction and not has_stalled:
        return None
    other = _fastest_elsewhere(index, job, task)
    if other is None:
        return None
    duration = job.remaining_duration() * other.slowness
    is_worth_it = stragglers.is_worth_moving(
        now,
        straggler.remaining,
        duration,
        job.arrived_at + job.target_latency,
        job.target_latency,
    )
    return duration if is_worth_it else None


def _fastest_elsewhere(
    index: room_index.RoomIndex, job: jobs.Job, task: jobs.Task
) -> fleet.Agent | None:
    """Return one of the fastest other agents with room for a task."""
    request = placement.PlacementRequest(
        task.step.need, 1, job.service, task.step.label
    )
    return next(
        (
            agent
            for agent, _ in placement.fitting(index, request)
            if agent is not task.agent
        ),
        None,
    )
