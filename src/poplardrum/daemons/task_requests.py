"""Answers of a worker to `Withdraw`, `StopTasks` and `QueryTasks` (pure)."""

import typing

from poplardrum import errors, ids
from poplardrum.daemons import slots
from poplardrum.peers import messages


class TaskRequest(typing.NamedTuple):
    """One task that its coordinator asks after.

    `granted_at` is when the grant was sent at the latest, in monotonic
    seconds of the worker.
    """

    coordinator: slots.CoordinatorRef
    task: ids.TaskId
    grant_number: int
    granted_at: float


def withdraw(worker: slots.Slots, recall: TaskRequest, now: float) -> None:
    """Give back a task that has not started."""
    held = worker.tasks.get(recall.task)
    if held is None:
        answer_not_held(worker, recall, errors.Code.cancelled, now)
    elif held.phase is slots.Phase.queued and _is_addressed(held, recall):
        worker.refuse(held, errors.Code.cancelled, now)


def stop(worker: slots.Slots, recall: TaskRequest, now: float) -> None:
    """Stop a task, queued or running."""
    held = worker.tasks.get(recall.task)
    if held is None or held.phase is slots.Phase.queued:
        withdraw(worker, recall, now)
    elif held.phase is slots.Phase.running:
        held.phase = slots.Phase.stopping
        worker.port.stop(held)


def query(worker: slots.Slots, recall: TaskRequest, now: float) -> None:
    """Say where a task is that was granted before a link broke."""
    held = worker.tasks.get(recall.task)
    if held is None:
        answer_not_held(worker, recall, errors.Code.link_lost, now)
        return
    worker.port.send(recall.coordinator, messages.TaskRunning([recall.task]))


def answer_not_held(
    worker: slots.Slots,
    recall: TaskRequest,
    reason: errors.Code,
    now: float,
) -> None:
    """Answer for a task that is not held, once and for all.

    A task of which nothing is known is refused for good, unless the memory
    does not reach back to its grant: then it may have run.
    """
    entry = worker.history.get(recall.task)
    if entry is not None and entry.outcome is not None:
        done = messages.Done(recall.task, entry.outcome)
        worker.port.send(recall.coordinator, done)
        return
    if entry is None and not worker.history.covers(recall.granted_at):
        forgotten = messages.TaskOutcome(
            errors.Verdict.may_have_run,
            errors.Code.indeterminate,
        )
        worker.port.send(
            recall.coordinator, messages.Done(recall.task, forgotten)
        )
        return
    worker.history.record_refusal(recall.task, recall.grant_number, now)
    worker.port.send(
        recall.coordinator,
        messages.NotStarted([recall.task], reason, [recall.grant_number]),
    )


def _is_addressed(held: slots.WorkerTask, recall: TaskRequest) -> bool:
    return held.start.grant_number <= recall.grant_number
