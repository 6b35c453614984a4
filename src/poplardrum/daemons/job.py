"""Running job of a coordinator: its tasks and its answer."""

import collections
import dataclasses
import typing

from poplardrum import errors, ids
from poplardrum.coordination import records
from poplardrum.peers import messages

# Target response time of a job relative to its ideal one; it orders jobs.
_TARGET_LATENCY_FACTOR: typing.Final = 2.0


@dataclasses.dataclass
class Grant:
    """Task that is granted to one worker; times are monotonic seconds.

    `lost_at` is set from the loss of the link to the worker until the worker
    has replied to the query.
    """

    task: ids.TaskId
    number: int
    worker: ids.MemberId
    incarnation: ids.Incarnation
    granted_at: float
    lost_at: float | None = None


@dataclasses.dataclass
class SentReservation:
    """Reservation sent to one worker; `unclaimed` tasks remain of it."""

    sent_at: float
    unclaimed: int


@dataclasses.dataclass
class Job:
    """Running job; times are monotonic seconds.

    `order` sorts jobs of equal urgency: the start plus a multiple of the
    ideal response time. `end_reason` is the reason why no further task is
    granted.
    """

    id: ids.JobId
    submission: messages.SubmitJob
    started_at: float
    deadline: float
    expected_s: list[float]
    order: float = 0
    waiting: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque,
    )
    granted: dict[int, Grant] = dataclasses.field(default_factory=dict)
    outcomes: dict[int, messages.TaskOutcome] = dataclasses.field(
        default_factory=dict,
    )
    refusals: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    end_reason: errors.Code | None = None
    reservations: dict[ids.MemberId, SentReservation] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def key(self) -> records.RecordKey:
        """Return the key of the job's record."""
        return (self.submission.tenant, self.submission.key)

    @property
    def is_complete(self) -> bool:
        """Return whether every task has an outcome."""
        return len(self.outcomes) == len(self.submission.tasks)

    @property
    def rank(self) -> tuple[int, float]:
        """Return the sort key of the job; the lowest one goes first."""
        return (self.submission.urgency, self.order)

    def end_waiting(self, code: errors.Code) -> None:
        """Record for every waiting task that it has not run."""
        for position in self.waiting:
            self.outcomes[position] = not_run(code)
        self.waiting.clear()


def create(
    job_id: ids.JobId,
    item: messages.SubmitJob,
    now: float,
    age: float,
    expected_s: list[float],
) -> Job:
    """Return a job whose frame was sent `age` seconds ago.

    Tasks are ordered by `expected_s`, their expected times, the longest first, so that no
    long task starts last. The longest task's time is the ideal response time
    of the job on an idle fleet.
    """
    positions = sorted(
        range(len(expected_s)),
        key=expected_s.__getitem__,
        reverse=True,
    )
    return Job(
        id=job_id,
        submission=item,
        started_at=now - age,
        deadline=now - age + item.deadline_ms / 1000,
        order=now - age + _TARGET_LATENCY_FACTOR * max(expected_s),
        expected_s=expected_s,
        waiting=collections.deque(positions),
    )


def not_run(code: errors.Code) -> messages.TaskOutcome:
    """Return the outcome of a task that never started."""
    return messages.TaskOutcome(errors.Verdict.not_run, code)


def may_have_run(grant: Grant, code: errors.Code) -> messages.TaskOutcome:
    """Return the outcome of a granted task whose end is unknown."""
    return messages.TaskOutcome(
        errors.Verdict.may_have_run,
        code,
        worker=grant.worker,
    )


def build_answer(job: Job) -> messages.Answer:
    """Return the answer of a job from the outcomes of its tasks."""
    tasks = [job.outcomes[index] for index in range(len(job.outcomes))]
    verdicts = {task.verdict for task in tasks}
    failed = [task for task in tasks if task.code is not errors.Code.ok]
    verdict = errors.Verdict.ran
    if verdicts == {errors.Verdict.not_run}:
        verdict = errors.Verdict.not_run
    elif errors.Verdict.may_have_run in verdicts:
        verdict = errors.Verdict.may_have_run
    code = failed[0].code if failed else errors.Code.ok
    message = f'{len(failed)} of {len(tasks)} tasks failed' if failed else ''
    return messages.Answer(job.id, code, verdict, message, tasks=tasks)
