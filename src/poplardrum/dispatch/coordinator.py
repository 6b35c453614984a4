"""Jobs of an entry: waiting, placed at agents, answered."""

import asyncio
import logging
import random
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    admission,
    fleet,
    jobs,
    messages,
    placement,
    stragglers,
    timing,
)

logger = logging.getLogger(__name__)

_REFUSED_AGAIN: typing.Final = 0.02
# Seconds over which refused callers are asked to come back.
_LATEST_RETURN: typing.Final = 3.0
_FASTEST: typing.Final = 0.05


class Coordinator:
    """Place the tasks of all jobs that this entry took."""

    def __init__(self, zone: str, far_factor: float = 1) -> None:
        """Start without agents and jobs.

        Tasks take `far_factor` times as long away from their data.
        """
        self.zone = zone
        self.far_factor = far_factor
        self.agents: dict[ids.Incarnation, fleet.Agent] = {}
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        # Jobs that may have tasks to place.
        self.queue: dict[ids.JobId, jobs.Job] = {}
        self.pumping = False
        # Takes ends of runs that this entry did not order.
        self.unclaimed: typing.Callable[
            [fleet.Agent, messages.UnackedCompletion], None
        ] = _ignore

    def submit(self, job: jobs.Job) -> None:
        """Take a job; its `answer` is set when it ends."""
        if job.id in self.jobs:
            raise errors.uncertain(
                errors.Code.key_reused,
                'the job is running here already',
            )
        self.jobs[job.id] = job
        self.queue[job.id] = job
        loop = asyncio.get_running_loop()
        if job.owner is None:
            loop.call_at(job.last_resort_at, self.wake)
            loop.call_at(job.refuse_at, self._refuse_waiting, job)
            loop.call_at(job.give_up_at, self._give_up, job)
        self.wake()

    def finish(self, job: jobs.Job) -> None:
        """Forget a job and stop what is left of it."""
        if self.jobs.get(job.id) is not job:
            return
        self.jobs.pop(job.id)
        self.queue.pop(job.id, None)
        self.suspend(job)

    def suspend(self, job: jobs.Job) -> None:
        """Stop all tasks of a job."""
        stops: dict[fleet.Agent, list[int]] = {}
        for task in job.placed():
            if task.agent is not None:
                stops.setdefault(task.agent, []).append(task.index)
        for agent, indexes in stops.items():
            if agent.link is not None:
                agent.link.send(messages.StopTasks(job.id, indexes))

    def attach(self, agent: fleet.Agent) -> None:
        """Take over an agent that has connected."""
        self.agents[agent.incarnation] = agent

    def detach(self, agent: fleet.Agent) -> None:
        """Keep a lost agent's tasks until they have ended for certain."""
        loop = asyncio.get_running_loop()
        loop.call_later(timing.IN_DOUBT, self._expire, agent)

    def take(self, agent: fleet.Agent, message: messages.AnyMessage) -> None:
        """Handle a message of an agent."""
        match message:
            case messages.Load():
                self._load(agent, message)
            case messages.Completion():
                self._ended(agent, message)
            case messages.Refused():
                self._refused(agent, message)
            case messages.ActiveRuns():
                self._holding(agent, message)
            case messages.Straggler():
                self._lagging(agent, message)
            case messages.UnackedCompletion():
                self.unclaimed(agent, message)
            case _:
                pass

    def wake(self) -> None:
        """Place waiting tasks in the next turn of the event loop."""
        if self.queue and not self.pumping:
            self.pumping = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self.pumping = False
        # A refusal that is decided must stay true until it is sent, so a
        # job with an answer starts nothing more.
        waiting = [
            job
            for job in self.queue.values()
            if not job.answer.done() and job.waiting()
        ]
        self.queue = {job.id: job for job in waiting}
        allowed = [
            job
            for job in waiting
            if job.owner is None or job.owner.may_start(job)
        ]
        now = asyncio.get_running_loop().time()
        fastest = admission.fastest(self.agents.values())
        allowed.sort(key=lambda job: job.rank(now, fastest))
        for job in allowed:
            # A job that waits for a fast endpoint does not hold up others.
            if self._place(job):
                self.queue.pop(job.id)

    def _place(self, job: jobs.Job) -> bool:
        """Place what fits; return whether all tasks are placed."""
        waiting = job.waiting()
        placed = True
        for step in job.steps:
            tasks = [task for task in waiting if task.step is step]
            if tasks and not self._place_step(job, step, tasks):
                placed = False
        return placed

    def _place_step(
        self,
        job: jobs.Job,
        step: jobs.Step,
        tasks: list[jobs.Task],
    ) -> bool:
        now = asyncio.get_running_loop().time()
        avoided: set[str] = set()
        for task in tasks:
            avoided |= task.avoided
        wish = placement.Wish(
            step.need,
            len(tasks),
            job.service,
            step.label,
            step.rack,
            self.far_factor,
            avoided,
            job.tolerated(now),
            not job.predicted or job.started or now >= job.last_resort_at,
            step.spread_limit,
            job.held(step) if step.spread_limit else {},
        )
        picks = placement.choose(self.agents.values(), wish, self.zone)
        for agent, count in picks:
            self._send(job, agent, tasks[:count])
            tasks = tasks[count:]
        return not tasks

    def _send(
        self,
        job: jobs.Job,
        agent: fleet.Agent,
        tasks: list[jobs.Task],
    ) -> None:
        if agent.link is None:
            return
        now = asyncio.get_running_loop().time()
        for task in tasks:
            task.phase = jobs.Phase.placed
            task.run += 1
            task.agent = agent
            task.placed_at = now
        if not job.started:
            job.started_at = now
        job.placed_at = now
        job.started = True
        log_events.emit(
            logger,
            'tasks sent',
            job=job.id,
            agent=agent.node,
            tasks=[task.index for task in tasks],
            runs=[task.run for task in tasks],
            free_cpu=agent.free.cpu_millicores,
            slowness=agent.slowness,
        )
        step = tasks[0].step
        agent.ordered(step.need, len(tasks))
        agent.link.send(
            messages.StartTasks(
                job.id,
                job.specification,
                step.need,
                step.estimate,
                [messages.RunId(task.index, task.run) for task in tasks],
                step.number,
                step.first,
                job.owner is not None,
                {task.index: task.saved for task in tasks if task.saved},
            ),
        )

    def _load(self, agent: fleet.Agent, load: messages.Load) -> None:
        agent.report(load)
        # A new process accepts only when nothing of the last one is left.
        for other in list(self.agents.values()) if load.accepting else ():
            if other.node == agent.node and other is not agent:
                self._expire(other)
        self.wake()

    def _ended(self, agent: fleet.Agent, ended: messages.Completion) -> None:
        found = self._find(agent, ended.job, ended.run)
        if found is None:
            return
        job, task = found
        agent.ended(task.step.need)
        self.settle(job, task, agent, ended)

    def settle(
        self,
        job: jobs.Job,
        task: jobs.Task,
        agent: fleet.Agent,
        ended: messages.Completion,
    ) -> None:
        """Take over the end of the present run of a task."""
        if ended.outcome is messages.Outcome.failed:
            task.failures += 1
        if job.owner is not None:
            job.owner.ended(job, task, agent, ended)
        if ended.outcome is messages.Outcome.done:
            self._done(job, task, agent)
            return
        self._requeue(job, task)
        if ended.outcome is messages.Outcome.failed:
            task.avoided.add(agent.node)
            if task.failures >= job.attempts:
                _answer(job, jobs.Answer.failed)
                return
        self.wake()

    def _done(self, job: jobs.Job, task: jobs.Task, agent: fleet.Agent) -> None:
        task.phase = jobs.Phase.done
        now = asyncio.get_running_loop().time()
        task.work = (now - task.placed_at) / max(agent.slowness, _FASTEST)
        if all(each.phase is jobs.Phase.done for each in job.tasks):
            _answer(job, jobs.Answer.completed)
        elif job.waiting():
            # The next steps may follow, or the endpoint has room again for
            # a step that is spread.
            self.queue[job.id] = job
            self.wake()

    def _refused(self, agent: fleet.Agent, refused: messages.Refused) -> None:
        for run in refused.runs:
            found = self._find(agent, refused.job, run)
            if found is None:
                continue
            job, task = found
            self._requeue(job, task)
            if refused.reason is not messages.Refusal.no_room:
                task.avoided.add(agent.node)
        loop = asyncio.get_running_loop()
        loop.call_later(_REFUSED_AGAIN, self.wake)

    def _holding(self, agent: fleet.Agent, held: messages.ActiveRuns) -> None:
        runs = {(job, run.task_index, run.number) for job, run in held.runs}
        for job, task in jobs.placed_at(self.jobs.values(), agent):
            key = (job.id, task.index, task.run)
            if key in runs:
                runs.discard(key)
            else:
                self._requeue(job, task)
        if agent.link is not None:
            for job_id, index, _ in runs:
                agent.link.send(messages.StopTasks(job_id, [index]))
        self.wake()

    def _lagging(self, agent: fleet.Agent, lag: messages.Straggler) -> None:
        found = self._find(agent, lag.job, lag.run)
        if found is None or agent.link is None:
            return
        job, task = found
        # A task that lags at two endpoints is itself the cause.
        if task.moved or not job.predicted or job.answer.done():
            return
        now = asyncio.get_running_loop().time()
        others = [
            other
            for other in self.agents.values()
            if other is not agent
            and other.usable()
            and other.suits(job.service, task.step.label)
            and other.fits(task.step.need)
        ]
        if not others:
            return
        restart = job.work_left() * admission.fastest(others)
        if stragglers.worth_moving(
            now,
            lag.remaining,
            restart,
            job.arrived + job.aim,
            job.aim,
        ):
            task.moved = True
            task.avoided.add(agent.node)
            agent.link.send(messages.StopTasks(job.id, [task.index]))
            log_events.emit(
                logger,
                'straggler stopped',
                job=job.id,
                agent=agent.node,
                task=task.index,
                remaining=lag.remaining,
                restart=round(restart, 3),
            )

    def _requeue(self, job: jobs.Job, task: jobs.Task) -> None:
        task.phase = jobs.Phase.waiting
        self.queue[job.id] = job

    def _find(
        self,
        agent: fleet.Agent,
        job_id: ids.JobId,
        run: messages.RunId,
    ) -> tuple[jobs.Job, jobs.Task] | None:
        """Return a task that is placed in just this run."""
        job = self.jobs.get(job_id)
        if job is None or run.task_index >= len(job.tasks):
            return None
        task = job.tasks[run.task_index]
        if task.agent is not agent or task.run != run.number:
            return None
        if task.phase is not jobs.Phase.placed:
            return None
        return job, task

    def _expire(self, agent: fleet.Agent) -> None:
        if agent.link is not None:
            return
        if self.agents.pop(agent.incarnation, None) is None:
            return
        for job, task in jobs.placed_at(self.jobs.values(), agent):
            self._requeue(job, task)
            task.avoided.add(agent.node)
        self.wake()

    def _refuse_waiting(self, job: jobs.Job) -> None:
        if not job.started and not job.answer.done():
            agents = self.agents.values()
            usable = sum(agent.usable() for agent in agents)
            job.answer.set_exception(
                errors.refusal(
                    errors.Code.overload,
                    f'no room in time: {usable} agents usable, '
                    f'{len(self.queue)} jobs waiting',
                    retry_after=random.uniform(0, _LATEST_RETURN),
                ),
            )

    def _give_up(self, job: jobs.Job) -> None:
        if not job.started:
            self._refuse_waiting(job)
        elif not job.answer.done():
            job.answer.set_exception(
                errors.uncertain(errors.Code.deadline, 'deadline passed'),
            )


def _ignore(agent: fleet.Agent, unacked: messages.UnackedCompletion) -> None:
    """Leave an end to other entries."""


def _answer(job: jobs.Job, answer: jobs.Answer) -> None:
    if not job.answer.done():
        job.answer.set_result(answer)
