"""Jobs that are submitted again, and what is left of their first attempt."""

import asyncio
import contextlib
import unittest
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    fleet,
    lifecycle,
    messages,
    run_numbers,
)
from tests import (
    dispatch_world,
    executor_case,
    test_departed_callers,
)


class TestSecondAttempt(unittest.IsolatedAsyncioTestCase):
    """A job that is submitted again to the entry that had its first attempt."""

    async def asyncSetUp(self) -> None:
        """Let a job start, its caller leave and submit the job again."""
        self.entry = test_departed_callers.Entry()
        self.job = ids.JobId(test_departed_callers.JOB_ID)
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        await lifecycle.serve_http(
            stack, self.entry.handler.handle_request, self.entry.address, {}
        )
        self.entry.report_room()
        first = test_departed_callers.Caller(self.entry.address)
        first.submit()
        self.first_runs = await self.wait_for_runs(2)
        first.reset()
        await dispatch_world.wait_until(lambda: not self.entry.coordinator.jobs)
        self.entry.report_room()
        second = test_departed_callers.Caller(self.entry.address)
        stack.callback(second.close)
        second.submit()
        runs = await self.wait_for_runs(4)
        self.second_runs = runs[2:]

    async def wait_for_runs(self, count: int) -> list[messages.RunId]:
        """Wait until runs were sent to the agent; return all of them."""
        await dispatch_world.wait_until(
            lambda: len(self.entry.started_runs()) == count
        )
        return self.entry.started_runs()

    async def replay(self, message: messages.AnyMessage) -> None:
        """Let a message of the first attempt arrive while there is room."""
        agent = self.entry.agent
        capacity = test_departed_callers.CAPACITY
        load = messages.Load(
            agent.starts_sent, True, capacity, capacity, 1.0, 'intake', []
        )
        for each in (message, load):
            self.entry.coordinator.handle_message(agent, each)
        await asyncio.sleep(0.05)

    async def test_refusal(self) -> None:
        """Guards against a second run of a task that is at work.

        The agent had refused the first attempt's run, and sent that again on a
        new link.
        """
        for reason in messages.Refusal:
            with self.subTest(reason=reason):
                await self.replay(
                    messages.Refused(self.job, self.first_runs, reason)
                )
                self.assertEqual(len(self.entry.started_runs()), 4)

    async def test_completion(self) -> None:
        """Guards against an answer to the second caller about the first runs."""
        for run in self.first_runs:
            await self.replay(
                messages.Completion(self.job, run, messages.Outcome.done)
            )
        job = self.entry.coordinator.jobs[self.job]
        self.assertEqual(
            [task.run_id() for task in job.placed_tasks()], self.second_runs
        )

    async def test_loss(self) -> None:
        """Guards against a second run after the loss of a first one."""
        for outcome in (messages.Outcome.stopped, messages.Outcome.lost):
            for run in self.first_runs:
                await self.replay(messages.Completion(self.job, run, outcome))
        self.assertEqual(len(self.entry.started_runs()), 4)

    async def test_straggler(self) -> None:
        """Guards against the stop of a run that has just begun."""
        faster = fleet.Agent('side-2', 'toledo', ids.new_incarnation())
        self.entry.coordinator.add_agent(faster)
        faster.on_connected(dispatch_world.FakeLink().as_link())
        capacity = test_departed_callers.CAPACITY
        self.entry.coordinator.handle_message(
            faster,
            messages.Load(0, True, capacity, capacity, 0.1, 'intake', []),
        )
        stops = len(self.entry.link.sent_of(messages.StopTasks))
        await self.replay(
            messages.Straggler(self.job, self.first_runs[0], float('inf'))
        )
        self.assertEqual(
            len(self.entry.link.sent_of(messages.StopTasks)), stops
        )

    async def test_active_runs(self) -> None:
        """Guards against a first attempt that runs on in place of the second."""
        await self.replay(messages.ActiveRuns([(self.job, self.first_runs[0])]))
        stops = self.entry.link.sent_of(messages.StopTasks)
        self.assertEqual(stops[-1].runs, self.first_runs[:1])
        # The agent has neither run of the second attempt, so both start again.
        self.assertEqual(len(self.entry.started_runs()), 6)

    async def test_learned_durations(self) -> None:
        """Guards against numbers that are taken for counts of runs."""
        job = self.entry.coordinator.jobs[self.job]
        self.assertTrue(job.ran_once())
        self.assertEqual([task.run_count for task in job.tasks], [1, 1])


class TestAgent(executor_case.ExecutorCase):
    """An agent with a run of the second attempt."""

    duration = 30.0

    async def asyncSetUp(self) -> None:
        """Start the second attempt after the first one was stopped."""
        await super().asyncSetUp()
        numbers = run_numbers.RunNumbers(1e9)
        self.first, self.second = (numbers.next_attempt() + 1 for _ in range(2))
        self.world.start_tasks(1, run=self.first)
        leased = self.world.endpoint.leased
        await dispatch_world.wait_until(lambda: leased.running)
        self.world.stop_tasks([0], run=self.first)
        await self.wait_for_results(1)
        self.world.start_tasks(1, run=self.second)
        await dispatch_world.wait_until(lambda: leased.running)

    async def test_endpoint_accepts_it(self) -> None:
        """Guards against a start that the endpoint rejects as not higher."""
        self.assertEqual(self.world.refused(), 0)
        self.assertEqual(
            [run.id.number for run in self.world.executor.runs.values()],
            [self.second],
        )

    async def test_late_stop(self) -> None:
        """Guards against the stop of a run of the second attempt."""
        self.world.stop_tasks([0], run=self.first)
        await asyncio.sleep(0.05)
        runs = self.world.executor.runs.values()
        self.assertEqual([run.stopping for run in runs], [False])


class TestRunNumbers(unittest.TestCase):
    """Numbers of attempts."""

    def setUp(self) -> None:
        """Set the steady clock."""
        self.now = 100.0
        self.enterContext(mock.patch.object(clocks, 'now', lambda: self.now))
        self.numbers = run_numbers.RunNumbers(1e9)

    def test_numbers_rise(self) -> None:
        """Guards against two attempts with the same numbers."""
        first = self.numbers.next_attempt()
        second = self.numbers.next_attempt()
        self.now += 1
        third = self.numbers.next_attempt()
        self.assertLess(first, second)
        self.assertGreaterEqual(third - second, 999_999)

    def test_later_process(self) -> None:
        """Guards against numbers of an entry's earlier process or of another entry.

        Endpoints reject them, and messages about them are still on their way.
        """
        first = self.numbers.next_attempt()
        self.now = 5.0
        other = run_numbers.RunNumbers(1e9 + 1.3)
        self.assertGreater(other.next_attempt(), first + 1_000_000)

    def test_protocol(self) -> None:
        """Guards against numbers that JSON or a peer can't represent exactly."""
        numbers = run_numbers.RunNumbers(4e9)
        self.assertLess(numbers.next_attempt(), 2**53)
