"""Grants of a coordinator: which task is at which worker, without I/O.

A task leaves `waiting` with a numbered grant. It is requeued only when the
holder of that grant guarantees that it has not started and never will on that
grant.
"""

import itertools
import typing

from poplardrum import errors, ids
from poplardrum.daemons import job as jobs
from poplardrum.peers import frames, messages

# Equal to the lease: a worker that is lost for longer starts no task any more.
LOST_WORKER_TIMEOUT_S: typing.Final = 10.0
# Lead before a deadline at which queued tasks are withdrawn, so that the
# answer can report that they have not run.
_MAX_WITHDRAWAL_LEAD_S: typing.Final = 0.1
_WITHDRAWAL_LEAD_FRACTION: typing.Final = 0.1

GrantsByWorker = dict[ids.MemberId, list[jobs.Grant]]


class Port(typing.Protocol):
    """Operations that the grants need from their process."""

    def send(self, worker: ids.MemberId, item: frames.AnyItem) -> bool:
        """Send to a worker; return `False` if its link is down."""

    def finished(self, job: jobs.Job) -> None:
        """Handle a job whose tasks all have an outcome."""


class Target(typing.NamedTuple):
    """Task to grant, its worker, the lease and the claim, if any."""

    position: int
    worker: ids.MemberId
    incarnation: ids.Incarnation
    lease_ms: float
    claim_number: int = 0
    queue_timeout_ms: float = 0


class Grants:
    """Running jobs of one coordinator and the grants of their tasks."""

    def __init__(
        self,
        port: Port,
        member: ids.MemberId,
        incarnation: ids.Incarnation,
    ) -> None:
        """Create the tables without jobs."""
        self.port = port
        self.member = member
        self.incarnation = incarnation
        self.grant_numbers = itertools.count(1)
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        self.by_worker: dict[ids.MemberId, dict[ids.TaskId, jobs.Grant]] = {}

    def grant(self, job: jobs.Job, target: Target, now: float) -> bool:
        """Grant a waiting task; return `False` if it was not sent."""
        position = target.position
        grant = jobs.Grant(
            task=ids.TaskId(job.id, position),
            number=next(self.grant_numbers),
            worker=target.worker,
            incarnation=target.incarnation,
            granted_at=now,
        )
        item = self.build_start(job, grant, target, now)
        if not self.port.send(target.worker, item):
            return False
        job.waiting.remove(position)
        job.granted[position] = grant
        self.by_worker.setdefault(target.worker, {})[grant.task] = grant
        return True

    def build_start(
        self,
        job: jobs.Job,
        grant: jobs.Grant,
        target: Target,
        now: float,
    ) -> messages.Start:
        """Build the message of one grant."""
        item = job.submission
        return messages.Start(
            task=grant.task,
            coordinator=self.member,
            incarnation=self.incarnation,
            tenant=item.tenant,
            urgency=item.urgency,
            order=job.order - now,
            lease_ms=target.lease_ms,
            deadline_ms=(job.deadline - now) * 1000,
            spec=item.tasks[grant.task.position],
            grant_number=grant.number,
            claim_number=target.claim_number,
            queue_timeout_ms=target.queue_timeout_ms,
        )

    def count_recent(self, worker: ids.MemberId, since: float) -> int:
        """Return the number of grants to a worker after `since`."""
        return sum(
            grant.granted_at > since
            for grant in self.by_worker.get(worker, {}).values()
        )

    def task_completed(
        self,
        worker: ids.MemberId,
        task: ids.TaskId,
        outcome: messages.TaskOutcome,
    ) -> None:
        """Record a reported outcome; a repeated report has no effect."""
        grant = self.by_worker.get(worker, {}).get(task)
        if grant is not None:
            self.record_outcome(grant, outcome)

    def not_started(
        self,
        worker: ids.MemberId,
        item: messages.NotStarted,
    ) -> None:
        """Requeue tasks that have not started and never will on their grants.

        A report about an earlier grant of a task has no effect.
        """
        for task, number in zip(item.tasks, item.grant_numbers, strict=True):
            grant = self.by_worker.get(worker, {}).get(task)
            if grant is not None and grant.number == number:
                self.requeue(grant, item.reason)

    def requeue(self, grant: jobs.Grant, reason: errors.Code) -> None:
        """Make a refused task wait again, or end it if its job is ending."""
        job = self.jobs[grant.task.job]
        if job.end_reason is not None:
            self.record_outcome(grant, jobs.not_run(job.end_reason))
            return
        self.remove_grant(grant)
        job.refusals[grant.task.position] += 1
        job.waiting.appendleft(grant.task.position)

    def tasks_running(
        self,
        worker: ids.MemberId,
        tasks: typing.Iterable[ids.TaskId],
    ) -> None:
        """Record that tasks are still queued or running at the worker."""
        for task in tasks:
            grant = self.by_worker.get(worker, {}).get(task)
            if grant is not None:
                grant.lost_at = None

    def cancel(self, job_id: ids.JobId) -> None:
        """Cancel a job: waiting tasks at once, granted ones at their worker.

        A job that has ended or was cancelled is not changed.
        """
        job = self.jobs.get(job_id)
        if job is None or job.end_reason is errors.Code.cancelled:
            return
        job.end_reason = errors.Code.cancelled
        job.end_waiting(errors.Code.cancelled)
        self.stop(list(job.granted.values()))
        self.finish_if_complete(job)

    def stop_granting(self, job: jobs.Job) -> None:
        """Grant no more tasks of a job; withdraw those not yet started."""
        job.end_reason = errors.Code.deadline
        self.withdraw(job.granted.values())
        job.end_waiting(errors.Code.deadline)
        self.finish_if_complete(job)

    def expire(self, job: jobs.Job) -> None:
        """End a job at its deadline with what is known of its tasks."""
        granted = list(job.granted.values())
        job.end_waiting(job.end_reason or errors.Code.deadline)
        self.stop(granted)
        for grant in granted:
            self.record_outcome(
                grant, jobs.may_have_run(grant, errors.Code.deadline)
            )
        self.finish_if_complete(job)

    def stop(self, granted: typing.Iterable[jobs.Grant]) -> None:
        """Send requests to stop tasks, queued or running."""
        for worker, worker_grants in _by_worker(granted).items():
            self.port.send(
                worker,
                messages.StopTasks(
                    _tasks(worker_grants), _numbers(worker_grants)
                ),
            )

    def withdraw(self, granted: typing.Iterable[jobs.Grant]) -> None:
        """Send requests to return tasks that are still queued."""
        for worker, worker_grants in _by_worker(granted).items():
            self.port.send(
                worker,
                messages.Withdraw(
                    _tasks(worker_grants), _numbers(worker_grants)
                ),
            )

    def worker_lost(self, worker: ids.MemberId, now: float) -> None:
        """Mark the grants of a worker as lost while its link is down."""
        for grant in self.by_worker.get(worker, {}).values():
            if grant.lost_at is None:
                grant.lost_at = now

    def worker_reconnected(
        self,
        worker: ids.MemberId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> None:
        """Query a reconnected worker for the tasks granted to it before.

        A new incarnation does not know them, so they may have run. Tasks of
        cancelled jobs are stopped, since an earlier request may be lost.
        """
        current: list[jobs.Grant] = []
        for grant in list(self.by_worker.get(worker, {}).values()):
            if grant.incarnation == incarnation:
                current.append(grant)
            else:
                self.record_outcome(
                    grant,
                    jobs.may_have_run(grant, errors.Code.link_lost),
                )
        if current:
            self.port.send(worker, _build_query(current, incarnation, now))
        # Sent after the query, on which the worker refuses for good every
        # task that never arrived.
        self.stop(grant for grant in current if self.is_cancelled(grant))

    def is_cancelled(self, grant: jobs.Grant) -> bool:
        """Return whether the job of a grant was cancelled."""
        return self.jobs[grant.task.job].end_reason is errors.Code.cancelled

    def enforce_timeouts(self, now: float) -> None:
        """End lost grants and jobs whose time has run out."""
        for grant in self.lost_grants(now - LOST_WORKER_TIMEOUT_S):
            self.record_outcome(
                grant, jobs.may_have_run(grant, errors.Code.link_lost)
            )
        for job in list(self.jobs.values()):
            if job.deadline <= now:
                self.expire(job)
            elif job.end_reason is None and withdrawal_time(job) <= now:
                self.stop_granting(job)

    def lost_grants(self, since: float) -> list[jobs.Grant]:
        """Return the grants that were lost before `since`."""
        return [
            grant
            for worker_grants in self.by_worker.values()
            for grant in worker_grants.values()
            if grant.lost_at is not None and grant.lost_at < since
        ]

    def record_outcome(
        self,
        grant: jobs.Grant,
        outcome: messages.TaskOutcome,
    ) -> None:
        """Record the outcome of a granted task."""
        job = self.jobs[grant.task.job]
        self.remove_grant(grant)
        job.outcomes[grant.task.position] = outcome
        self.finish_if_complete(job)

    def remove_grant(self, grant: jobs.Grant) -> None:
        """Remove a grant from both tables."""
        self.jobs[grant.task.job].granted.pop(grant.task.position)
        worker_grants = self.by_worker[grant.worker]
        worker_grants.pop(grant.task)
        if not worker_grants:
            self.by_worker.pop(grant.worker)

    def finish_if_complete(self, job: jobs.Job) -> None:
        """Report a job as finished once every task has an outcome."""
        if job.is_complete and job.id in self.jobs:
            self.jobs.pop(job.id)
            self.port.finished(job)


def withdrawal_time(job: jobs.Job) -> float:
    """Return the time at which queued tasks of a job are withdrawn."""
    time_allowed = job.deadline - job.started_at
    return job.deadline - min(
        _MAX_WITHDRAWAL_LEAD_S, _WITHDRAWAL_LEAD_FRACTION * time_allowed
    )


def _build_query(
    granted: list[jobs.Grant],
    incarnation: ids.Incarnation,
    now: float,
) -> messages.QueryTasks:
    oldest = min(grant.granted_at for grant in granted)
    return messages.QueryTasks(
        _tasks(granted),
        incarnation,
        _numbers(granted),
        (now - oldest) * 1000,
    )


def _by_worker(granted: typing.Iterable[jobs.Grant]) -> GrantsByWorker:
    by_worker: GrantsByWorker = {}
    for grant in granted:
        by_worker.setdefault(grant.worker, []).append(grant)
    return by_worker


def _tasks(granted: typing.Iterable[jobs.Grant]) -> list[ids.TaskId]:
    return [grant.task for grant in granted]


def _numbers(granted: typing.Iterable[jobs.Grant]) -> list[int]:
    return [grant.number for grant in granted]
