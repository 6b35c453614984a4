"""Which completions of stored jobs count, and which were overtaken.

A task may start again while a completion of an earlier run is not known: its
agent cannot be reached. If that run was done, the task has been started after
it was done. An endpoint must not drop such a completion as if it had been
recorded, whenever and at whichever entry it arrives.
"""

import enum

from poplardrum.dispatch import messages, records


class Verdict(enum.Enum):
    """What becomes of a completion.

    It `counts`; it is `settled`, so that its endpoint may drop it once the
    record is stored; or it was `overtaken` by a later run.
    """

    counts = 'counts'
    settled = 'settled'
    overtaken = 'overtaken'


def judge(
    record: records.Record,
    run: messages.RunId,
    outcome: messages.Outcome,
    latest_start: int = 0,
) -> Verdict:
    """Return the verdict on the completion of a run that is done or failed.

    `latest_start` is the number of the latest run of the task that the owner
    of the record may have started, 0 if there is none or the job is over.
    """
    if record.has_completion(run):
        return Verdict.settled
    if outcome is messages.Outcome.done:
        verdict = _judge_done(record, run, latest_start)
    else:
        verdict = _judge_failed(record, run, latest_start)
    if record.is_over() and verdict is Verdict.counts:
        return Verdict.settled
    return verdict


def _judge_done(
    record: records.Record, run: messages.RunId, latest_start: int
) -> Verdict:
    if run.task_index in record.done_tasks:
        # Records of the previous version do not name the run that was done.
        is_named = run.task_index in record.done_runs
        return Verdict.overtaken if is_named else Verdict.settled
    if _is_overtaken(record, run, latest_start):
        return Verdict.overtaken
    return Verdict.counts


def _judge_failed(
    record: records.Record, run: messages.RunId, latest_start: int
) -> Verdict:
    """Return the verdict on a failure, which has used up an attempt.

    One that would have been the last attempt does not count if the task was
    started again, since no task is started after its last attempt.
    """
    failures = record.failure_counts.get(run.task_index, 0) + 1
    if failures >= record.max_attempts and _is_overtaken(
        record, run, latest_start
    ):
        return Verdict.overtaken
    if run.task_index in record.done_tasks:
        return Verdict.settled
    return Verdict.counts


def _is_overtaken(
    record: records.Record, run: messages.RunId, latest_start: int
) -> bool:
    """Return whether a later run of the task may have started."""
    done_run = record.done_runs.get(run.task_index, 0)
    if run.number < max(latest_start, done_run):
        return True
    given_up = record.given_up_runs.get(run.task_index, 0)
    epoch = run.number // records.RUNS_PER_OWNER
    if epoch == record.epoch:
        return record.is_over() and run.number <= given_up
    # Owners that came in between may have started the task, and so may the last
    # one of a job that is over.
    is_of_previous_owner = epoch == record.epoch - 1
    return (
        record.is_over() or not is_of_previous_owner or run.number <= given_up
    )
