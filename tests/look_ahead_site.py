"""Test fixture: an entry's view of agents whose room runs short."""

import asyncio
import typing

from poplardrum import ids
from poplardrum.dispatch import (
    connections,
    fleet,
    jobs,
    look_ahead,
    messages,
    placement,
    room_index,
)
from tests import dispatch_world

TASK_CPU: typing.Final = 5000
CAPACITY: typing.Final = messages.Resources(32000, 65536, 0)


def make_job(
    name: str,
    tasks: int,
    duration: float = 0.1,
    target: float = 1.0,
    cpu: int = TASK_CPU,
) -> jobs.Job:
    """Return a job that arrives at time 0."""
    step = jobs.Step(0, 0, tasks, messages.Resources(cpu, 64, 0), duration)
    return jobs.Job(
        id=ids.JobId(name),
        queue='quotes',
        urgency=0,
        max_attempts=2,
        specification='',
        service='intake',
        steps=[step],
        estimate=duration,
        client_timeout=30.0,
        predicted_duration=duration,
        has_prediction=True,
        tasks=jobs.make_tasks([step]),
        arrived_at=0.0,
        target_latency=target,
        refuse_at=0.35 * target,
        deadline=30.0,
        outcome=typing.cast(asyncio.Future[jobs.JobOutcome], None),
    )


class Site:
    """An entry's view of agents; the time is 0 unless a call says otherwise."""

    def __init__(self) -> None:
        """Start without agents."""
        self.index = room_index.RoomIndex('toledo')
        self.look_ahead = look_ahead.LookAhead(self.index, float)
        self.counts: list[tuple[str, str]] = []
        self.look_ahead.count = lambda *event: self.counts.append(event)

    def add_agent(
        self, free_cpu: int, forecast: tuple[int, ...] = ()
    ) -> fleet.Agent:
        """Add an agent with free CPU and the cores that it expects to free."""
        agent = fleet.Agent(
            f'side-{len(self.index.positions)}', 'toledo', ids.new_incarnation()
        )
        agent.on_change = self.index.update
        agent.on_connected(
            typing.cast(connections.Link, dispatch_world.FakeLink())
        )
        self.report(agent, free_cpu, forecast)
        return agent

    def report(
        self, agent: fleet.Agent, free_cpu: int, forecast: tuple[int, ...] = ()
    ) -> None:
        """Apply a load report that is made at time 0."""
        free = messages.Resources(free_cpu, 65536, 0)
        agent.apply_load(
            messages.Load(
                agent.starts_sent,
                True,
                free,
                CAPACITY,
                1,
                'intake',
                [],
                forecast,
            )
        )
        agent.forecast_at = 0.0

    def place(self, *ordered: jobs.Job, now: float = 0.0) -> dict[str, int]:
        """Place jobs in one pass; return the tasks started by job."""
        started: dict[str, int] = {}
        for job in self.look_ahead.take_turns(ordered, now):
            tasks = job.ready_tasks()
            request = placement.request_for(job, job.steps[0], tasks, 1, now)
            for agent, count in self.look_ahead.choose_agents(
                job, request, now
            ):
                for task in tasks[:count]:
                    task.place(job.id, agent, now)
                agent.reserve(job.steps[0].need, count)
                tasks = tasks[count:]
                job.started = True
                started[job.id] = started.get(job.id, 0) + count
        return started
