"""A job at the entry that took it, and its tasks."""

import asyncio
import dataclasses
import enum

from poplardrum import ids
from poplardrum.dispatch import fleet, messages


class Phase(enum.Enum):
    """Where a task stands.

    In `placed` an agent has it and an end will be reported; in `waiting` it
    runs nowhere.
    """

    waiting = 'waiting'
    placed = 'placed'
    done = 'done'


class Answer(enum.Enum):
    """Answer of a job whose tasks have ended."""

    completed = 'completed'
    failed = 'failed'


@dataclasses.dataclass
class Task:
    """One task; `run` numbers its starts from 1 on."""

    index: int
    phase: Phase = Phase.waiting
    run: int = 0
    failures: int = 0
    agent: fleet.Agent | None = None
    avoided: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Job:
    """One job of a single step; times in seconds of the event loop.

    `aim` is the response time that the caller hopes for. From `refuse_at`
    on a job of which nothing has started is refused, at `give_up_at` any
    job is given up.
    """

    id: ids.JobId
    queue: str
    urgency: int
    attempts: int
    specification: str
    need: messages.Need
    estimate: float
    tasks: list[Task]
    arrived: float
    aim: float
    refuse_at: float
    give_up_at: float
    answer: 'asyncio.Future[Answer]'
    started: bool = False
    started_at: float = 0.0

    def waiting(self) -> list[Task]:
        """Return the tasks that run nowhere."""
        return [task for task in self.tasks if task.phase is Phase.waiting]

    def placed(self) -> list[Task]:
        """Return the tasks that an agent has."""
        return [task for task in self.tasks if task.phase is Phase.placed]
