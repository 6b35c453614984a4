"""What an entry does about tasks that crash endpoints."""

import asyncio
import logging
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import crash_suspects, fleet, jobs, messages

logger = logging.getLogger(__name__)


class CrashHandler:
    """Apply the notices of agents; give up jobs whose tasks crash endpoints."""

    def __init__(
        self,
        jobs_by_id: typing.Mapping[ids.JobId, jobs.Job],
    ) -> None:
        """Handle the jobs of a coordinator, without suspects."""
        self.jobs = jobs_by_id
        self.suspects = crash_suspects.CrashSuspects()

    def handle(self, agent: fleet.Agent, notice: messages.CrashNotice) -> None:
        """Apply a notice, and store crashes of stored jobs."""
        now = asyncio.get_running_loop().time()
        crash, tasks = self.suspects.apply(agent.node, notice, now)
        for task in tasks:
            job = self.jobs.get(task.job)
            if job is None or job.owner is None:
                continue
            if 0 <= task.position < len(job.tasks):
                job.owner.record_crash(job, task.position, crash)
        for task in (*tasks, *notice.bystanders):
            job = self.jobs.get(task.job)
            if job is not None:
                self.give_up_if_guilty(job)

    def give_up_if_guilty(self, job: jobs.Job) -> None:
        """End a job as failed if a task has crashed too many endpoints."""
        task = self.suspects.guilty_task(job.id)
        if task is None or job.outcome.done():
            return
        log_events.emit(
            logger,
            'job given up: a task crashes endpoints',
            job=job.id,
            level=logging.WARNING,
            task=task,
            crashes=self.suspects.crashes(ids.TaskId(job.id, task)),
        )
        job.resolve(jobs.JobOutcome.failed)
