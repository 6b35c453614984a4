"""Audit of the runs and jobs of an entry, so that no job stands still.

An entry counts a task as placed until its agent reports a completion or a
refusal. Should such a report be lost by any fault, nothing runs and nobody waits
for it. The audit asks agents about runs that were placed a while ago; an agent
that neither has such a run nor retains its completion refuses it, and the task is
placed again.

A link keeps the order of what it carries, and an agent serves the link to an entry
only after it has read all of the earlier one. So a run that it does not have when
it reads the question ended before, or was never received, and will not start.
"""

import asyncio
import logging
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import coordinator, fleet, jobs, messages

logger = logging.getLogger(__name__)

AUDIT_INTERVAL_S: typing.Final = 1.0
# Most runs are over by then, so that they cost no messages.
AUDIT_AFTER_S: typing.Final = 2.0
# Runs in one question; the others are asked about in the next round.
_MAX_RUNS_PER_QUESTION: typing.Final = 1000


class RunAudit:
    """Check what an entry believes of its jobs against agents and placement."""

    def __init__(self, job_coordinator: coordinator.Coordinator) -> None:
        """Audit the jobs of a coordinator."""
        self.coordinator = job_coordinator
        # Jobs with tasks to start that were in no queue at the last check. A
        # task whose start was refused is queued again a moment later.
        self.unqueued: set[ids.JobId] = set()

    async def run(self) -> None:
        """Check all jobs at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(AUDIT_INTERVAL_S)
            self.check(asyncio.get_running_loop().time())

    def check(self, now: float) -> None:
        """Ask agents about older runs; queue what has been forgotten."""
        for agent in self.coordinator.agents.values():
            self._ask(agent, now)
        open_jobs = [
            job
            for job in self.coordinator.jobs.values()
            if not job.outcome.done()
        ]
        for job in open_jobs:
            self._release_orphans(job)
        unqueued = [job for job in open_jobs if self._is_unqueued(job)]
        for job in unqueued:
            if job.id in self.unqueued:
                self._queue(job)
        self.unqueued = {job.id for job in unqueued}
        self.coordinator.placer.schedule()

    def _ask(self, agent: fleet.Agent, now: float) -> None:
        if agent.link is None or not agent.placed:
            return
        runs = [
            (job.id, task.run_id())
            for job, task in jobs.tasks_at(self.coordinator.jobs, agent)
            if now - task.placed_at > AUDIT_AFTER_S
        ]
        if runs:
            agent.link.send(messages.CheckRuns(runs[:_MAX_RUNS_PER_QUESTION]))

    def _release_orphans(self, job: jobs.Job) -> None:
        for task in job.placed_tasks():
            if self._is_orphan(task):
                # An agent is removed only when none of its runs is active.
                task.leave_agent(job.id, jobs.Phase.waiting)

    def _is_unqueued(self, job: jobs.Job) -> bool:
        is_pending = job.id in self.coordinator.placer.pending_jobs
        return not is_pending and bool(job.ready_tasks())

    def _queue(self, job: jobs.Job) -> None:
        log_events.emit(
            logger,
            'waiting job was not queued',
            job=job.id,
            level=logging.WARNING,
        )
        self.coordinator.placer.add(job)

    def _is_orphan(self, task: jobs.Task) -> bool:
        """Return whether a task is placed at an agent that was removed."""
        agent = task.agent
        return (
            agent is None
            or self.coordinator.agents.get(agent.incarnation) is not agent
        )
