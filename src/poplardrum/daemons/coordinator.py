"""The coordinator of an agent: places the tasks of running jobs."""

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
# Lease for policies that queue tasks at workers, where they wait for longer.
_QUEUE_LEASE_MS: typing.Final = 30_000
_POLL_INTERVAL_S: typing.Final = 0.05
# A worker without a free slot, contrary to the estimate, returns the task
# after this time; the task then gets the first slot that is free anywhere.
_QUEUE_TIMEOUT_MS: typing.Final = 250


class Coordinator:
    """Run jobs from their submission to their answer."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Create a coordinator without jobs."""
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

        `age` is the time in seconds since its frame was sent.
        """
        now = time.monotonic()
        expected_s = self.workers.expected_times(item)
        job = jobs.create(job_id, item, now, age, expected_s)
        self.jobs[job.id] = job
        self.job_added.set()
        self.place(job, now)
        return job

    async def watch(self) -> None:
        """End jobs at their deadlines and place tasks that were returned."""
        while True:
            await self.job_added.wait()
            self.job_added.clear()
            while self.jobs:
                now = time.monotonic()
                self.grants.enforce_timeouts(now)
                self.place_all(now)
                await asyncio.sleep(self.poll_delay_s(now))

    def poll_delay_s(self, now: float) -> float:
        """Return the seconds until the next deadline or poll."""
        times = [job.deadline - now for job in self.jobs.values()]
        times += [
            grants.withdrawal_time(job) - now for job in self.jobs.values()
        ]
        upcoming = [time_left for time_left in times if time_left > 0]
        return min([_POLL_INTERVAL_S, *upcoming])

    def place_all(self, now: float) -> None:
        """Place the waiting tasks of all jobs, the most urgent jobs first."""
        waiting = [job for job in self.jobs.values() if job.waiting]
        for job in sorted(waiting, key=_rank):
            self.place(job, now)

    def place(self, job: jobs.Job, now: float) -> None:
        """Grant waiting tasks of a job by the policy.

        With late binding, a single task may be granted to the own worker
        without the policy, and the tasks that still wait are reserved.
        """
        policy = self.policy()
        candidates = self.workers.candidates(job, now)
        tasks = [
            placement.Task(position, job.expected_s[position])
            for position in job.waiting
        ]
        late_binding = policy == placement.LateBinding()
        placements = (
            self.workers.place_locally(tasks, candidates)
            if late_binding
            else None
        )
        if placements is None:
            placements = placement.place(
                policy,
                tasks,
                candidates,
                self.process.random,
            ).grants
        for grant in placements:
            self.grant(job, grant.index, grant.worker, now)
        if not job.waiting:
            self.reservations.mark_unused(job)
        elif late_binding:
            new_reservations = self.reservations.extend(job, candidates, now)
            for worker, item in new_reservations:
                self.send(worker, item)

    def policy(self) -> placement.Policy:
        """Return the placement policy that the rules select."""
        rule = self.process.configuration.rules.placement
        return placement.POLICIES[rule.policy]

    def grant(
        self,
        job: jobs.Job,
        position: int,
        worker: ids.MemberId,
        now: float,
        claim_number: int = 0,
    ) -> bool:
        """Grant a waiting task; return `False` if it was not sent."""
        link = self.process.worker_link(worker)
        if link is None:
            return False
        late_binding = self.policy() == placement.LateBinding()
        target = grants.Target(
            position,
            worker,
            link.member.incarnation,
            _LEASE_MS if late_binding else _QUEUE_LEASE_MS,
            claim_number,
            _QUEUE_TIMEOUT_MS if late_binding else 0,
        )
        return self.grants.grant(job, target, now)

    def answer_claim(self, item: messages.Claim, link: links.Link) -> None:
        """Reply to a claim with a task or with `NoTask`.

        The task may be of another job than the claim. `NoTask` is sent if no
        task waits, the worker is ejected and no probe is due, or the grant
        could not be sent.
        """
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
        """Send an item to a worker, preceded by pending releases."""
        link = self.process.worker_link(worker)
        if link is None:
            return False
        release = self.reservations.pop_release(worker)
        if release is not None:
            link.send(release)
        return link.send(item)

    def finished(self, job: jobs.Job) -> None:
        """Store the answer of a job in its record."""
        self.reservations.mark_unused(job)
        self.process.submissions.finished(job.key, jobs.build_answer(job))

    def cancel(self, job_id: ids.JobId) -> None:
        """Cancel a job; one that has ended is not changed."""
        self.grants.cancel(job_id)

    def worker_lost(self, worker: ids.MemberId) -> None:
        """Record that the link to a worker has closed."""
        self.grants.worker_lost(worker, time.monotonic())
        self.reservations.worker_lost(worker, self.jobs.values())

    def worker_reconnected(self, member: messages.Member) -> None:
        """Query a worker that has reconnected for the tasks granted to it."""
        self.grants.worker_reconnected(
            member.id,
            member.incarnation,
            time.monotonic(),
        )

    def task_completed(self, worker: ids.MemberId, item: messages.Done) -> None:
        """Record the outcome of a task and update the estimates."""
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
        """Requeue refused tasks and place those refused for the first time."""
        self.grants.not_started(worker, item)
        now = time.monotonic()
        returned = {task.job for task in item.tasks}
        for job_id in returned:
            job = self.jobs.get(job_id)
            # A task that is refused again waits for the next poll, so that a
            # worker that refuses every task does not cause a busy loop.
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
