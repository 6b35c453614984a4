"""The coordinator side of an agent: the tasks of running jobs."""

import asyncio
import dataclasses
import logging
import time
import typing

from poplardrum import errors, ids
from poplardrum.coordination import records
from poplardrum.peers import dispatch, links, messages
from poplardrum.scheduling import placement

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

_LEASE_MS: typing.Final = 10_000
_RETRY_SECONDS: typing.Final = 0.05


@dataclasses.dataclass
class Job:
    """One running job; `deadline` is in monotonic seconds."""

    id: ids.JobId
    submit: messages.SubmitJob
    deadline: float
    waiting: list[int] = dataclasses.field(default_factory=list)
    granted: dict[int, ids.MemberId] = dataclasses.field(default_factory=dict)
    outcomes: dict[int, messages.TaskOutcome] = dataclasses.field(
        default_factory=dict,
    )
    cancelled: bool = False

    @property
    def key(self) -> records.RecordKey:
        """Return the key of the job's record."""
        return (self.submit.tenant, self.submit.key)


class Coordinator:
    """Own jobs from their submission to their answer."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without jobs."""
        self.process = process
        self.jobs: dict[ids.JobId, Job] = {}

    def start(
        self,
        job_id: ids.JobId,
        item: messages.SubmitJob,
        age: float,
    ) -> Job:
        """Start a job whose record was just added.

        `age` is the time in seconds that its frame has waited.
        """
        job = Job(
            id=job_id,
            submit=item,
            deadline=time.monotonic() + item.deadline_ms / 1000 - age,
            waiting=list(range(len(item.tasks))),
        )
        self.jobs[job.id] = job
        self.process.spawn(self.watch(job), f'job {job.id}')
        self.place(job)
        return job

    async def watch(self, job: Job) -> None:
        """End a job at its deadline; place tasks again that came back."""
        while job.id in self.jobs:
            left = job.deadline - time.monotonic()
            if left <= 0:
                self.expire(job)
                return
            await asyncio.sleep(min(left, _RETRY_SECONDS))
            if job.waiting:
                self.place(job)

    def place(self, job: Job) -> None:
        """Grant waiting tasks to workers."""
        candidates = self.candidates(job)
        for index in list(job.waiting):
            chosen = placement.random_two(candidates, self.process.random)
            link = self.process.worker_link(chosen.worker) if chosen else None
            if chosen is None or link is None:
                return
            job.waiting.remove(index)
            job.granted[index] = chosen.worker
            link.send(self.grant(job, index))

    def candidates(self, job: Job) -> list[placement.Candidate]:
        """Return the workers that new tasks may go to."""
        hints = {hint.worker: hint.load for hint in job.submit.hints}
        found = []
        for member in self.process.ready_agents():
            link = self.process.worker_link(member.id)
            load = (link.load if link else None) or hints.get(member.id)
            if link and load:
                found.append(
                    placement.Candidate(
                        member.id,
                        load.slots,
                        load.free,
                        load.queued,
                        load.speed,
                    ),
                )
        return found

    def grant(self, job: Job, index: int) -> messages.Start:
        """Build the grant of one task."""
        item = job.submit
        return messages.Start(
            task=ids.TaskId(job.id, index),
            coordinator=self.process.member.id,
            incarnation=self.process.member.incarnation,
            tenant=item.tenant,
            urgency=item.urgency,
            order=job.deadline,
            lease_ms=_LEASE_MS,
            deadline_ms=(job.deadline - time.monotonic()) * 1000,
            spec=item.tasks[index],
        )

    def done(
        self,
        task: ids.TaskId,
        outcome: messages.TaskOutcome,
    ) -> None:
        """Take the end of a task; a second report changes nothing."""
        job = self.jobs.get(task.job)
        if job is None or job.granted.pop(task.position, None) is None:
            return
        job.outcomes[task.position] = outcome
        self.finish_if_complete(job)

    def not_started(self, task: ids.TaskId, reason: errors.Code) -> None:
        """Take back a task that has not started and never will there."""
        job = self.jobs.get(task.job)
        if job is None or job.granted.pop(task.position, None) is None:
            return
        if job.cancelled:
            job.outcomes[task.position] = _outcome(
                errors.Verdict.not_run,
                errors.Code.cancelled,
            )
            self.finish_if_complete(job)
            return
        job.waiting.append(task.position)

    def cancel(self, job_id: ids.JobId) -> None:
        """Stop a job: waiting tasks at once, granted ones at their worker.

        A job that has ended stays as it is.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.cancelled = True
        for index in job.waiting:
            job.outcomes[index] = _outcome(
                errors.Verdict.not_run,
                errors.Code.cancelled,
            )
        job.waiting.clear()
        by_worker: dict[ids.MemberId, list[ids.TaskId]] = {}
        for index, worker in job.granted.items():
            by_worker.setdefault(worker, []).append(ids.TaskId(job.id, index))
        for worker, tasks in by_worker.items():
            link = self.process.worker_link(worker)
            if link:
                link.send(messages.StopTasks(tasks))
        self.finish_if_complete(job)

    def expire(self, job: Job) -> None:
        """End a job at its deadline with what is known of its tasks."""
        granted = list(job.granted)
        self.cancel(job.id)
        if job.id not in self.jobs:
            return
        for index in granted:
            job.outcomes[index] = _outcome(
                errors.Verdict.may_have_run,
                errors.Code.deadline,
            )
        job.granted.clear()
        self.finish_if_complete(job)

    def worker_lost(self, worker: ids.MemberId) -> None:
        """End the tasks granted to a worker whose link has broken."""
        for job in list(self.jobs.values()):
            lost = [
                index
                for index, holder in job.granted.items()
                if holder == worker
            ]
            for index in lost:
                self.done(
                    ids.TaskId(job.id, index),
                    _outcome(
                        errors.Verdict.may_have_run,
                        errors.Code.link_lost,
                    ),
                )

    def finish_if_complete(self, job: Job) -> None:
        """Answer and keep the record once every task has an outcome."""
        if len(job.outcomes) < len(job.submit.tasks):
            return
        self.jobs.pop(job.id)
        self.process.submissions.finished(job.key, build_answer(job))


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


def _outcome(
    verdict: errors.Verdict,
    code: errors.Code,
) -> messages.TaskOutcome:
    return messages.TaskOutcome(verdict, code)


@dispatch.receive.register(messages.Done)
def _done(
    item: messages.Done,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.coordinator.done(item.task, item.outcome)


@dispatch.receive.register(messages.NotStarted)
def _not_started(
    item: messages.NotStarted,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    for task in item.tasks:
        process.coordinator.not_started(task, item.reason)
