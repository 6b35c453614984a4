"""Placement and tracking of the jobs that an entry has accepted."""

import asyncio
import logging
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    clocks,
    continuity,
    crash_handling,
    fleet,
    job_deadlines,
    job_placer,
    jobs,
    messages,
    moves,
    reachability,
    room_index,
    timing,
)

logger = logging.getLogger(__name__)

# An earlier run of the task is being stopped.
_CONFLICT_RETRY_DELAY_S: typing.Final = 0.02
# Until an agent that may only be out of reach is looked at again.
_EXPIRY_RETRY_INTERVAL_S: typing.Final = 0.25
# Refusals that say nothing about the node.
_BLAMELESS_REFUSALS: typing.Final = frozenset(
    (
        messages.Refusal.no_room,
        messages.Refusal.unknown,
        messages.Refusal.owner_lease,
    ),
)
# Refusals whose cause passes by itself.
_REASONS_TO_WAIT: typing.Final = frozenset(
    (messages.Refusal.conflict, messages.Refusal.owner_lease),
)
# Lower bound of a reported slowness, by which durations are divided.
_MIN_SLOWNESS: typing.Final = 0.05


class Coordinator:
    """Place the tasks of all jobs that this entry has accepted."""

    def __init__(
        self,
        zone: str,
        far_factor: float = 1,
        *,
        looks_ahead: bool = False,
        has_short_room: bool = False,
    ) -> None:
        """Create a coordinator without agents and jobs.

        Tasks take `far_factor` times as long outside the rack of their data.
        With `looks_ahead`, placement considers what runs will end soon.
        Where the deployment `has_short_room` at times, endpoints that are too
        slow for a job are left to others as long as the job can be in time.
        """
        self.zone = zone
        self.agents: dict[ids.Incarnation, fleet.Agent] = {}
        self.index = room_index.RoomIndex(zone)
        self.incarnations: dict[str, set[ids.Incarnation]] = {}
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        self.reachability = reachability.Reachability(zone, self.agents)
        self.continuity = continuity.Continuity()
        self.crash_handler = crash_handling.CrashHandler(self.jobs)
        self.suspects = self.crash_handler.suspects
        self.placer = job_placer.JobPlacer(
            self.index,
            far_factor,
            self.continuity,
            self.suspects,
            has_short_room=has_short_room,
            looks_ahead=looks_ahead,
        )
        self.deadlines = job_deadlines.JobDeadlines(
            self.jobs, self.placer, has_short_room=has_short_room
        )
        # Handles what is for the owners of stored jobs.
        self.on_owner_message: typing.Callable[
            [fleet.Agent, messages.OwnerMessage], None
        ] = _ignore_message

    def submit(self, job: jobs.Job) -> None:
        """Add a job; its `outcome` is set when the job is over."""
        if job.id in self.jobs:
            raise errors.uncertain_outcome(
                errors.Code.key_reused,
                'the job is running here already',
            )
        self.jobs[job.id] = job
        self.crash_handler.give_up_if_guilty(job)
        self.placer.add(job)
        loop = asyncio.get_running_loop()
        self.placer.order.record_arrival(job, loop.time())
        if job.owner is None:
            self.deadlines.schedule(job)
        self.placer.schedule()

    def finish(self, job: jobs.Job) -> None:
        """Remove a job and stop its remaining tasks."""
        if self.jobs.get(job.id) is not job:
            return
        self.jobs.pop(job.id)
        self.placer.remove(job)
        self.stop_tasks(job)
        for task in job.placed_tasks():
            if task.agent is not None:
                task.agent.untrack((job.id, task.index))

    def stop_tasks(self, job: jobs.Job) -> None:
        """Stop all placed tasks of a job."""
        runs_by_agent: dict[fleet.Agent, list[messages.RunId]] = {}
        for task in job.placed_tasks():
            if task.agent is not None:
                runs_by_agent.setdefault(task.agent, []).append(task.run_id())
        for agent, runs in runs_by_agent.items():
            if agent.link is not None:
                agent.link.send(messages.StopTasks(job.id, runs))

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
        self._call_expiry(agent, timing.LOST_AGENT_TIMEOUT_S)

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
            case messages.UnackedCompletion() | messages.RunStarted():
                self.on_owner_message(agent, message)
            case messages.CrashNotice():
                self.crash_handler.handle(agent, message)
                self.placer.schedule()
            case messages.Pong():
                # An agent without a reply to a ping gets no tasks.
                self.placer.schedule()

    def _handle_load(self, agent: fleet.Agent, load: messages.Load) -> None:
        had_cpu = agent.free.cpu_millicores if agent.is_usable() else 0
        agent.apply_load(load)
        # A new agent process accepts tasks only when no run of its predecessor
        # is left, so the predecessor's tasks can be placed again.
        if load.accepting and len(self.incarnations[agent.node]) > 1:
            for incarnation in list(self.incarnations[agent.node]):
                if incarnation != agent.incarnation:
                    self._remove_agent(self.agents[incarnation])
        if agent.is_usable() and agent.free.cpu_millicores > had_cpu:
            self.placer.schedule()

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
        self.placer.schedule()

    def _complete_task(
        self, job: jobs.Job, task: jobs.Task, agent: fleet.Agent
    ) -> None:
        task.leave_agent(job.id, jobs.Phase.done)
        # The duration of a run that an earlier owner started is not known.
        if task.latest_start:
            self._record_duration(task, agent)
        if all(each.phase is jobs.Phase.done for each in job.tasks):
            job.resolve(jobs.JobOutcome.completed)
        elif job.ready_tasks():
            # A following step may have become ready, or the spread limit
            # allows another task of this step at the node.
            self.placer.add(job)
            self.placer.schedule()

    def _record_duration(self, task: jobs.Task, agent: fleet.Agent) -> None:
        now = asyncio.get_running_loop().time()
        duration = now - task.placed_at
        self.deadlines.completion_rate.record(
            task.step.need.cores() * duration, now
        )
        task.normalized_duration = duration / max(agent.slowness, _MIN_SLOWNESS)

    def _handle_refusal(
        self, agent: fleet.Agent, refusal: messages.Refused
    ) -> None:
        for run in refusal.runs:
            found = self._find_placed_task(agent, refusal.job, run)
            if found is None:
                continue
            job, task = found
            if refusal.reason is not messages.Refusal.unknown:
                task.withdraw_start()
            if refusal.reason not in _BLAMELESS_REFUSALS:
                task.avoided_nodes.add(agent.node)
            if refusal.reason in _REASONS_TO_WAIT:
                self._requeue_later(job, task)
            else:
                self._requeue(job, task)
        # The frame of the refusal also has the load that caused it.
        self.placer.schedule()

    def _reconcile_runs(
        self, agent: fleet.Agent, active: messages.ActiveRuns
    ) -> None:
        unwanted_runs = set(active.runs)
        for job, task in jobs.tasks_at(self.jobs, agent):
            run = (job.id, task.run_id())
            if run not in unwanted_runs:
                self._requeue(job, task)
            elif job.owner is None or job.owner.may_run(job):
                unwanted_runs.discard(run)
        if agent.link is not None:
            for job_id, run_id in unwanted_runs:
                agent.link.send(messages.StopTasks(job_id, [run_id]))
        self.placer.schedule()

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
        agent.link.send(messages.StopTasks(job.id, [task.run_id()]))
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
        self.placer.add(job)

    def _requeue_later(self, job: jobs.Job, task: jobs.Task) -> None:
        """Queue a task again after a while.

        Each try takes a run number, and a load report that comes with the
        refusal would place the task again at once.
        """
        task.leave_agent(job.id, jobs.Phase.waiting)
        asyncio.get_running_loop().call_later(
            _CONFLICT_RETRY_DELAY_S, self._place_again, job
        )

    def _place_again(self, job: jobs.Job) -> None:
        if self.jobs.get(job.id) is job:
            self.placer.add(job)
            self.placer.schedule()

    def _find_placed_task(
        self,
        agent: fleet.Agent,
        job_id: ids.JobId,
        run: messages.RunId,
    ) -> tuple[jobs.Job, jobs.Task] | None:
        """Return the job and task whose current run is `run` at `agent`."""
        job = self.jobs.get(job_id)
        if job is None or not job.is_placed(run, agent):
            return None
        return job, job.tasks[run.task_index]

    def _call_expiry(self, agent: fleet.Agent, delay: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._expire_agent, agent, agent.losses)

    def _expire_agent(self, agent: fleet.Agent, loss: int) -> None:
        if agent.link is not None or agent.losses != loss:
            return
        if self.reachability.is_gone(agent, clocks.now()):
            self._remove_agent(agent)
            return
        # Stored jobs wait for what the agent has to report. Others need not.
        for job, task in jobs.tasks_at(self.jobs, agent):
            if job.owner is None:
                self._requeue(job, task)
                task.avoided_nodes.add(agent.node)
        self.placer.schedule()
        self._call_expiry(agent, _EXPIRY_RETRY_INTERVAL_S)

    def _remove_agent(self, agent: fleet.Agent) -> None:
        if agent.link is not None:
            return
        if self.agents.pop(agent.incarnation, None) is None:
            return
        self.incarnations[agent.node].discard(agent.incarnation)
        if not self.incarnations[agent.node]:
            self.incarnations.pop(agent.node)
        for job, task in jobs.tasks_at(self.jobs, agent):
            self._requeue(job, task)
            task.avoided_nodes.add(agent.node)
            if job.owner is not None:
                job.owner.record_given_up(job, task)
        self.placer.schedule()


def _ignore_message(agent: fleet.Agent, message: messages.OwnerMessage) -> None:
    """Leave the message to other entries."""
