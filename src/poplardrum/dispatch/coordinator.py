"""Placement and tracking of the jobs that an entry has accepted."""

import asyncio
import logging
import random
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    fleet,
    jobs,
    messages,
    moves,
    placement,
    room_index,
    timing,
)

logger = logging.getLogger(__name__)

# An earlier run of the task is being stopped.
_CONFLICT_RETRY_DELAY_S: typing.Final = 0.02
# Upper bound of the random `Retry-After` of refused jobs, which spreads their
# retries.
_MAX_RETRY_AFTER_S: typing.Final = 3.0
# Lower bound of a reported slowness, by which durations are divided.
_MIN_SLOWNESS: typing.Final = 0.05


class Coordinator:
    """Place the tasks of all jobs that this entry has accepted."""

    def __init__(self, zone: str, far_factor: float = 1) -> None:
        """Create a coordinator without agents and jobs.

        Tasks take `far_factor` times as long outside the rack of their data.
        """
        self.zone = zone
        self.far_factor = far_factor
        self.agents: dict[ids.Incarnation, fleet.Agent] = {}
        self.index = room_index.RoomIndex(zone)
        self.incarnations: dict[str, set[ids.Incarnation]] = {}
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        # Jobs that may have tasks to place.
        self.pending_jobs: dict[ids.JobId, jobs.Job] = {}
        self.placement_scheduled = False
        # Handles completions of runs that this entry did not start.
        self.on_unclaimed_completion: typing.Callable[
            [fleet.Agent, messages.UnackedCompletion], None
        ] = _ignore_completion

    def submit(self, job: jobs.Job) -> None:
        """Add a job; its `outcome` is set when the job is over."""
        if job.id in self.jobs:
            raise errors.uncertain_outcome(
                errors.Code.key_reused,
                'the job is running here already',
            )
        self.jobs[job.id] = job
        self.pending_jobs[job.id] = job
        loop = asyncio.get_running_loop()
        if job.owner is None:
            loop.call_at(job.last_resort_at, self.schedule_placement)
            loop.call_at(job.refuse_at, self._refuse_unstarted, job)
            loop.call_at(job.deadline, self._time_out, job)
        self.schedule_placement()

    def finish(self, job: jobs.Job) -> None:
        """Remove a job and stop its remaining tasks."""
        if self.jobs.get(job.id) is not job:
            return
        self.jobs.pop(job.id)
        self.pending_jobs.pop(job.id, None)
        self.stop_tasks(job)
        for task in job.placed_tasks():
            if task.agent is not None:
                task.agent.untrack((job.id, task.index))

    def stop_tasks(self, job: jobs.Job) -> None:
        """Stop all placed tasks of a job."""
        indexes_by_agent: dict[fleet.Agent, list[int]] = {}
        for task in job.placed_tasks():
            if task.agent is not None:
                indexes_by_agent.setdefault(task.agent, []).append(task.index)
        for agent, indexes in indexes_by_agent.items():
            if agent.link is not None:
                agent.link.send(messages.StopTasks(job.id, indexes))

    def add_agent(self, agent: fleet.Agent) -> None:
        """Add an agent that has connected."""
        self.agents[agent.incarnation] = agent
        agent.on_change = self.index.update
        self.index.update(agent)
        self.incarnations.setdefault(agent.node, set()).add(agent.incarnation)

    def schedule_expiry(self, agent: fleet.Agent) -> None:
        """Expire a lost agent once none of its runs can be active any more.

        Its tasks are placed again only then, so that a task never runs twice
        at the same time. A timer of an earlier loss does not count.
        """
        agent.losses += 1
        loop = asyncio.get_running_loop()
        loop.call_later(
            timing.LOST_AGENT_TIMEOUT_S,
            self._expire_agent,
            agent,
            agent.losses,
        )

    def handle_message(
        self, agent: fleet.Agent, message: messages.AnyMessage
    ) -> None:
        """Handle a message from an agent."""
        match message:
            case messages.Load():
                self._handle_load(agent, message)
            case messages.Completion():
                self._handle_completion(agent, message)
            case messages.Refused():
                self._handle_refusal(agent, message)
            case messages.ActiveRuns():
                self._reconcile_runs(agent, message)
            case messages.Straggler():
                self._handle_straggler(agent, message)
            case messages.UnackedCompletion():
                self.on_unclaimed_completion(agent, message)
            case messages.Pong():
                # An agent without a reply to a ping gets no tasks.
                self.schedule_placement()
            case _:
                pass

    def schedule_placement(self) -> None:
        """Place waiting tasks in the next iteration of the event loop."""
        if self.pending_jobs and not self.placement_scheduled:
            self.placement_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_pending)

    def _place_pending(self) -> None:
        self.placement_scheduled = False
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
        allowed.sort(key=lambda job: job.placement_priority(now, min_slowness))
        for job in allowed:
            # A job that waits for a fast endpoint does not block the others.
            if self._place_job(job):
                self.pending_jobs.pop(job.id)

    def _place_job(self, job: jobs.Job) -> bool:
        """Place the tasks that fit; return whether all tasks are placed."""
        waiting = job.ready_tasks()
        all_placed = True
        for step in job.steps:
            tasks = [task for task in waiting if task.step is step]
            if tasks and not self._place_step(job, step, tasks):
                all_placed = False
        return all_placed

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
    ) -> None:
        if agent.link is None:
            return
        now = asyncio.get_running_loop().time()
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
        )
        step = tasks[0].step
        agent.reserve(step.need, len(tasks))
        agent.link.send(
            messages.StartTasks(
                job.id,
                job.specification,
                step.need,
                step.estimate,
                [messages.RunId(task.index, task.run_number) for task in tasks],
                step.number,
                step.first,
                job.owner is not None,
                {
                    task.index: task.checkpoint
                    for task in tasks
                    if task.checkpoint
                },
            ),
        )

    def _handle_load(self, agent: fleet.Agent, load: messages.Load) -> None:
        had_cpu = agent.free.cpu_millicores if agent.is_usable() else 0
        agent.apply_load(load)
        # A new agent process accepts tasks only when no run of its predecessor
        # is left, so the predecessor's tasks can be placed again.
        if load.accepting and len(self.incarnations[agent.node]) > 1:
            for incarnation in list(self.incarnations[agent.node]):
                if incarnation != agent.incarnation:
                    other = self.agents[incarnation]
                    self._expire_agent(other, other.losses)
        if agent.is_usable() and agent.free.cpu_millicores > had_cpu:
            self.schedule_placement()

    def _handle_completion(
        self, agent: fleet.Agent, completion: messages.Completion
    ) -> None:
        found = self._find_placed_task(agent, completion.job, completion.run)
        if found is None:
            return
        job, task = found
        agent.release(task.step.need)
        self.apply_completion(job, task, agent, completion)

    def apply_completion(
        self,
        job: jobs.Job,
        task: jobs.Task,
        agent: fleet.Agent,
        completion: messages.Completion,
    ) -> None:
        """Apply the completion of the current run of a task."""
        if completion.outcome is messages.Outcome.failed:
            task.failures += 1
        if job.owner is not None:
            job.owner.record_completion(job, task, agent, completion)
        if completion.outcome is messages.Outcome.done:
            self._complete_task(job, task, agent)
            return
        self._requeue(job, task)
        if completion.outcome is messages.Outcome.failed:
            task.avoided_nodes.add(agent.node)
            if task.failures >= job.max_attempts:
                job.resolve(jobs.JobOutcome.failed)
                return
        self.schedule_placement()

    def _complete_task(
        self, job: jobs.Job, task: jobs.Task, agent: fleet.Agent
    ) -> None:
        task.leave_agent(job.id, jobs.Phase.done)
        now = asyncio.get_running_loop().time()
        task.normalized_duration = (now - task.placed_at) / max(
            agent.slowness, _MIN_SLOWNESS
        )
        if all(each.phase is jobs.Phase.done for each in job.tasks):
            job.resolve(jobs.JobOutcome.completed)
        elif job.ready_tasks():
            # A following step may have become ready, or the spread limit
            # allows another task of this step at the node.
            self.pending_jobs[job.id] = job
            self.schedule_placement()

    def _handle_refusal(
        self, agent: fleet.Agent, refusal: messages.Refused
    ) -> None:
        for run in refusal.runs:
            found = self._find_placed_task(agent, refusal.job, run)
            if found is None:
                continue
            job, task = found
            self._requeue(job, task)
            if refusal.reason is not messages.Refusal.no_room:
                task.avoided_nodes.add(agent.node)
        if refusal.reason is messages.Refusal.conflict:
            loop = asyncio.get_running_loop()
            loop.call_later(_CONFLICT_RETRY_DELAY_S, self.schedule_placement)
        else:
            # The frame of the refusal also has the load that caused it.
            self.schedule_placement()

    def _reconcile_runs(
        self, agent: fleet.Agent, active: messages.ActiveRuns
    ) -> None:
        unknown_runs = {
            (job, run.task_index, run.number) for job, run in active.runs
        }
        for job, task in jobs.tasks_at(self.jobs, agent):
            key = (job.id, task.index, task.run_number)
            if key in unknown_runs:
                unknown_runs.discard(key)
            else:
                self._requeue(job, task)
        if agent.link is not None:
            for job_id, index, _ in unknown_runs:
                agent.link.send(messages.StopTasks(job_id, [index]))
        self.schedule_placement()

    def _handle_straggler(
        self, agent: fleet.Agent, straggler: messages.Straggler
    ) -> None:
        found = self._find_placed_task(agent, straggler.job, straggler.run)
        if found is None or agent.link is None:
            return
        job, task = found
        now = asyncio.get_running_loop().time()
        duration = moves.restart_duration(self.index, job, task, straggler, now)
        if duration is None:
            return
        task.was_moved = True
        task.avoided_nodes.add(agent.node)
        agent.link.send(messages.StopTasks(job.id, [task.index]))
        log_events.emit(
            logger,
            'straggler stopped',
            job=job.id,
            agent=agent.node,
            task=task.index,
            remaining=straggler.remaining,
            restart=round(duration, 3),
        )

    def _requeue(self, job: jobs.Job, task: jobs.Task) -> None:
        task.leave_agent(job.id, jobs.Phase.waiting)
        self.pending_jobs[job.id] = job

    def _find_placed_task(
        self,
        agent: fleet.Agent,
        job_id: ids.JobId,
        run: messages.RunId,
    ) -> tuple[jobs.Job, jobs.Task] | None:
        """Return the job and task whose current run is `run` at `agent`."""
        job = self.jobs.get(job_id)
        if job is None or run.task_index >= len(job.tasks):
            return None
        task = job.tasks[run.task_index]
        if task.agent is not agent or task.run_number != run.number:
            return None
        if task.phase is not jobs.Phase.placed:
            return None
        return job, task

    def _expire_agent(self, agent: fleet.Agent, loss: int) -> None:
        if agent.link is not None or agent.losses != loss:
            return
        if self.agents.pop(agent.incarnation, None) is None:
            return
        self.incarnations[agent.node].discard(agent.incarnation)
        if not self.incarnations[agent.node]:
            self.incarnations.pop(agent.node)
        for job, task in jobs.tasks_at(self.jobs, agent):
            self._requeue(job, task)
            task.avoided_nodes.add(agent.node)
        self.schedule_placement()

    def _refuse_unstarted(self, job: jobs.Job) -> None:
        if not job.started and not job.outcome.done():
            usable = self.index.usable_count()
            job.outcome.set_exception(
                errors.refusal(
                    errors.Code.overload,
                    f'no room in time: {usable} agents usable, '
                    f'{len(self.pending_jobs)} jobs waiting',
                    retry_after=random.uniform(0, _MAX_RETRY_AFTER_S),
                ),
            )

    def _time_out(self, job: jobs.Job) -> None:
        if not job.started:
            self._refuse_unstarted(job)
        elif not job.outcome.done():
            job.outcome.set_exception(
                errors.uncertain_outcome(
                    errors.Code.deadline, 'deadline passed'
                ),
            )


def _ignore_completion(
    agent: fleet.Agent, unacked: messages.UnackedCompletion
) -> None:
    """Leave the completion to other entries."""
