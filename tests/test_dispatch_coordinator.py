"""Tests of the coordinator of an entry with agents without a network."""

import asyncio
import typing
import unittest
from unittest import mock

from poplardrum import errors, ids
from poplardrum.dispatch import (
    connections,
    coordinator,
    fleet,
    jobs,
    messages,
    timing,
)
from tests import dispatch_world

DEMAND: typing.Final = messages.Resources(1000, 64, 0)
CAPACITY: typing.Final = messages.Resources(4000, 4096, 0)


class CoordinatorCase(unittest.IsolatedAsyncioTestCase):
    """Set-up: a coordinator and one agent with capacity for four tasks."""

    async def asyncSetUp(self) -> None:
        """Connect the agent."""
        self.coordinator = coordinator.Coordinator('toledo')
        self.agent, self.link = self.connect('side-1')

    def connect(
        self,
        node: str,
        free: messages.Resources = CAPACITY,
    ) -> tuple[fleet.Agent, dispatch_world.FakeLink]:
        """Connect an agent that accepts tasks."""
        agent = fleet.Agent(node, 'toledo', ids.new_incarnation())
        link = dispatch_world.FakeLink()
        self.coordinator.add_agent(agent)
        agent.on_connected(typing.cast(connections.Link, link))
        self.report_load(agent, free)
        return agent, link

    def report_load(self, agent: fleet.Agent, free: messages.Resources) -> None:
        """Send a load report with the free capacity of an agent."""
        load = messages.Load(
            agent.starts_sent, True, free, CAPACITY, 1.0, 'intake', []
        )
        self.coordinator.handle_message(agent, load)

    def make_job(
        self,
        number: int,
        tasks: int,
        wait: float = 5.0,
        demand: messages.Resources = DEMAND,
    ) -> jobs.Job:
        """Return a job that waits `wait` seconds for capacity."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        step = jobs.Step(0, 0, tasks, demand, 0.1)
        return jobs.Job(
            id=ids.JobId(f'{number:016x}'),
            queue='r-1',
            urgency=0,
            max_attempts=2,
            specification='specification',
            service='intake',
            steps=[step],
            estimate=0.1,
            client_timeout=30.0,
            predicted_duration=0.1,
            has_prediction=False,
            tasks=jobs.make_tasks([step]),
            arrived_at=now,
            target_latency=10.0,
            refuse_at=now + wait,
            deadline=now + 30.0,
            outcome=loop.create_future(),
        )

    async def submit_job(self, number: int, tasks: int) -> jobs.Job:
        """Submit a job and let the coordinator place it."""
        job = self.make_job(number, tasks)
        self.coordinator.submit(job)
        await run_event_loop()
        return job

    def complete(
        self,
        job: jobs.Job,
        index: int,
        outcome: messages.Outcome,
        agent: fleet.Agent | None = None,
    ) -> None:
        """Send the completion of the current run of a task."""
        run = messages.RunId(index, job.tasks[index].run_number)
        self.coordinator.handle_message(
            agent or self.agent,
            messages.Completion(job.id, run, outcome),
        )

    def count_starts(self, link: dispatch_world.FakeLink | None = None) -> int:
        """Return the number of starts sent to an agent."""
        commands = (link or self.link).sent_of(messages.StartTasks)
        return sum(len(command.runs) for command in commands)


async def run_event_loop() -> None:
    """Run a few iterations of the event loop."""
    for _ in range(5):
        await asyncio.sleep(0)


class TestOutcomes(CoordinatorCase):
    """Outcomes of jobs."""

    async def test_completed(self) -> None:
        """Guards against an outcome before the last task is done."""
        job = await self.submit_job(1, 2)
        self.complete(job, 0, messages.Outcome.done)
        self.assertFalse(job.outcome.done())
        self.complete(job, 1, messages.Outcome.done)
        self.assertIs(job.outcome.result(), jobs.JobOutcome.completed)

    async def test_failed_after_its_attempts(self) -> None:
        """Guards against endless restarts of a task that always fails."""
        job = await self.submit_job(1, 1)
        self.complete(job, 0, messages.Outcome.failed)
        await run_event_loop()
        self.assertFalse(job.outcome.done())
        self.complete(job, 0, messages.Outcome.failed)
        self.assertIs(job.outcome.result(), jobs.JobOutcome.failed)
        self.assertEqual(self.count_starts(), 2)

    async def test_completion_of_an_earlier_run(self) -> None:
        """Guards against a late completion of an earlier run ending the current one."""
        job = await self.submit_job(1, 1)
        self.complete(job, 0, messages.Outcome.lost)
        await run_event_loop()
        late = messages.Completion(
            job.id,
            messages.RunId(0, 1),
            messages.Outcome.done,
        )
        self.coordinator.handle_message(self.agent, late)
        self.assertFalse(job.outcome.done())

    async def test_remaining_tasks_are_stopped(self) -> None:
        """Guards against runs that go on after their job is over."""
        job = await self.submit_job(1, 3)
        self.complete(job, 0, messages.Outcome.done)
        self.coordinator.finish(job)
        stopped = self.link.sent_of(messages.StopTasks)
        self.assertEqual(
            [each.runs for each in stopped],
            [[messages.RunId(1, 1), messages.RunId(2, 1)]],
        )


class TestRefusals(CoordinatorCase):
    """Jobs that are refused as not run have not started and do not start."""

    async def test_free_capacity_reported_after_refusal(self) -> None:
        """Guards against the start of a job that has been refused.

        A load report placed the job after the refusal was set and before the
        waiting request handler ran.
        """
        self.report_load(self.agent, messages.Resources(0, 0, 0))
        job = self.make_job(1, 2, wait=0.01)
        self.coordinator.submit(job)
        with mock.patch.object(self.coordinator, 'finish'):
            await asyncio.wait([job.outcome], timeout=20)
            self.report_load(self.agent, CAPACITY)
            await run_event_loop()
        error = job.outcome.exception()
        self.assertIsInstance(error, errors.PoplardrumError)
        self.assertEqual(self.count_starts(), 0)

    async def test_started_job_is_not_refused(self) -> None:
        """Guards against refusing a job of which a task has started."""
        self.report_load(self.agent, DEMAND)
        job = self.make_job(1, 2, wait=0.01)
        self.coordinator.submit(job)
        await asyncio.sleep(0.05)
        self.assertEqual(self.count_starts(), 1)
        self.assertFalse(job.outcome.done())

    async def test_client_timeout_before_a_start(self) -> None:
        """Guards against reporting an unstarted job as one that may have run.

        This happened to a job that was submitted again with 1 ms of its client
        timeout left.
        """
        self.report_load(self.agent, messages.Resources(0, 0, 0))
        job = self.make_job(1, 2)
        job.deadline = job.arrived_at
        self.coordinator.submit(job)
        await asyncio.wait([job.outcome], timeout=20)
        error = typing.cast(errors.PoplardrumError, job.outcome.exception())
        self.assertIs(error.verdict, errors.Verdict.not_run)

    async def test_no_start_after_failed_outcome(self) -> None:
        """Guards against starts for a job that has an outcome."""
        job = await self.submit_job(1, 2)
        for _ in range(2):
            self.complete(job, 0, messages.Outcome.failed)
            await run_event_loop()
        before = self.count_starts()
        self.complete(job, 1, messages.Outcome.lost)
        await run_event_loop()
        self.assertEqual(self.count_starts(), before)


class TestLostAgents(CoordinatorCase):
    """Tasks of an agent whose connection is lost."""

    async def test_no_second_run_while_first_may_run(self) -> None:
        """Guards against two concurrent runs of a task."""
        job = await self.submit_job(1, 2)
        other, link = self.connect('side-2')
        self.agent.on_disconnected()
        self.coordinator.schedule_expiry(self.agent)
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_starts(link), 0)
        with mock.patch.object(timing, 'LOST_AGENT_TIMEOUT_S', 0.01):
            self.coordinator.schedule_expiry(self.agent)
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_starts(link), 2)
        self.assertEqual([task.run_number for task in job.tasks], [2, 2])

    async def test_agent_reconnects(self) -> None:
        """Guards against losing the runs of an agent that reconnects soon."""
        job = await self.submit_job(1, 2)
        self.agent.on_disconnected()
        self.coordinator.schedule_expiry(self.agent)
        link = dispatch_world.FakeLink()
        self.agent.on_connected(typing.cast(connections.Link, link))
        active_runs = messages.ActiveRuns([(job.id, messages.RunId(0, 1))])
        self.coordinator.handle_message(self.agent, active_runs)
        self.report_load(self.agent, CAPACITY)
        await run_event_loop()
        commands = link.sent_of(messages.StartTasks)
        self.assertEqual(
            [command.runs for command in commands],
            [[messages.RunId(1, 2)]],
        )

    async def test_tasks_of_finished_jobs_are_stopped(self) -> None:
        """Guards against runs that go on because their stop was lost with a link."""
        run = messages.RunId(0, 1)
        unknown = ids.JobId('00000000000000ff')
        self.coordinator.handle_message(
            self.agent, messages.ActiveRuns([(unknown, run)])
        )
        self.assertEqual(
            self.link.sent_of(messages.StopTasks),
            [messages.StopTasks(unknown, [run])],
        )

    async def test_new_process_of_an_agent(self) -> None:
        """Guards against waiting for runs that the restart of an agent has ended."""
        await self.submit_job(1, 2)
        self.agent.on_disconnected()
        self.coordinator.schedule_expiry(self.agent)
        _, link = self.connect('side-1')
        await run_event_loop()
        self.assertEqual(self.count_starts(link), 2)

    async def test_second_loss_within_the_timeout(self) -> None:
        """Guards against a second run while that of a lost agent is active.

        An agent lost its link, came back and lost it again. The timer of the
        first loss expired it soon after the second one, and its tasks were
        started elsewhere while they ran. Found by test_killed_agent.
        """
        job = await self.submit_job(1, 2)
        with mock.patch.object(timing, 'LOST_AGENT_TIMEOUT_S', 0.5):
            self.lose(self.agent)
            await asyncio.sleep(0.3)
            self.agent.on_connected(typing.cast(connections.Link, self.link))
            self.lose(self.agent)
            _, other = self.connect('side-2')
            await asyncio.sleep(0.35)
            self.assertEqual(self.count_starts(other), 0)
            await dispatch_world.wait_until(lambda: self.count_starts(other))
        self.assertEqual(job.tasks[0].run_number, 2)

    def lose(self, agent: fleet.Agent) -> None:
        """Lose the link of an agent."""
        agent.on_disconnected()
        self.coordinator.schedule_expiry(agent)


class TestCapacity(CoordinatorCase):
    """The free capacity of agents as tracked by an entry."""

    async def test_starts_in_flight_reserve_capacity(self) -> None:
        """Guards against overbooking after a load report older than the last start."""
        await self.submit_job(1, 4)
        stale = messages.Load(0, True, CAPACITY, CAPACITY, 1.0, 'intake', [])
        self.coordinator.handle_message(self.agent, stale)
        await self.submit_job(2, 4)
        self.assertEqual(self.count_starts(), 4)

    async def test_refused_task_is_placed_elsewhere(self) -> None:
        """Guards against losing a task when an agent has no capacity."""
        job = await self.submit_job(1, 2)
        _, link = self.connect('side-2')
        self.report_load(self.agent, messages.Resources(0, 0, 0))
        refused = messages.Refused(
            job.id,
            [messages.RunId(0, 1)],
            messages.Refusal.no_room,
        )
        self.coordinator.handle_message(self.agent, refused)
        await dispatch_world.wait_until(lambda: self.count_starts(link) == 1)

    async def test_refused_start_is_sent_elsewhere_at_once(self) -> None:
        """Guards against a delay of each start that met a full endpoint.

        Pattern: several entries choose the same endpoint at once.
        """
        other, other_link = self.connect('side-2', messages.Resources(0, 0, 0))
        job = await self.submit_job(1, 1)
        self.report_load(other, CAPACITY)
        refusal = messages.Refused(
            job.id, [messages.RunId(0, 1)], messages.Refusal.no_room
        )
        self.coordinator.handle_message(self.agent, refusal)
        self.report_load(self.agent, messages.Resources(0, 0, 0))
        await run_event_loop()
        self.assertEqual(self.count_starts(other_link), 1)

    async def test_waiting_job_does_not_block_others(self) -> None:
        """Guards against a job that fits no endpoint blocking all others."""
        wide = self.make_job(1, 1, demand=messages.Resources(9000, 64, 0))
        self.coordinator.submit(wide)
        await self.submit_job(2, 1)
        self.assertEqual(self.count_starts(), 1)


class TestSteps(CoordinatorCase):
    """Jobs with several steps and spread limits."""

    async def submit_steps(self, *steps: jobs.Step) -> jobs.Job:
        """Submit a job with the given steps."""
        job = self.make_job(1, 1)
        job.steps = list(steps)
        job.tasks = jobs.make_tasks(steps)
        self.coordinator.submit(job)
        await run_event_loop()
        return job

    async def test_step_waits_for_predecessors(self) -> None:
        """Guards against a start before all tasks of the preceding steps are done."""
        job = await self.submit_steps(
            jobs.Step(0, 0, 2, DEMAND, 0.1),
            jobs.Step(1, 2, 1, DEMAND, 0.1, after=(0,)),
        )
        self.assertEqual(self.count_starts(), 2)
        self.complete(job, 0, messages.Outcome.done)
        await run_event_loop()
        self.assertEqual(self.count_starts(), 2)
        self.complete(job, 1, messages.Outcome.done)
        await run_event_loop()
        command = self.link.sent_of(messages.StartTasks)[-1]
        self.assertEqual((command.step, command.first_index), (1, 2))
        self.assertFalse(job.outcome.done())
        self.complete(job, 2, messages.Outcome.done)
        self.assertIs(job.outcome.result(), jobs.JobOutcome.completed)

    async def test_spread_limit(self) -> None:
        """Guards against more tasks at one endpoint than the step allows."""
        _, other = self.connect('side-2')
        step = jobs.Step(0, 0, 3, DEMAND, 0.1, spread_limit=1)
        job = await self.submit_steps(step)
        self.assertEqual(
            [self.count_starts(), self.count_starts(other)], [1, 1]
        )
        self.complete(
            job, job.tasks[0].index, messages.Outcome.done, self.agent_of(0)
        )
        await run_event_loop()
        self.assertEqual(self.count_starts() + self.count_starts(other), 3)

    def agent_of(self, index: int) -> fleet.Agent:
        """Return the agent at which a task of the only job is placed."""
        job = next(iter(self.coordinator.jobs.values()))
        agent = job.tasks[index].agent
        if agent is None:
            self.fail('task not placed')
        return agent
