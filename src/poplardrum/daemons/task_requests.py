"""What a worker does on `Withdraw`, `StopTasks` and `QueryTasks`.

No I/O of its own: messages go through `Slots.port`.
"""

import typing

from poplardrum import errors, ids
from poplardrum.daemons import slots, worker_tasks
from poplardrum.peers import messages


class TaskRequest(typing.NamedTuple):
    """Request of a coordinator about one of its tasks.

    `granted_at` is when the oldest grant of the message was sent, in monotonic
    seconds of the worker. Only `QueryTasks` states it, and only to the
    incarnation of the worker that received the grants. Otherwise it is minus
    infinity, so that an unknown task always counts as possibly run.
    """

    coordinator: worker_tasks.CoordinatorRef
    task: ids.TaskId
    grant_number: int
    granted_at: float


def withdraw(
    worker_slots: slots.Slots, request: TaskRequest, now: float
) -> None:
    """Return a task to its coordinator if it has not started.

    A running task is left alone; its outcome is the reply. The reply for a
    task that is not here is that of `answer_not_held`.
    """
    task = worker_slots.tasks.get(request.task)
    if task is None:
        answer_not_held(worker_slots, request, errors.Code.cancelled, now)
    elif task.phase is worker_tasks.Phase.queued and _is_covered_grant(
        task, request
    ):
        worker_slots.refuse(task, errors.Code.cancelled, now)


def stop(worker_slots: slots.Slots, request: TaskRequest, now: float) -> None:
    """Stop a running task, or withdraw a queued one.

    A running task is stopped whatever its grant. The reply is its outcome, or
    a refusal if it has not been sent to the endpoint yet.
    """
    task = worker_slots.tasks.get(request.task)
    if task is None or task.phase is worker_tasks.Phase.queued:
        withdraw(worker_slots, request, now)
    elif task.phase is worker_tasks.Phase.running:
        task.phase = worker_tasks.Phase.stopping
        worker_slots.port.stop(task)


def query(worker_slots: slots.Slots, request: TaskRequest, now: float) -> None:
    """Reply whether a task that was granted before a link broke is here.

    It is, if it is queued or running.
    """
    task = worker_slots.tasks.get(request.task)
    if task is None:
        answer_not_held(worker_slots, request, errors.Code.link_lost, now)
        return
    worker_slots.port.send(
        request.coordinator, messages.TaskRunning([request.task])
    )


def answer_not_held(
    worker_slots: slots.Slots,
    request: TaskRequest,
    reason: errors.Code,
    now: float,
) -> None:
    """Reply for a task that is not at this worker, with a final answer.

    A task with an outcome in the history is answered with that outcome. An
    unknown task may have run if the history does not cover the time of its
    grant, which is always so for `Withdraw` and `StopTasks`. Any other task
    is refused with `reason`: one that was refused before, and an unknown one
    of `QueryTasks` whose grant the history covers. The refusal is recorded,
    so a `StopTasks` that follows the query is answered `cancelled`.
    """
    known = worker_slots.history.get(request.task)
    if known is not None and known.outcome is not None:
        done = messages.Done(request.task, known.outcome)
        worker_slots.port.send(request.coordinator, done)
        return
    if known is None and not worker_slots.history.covers(request.granted_at):
        unknown = messages.TaskOutcome(
            errors.Verdict.may_have_run,
            errors.Code.indeterminate,
        )
        worker_slots.port.send(
            request.coordinator, messages.Done(request.task, unknown)
        )
        return
    worker_slots.history.record_refusal(request.task, request.grant_number, now)
    worker_slots.port.send(
        request.coordinator,
        messages.NotStarted([request.task], reason, [request.grant_number]),
    )


def _is_covered_grant(
    task: worker_tasks.WorkerTask, request: TaskRequest
) -> bool:
    # A later grant of the task is not affected by an earlier request.
    return task.start.grant_number <= request.grant_number
