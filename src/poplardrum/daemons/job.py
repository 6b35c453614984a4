"""One running job of a coordinator: its tasks and its answer."""

import collections
import dataclasses
import typing

from poplardrum import errors, ids
from poplardrum.coordination import records
from poplardrum.peers import messages

# Allowed response time of a job relative to its ideal; it orders jobs.
_TARGET_LATENCY_FACTOR: typing.Final = 2.0


@dataclasses.dataclass
class Grant:
    """One task granted to one worker; times are monotonic seconds.

    `lost_at` is set while the link to the worker is broken and its answer
    to the query is outstanding.
    """

    task: ids.TaskId
    number: int
    worker: ids.MemberId
    incarnation: ids.Incarnation
    granted_at: float
    lost_at: float | None = None


@dataclasses.dataclass
class SentReservation:
    """A reservation at one worker: when it was sent, what is unclaimed."""

    sent_at: float
    unclaimed: int


@dataclasses.dataclass
class Job:
    """One running job; times are monotonic seconds.

    `order` sorts jobs of one tenant and urgency: the start plus the ideal
    time stretched by a factor. `ending` is the reason for which no further
    task is granted.
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
        """Tell whether every task has an outcome."""
        return len(self.outcomes) == len(self.submission.tasks)

    @property
    def rank(self) -> tuple[int, float]:
        """Return the sort key among jobs of one tenant."""
        return (self.submission.urgency, self.order)

    def end_waiting(self, code: errors.Code) -> None:
        """Give every waiting task the outcome that it has not run."""
        for position in self.waiting:
            self.outcomes[position] = not_run(code)
        self.waiting.clear()


def create(
    job_id: ids.JobId,
    item: messages.SubmitJob,
    now: float,
    age: float,
    expected: list[float],
) -> Job:
    """Return a job whose frame waited `age` seconds.

    Tasks with the longest `expected` seconds go first, so that no long task
    is started last. The longest is the ideal response time on an idle fleet.
    """
    positions = sorted(
        range(len(expected)),
        key=expected.__getitem__,
        reverse=True,
    )
    return Job(
        id=job_id,
        submission=item,
        started_at=now - age,
        deadline=now - age + item.deadline_ms / 1000,
        order=now - age + _TARGET_LATENCY_FACTOR * max(expected),
        expected_s=expected,
        waiting=collections.deque(positions),
    )


def not_run(code: errors.Code) -> messages.TaskOutcome:
    """Return the outcome of a task that never started."""
    return messages.TaskOutcome(errors.Verdict.not_run, code)


def may_have_run(grant: Grant, code: errors.Code) -> messages.TaskOutcome:
    """Return the outcome of a granted task whose end is not known."""
    return messages.TaskOutcome(
        errors.Verdict.may_have_run,
        code,
        worker=grant.worker,
    )


def build_answer(job: Job) -> messages.Answer:
    """Return the complete answer of a job, or its plain failure."""
    tasks = [job.outcomes[index] for index in range(len(job.outcomes))]
    verdicts = {task.verdict for task in tasks}
    bad = [task for task in tasks if task.code is not errors.Code.ok]
    verdict = errors.Verdict.ran
    if verdicts == {errors.Verdict.not_run}:
        verdict = errors.Verdict.not_run
    elif errors.Verdict.may_have_run in verdicts:
        verdict = errors.Verdict.may_have_run
    code = bad[0].code if bad else errors.Code.ok
    message = f'{len(bad)} of {len(tasks)} tasks failed' if bad else ''
    return messages.Answer(job.id, code, verdict, message, tasks=tasks)
