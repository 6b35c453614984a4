"""Jobs of an entry against agents without a network."""

import asyncio
import typing
import unittest
from unittest import mock

from poplardrum import errors, ids
from poplardrum.dispatch import coordinator, fleet, jobs, messages, timing
from tests import dispatch_world

NEED: typing.Final = messages.Resources(1000, 64, 0)
ROOM: typing.Final = messages.Resources(4000, 4096, 0)


class CoordinatorCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: a coordinator with one agent that has room for four."""

    async def asyncSetUp(self) -> None:
        """Connect the agent."""
        self.jobs = coordinator.Coordinator('toledo')
        self.agent, self.link = self.connect('side-1')

    def connect(
        self,
        node: str,
        room: messages.Resources = ROOM,
    ) -> tuple[fleet.Agent, dispatch_world.FakeLink]:
        """Connect an agent that accepts tasks."""
        agent = fleet.Agent(node, 'toledo', ids.new_incarnation())
        link = dispatch_world.FakeLink()
        self.jobs.attach(agent)
        agent.connected(typing.cast(messages.Link, link))
        self.report(agent, room)
        return agent, link

    def report(self, agent: fleet.Agent, room: messages.Resources) -> None:
        """Report the room that is free at an agent."""
        load = messages.Load(agent.orders, True, room, ROOM, 1.0, 'intake', [])
        self.jobs.take(agent, load)

    def job(
        self,
        number: int,
        tasks: int,
        wait: float = 5.0,
        need: messages.Resources = NEED,
    ) -> jobs.Job:
        """Return a job that waits `wait` seconds for room."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        step = jobs.Step(0, 0, tasks, need, 0.1)
        return jobs.Job(
            id=ids.JobId(f'{number:016x}'),
            queue='r-1',
            urgency=0,
            attempts=2,
            specification='specification',
            service='intake',
            steps=[step],
            estimate=0.1,
            patience=30.0,
            work=0.1,
            predicted=False,
            tasks=jobs.make_tasks([step]),
            arrived=now,
            aim=10.0,
            refuse_at=now + wait,
            give_up_at=now + 30.0,
            answer=loop.create_future(),
        )

    async def submit(self, number: int, tasks: int) -> jobs.Job:
        """Submit a job and let the coordinator place it."""
        job = self.job(number, tasks)
        self.jobs.submit(job)
        await turns()
        return job

    def end(
        self,
        job: jobs.Job,
        index: int,
        outcome: messages.Outcome,
        agent: fleet.Agent | None = None,
    ) -> None:
        """Report the end of the present run of a task."""
        run = messages.RunId(index, job.tasks[index].run)
        self.jobs.take(
            agent or self.agent,
            messages.Completion(job.id, run, outcome),
        )

    def started(self, link: dispatch_world.FakeLink | None = None) -> int:
        """Return how many runs were ordered at an agent."""
        orders = (link or self.link).of(messages.StartTasks)
        return sum(len(order.runs) for order in orders)


async def turns() -> None:
    """Let the event loop turn a few times."""
    for _ in range(5):
        await asyncio.sleep(0)


class TestAnswers(CoordinatorCase):
    """Answers that are complete or plainly failed."""

    async def test_completed(self) -> None:
        """Guards against an answer before the last task has ended."""
        job = await self.submit(1, 2)
        self.end(job, 0, messages.Outcome.done)
        self.assertFalse(job.answer.done())
        self.end(job, 1, messages.Outcome.done)
        self.assertIs(job.answer.result(), jobs.Answer.completed)

    async def test_failed_after_its_attempts(self) -> None:
        """Guards against endless starts of a task that cannot run."""
        job = await self.submit(1, 1)
        self.end(job, 0, messages.Outcome.failed)
        await turns()
        self.assertFalse(job.answer.done())
        self.end(job, 0, messages.Outcome.failed)
        self.assertIs(job.answer.result(), jobs.Answer.failed)
        self.assertEqual(self.started(), 2)

    async def test_end_of_an_earlier_run(self) -> None:
        """Guards against a late message that ends the present run."""
        job = await self.submit(1, 1)
        self.end(job, 0, messages.Outcome.lost)
        await turns()
        late = messages.Completion(
            job.id,
            messages.RunId(0, 1),
            messages.Outcome.done,
        )
        self.jobs.take(self.agent, late)
        self.assertFalse(job.answer.done())

    async def test_leftovers_are_stopped(self) -> None:
        """Guards against tasks that run on after their job was answered."""
        job = await self.submit(1, 3)
        self.end(job, 0, messages.Outcome.done)
        self.jobs.finish(job)
        stopped = self.link.of(messages.StopTasks)
        self.assertEqual([each.task_indexes for each in stopped], [[1, 2]])


class TestRefusals(CoordinatorCase):
    """A refusal that says "not run" is true."""

    async def test_room_in_the_turn_of_the_refusal(self) -> None:
        """Guards against a start after a refusal was decided.

        Found on a small grown day (scale-1): the refusal was set, and
        before its handler ran a report of room placed the job.
        """
        self.report(self.agent, messages.Resources(0, 0, 0))
        job = self.job(1, 2, wait=0.01)
        self.jobs.submit(job)
        with mock.patch.object(self.jobs, 'finish'):
            await asyncio.wait([job.answer], timeout=20)
            self.report(self.agent, ROOM)
            await turns()
        error = job.answer.exception()
        self.assertIsInstance(error, errors.PoplardrumError)
        self.assertEqual(self.started(), 0)

    async def test_started_job_is_not_refused(self) -> None:
        """Guards against a refusal of a job of which a task has started."""
        self.report(self.agent, NEED)
        job = self.job(1, 2, wait=0.01)
        self.jobs.submit(job)
        await asyncio.sleep(0.05)
        self.assertEqual(self.started(), 1)
        self.assertFalse(job.answer.done())

    async def test_patience_that_is_over_before_a_start(self) -> None:
        """Guards against doubt about a job of which nothing has started.

        Seen in the log of caballeriza-comun scale-2: a job sent again with
        1 ms of patience left was answered as one that may have run.
        """
        self.report(self.agent, messages.Resources(0, 0, 0))
        job = self.job(1, 2)
        job.give_up_at = job.arrived
        self.jobs.submit(job)
        await asyncio.wait([job.answer], timeout=20)
        error = typing.cast(errors.PoplardrumError, job.answer.exception())
        self.assertIs(error.verdict, errors.Verdict.not_run)

    async def test_no_task_after_a_failed_answer(self) -> None:
        """Guards against new starts for a job that is answered."""
        job = await self.submit(1, 2)
        for _ in range(2):
            self.end(job, 0, messages.Outcome.failed)
            await turns()
        before = self.started()
        self.end(job, 1, messages.Outcome.lost)
        await turns()
        self.assertEqual(self.started(), before)


class TestLostAgents(CoordinatorCase):
    """Tasks of an agent whose connection is lost."""

    async def test_no_second_run_before_the_first_is_over(self) -> None:
        """Guards against two runs of a task at the same time."""
        job = await self.submit(1, 2)
        other, link = self.connect('side-2')
        self.agent.disconnected()
        self.jobs.detach(self.agent)
        await asyncio.sleep(0.1)
        self.assertEqual(self.started(link), 0)
        with mock.patch.object(timing, 'IN_DOUBT', 0.01):
            self.jobs.detach(self.agent)
        await asyncio.sleep(0.1)
        self.assertEqual(self.started(link), 2)
        self.assertEqual([task.run for task in job.tasks], [2, 2])

    async def test_agent_that_connects_again(self) -> None:
        """Guards against tasks thrown away for a short break."""
        job = await self.submit(1, 2)
        self.agent.disconnected()
        self.jobs.detach(self.agent)
        link = dispatch_world.FakeLink()
        self.agent.connected(typing.cast(messages.Link, link))
        held = messages.ActiveRuns([(job.id, messages.RunId(0, 1))])
        self.jobs.take(self.agent, held)
        self.report(self.agent, ROOM)
        await turns()
        orders = link.of(messages.StartTasks)
        self.assertEqual(
            [order.runs for order in orders],
            [[messages.RunId(1, 2)]],
        )

    async def test_tasks_of_finished_jobs_are_stopped(self) -> None:
        """Guards against runs that outlive their job in a broken link."""
        run = messages.RunId(0, 1)
        unknown = ids.JobId('00000000000000ff')
        self.jobs.take(self.agent, messages.ActiveRuns([(unknown, run)]))
        self.assertEqual(
            self.link.of(messages.StopTasks),
            [messages.StopTasks(unknown, [0])],
        )

    async def test_new_process_of_an_agent(self) -> None:
        """Guards against waiting for runs that its start has ended."""
        await self.submit(1, 2)
        self.agent.disconnected()
        self.jobs.detach(self.agent)
        _, link = self.connect('side-1')
        await turns()
        self.assertEqual(self.started(link), 2)


class TestRoom(CoordinatorCase):
    """What an entry believes about free room."""

    async def test_orders_on_the_way_take_room(self) -> None:
        """Guards against orders beyond a report that is older than they."""
        await self.submit(1, 4)
        stale = messages.Load(0, True, ROOM, ROOM, 1.0, 'intake', [])
        self.jobs.take(self.agent, stale)
        await self.submit(2, 4)
        self.assertEqual(self.started(), 4)

    async def test_refused_task_goes_elsewhere(self) -> None:
        """Guards against a task that is lost when an agent is full."""
        job = await self.submit(1, 2)
        _, link = self.connect('side-2')
        self.report(self.agent, messages.Resources(0, 0, 0))
        refused = messages.Refused(
            job.id,
            [messages.RunId(0, 1)],
            messages.Refusal.no_room,
        )
        self.jobs.take(self.agent, refused)
        await dispatch_world.until(lambda: self.started(link) == 1)

    async def test_waiting_job_does_not_hold_up_others(self) -> None:
        """Guards against one job that no endpoint suits blocking all."""
        wide = self.job(1, 1, need=messages.Resources(9000, 64, 0))
        self.jobs.submit(wide)
        await self.submit(2, 1)
        self.assertEqual(self.started(), 1)


class TestSteps(CoordinatorCase):
    """Jobs whose steps follow one another."""

    async def steps(self, *steps: jobs.Step) -> jobs.Job:
        """Submit a job of steps."""
        job = self.job(1, 1)
        job.steps = list(steps)
        job.tasks = jobs.make_tasks(steps)
        self.jobs.submit(job)
        await turns()
        return job

    async def test_step_waits_for_those_before(self) -> None:
        """Guards against a start before all earlier tasks have ended."""
        job = await self.steps(
            jobs.Step(0, 0, 2, NEED, 0.1),
            jobs.Step(1, 2, 1, NEED, 0.1, after=(0,)),
        )
        self.assertEqual(self.started(), 2)
        self.end(job, 0, messages.Outcome.done)
        await turns()
        self.assertEqual(self.started(), 2)
        self.end(job, 1, messages.Outcome.done)
        await turns()
        order = self.link.of(messages.StartTasks)[-1]
        self.assertEqual((order.step, order.first_index), (1, 2))
        self.assertFalse(job.answer.done())
        self.end(job, 2, messages.Outcome.done)
        self.assertIs(job.answer.result(), jobs.Answer.completed)

    async def test_tasks_of_a_step_that_must_be_apart(self) -> None:
        """Guards against more tasks at one endpoint than the step allows."""
        _, other = self.connect('side-2')
        step = jobs.Step(0, 0, 3, NEED, 0.1, spread_limit=1)
        job = await self.steps(step)
        self.assertEqual([self.started(), self.started(other)], [1, 1])
        self.end(job, job.tasks[0].index, messages.Outcome.done, self.owner(0))
        await turns()
        self.assertEqual(self.started() + self.started(other), 3)

    def owner(self, index: int) -> fleet.Agent:
        """Return the agent that has a task of the only job."""
        job = next(iter(self.jobs.jobs.values()))
        agent = job.tasks[index].agent
        if agent is None:
            self.fail('task not placed')
        return agent


class TestChain(unittest.TestCase):
    """The longest chain of steps."""

    def test_parallel_branches(self) -> None:
        """Guards against an aim that adds up steps that run side by side."""
        steps = [
            jobs.Step(0, 0, 1, NEED, 1.0),
            jobs.Step(1, 1, 4, NEED, 2.0, after=(0,)),
            jobs.Step(2, 5, 1, NEED, 0.5, after=(0,)),
            jobs.Step(3, 6, 1, NEED, 1.0, after=(1, 2)),
        ]
        self.assertEqual(jobs.chain(steps), 4.0)
