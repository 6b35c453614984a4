"""The coordinator side of an agent: the tasks of running jobs."""

import asyncio
import logging
import time
import typing

from poplardrum import ids
from poplardrum.daemons import grants, reservations, workers
from poplardrum.daemons import job as jobs
from poplardrum.peers import frames, handlers, links, messages
from poplardrum.scheduling import placement

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

_LEASE_MS: typing.Final = 10_000
# Policies that queue tasks at workers let them wait there for longer.
_QUEUE_LEASE_MS: typing.Final = 30_000
_POLL_INTERVAL_S: typing.Final = 0.05
# A worker believed to be free that is not gives the task back after this
# time; the task then takes the first slot that frees anywhere.
_QUEUE_TIMEOUT_MS: typing.Final = 250


class Coordinator:
    """Own jobs from their submission to their answer."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without jobs."""
        self.process = process
        self.grants = grants.Grants(
            self,
            process.member.id,
            process.member.incarnation,
        )
        self.jobs = self.grants.jobs
        self.workers = workers.Workers(process, self.grants)
        self.reservations = reservations.Reservations()
        self.job_added = asyncio.Event()

    def start_job(
        self,
        job_id: ids.JobId,
        item: messages.SubmitJob,
        age: float,
    ) -> jobs.Job:
        """Start a job whose record was just added.

        `age` is the time in seconds that its frame has waited.
        """
        now = time.monotonic()
        expected = self.workers.expected(item)
        job = jobs.create(job_id, item, now, age, expected)
        self.jobs[job.id] = job
        self.job_added.set()
        self.place(job, now)
        return job

    async def watch(self) -> None:
        """End jobs at their deadlines; place tasks that came back."""
        while True:
            await self.job_added.wait()
            self.job_added.clear()
            while self.jobs:
                now = time.monotonic()
                self.grants.enforce_timeouts(now)
                self.place_all(now)
                await asyncio.sleep(self.poll_delay_s(now))

    def poll_delay_s(self, now: float) -> float:
        """Return the seconds until the next deadline or round."""
        ends = [job.deadline - now for job in self.jobs.values()]
        ends += [
            grants.withdrawal_time(job) - now for job in self.jobs.values()
        ]
        ahead = [end for end in ends if end > 0]
        return min([_POLL_INTERVAL_S, *ahead])

    def place_all(self, now: float) -> None:
        """Place the waiting tasks of all jobs, the most urgent first."""
        waiting = [job for job in self.jobs.values() if job.waiting]
        for job in sorted(waiting, key=_rank):
            self.place(job, now)

    def place(self, job: jobs.Job, now: float) -> None:
        """Grant waiting tasks by the policy, reserve for the rest."""
        policy = self.policy()
        candidates = self.workers.candidates(job, now)
        tasks = [
            placement.Task(position, job.expected_s[position])
            for position in job.waiting
        ]
        is_late = policy == placement.LateBinding()
        chosen = (
            self.workers.place_locally(tasks, candidates) if is_late else None
        )
        if chosen is None:
            chosen = placement.place(
                policy,
                tasks,
                candidates,
                self.process.random,
            ).grants
        for grant in chosen:
            self.grant(job, grant.index, grant.worker, now)
        if not job.waiting:
            self.reservations.mark_unused(job)
        elif is_late:
            added = self.reservations.extend(job, candidates, now)
            for worker, item in added:
                self.send(worker, item)

    def policy(self) -> placement.Policy:
        """Return the policy that the rules choose."""
        rule = self.process.configuration.rules.placement
        return placement.POLICIES[rule.policy]

    def grant(
        self,
        job: jobs.Job,
        position: int,
        worker: ids.MemberId,
        now: float,
        claim: int = 0,
    ) -> bool:
        """Grant a waiting task; return `False` when not sent."""
        link = self.process.worker_link(worker)
        if link is None:
            return False
        late = self.policy() == placement.LateBinding()
        target = grants.Target(
            position,
            worker,
            link.member.incarnation,
            _LEASE_MS if late else _QUEUE_LEASE_MS,
            claim,
            _QUEUE_TIMEOUT_MS if late else 0,
        )
        return self.grants.grant(job, target, now)

    def answer_claim(self, item: messages.Claim, link: links.Link) -> None:
        """Answer a claim by a task, or say that none waits."""
        worker = link.member.id
        now = time.monotonic()
        reservations.count_claim(self.jobs.get(item.job), worker)
        job = reservations.best_waiting(self.jobs, item.tenant)
        if job and self.workers.may_serve_claim(worker, now):
            position = job.waiting[0]
            if self.grant(job, position, worker, now, item.number):
                if not job.waiting:
                    self.reservations.mark_unused(job)
                return
        self.process.metrics.wasted_messages.labels('no_task').inc(2)
        self.send(worker, messages.NoTask(item.job, item.number))

    def send(self, worker: ids.MemberId, item: frames.AnyItem) -> bool:
        """Send to a worker, together with releases that are due."""
        link = self.process.worker_link(worker)
        if link is None:
            return False
        release = self.reservations.pop_release(worker)
        if release is not None:
            link.send(release)
        return link.send(item)

    def finished(self, job: jobs.Job) -> None:
        """Keep the answer of a job in its record."""
        self.reservations.mark_unused(job)
        self.process.submissions.finished(job.key, jobs.build_answer(job))

    def cancel(self, job_id: ids.JobId) -> None:
        """Stop a job; one that has ended stays as it is."""
        self.grants.cancel(job_id)

    def worker_lost(self, worker: ids.MemberId) -> None:
        """Note that the link to a worker has broken."""
        self.grants.worker_lost(worker, time.monotonic())
        self.reservations.worker_lost(worker, self.jobs.values())

    def worker_reconnected(self, member: messages.Member) -> None:
        """Ask a worker whose link is up again after its tasks."""
        self.grants.worker_reconnected(
            member.id,
            member.incarnation,
            time.monotonic(),
        )

    def task_completed(self, worker: ids.MemberId, item: messages.Done) -> None:
        """Take the end of a task and learn from it."""
        job = self.jobs.get(item.task.job)
        if job and item.task.position in job.granted:
            spec = job.submission.tasks[item.task.position]
            self.workers.learn(
                worker, job.submission.tenant, spec, item.outcome
            )
        self.grants.task_completed(worker, item.task, item.outcome)

    def not_started(
        self,
        worker: ids.MemberId,
        item: messages.NotStarted,
    ) -> None:
        """Take refused tasks back and place those refused only once."""
        self.grants.not_started(worker, item)
        now = time.monotonic()
        given_back = {task.job for task in item.tasks}
        for job_id in given_back:
            job = self.jobs.get(job_id)
            # A task that is refused again waits for the next round, so that
            # a worker that refuses all it gets is not asked without pause.
            if job and job.waiting and job.refusals[job.waiting[0]] == 1:
                self.place(job, now)


def _rank(job: jobs.Job) -> tuple[int, float]:
    return job.rank


@handlers.receive.register(messages.Done)
def _done(
    item: messages.Done,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.coordinator.task_completed(link.member.id, item)


@handlers.receive.register(messages.NotStarted)
def _not_started(
    item: messages.NotStarted,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.coordinator.not_started(link.member.id, item)


@handlers.receive.register(messages.TaskRunning)
def _task_running(
    item: messages.TaskRunning,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.coordinator.grants.tasks_running(link.member.id, item.tasks)


@handlers.receive.register(messages.Claim)
def _claim(
    item: messages.Claim,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.coordinator.answer_claim(item, link)
