"""Tests of the detection, reporting and moving of stragglers."""

import asyncio
import math
import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import health, jobs, messages, stragglers
from tests import dispatch_world, test_dispatch_coordinator

TARGET_LATENCY_S: typing.Final = 0.6


class TestRunProgress(unittest.TestCase):
    """Detection of a straggler by its progress."""

    def make_progress(
        self, *observations: tuple[int, float]
    ) -> stragglers.RunProgress:
        """Return the progress of a run started at 0, observed at given times."""
        run_progress = stragglers.RunProgress(0.0)
        for percent, now in observations:
            run_progress.observe(percent, now)
        return run_progress

    def test_usual_run_is_no_straggler(self) -> None:
        """Guards against stopping runs that are on time."""
        run_progress = self.make_progress((10, 0.1), (30, 0.3))
        self.assertIsNone(run_progress.straggler_remaining(0.4, 1.0))

    def test_stalled_run(self) -> None:
        """Guards against waiting for a run that makes no progress."""
        run_progress = self.make_progress((0, 0.0001), (0, 0.2), (0, 0.45))
        self.assertIsNone(run_progress.straggler_remaining(0.2, 1.0))
        self.assertEqual(run_progress.straggler_remaining(0.45, 1.0), math.inf)

    def test_run_that_stalls_halfway(self) -> None:
        """Guards against a projection from progress that has stopped."""
        run_progress = self.make_progress((50, 0.5), (50, 0.9))
        self.assertEqual(run_progress.straggler_remaining(0.9, 1.0), math.inf)

    def test_slow_progress_of_long_task(self) -> None:
        """Guards against treating a long run as stalled."""
        run_progress = self.make_progress((1, 0.3), (2, 0.6), (3, 0.9))
        self.assertIsNone(run_progress.straggler_remaining(1.0, 1.0))

    def test_slow_run(self) -> None:
        """Guards against noticing a slow run only at its end."""
        run_progress = self.make_progress((5, 0.3))
        self.assertAlmostEqual(
            run_progress.straggler_remaining(0.3, 1.0) or 0, 5.7
        )

    def test_report_right_after_the_start(self) -> None:
        """Guards against a projection from rounded progress."""
        run_progress = self.make_progress((1, 0.2))
        self.assertIsNone(run_progress.projected_duration())

    def test_single_run_gives_no_slowness(self) -> None:
        """Guards against a long task making an endpoint look slow."""
        one = (self.make_progress((10, 0.6)), 1.0)
        self.assertIsNone(stragglers.active_slowness([one]))
        ratio = stragglers.active_slowness([one, one])
        self.assertAlmostEqual(ratio or 0, 6.0)


class TestWorthMoving(unittest.TestCase):
    """Whether a restart elsewhere is better for the caller."""

    cases: typing.ClassVar = {
        'stalled': (math.inf, 0.3, True),
        'on time elsewhere': (3.0, 0.3, True),
        'too late here and elsewhere': (9.0, 3.0, False),
        'on time here': (0.4, 0.1, False),
        'late but of use elsewhere': (3.0, 0.9, True),
        'late here and elsewhere': (1.0, 0.9, False),
        'small gain': (0.55, 0.45, False),
    }

    def test_cases(self) -> None:
        """Guards against moves without a benefit for the caller."""
        for name, (remaining, restart_duration, expected) in self.cases.items():
            with self.subTest(name):
                is_worth_moving = stragglers.is_worth_moving(
                    0.1,
                    remaining,
                    restart_duration,
                    TARGET_LATENCY_S,
                    TARGET_LATENCY_S,
                )
                self.assertIs(is_worth_moving, expected)


class TestRecentSlowness(unittest.TestCase):
    """Slowness from the progress of active runs."""

    def test_slow_runs_count_at_once(self) -> None:
        """Guards against more tasks for an endpoint that has become slow."""
        recent = health.RecentSlowness()
        recent.observe(6.5, 1.0, 10.0)
        self.assertEqual(recent.value(1.0, 10.5), 6.5)

    def test_usual_variation_is_ignored(self) -> None:
        """Guards against avoiding a fast endpoint because of long tasks."""
        recent = health.RecentSlowness()
        recent.observe(1.7, 1.0, 10.0)
        self.assertEqual(recent.value(1.0, 10.0), 1.0)

    def test_expires_after_its_validity(self) -> None:
        """Guards against avoiding an endpoint forever."""
        recent = health.RecentSlowness()
        recent.observe(6.5, 1.0, 10.0)
        self.assertEqual(recent.value(1.0, 11.5), 1.0)

    def test_validity_grows_while_slow(self) -> None:
        """Guards against probes each second while an endpoint stays slow."""
        recent = health.RecentSlowness()
        recent.observe(6.5, 1.0, 10.0)
        recent.observe(6.5, 1.0, 11.5)
        self.assertEqual(recent.value(1.0, 13.0), 6.5)
        recent.observe(1.0, 1.0, 14.0)
        recent.observe(6.5, 1.0, 20.0)
        self.assertEqual(recent.value(1.0, 21.5), 1.0)


class TestStalledEndpoint(unittest.IsolatedAsyncioTestCase):
    """An agent at whose endpoint runs stall."""

    async def asyncSetUp(self) -> None:
        """Start the executor."""
        self.world = dispatch_world.World(0.05)
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)

    async def test_straggler_is_reported_and_endpoint_ejected(self) -> None:
        """Guards against missing stalled runs while heartbeats are healthy."""
        self.world.endpoint.stalled = True
        for number in (1, 2):
            job = dispatch_world.JOB_ID[:-1] + str(number)
            self.world.start_tasks(1, job=ids.JobId(job))
        await dispatch_world.wait_until(
            lambda: len(self.world.link.sent_of(messages.Straggler)) >= 2
        )
        straggler = self.world.link.sent_of(messages.Straggler)[0]
        self.assertEqual(straggler.remaining, math.inf)
        self.assertFalse(self.world.executor.is_accepting())

    async def test_run_goes_on_until_it_is_stopped(self) -> None:
        """Guards against removing a run that may still be active."""
        self.world.endpoint.stalled = True
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.link.sent_of(messages.Straggler)
        )
        self.assertEqual(self.world.outcomes(), [])
        self.world.stop_tasks([0])
        await dispatch_world.wait_until(self.world.outcomes)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.stopped])


class TestStragglersAtEntry(test_dispatch_coordinator.CoordinatorCase):
    """Handling of stragglers by the coordinator."""

    async def report_straggler(self, job: jobs.Job, remaining: float) -> None:
        """Report the run of the first task as a straggler."""
        run = messages.RunId(0, job.tasks[0].run_number)
        self.coordinator.handle_message(
            self.agent, messages.Straggler(job.id, run, remaining)
        )
        await asyncio.sleep(0)

    async def submit_placed(self) -> jobs.Job:
        """Submit a job of one task that is on time if it is moved."""
        job = self.make_job(1, 1)
        job.has_prediction = True
        job.target_latency = TARGET_LATENCY_S
        self.coordinator.submit(job)
        await test_dispatch_coordinator.run_event_loop()
        return job

    async def test_restarted_only_after_completion(self) -> None:
        """Guards against two concurrent runs of a task."""
        job = await self.submit_placed()
        _, other = self.connect('side-2')
        await self.report_straggler(job, math.inf)
        stops = self.link.sent_of(messages.StopTasks)
        self.assertEqual(
            stops, [messages.StopTasks(job.id, [messages.RunId(0, 1)])]
        )
        self.assertEqual(self.count_starts(other), 0)
        self.complete(job, 0, messages.Outcome.stopped)
        await test_dispatch_coordinator.run_event_loop()
        self.assertEqual(self.count_starts(other), 1)

    async def test_not_stopped_without_free_capacity_elsewhere(self) -> None:
        """Guards against a stop if no other endpoint has free capacity."""
        job = await self.submit_placed()
        await self.report_straggler(job, math.inf)
        self.assertEqual(self.link.sent_of(messages.StopTasks), [])

    async def test_moved_once(self) -> None:
        """Guards against stopping a long task at one endpoint after another."""
        job = await self.submit_placed()
        _, other = self.connect('side-2')
        await self.report_straggler(job, math.inf)
        await self.report_straggler(job, math.inf)
        self.assertEqual(len(self.link.sent_of(messages.StopTasks)), 1)

    async def test_stalled_run_before_the_first_prediction(self) -> None:
        """Guards against a stalled task that is held until its deadline.

        An entry that has just started has no predictions yet, and the endpoint
        that it chose lets tasks stand still. Without a prediction a slow run
        may be a long task, but one without any progress is not.
        """
        job = await self.submit_placed()
        job.has_prediction = False
        self.connect('side-2')
        await self.report_straggler(job, 10.0)
        self.assertEqual(self.link.sent_of(messages.StopTasks), [])
        await self.report_straggler(job, math.inf)
        stops = self.link.sent_of(messages.StopTasks)
        self.assertEqual(
            stops, [messages.StopTasks(job.id, [messages.RunId(0, 1)])]
        )
