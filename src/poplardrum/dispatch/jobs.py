"""The state of a job and its tasks at the entry that accepted it."""

import asyncio
import dataclasses
import enum
import math
import typing

from poplardrum import ids
from poplardrum.dispatch import fleet, messages

# Shorter predicted durations are treated as equal to this.
_MIN_DURATION_S: typing.Final = 0.001
# The longest task of a job may exceed its prediction by this factor.
_LONGEST_TASK_FACTOR: typing.Final = 1.12
# Time that the messages and calls of a job take.
_OVERHEAD_S: typing.Final = 0.015
_MILLICORES: typing.Final = 1000
# A job accepts endpoints of any speed this long before it is refused.
_LAST_RESORT_S: typing.Final = 0.02
# Where slow endpoints are left to others, a job that would be refused accepts
# endpoints that are too slow by this factor: predictions err about as much.
_LAST_RESORT_FACTOR: typing.Final = 1.25


class Phase(enum.Enum):
    """Phase of a task.

    A `placed` task has been sent to an agent, which will report a completion
    or a refusal; a `waiting` task runs nowhere.
    """

    waiting = 'waiting'
    placed = 'placed'
    done = 'done'


class JobOutcome(enum.Enum):
    """Outcome of a job of which no more tasks will start."""

    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


@dataclasses.dataclass(frozen=True)
class Step:
    """A group of `count` identical tasks of a job.

    `first` is the index of the first task in the job. The tasks start when
    all tasks of the steps in `after` are done. They run at endpoints that have
    `label`, unless it is empty, at most `spread_limit` of them at one endpoint,
    unless that is 0. Their data is in `rack`. `estimate` is the duration
    of each task that the caller declared, in seconds.

    The field names are part of the stored records.
    """

    number: int
    first: int
    count: int
    need: messages.Resources
    estimate: float
    label: str = ''
    rack: str = ''
    spread_limit: int = 0
    after: tuple[int, ...] = ()


@dataclasses.dataclass
class Task:
    """One task of a step.

    `run_number` is the number of its latest run, or one below that of the first;
    `run_count` counts the runs that were sent from here. `latest_start` is the number
    of the latest one that may have started here, 0 if there is none; before its
    current run that was `earlier_start`. `normalized_duration` is the duration of its
    last run, in seconds on an endpoint of slowness 1. The task `was_moved` if its
    run was stopped as a straggler to start it elsewhere.
    """

    index: int
    step: Step
    phase: Phase = Phase.waiting
    run_number: int = 0
    run_count: int = 0
    latest_start: int = 0
    earlier_start: int = 0
    placed_at: float = 0.0
    normalized_duration: float = 0.0
    failures: int = 0
    was_moved: bool = False
    checkpoint: str = ''
    agent: fleet.Agent | None = None
    avoided_nodes: set[str] = dataclasses.field(default_factory=set)

    def place(self, job: ids.JobId, agent: fleet.Agent, now: float) -> None:
        """Record that its next run has been sent to an agent."""
        self.phase = Phase.placed
        self.run_number += 1
        self.run_count += 1
        self.earlier_start = self.latest_start
        self.latest_start = self.run_number
        self.agent = agent
        self.placed_at = now
        agent.track((job, self.index))

    def withdraw_start(self) -> None:
        """Record that its current run has not started and never will."""
        self.latest_start = self.earlier_start

    def run_id(self) -> messages.RunId:
        """Return the id of its current or last run."""
        return messages.RunId(self.index, self.run_number)

    def leave_agent(self, job: ids.JobId, phase: Phase) -> None:
        """Record that its run is over; it now waits or is done."""
        self.phase = phase
        if self.agent is not None:
            self.agent.untrack((job, self.index))


class JobOwner(typing.Protocol):
    """The owner of a stored job, which keeps its record up to date."""

    def may_start(self, job: 'Job') -> bool:
        """Return whether tasks of the job may start now."""

    def may_run(self, job: 'Job') -> bool:
        """Return whether its active runs may go on."""

    def record_completion(
        self,
        job: 'Job',
        task: Task,
        agent: fleet.Agent,
        completion: messages.Completion,
    ) -> None:
        """Record the completion of a run."""

    def record_given_up(self, job: 'Job', task: Task) -> None:
        """Record that a run is over, and that it may have been done.

        The task must not start again before that is stored.
        """

    def record_crash(self, job: 'Job', task: int, crash: ids.CrashId) -> None:
        """Record that a task, by its index, may have crashed an endpoint."""


@dataclasses.dataclass
class Job:
    """One job; points in time are those of the event loop's clock.

    `target_latency` is its target response time. `predicted_duration` is the
    predicted duration of its critical path on endpoints of slowness 1, and
    `estimate` the one that the caller declared; both are in seconds. A job of
    which no task has started is refused at `refuse_at`; a job that is not over
    at its `deadline` gets an error. A stored job has an `owner` and neither of
    these limits. Its tasks accept endpoints that are too slow from
    `any_speed_at` on at the earliest.
    """

    id: ids.JobId
    queue: str
    urgency: int
    max_attempts: int
    specification: str
    service: str
    steps: list[Step]
    estimate: float
    client_timeout: float
    predicted_duration: float
    has_prediction: bool
    tasks: list[Task]
    arrived_at: float
    target_latency: float
    refuse_at: float
    deadline: float
    outcome: 'asyncio.Future[JobOutcome]'
    owner: JobOwner | None = None
    started: bool = False
    started_at: float = 0.0
    last_placed_at: float = 0.0
    any_speed_at: float = -math.inf

    @property
    def last_resort_at(self) -> float:
        """Return the time from which it accepts endpoints that are too slow."""
        return self.refuse_at - _LAST_RESORT_S

    def accepts_any_speed(self, now: float) -> bool:
        """Return whether its tasks may start at endpoints that are too slow."""
        if not self.has_prediction:
            return True
        return now >= self.any_speed_at and (
            self.started or now >= self.last_resort_at
        )

    def accepted_slowness(self, now: float) -> float:
        """Return the slowness up to which its tasks may start.

        It is `max_slowness`, and more for a job that would be refused
        otherwise: its prediction may be too high.
        """
        limit = self.max_slowness(now)
        if not self.started and self.last_resort_at <= now < self.any_speed_at:
            return limit * _LAST_RESORT_FACTOR
        return limit

    def max_slowness(self, now: float) -> float:
        """Return the slowness up to which it meets its target latency.

        It is 0 without a prediction.
        """
        if not self.has_prediction:
            return 0
        time_left = self.arrived_at + self.target_latency - now - _OVERHEAD_S
        return time_left / max(
            self.remaining_duration() * _LONGEST_TASK_FACTOR, _MIN_DURATION_S
        )

    def last_in_time(self, slowness: float) -> float:
        """Return until when `max_slowness` is at least a slowness."""
        return (
            self.arrived_at
            + self.target_latency
            - _OVERHEAD_S
            - slowness
            * max(
                self.remaining_duration() * _LONGEST_TASK_FACTOR,
                _MIN_DURATION_S,
            )
        )

    def latest_start(self, slowness: float) -> float:
        """Return the latest start that meets the target latency."""
        return (
            self.arrived_at
            + self.target_latency
            - self.remaining_duration() * slowness
        )

    def remaining_duration(self) -> float:
        """Return the predicted duration of the remaining critical path."""
        if len(self.steps) == 1 or not self.estimate:
            return self.predicted_duration
        remaining_steps = [
            dataclasses.replace(step, estimate=0.0)
            if self._done(step)
            else step
            for step in self.steps
        ]
        return (
            self.predicted_duration
            * critical_path_duration(remaining_steps)
            / self.estimate
        )

    def remaining_work(self) -> float:
        """Return the predicted work of the tasks that are not done.

        It is in core-seconds, with the duration of the longest task for all.
        """
        millicores = sum(
            task.step.need.cpu_millicores
            for task in self.tasks
            if task.phase is not Phase.done
        )
        return millicores / _MILLICORES * self.remaining_duration()

    def min_cpu(self) -> int:
        """Return the least CPU that a task of the job needs, in millicores."""
        return min(step.need.cpu_millicores for step in self.steps)

    def ran_once(self) -> bool:
        """Return whether each task had a single run."""
        return all(task.run_count == 1 for task in self.tasks)

    def task_at(self, step: int, position: int) -> Task | None:
        """Return a task by its step and its position in the step."""
        if step >= len(self.steps) or position >= self.steps[step].count:
            return None
        return self.tasks[self.steps[step].first + position]

    def ready_tasks(self) -> list[Task]:
        """Return the waiting tasks whose preceding steps are done."""
        waiting_tasks = [
            task for task in self.tasks if task.phase is Phase.waiting
        ]
        if len(self.steps) == 1:
            return waiting_tasks
        ready = {
            step.number
            for step in self.steps
            if all(self._done(self.steps[number]) for number in step.after)
        }
        return [task for task in waiting_tasks if task.step.number in ready]

    def count_by_node(self, step: Step) -> dict[str, int]:
        """Return the number of placed tasks of a step by node."""
        counts: dict[str, int] = {}
        for task in self.tasks_of(step):
            if task.phase is Phase.placed and task.agent is not None:
                node = task.agent.node
                counts[node] = counts.get(node, 0) + 1
        return counts

    def placement_priority(
        self, now: float, min_slowness: float
    ) -> tuple[bool, bool, float]:
        """Return the sort key for free capacity; the lowest goes first.

        Jobs that can no longer meet their target latency come last. Of the
        others, those that have started come first, then those with the
        earliest latest start.
        """
        in_time = (
            not self.has_prediction or self.max_slowness(now) >= min_slowness
        )
        return not in_time, not self.started, self.latest_start(min_slowness)

    def tasks_of(self, step: Step) -> list[Task]:
        """Return the tasks of one step."""
        return self.tasks[step.first : step.first + step.count]

    def _done(self, step: Step) -> bool:
        return all(task.phase is Phase.done for task in self.tasks_of(step))

    def resolve(self, outcome: JobOutcome) -> None:
        """Set the outcome unless the job has one."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def is_placed(self, run: messages.RunId, agent: fleet.Agent) -> bool:
        """Return whether a run is the current one of its task, at an agent."""
        if run.task_index >= len(self.tasks):
            return False
        task = self.tasks[run.task_index]
        return (
            task.agent is agent
            and task.run_number == run.number
            and task.phase is Phase.placed
        )

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that have been sent to agents."""
        return [task for task in self.tasks if task.phase is Phase.placed]


def tasks_at(
    jobs_by_id: typing.Mapping[ids.JobId, Job],
    agent: fleet.Agent,
) -> list[tuple[Job, Task]]:
    """Return the tasks that are placed at an agent, with their jobs."""
    return [
        (job, job.tasks[index])
        for job_id, index in sorted(agent.placed)
        if (job := jobs_by_id.get(job_id)) is not None
    ]


def make_tasks(steps: typing.Iterable[Step], run_number: int = 0) -> list[Task]:
    """Return the tasks of all steps in the order of their indexes.

    Their first runs follow `run_number`.
    """
    return [
        Task(step.first + position, step, run_number=run_number)
        for step in steps
        for position in range(step.count)
    ]


def critical_path_duration(steps: typing.Sequence[Step]) -> float:
    """Return the estimated duration of the longest chain of steps.

    Each step follows only steps that come before it in the list.
    """
    completed_at: list[float] = []
    for step in steps:
        started_at = max(
            (completed_at[number] for number in step.after), default=0.0
        )
        completed_at.append(started_at + step.estimate)
    return max(completed_at, default=0.0)
