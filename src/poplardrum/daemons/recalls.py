"""Answers of a worker to `Withdraw`, `StopTasks` and `QueryTasks` (pure)."""

import typing

from poplardrum import errors, ids
from poplardrum.daemons import slots
from poplardrum.peers import messages


class Recall(typing.NamedTuple):
    """One task that its coordinator asks after.

    `granted_at` is when the grant was sent at the latest, in monotonic
    seconds of the worker.
    """

    owner: slots.Owner
    task: ids.TaskId
    grant: int
    granted_at: float


def withdraw(worker: slots.Slots, recall: Recall, now: float) -> None:
    """Give back a task that has not started."""
    held = worker.held.get(recall.task)
    if held is None:
        settle(worker, recall, errors.Code.cancelled, now)
    elif held.phase is slots.Phase.queued and _is_meant(held, recall):
        worker.refuse(held, errors.Code.cancelled, now)


def stop(worker: slots.Slots, recall: Recall, now: float) -> None:
    """Stop a task, queued or running."""
    held = worker.held.get(recall.task)
    if held is None or held.phase is slots.Phase.queued:
        withdraw(worker, recall, now)
    elif held.phase is slots.Phase.running:
        held.phase = slots.Phase.stopping
        worker.port.stop(held)


def query(worker: slots.Slots, recall: Recall, now: float) -> None:
    """Say where a task is that was granted before a link broke."""
    held = worker.held.get(recall.task)
    if held is None:
        settle(worker, recall, errors.Code.link_lost, now)
        return
    worker.port.send(recall.owner, messages.TaskRunning([recall.task]))


def settle(
    worker: slots.Slots,
    recall: Recall,
    reason: errors.Code,
    now: float,
) -> None:
    """Answer for a task that is not held, once and for all.

    A task of which nothing is known is refused for good, unless the memory
    does not reach back to its grant: then it may have run.
    """
    entry = worker.memory.get(recall.task)
    if entry is not None and entry.outcome is not None:
        done = messages.Done(recall.task, entry.outcome)
        worker.port.send(recall.owner, done)
        return
    if entry is None and not worker.memory.certain(recall.granted_at):
        forgotten = messages.TaskOutcome(
            errors.Verdict.may_have_run,
            errors.Code.indeterminate,
        )
        worker.port.send(recall.owner, messages.Done(recall.task, forgotten))
        return
    worker.memory.refuse(recall.task, recall.grant, now)
    worker.port.send(
        recall.owner,
        messages.NotStarted([recall.task], reason, [recall.grant]),
    )


def _is_meant(held: slots.Held, recall: Recall) -> bool:
    return held.start.grant <= recall.grant
