"""A job at the entry that took it, and its tasks."""

import asyncio
import dataclasses
import enum
import typing

from poplardrum import ids
from poplardrum.dispatch import fleet, messages

# Tasks shorter than this, in seconds, are all alike.
_MIN_DURATION_S: typing.Final = 0.001
# The longest task may exceed its prediction by this factor.
_LONGEST_TASK_FACTOR: typing.Final = 1.12
# Messages and calls of a job, in seconds.
_OVERHEAD_S: typing.Final = 0.015
# Shortly before it is refused a job takes any endpoint.
_LAST_RESORT_S: typing.Final = 0.02


class Phase(enum.Enum):
    """Where a task stands.

    In `placed` an agent has it and an end will be reported; in `waiting` it
    runs nowhere.
    """

    waiting = 'waiting'
    placed = 'placed'
    done = 'done'


class JobOutcome(enum.Enum):
    """Answer of a job whose tasks have ended, or will not start."""

    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


@dataclasses.dataclass(frozen=True)
class Step:
    """Tasks of a job that are alike; `first` is the index of the first.

    They start when all tasks of the steps in `after` are done, at endpoints
    that have `label`, if there is one, at most `spread_limit` of them at one
    endpoint, if that is not 0. Their data is in `rack`. `estimate` is what
    the caller says that each takes, in seconds.
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
    """One task of a step; `run` numbers its starts from 1 on.

    `work` is the time that it took, in seconds at usual speed. It was
    `moved` if a run that lagged behind was stopped for another one.
    """

    index: int
    step: Step
    phase: Phase = Phase.waiting
    run_number: int = 0
    placed_at: float = 0.0
    normalized_duration: float = 0.0
    failures: int = 0
    was_moved: bool = False
    checkpoint: str = ''
    agent: fleet.Agent | None = None
    avoided_nodes: set[str] = dataclasses.field(default_factory=set)


class JobOwner(typing.Protocol):
    """What keeps the record of a stored job."""

    def may_start(self, job: 'Job') -> bool:
        """Return whether tasks of the job may start now."""

    def record_completion(
        self,
        job: 'Job',
        task: Task,
        agent: fleet.Agent,
        end: messages.Completion,
    ) -> None:
        """Store the end of a run."""


@dataclasses.dataclass
class Job:
    """One job; times in seconds of the event loop.

    `aim` is the response time that the caller hopes for, `work` the
    predicted time of its longest chain of tasks at usual speed and
    `estimate` what the caller says of it. From `refuse_at` on a
    job of which nothing has started is refused, at `give_up_at` any job is
    given up. A stored job has a `owner` and waits until it is over.
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

    @property
    def last_resort_at(self) -> float:
        """Return from when on it takes endpoints that are too slow."""
        return self.refuse_at - _LAST_RESORT_S

    def max_slowness(self, now: float) -> float:
        """Return the slowness at which it still ends in time."""
        if not self.has_prediction:
            return 0
        left = self.arrived_at + self.target_latency - now - _OVERHEAD_S
        return left / max(
            self.remaining_duration() * _LONGEST_TASK_FACTOR, _MIN_DURATION_S
        )

    def latest_start(self, slowness: float) -> float:
        """Return when it has to start at an endpoint to end in time."""
        return (
            self.arrived_at
            + self.target_latency
            - self.remaining_duration() * slowness
        )

    def remaining_duration(self) -> float:
        """Return the predicted time of the chain of steps not yet done."""
        if len(self.steps) == 1 or not self.estimate:
            return self.predicted_duration
        left = [
            dataclasses.replace(step, estimate=0.0)
            if self._done(step)
            else step
            for step in self.steps
        ]
        return (
            self.predicted_duration
            * critical_path_duration(left)
            / self.estimate
        )

    def ran_once(self) -> bool:
        """Return whether no task was started again."""
        return all(task.run_number == 1 for task in self.tasks)

    def task_at(self, step: int, place: int) -> Task | None:
        """Return a task by its step and its place there."""
        if step >= len(self.steps) or place >= self.steps[step].count:
            return None
        return self.tasks[self.steps[step].first + place]

    def ready_tasks(self) -> list[Task]:
        """Return the tasks that run nowhere and whose turn has come."""
        found = [task for task in self.tasks if task.phase is Phase.waiting]
        if len(self.steps) == 1:
            return found
        ready = {
            step.number
            for step in self.steps
            if all(self._done(self.steps[number]) for number in step.after)
        }
        return [task for task in found if task.step.number in ready]

    def count_by_node(self, step: Step) -> dict[str, int]:
        """Return how many tasks of a step each node has."""
        counts: dict[str, int] = {}
        for task in self.tasks_of(step):
            if task.phase is Phase.placed and task.agent is not None:
                node = task.agent.node
                counts[node] = counts.get(node, 0) + 1
        return counts

    def placement_priority(
        self, now: float, fastest: float
    ) -> tuple[bool, bool, float]:
        """Rank for the room that is free; the lowest goes first.

        Jobs that can no longer end within their aim get what the others
        leave. Of the others those that hold room already go first, then
        those whose time runs out.
        """
        in_time = not self.has_prediction or self.max_slowness(now) >= fastest
        return not in_time, not self.started, self.latest_start(fastest)

    def tasks_of(self, step: Step) -> list[Task]:
        """Return the tasks of one step."""
        return self.tasks[step.first : step.first + step.count]

    def _done(self, step: Step) -> bool:
        return all(task.phase is Phase.done for task in self.tasks_of(step))

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that an agent has."""
        return [task for task in self.tasks if task.phase is Phase.placed]


def tasks_at(
    known: typing.Iterable[Job],
    agent: fleet.Agent,
) -> list[tuple[Job, Task]]:
    """Return the tasks that an agent has."""
    return [
        (job, task)
        for job in known
        for task in job.placed_tasks()
        if task.agent is agent
    ]


def make_tasks(steps: typing.Iterable[Step]) -> list[Task]:
    """Return the tasks of all steps in the order of their indexes."""
    return [
        Task(step.first + place, step)
        for step in steps
        for place in range(step.count)
    ]


def critical_path_duration(steps: typing.Sequence[Step]) -> float:
    """Return the estimated time of the longest chain of steps.

    A step names only earlier ones as those that it follows.
    """
    ends: list[float] = []
    for step in steps:
        before = max((ends[number] for number in step.after), default=0.0)
        ends.append(before + step.estimate)
    return max(ends, default=0.0)
