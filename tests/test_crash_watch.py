"""Crashes of an endpoint as its agent sees them, without a network."""

import asyncio
import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import (
    crash_watch,
    endpoint_runs,
    messages,
    timing,
)
from poplardrum.standins import leased_endpoint
from tests import dispatch_world

JOB_ID: typing.Final = dispatch_world.JOB_ID
OTHER_JOB: typing.Final = ids.JobId('00000000000000aa')
# Longer than the time in which a task crashes its endpoint after its start.
APART_S: typing.Final = 1.5 * timing.CRASH_WINDOW_S


class CrashCase(unittest.IsolatedAsyncioTestCase):
    """An executor whose endpoint runs tasks for a long time."""

    async def asyncSetUp(self) -> None:
        """Start the executor."""
        self.world = dispatch_world.World(duration=5, cpu=8000)
        self.notices: list[messages.CrashNotice] = []
        self.world.executor.monitor.crashes.publish = self.notices.append
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)

    def states(self) -> list[messages.CrashState]:
        """Return the states of all notices."""
        return [notice.state for notice in self.notices]

    async def start_and_wait(self, job: ids.JobId) -> None:
        """Start one task of a job and wait until it runs."""
        count = len(self.world.endpoint.leased.started_runs)
        self.world.start_tasks(1, job=job)
        await dispatch_world.wait_until(
            lambda: len(self.world.endpoint.leased.started_runs) > count
        )

    async def lose_endpoint(self) -> None:
        """Break the endpoint's connections until its loss is noticed."""
        self.world.endpoint.unreachable = True
        await dispatch_world.wait_until(
            lambda: not self.world.executor.endpoint_reachable
        )

    def restart_endpoint(self) -> None:
        """Start the next incarnation of the endpoint."""
        endpoint = self.world.endpoint
        endpoint.leased = leased_endpoint.LeasedEndpoint(dispatch_world.LEASE_S)
        endpoint.incarnation += 1
        endpoint.unreachable = False
        self.world.send_heartbeat('ready')


class TestNotices(CrashCase):
    """What entries hear of the loss of an endpoint."""

    async def test_crash(self) -> None:
        """Guards against a crash that is not laid on the last started tasks."""
        await self.start_and_wait(OTHER_JOB)
        await asyncio.sleep(APART_S)
        await self.start_and_wait(JOB_ID)
        await self.lose_endpoint()
        self.restart_endpoint()
        tasks = [ids.TaskId(JOB_ID, 0)]
        bystanders = [ids.TaskId(OTHER_JOB, 0)]
        self.assertEqual(
            self.notices,
            [
                messages.CrashNotice(1, state, tasks, bystanders)
                for state in (
                    messages.CrashState.suspected,
                    messages.CrashState.confirmed,
                )
            ],
        )

    async def test_start_without_a_reply(self) -> None:
        """Guards against a crash laid on a task that had never started there."""
        self.world.endpoint.faults['start'] = ['lost']
        self.world.start_tasks(1)
        await self.lose_endpoint()
        self.restart_endpoint()
        self.assertEqual(self.notices[-1].tasks, [])
        self.assertEqual(self.notices[-1].bystanders, [ids.TaskId(JOB_ID, 0)])

    async def test_cut(self) -> None:
        """Guards against a cut that counts as a crash."""
        await self.start_and_wait(JOB_ID)
        await self.lose_endpoint()
        self.world.endpoint.unreachable = False
        await dispatch_world.wait_until(lambda: len(self.notices) == 2)
        self.assertEqual(self.states()[-1], messages.CrashState.refuted)

    async def test_run_of_the_next_incarnation(self) -> None:
        """Guards against a task that is blamed for a crash before its start.

        The next incarnation had accepted it before its agent knew of it.
        """
        await self.start_and_wait(JOB_ID)
        self.world.endpoint.default_faults['fetch_report'] = 'lost'
        endpoint = self.world.endpoint
        endpoint.leased = leased_endpoint.LeasedEndpoint(dispatch_world.LEASE_S)
        endpoint.incarnation += 1
        await self.start_and_wait(OTHER_JOB)
        endpoint.default_faults.clear()
        await dispatch_world.wait_until(lambda: self.notices)
        blamed = {
            task.job
            for notice in self.notices
            for task in (*notice.tasks, *notice.bystanders)
        }
        self.assertEqual(blamed, {JOB_ID})

    async def test_planned_end(self) -> None:
        """Guards against an endpoint that drained and left counting as crashed."""
        await self.start_and_wait(JOB_ID)
        self.world.send_heartbeat('draining')
        await self.lose_endpoint()
        self.restart_endpoint()
        self.assertEqual(self.states()[-1], messages.CrashState.refuted)

    async def test_single_lost_reply(self) -> None:
        """Guards against suspicion by one reply that was lost."""
        await self.start_and_wait(JOB_ID)
        self.world.endpoint.faults['fetch_report'] = ['silent']
        await dispatch_world.wait_until(
            lambda: not self.world.endpoint.faults['fetch_report']
        )
        await asyncio.sleep(0.2)
        self.restart_endpoint()
        self.assertNotIn(messages.CrashState.suspected, self.states())

    async def test_crash_without_runs(self) -> None:
        """Guards against notices that concern no task."""
        self.restart_endpoint()
        self.assertEqual(self.notices, [])

    async def test_second_crash(self) -> None:
        """Guards against a crash that is missed after an earlier one."""
        for incarnation in (1, 2):
            await self.start_and_wait(JOB_ID)
            await self.lose_endpoint()
            self.restart_endpoint()
            self.assertEqual(
                self.notices[-1].incarnation,
                incarnation,
            )
            await dispatch_world.wait_until(self.world.executor.is_accepting)
        self.assertEqual(self.states().count(messages.CrashState.confirmed), 2)


class TestBusyAgent(unittest.TestCase):
    """A crash that is noticed so late that several runs seem recent."""

    def test_isolated_runs(self) -> None:
        """Guards against the end of a job beside a guilty one (LOST).

        Both had started apart, as tasks that are suspected.
        """
        world = dispatch_world.World()
        runs = [
            endpoint_runs.Run(
                world.session,
                job,
                messages.RunId(0, 2),
                dispatch_world.DEMAND,
                0.05,
                state=endpoint_runs.RunState.running,
                started_at=started_at,
                is_isolated=True,
            )
            for job, started_at in ((OTHER_JOB, 1000.0), (JOB_ID, 1000.15))
        ]
        watch = crash_watch.CrashWatch()
        notices: list[messages.CrashNotice] = []
        watch.publish = notices.append
        watch.record_failure(1, runs, last_contact_at=1000.05)
        watch.record_loss()
        self.assertEqual(notices[0].tasks, [ids.TaskId(JOB_ID, 0)])
        self.assertEqual(notices[0].bystanders, [ids.TaskId(OTHER_JOB, 0)])


class TestIsolation(CrashCase):
    """Starts of tasks that are suspected of crashes."""

    def isolate(self, isolation: messages.Isolation) -> None:
        """Send a command to start a suspected task."""
        self.world.executor.start(
            self.world.session,
            messages.StartTasks(
                JOB_ID,
                'specification',
                dispatch_world.DEMAND,
                0.05,
                [messages.RunId(0, 1)],
                isolation=isolation,
            ),
        )

    def refusals(self) -> list[messages.Refusal]:
        """Return the reasons of all refusals."""
        return [
            each.reason for each in self.world.link.sent_of(messages.Refused)
        ]

    async def test_not_beside_a_task_that_starts(self) -> None:
        """Guards against a crash that two tasks may have caused."""
        await self.start_and_wait(OTHER_JOB)
        self.isolate(messages.Isolation.when_quiet)
        self.assertEqual(self.refusals(), [messages.Refusal.conflict])

    async def test_no_task_starts_beside_it(self) -> None:
        """Guards against the same from the other side, and for how long."""
        self.isolate(messages.Isolation.when_quiet)
        self.world.start_tasks(1, job=OTHER_JOB)
        self.assertEqual(self.refusals(), [messages.Refusal.not_accepting])
        await asyncio.sleep(APART_S)
        await self.start_and_wait(OTHER_JOB)

    async def test_by_force(self) -> None:
        """Guards against a task that waits for ever for a quiet endpoint."""
        await self.start_and_wait(OTHER_JOB)
        self.isolate(messages.Isolation.by_force)
        self.assertEqual(self.refusals(), [])
        leased = self.world.endpoint.leased
        await asyncio.sleep(0.6 * timing.CRASH_WINDOW_S)
        self.assertEqual(len(leased.started_runs), 1)
        await dispatch_world.wait_until(lambda: len(leased.started_runs) == 2)
