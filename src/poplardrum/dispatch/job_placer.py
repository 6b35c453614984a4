"""Placement of the waiting tasks of all jobs of an entry."""

import asyncio
import logging
import math

from poplardrum import ids, log_events
from poplardrum.dispatch import (
    clocks,
    continuity,
    crash_suspects,
    fleet,
    jobs,
    messages,
    placement,
    queue_order,
    room_index,
    timing,
)

logger = logging.getLogger(__name__)


class JobPlacer:
    """Send waiting tasks to agents, the most urgent jobs first.

    Whatever may let a task start calls `schedule`; the pass then runs once in
    the next iteration of the event loop.
    """

    def __init__(
        self,
        index: room_index.RoomIndex,
        far_factor: float,
        process_continuity: continuity.Continuity,
        suspects: crash_suspects.CrashSuspects,
        *,
        has_short_room: bool,
    ) -> None:
        """Place tasks on the agents of an index.

        Tasks take `far_factor` times as long outside the rack of their data.
        """
        self.index = index
        self.order = queue_order.order_for(has_short_room=has_short_room)
        self.continuity = process_continuity
        self.suspects = suspects
        # Until then no other suspected task starts.
        self.next_suspect_at = 0.0
        self.wakes_at = 0.0
        self.far_factor = far_factor
        # Jobs that may have tasks to place.
        self.pending_jobs: dict[ids.JobId, jobs.Job] = {}
        self.is_scheduled = False

    def add(self, job: jobs.Job) -> None:
        """Look at a job in the next pass."""
        self.pending_jobs[job.id] = job

    def remove(self, job: jobs.Job) -> None:
        """Place no more tasks of a job."""
        self.pending_jobs.pop(job.id, None)

    def schedule(self) -> None:
        """Place waiting tasks in the next iteration of the event loop."""
        if self.pending_jobs and not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_pending)

    def _place_pending(self) -> None:
        if self.continuity.has_just_resumed(clocks.now()):
            # Callers may have gone during the pause; their jobs end first.
            asyncio.get_running_loop().call_later(
                timing.CALLER_CHECK_S, self._place_pending
            )
            return
        self.is_scheduled = False
        # Tasks of a job with an outcome are not started: a job that is refused
        # as not run must not start before the refusal is sent.
        waiting = [
            job
            for job in self.pending_jobs.values()
            if not job.outcome.done() and job.ready_tasks()
        ]
        self.pending_jobs = {job.id: job for job in waiting}
        allowed = [
            job
            for job in waiting
            if job.min_cpu() <= self.index.max_free_cpu(job.service)
            and (job.owner is None or job.owner.may_start(job))
        ]
        if not allowed:
            return
        now = asyncio.get_running_loop().time()
        min_slowness = self.index.min_slowness()
        self.order.sort(allowed, now, min_slowness)
        for job in allowed:
            # A job that waits for a fast endpoint does not block the others.
            if self._place_job(job):
                self.pending_jobs.pop(job.id)
        suspected = [job for job in allowed if job.id in self.suspects.by_job]
        if suspected:
            self._place_suspect(suspected)

    def _place_job(self, job: jobs.Job) -> bool:
        """Place the tasks that fit; return whether all tasks are placed."""
        now = asyncio.get_running_loop().time()
        ready = job.ready_tasks()
        waiting = ready
        if job.id in self.suspects.by_job:
            waiting = [
                task for task in ready if not self._is_suspected(job, task, now)
            ]
        all_placed = len(waiting) == len(ready)
        for step in job.steps:
            tasks = [task for task in waiting if task.step is step]
            if tasks and not self._place_step(job, step, tasks):
                all_placed = False
        return all_placed

    def _place_suspect(self, suspected: list[jobs.Job]) -> None:
        """Start at most one suspected task, where it does the least harm.

        It goes to the least busy endpoint, which starts no other task just
        before and after it. The next one follows when a crash would have shown.
        """
        now = asyncio.get_running_loop().time()
        if now < self.next_suspect_at:
            return
        for job in suspected:
            for task in job.ready_tasks():
                if not self._is_suspected(job, task, now):
                    continue
                agent = self._agent_for_suspect(job, task, now)
                if agent is not None:
                    isolation = self.suspects.isolation(
                        ids.TaskId(job.id, task.index), now
                    )
                    self._start_tasks(job, agent, [task], isolation)
                    self.next_suspect_at = now + timing.CRASH_WINDOW_S
                    self._wake_at(self.next_suspect_at)
                    return

    def _is_suspected(self, job: jobs.Job, task: jobs.Task, now: float) -> bool:
        return self.suspects.is_suspected(ids.TaskId(job.id, task.index), now)

    def _agent_for_suspect(
        self, job: jobs.Job, task: jobs.Task, now: float
    ) -> fleet.Agent | None:
        """Return the least busy agent with room, `None` if the task must wait."""
        task_id = ids.TaskId(job.id, task.index)
        if not self.suspects.may_start(task_id, now):
            self._wake_at(self.suspects.next_expiry(task_id, now))
            return None
        request = placement.request_for(
            job, task.step, [task], self.far_factor, now
        )
        agents = [agent for agent, _ in placement.fitting(self.index, request)]
        preferred = [
            agent for agent in agents if agent.node not in request.avoided_nodes
        ]
        return max(
            preferred or agents,
            key=fleet.Agent.free_fraction,
            default=None,
        )

    def _wake_at(self, at: float) -> None:
        """Schedule a pass at a time, unless one is due before."""
        loop = asyncio.get_running_loop()
        is_later = loop.time() < self.wakes_at <= at
        if math.isfinite(at) and not is_later:
            self.wakes_at = at
            loop.call_at(at, self.schedule)

    def _place_step(
        self,
        job: jobs.Job,
        step: jobs.Step,
        tasks: list[jobs.Task],
    ) -> bool:
        now = asyncio.get_running_loop().time()
        request = placement.request_for(job, step, tasks, self.far_factor, now)
        placements = placement.choose_agents(self.index, request)
        for agent, count in placements:
            self._start_tasks(job, agent, tasks[:count])
            tasks = tasks[count:]
        return not tasks

    def _start_tasks(
        self,
        job: jobs.Job,
        agent: fleet.Agent,
        tasks: list[jobs.Task],
        isolation: messages.Isolation = messages.Isolation.none,
    ) -> None:
        if agent.link is None:
            return
        now = asyncio.get_running_loop().time()
        cores = tasks[0].step.need.cores() * len(tasks)
        self.order.record_start(job, cores, now)
        for task in tasks:
            task.place(job.id, agent, now)
        if not job.started:
            job.started_at = now
        job.last_placed_at = now
        job.started = True
        log_events.emit(
            logger,
            'tasks sent',
            job=job.id,
            agent=agent.node,
            tasks=[task.index for task in tasks],
            runs=[task.run_number for task in tasks],
            free_cpu=agent.free.cpu_millicores,
            slowness=agent.slowness,
            isolation=isolation.name,
        )
        step = tasks[0].step
        agent.reserve(step.need, len(tasks))
        agent.link.send(
            messages.StartTasks(
                job.id,
                job.specification,
                step.need,
                step.estimate,
                [task.run_id() for task in tasks],
                step.number,
                step.first,
                job.owner is not None,
                {
                    task.index: task.checkpoint
                    for task in tasks
                    if task.checkpoint
                },
                isolation,
            ),
        )
