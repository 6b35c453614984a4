"""Tests of placement that looks ahead, without a network."""

import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.dispatch import jobs, look_ahead
from tests import look_ahead_site, profiles


class TestReservation(unittest.TestCase):
    """A wide job reserves the room that runs will leave in 50 to 150 ms."""

    def setUp(self) -> None:
        """Add an agent with a gap that is too small for the wide job."""
        self.site = look_ahead_site.Site()
        self.agent = self.site.add_agent(4000, (0, 6, 6))
        self.wide = look_ahead_site.make_job('wide', 1, target=0.5, cpu=9000)

    def narrow(self, duration: float, cpu: int = 4000) -> jobs.Job:
        """Return a job that fits into the gap."""
        return look_ahead_site.make_job(
            'narrow', 1, duration, target=5.0, cpu=cpu
        )

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
        job = look_ahead_site.make_job('other', 1, target=0.5)
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
        self.site = look_ahead_site.Site()
        for _ in range(2):
            self.site.add_agent(16000, (0, 0, 5))
        self.wide = look_ahead_site.make_job('wide', 16, target=0.5)
        self.narrow = look_ahead_site.make_job('narrow', 2, target=5.0)

    def test_job_that_cannot_be_in_time_holds_no_room(self) -> None:
        """Guards against room for a part of a job whose rest comes too late."""
        started = self.site.place(self.wide, self.narrow)
        self.assertEqual(started, {'narrow': 2})

    def test_job_whose_rest_comes_in_time_starts(self) -> None:
        """Guards against wide jobs that wait until all fit at once."""
        started = self.site.place(
            look_ahead_site.make_job('wide', 8, target=2.0)
        )
        self.assertEqual(started, {'wide': 6})

    def test_started_job_that_is_late_comes_last(self) -> None:
        """Guards against late jobs that make others late."""
        self.wide.started = True
        started = self.site.place(self.wide, self.narrow)
        self.assertEqual(started, {'narrow': 2, 'wide': 4})

    def test_late_job_is_tried(self) -> None:
        """Guards against a wrong prediction that keeps a kind of jobs out."""
        now = self.wide.last_resort_at
        second = look_ahead_site.make_job('second', 16, target=0.5)
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
        site = look_ahead_site.Site()
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
        site = look_ahead_site.Site()
        agent = site.add_agent(look_ahead_site.TASK_CPU, tuple(sorted(freed)))
        waiting = self.make_jobs(widths)
        for moment in range(8):
            now = waiting[0].last_resort_at + moment * 0.3
            if site.place(*waiting, now=now):
                return
            site.report(agent, look_ahead_site.TASK_CPU, tuple(sorted(freed)))
        self.fail('no job started')

    def make_jobs(self, widths: list[int]) -> list[jobs.Job]:
        """Return jobs of some widths in the order of their latest start."""
        return [
            look_ahead_site.make_job(
                f'job-{number}', width, target=0.5 + 0.1 * number
            )
            for number, width in enumerate(widths)
        ]
