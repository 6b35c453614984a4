"""Tests of placement that looks ahead, without a network."""

import asyncio
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    connections,
    coordinator,
    endpoint_runs,
    entry_sessions,
    fleet,
    forecasts,
    jobs,
    load_reports,
    look_ahead,
    messages,
    placement,
    room_forecast,
    room_index,
)
from tests import dispatch_world, profiles

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


class TestReservation(unittest.TestCase):
    """A wide job reserves the room that runs will leave in 50 to 150 ms."""

    def setUp(self) -> None:
        """Add an agent with a gap that is too small for the wide job."""
        self.site = Site()
        self.agent = self.site.add_agent(4000, (0, 6, 6))
        self.wide = make_job('wide', 1, target=0.5, cpu=9000)

    def narrow(self, duration: float, cpu: int = 4000) -> jobs.Job:
        """Return a job that fits into the gap."""
        return make_job('narrow', 1, duration, target=5.0, cpu=cpu)

    def test_job_that_ends_after_the_reservation_is_held(self) -> None:
        """Guards against narrow jobs that take what a wide job waits for."""
        started = self.site.place(self.wide, self.narrow(duration=0.4))
        self.assertEqual(started, {})
        self.assertIn(('reservations', 'made'), self.site.counts)

    def test_job_that_ends_before_the_reservation_passes(self) -> None:
        """Guards against gaps that stay empty until a wide job starts."""
        started = self.site.place(self.wide, self.narrow(duration=0.1))
        self.assertEqual(started, {'narrow': 1})

    def test_job_that_leaves_enough_passes(self) -> None:
        """Guards against a reservation of more than the wide job needs."""
        started = self.site.place(self.wide, self.narrow(0.4, cpu=1000))
        self.assertEqual(started, {'narrow': 1})

    def test_spare_room_is_given_once(self) -> None:
        """Guards against two narrow jobs that together delay the wide one."""
        first, second = self.narrow(0.4, cpu=1000), self.narrow(0.4, cpu=1000)
        second.id = ids.JobId('second')
        started = self.site.place(self.wide, first, second)
        self.assertEqual(started, {'narrow': 1})

    def test_reservation_is_used(self) -> None:
        """Guards against room that is held from its own job."""
        self.site.place(self.wide)
        self.site.report(self.agent, 10000)
        started = self.site.place(self.wide, now=0.1)
        self.assertEqual(started, {'wide': 1})
        self.assertFalse(self.site.look_ahead.reservations)
        self.assertIn(('reservations', 'used'), self.site.counts)

    def test_reservation_expires(self) -> None:
        """Guards against room that is held by a prediction that was wrong."""
        self.site.place(self.wide)
        narrow = self.narrow(duration=0.4)
        self.assertEqual(self.site.place(narrow, now=0.1), {})
        self.assertEqual(self.site.place(narrow, now=0.25), {'narrow': 1})
        self.assertIn(('reservations', 'expired'), self.site.counts)

    def test_job_that_is_over_gives_its_reservation_up(self) -> None:
        """Guards against room that is held for a caller who has gone."""
        self.site.place(self.wide)
        self.site.look_ahead.forget(self.wide)
        self.assertEqual(
            self.site.place(self.narrow(duration=0.4)), {'narrow': 1}
        )

    def test_other_service_is_not_held(self) -> None:
        """Guards against jobs that wait for room which they cannot use."""
        other = self.site.add_agent(0, (0, 6, 6))
        other.service = 'other'
        self.site.index.update(other)
        job = make_job('other', 1, target=0.5)
        job.service = 'other'
        self.site.place(self.wide, job)
        self.assertEqual(
            {
                service: reservation.job
                for service, reservation in (
                    self.site.look_ahead.reservations.items()
                )
            },
            {'intake': 'wide', 'other': 'other'},
        )

    def test_entry_that_dies_leaves_no_reservation(self) -> None:
        """Guards against room that stays reserved for an entry that is gone."""
        self.site.place(self.wide)
        survivor = look_ahead.LookAhead(self.site.index, float)
        self.site.look_ahead = survivor
        self.assertEqual(
            self.site.place(self.narrow(duration=0.4)), {'narrow': 1}
        )


class TestLateJobs(unittest.TestCase):
    """A burst of wide jobs among narrow ones, with room for few."""

    def setUp(self) -> None:
        """Add two agents with room for three tasks each."""
        self.site = Site()
        for _ in range(2):
            self.site.add_agent(16000, (0, 0, 5))
        self.wide = make_job('wide', 16, target=0.5)
        self.narrow = make_job('narrow', 2, target=5.0)

    def test_job_that_cannot_be_in_time_holds_no_room(self) -> None:
        """Guards against room for a part of a job whose rest comes too late."""
        started = self.site.place(self.wide, self.narrow)
        self.assertEqual(started, {'narrow': 2})

    def test_job_whose_rest_comes_in_time_starts(self) -> None:
        """Guards against wide jobs that wait until all fit at once."""
        started = self.site.place(make_job('wide', 8, target=2.0))
        self.assertEqual(started, {'wide': 6})

    def test_started_job_that_is_late_comes_last(self) -> None:
        """Guards against late jobs that make others late."""
        self.wide.started = True
        started = self.site.place(self.wide, self.narrow)
        self.assertEqual(started, {'narrow': 2, 'wide': 4})

    def test_late_job_is_tried(self) -> None:
        """Guards against a wrong prediction that keeps a kind of jobs out."""
        now = self.wide.last_resort_at
        second = make_job('second', 16, target=0.5)
        started = self.site.place(self.wide, second, now=now)
        self.assertEqual(started, {'wide': 6})
        self.assertIn(('late_jobs', 'tried'), self.site.counts)

    def test_job_without_prediction_starts(self) -> None:
        """Guards against jobs that are held though nothing is known."""
        self.wide.has_prediction = False
        self.assertEqual(self.site.place(self.wide), {'wide': 6})


class TestPredictions(unittest.TestCase):
    """Whatever is predicted, and however wrong it is."""

    @profiles.settings()
    @hypothesis.given(
        free=strategies.lists(
            strategies.integers(0, 16), min_size=1, max_size=6
        ),
        freed=strategies.lists(
            strategies.integers(0, 200), min_size=3, max_size=3
        ),
        widths=strategies.lists(
            strategies.integers(1, 20), min_size=1, max_size=8
        ),
        error=strategies.sampled_from((1 / 7, 1.0, 7.0)),
    )
    def test_no_start_beyond_the_reported_room(
        self,
        free: list[int],
        freed: list[int],
        widths: list[int],
        error: float,
    ) -> None:
        """Guards against starts in room that is only expected."""
        site = Site()
        forecast = tuple(int(cores * error) for cores in sorted(freed))
        agents = [site.add_agent(cores * 1000, forecast) for cores in free]
        site.place(*self.make_jobs(widths))
        for agent in agents:
            self.assertGreaterEqual(agent.free.cpu_millicores, 0)

    @profiles.settings()
    @hypothesis.given(
        freed=strategies.lists(
            strategies.integers(0, 200), min_size=3, max_size=3
        ),
        widths=strategies.lists(
            strategies.integers(1, 20), min_size=1, max_size=8
        ),
    )
    def test_no_job_waits_beyond_its_turn(
        self, freed: list[int], widths: list[int]
    ) -> None:
        """Guards against starvation: the first job starts at its last resort.

        Room for one task appears in each of 8 moments, never what is forecast.
        """
        site = Site()
        agent = site.add_agent(TASK_CPU, tuple(sorted(freed)))
        waiting = self.make_jobs(widths)
        for moment in range(8):
            now = waiting[0].last_resort_at + moment * 0.3
            if site.place(*waiting, now=now):
                return
            site.report(agent, TASK_CPU, tuple(sorted(freed)))
        self.fail('no job started')

    def make_jobs(self, widths: list[int]) -> list[jobs.Job]:
        """Return jobs of some widths in the order of their latest start."""
        return [
            make_job(f'job-{number}', width, target=0.5 + 0.1 * number)
            for number, width in enumerate(widths)
        ]


class TestForecast(unittest.TestCase):
    """What an entry expects of an agent's report."""

    def test_room_counts_from_its_point_on(self) -> None:
        """Guards against room that is expected before its time."""
        agent = Site().add_agent(1000, (2, 5, 30))
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
                messages.Resources(TASK_CPU, 64, 0),
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
        self.assertEqual(reporter.changed_load(link).forecast, (0, 0, 0))
        self.assertIsNone(reporter.changed_load(link))
        reporter.forecasts_room = False
        link.load_sent = None
        self.assertEqual(reporter.changed_load(link).forecast, ())


class TestSwitch(unittest.IsolatedAsyncioTestCase):
    """Only deployments whose room may run short look ahead."""

    async def place(
        self, *submitted: jobs.Job, free: int, looks_ahead: bool
    ) -> list[bool]:
        """Return which jobs start that are submitted to an entry."""
        site = Site()
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
        job = make_job('wide', 16, target=0.5)
        return any(await self.place(job, free=16000, looks_ahead=looks_ahead))

    async def test_job_larger_than_all_gaps_has_a_turn(self) -> None:
        """Guards against gaps that are filled before anyone may reserve them."""
        started = await self.place(
            make_job('wide', 1, target=0.5, cpu=9000),
            make_job('narrow', 1, 0.4, target=5.0, cpu=4000),
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
