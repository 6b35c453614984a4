"""Tests of forecasts of room, and of the switch of what uses them."""

import asyncio
import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    connections,
    coordinator,
    endpoint_runs,
    entry_sessions,
    forecasts,
    jobs,
    load_reports,
    messages,
    room_forecast,
)
from tests import dispatch_world, look_ahead_site


class TestForecast(unittest.TestCase):
    """What an entry expects of an agent's report."""

    def test_room_counts_from_its_point_on(self) -> None:
        """Guards against room that is expected before its time."""
        agent = look_ahead_site.Site().add_agent(1000, (2, 5, 30))
        expected = [
            forecasts.expected_free_cpu(agent, at)
            for at in (0.0, 0.06, 0.2, 0.5)
        ]
        self.assertEqual(expected, [1000, 3000, 6000, 31000])

    def test_forecast_counts_runs_by_their_expected_end(self) -> None:
        """Guards against forecasts that leave out slowness or overdue runs."""
        session = entry_sessions.EntrySession('front-1', ids.new_incarnation())
        runs = [
            endpoint_runs.Run(
                session,
                ids.JobId('5c0e7a21d94b36f8'),
                messages.RunId(index, 1),
                messages.Resources(look_ahead_site.TASK_CPU, 64, 0),
                estimate,
                added_at=0.0,
            )
            for index, estimate in enumerate((0.07, 0.1, 0.02, 0.0))
        ]
        # At a slowness of 2 they end at 0.14, 0.2 and, overdue by 0.06, 0.16.
        self.assertEqual(room_forecast.room_ahead(runs, 2.0, 0.1), (5, 15, 15))

    def test_forecast_alone_causes_no_report(self) -> None:
        """Guards against reports that are sent as often as forecasts change."""
        world = dispatch_world.World()
        reporter = load_reports.LoadReporter(
            world.executor, set(), 'toledo', forecasts_room=True
        )
        link = typing.cast(connections.Link, world.link)
        link.zone, link.load_sent, link.load_sent_at = 'toledo', None, 0.0
        first = typing.cast(messages.Load, reporter.changed_load(link))
        self.assertEqual(first.forecast, (0, 0, 0))
        self.assertIsNone(reporter.changed_load(link))
        reporter.forecasts_room = False
        link.load_sent = None
        second = typing.cast(messages.Load, reporter.changed_load(link))
        self.assertEqual(second.forecast, ())


class TestSwitch(unittest.IsolatedAsyncioTestCase):
    """Only deployments whose room may run short look ahead."""

    async def place(
        self, *submitted: jobs.Job, free: int, looks_ahead: bool
    ) -> list[bool]:
        """Return which jobs start that are submitted to an entry."""
        site = look_ahead_site.Site()
        entry = coordinator.Coordinator('toledo', looks_ahead=looks_ahead)
        site.index = entry.index
        agent = site.add_agent(free, (0, 6, 6))
        agent.forecast_at = clocks.now()
        loop = asyncio.get_running_loop()
        for job in submitted:
            job.outcome = loop.create_future()
            job.arrived_at = loop.time()
            job.refuse_at, job.deadline = loop.time() + 20, loop.time() + 30
            entry.submit(job)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return [job.started for job in submitted]

    async def place_wide(self, *, looks_ahead: bool) -> bool:
        """Return whether a job starts of which only a part can be in time."""
        job = look_ahead_site.make_job('wide', 16, target=0.5)
        return any(await self.place(job, free=16000, looks_ahead=looks_ahead))

    async def test_job_larger_than_all_gaps_has_a_turn(self) -> None:
        """Guards against gaps that are filled before anyone may reserve them."""
        started = await self.place(
            look_ahead_site.make_job('wide', 1, target=0.5, cpu=9000),
            look_ahead_site.make_job('narrow', 1, 0.4, target=5.0, cpu=4000),
            free=4000,
            looks_ahead=True,
        )
        self.assertEqual(started, [False, False])

    async def test_off_places_as_before(self) -> None:
        """Guards against other decisions where nobody asked for them."""
        self.assertTrue(await self.place_wide(looks_ahead=False))

    async def test_on_holds_what_would_be_late(self) -> None:
        """Guards against a switch that has no effect in the entry."""
        self.assertFalse(await self.place_wide(looks_ahead=True))
