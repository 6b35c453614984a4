"""Learned times and speeds, and ejection of failing workers."""

import itertools
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.scheduling import ejection, estimates

EXACT: typing.Final = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=50,
    deadline=None,
)
TENANT: typing.Final = ids.TenantName('lakeshore')
FLEET: typing.Final = 10
ROUNDS: typing.Final = 60


def worker(number: int) -> ids.MemberId:
    """Return the id of a worker."""
    return ids.MemberId(str(number))


class EstimatesTest(unittest.TestCase):
    """Guards against decisions by wrong declared times or speeds."""

    @EXACT
    @hypothesis.given(
        errors=strategies.lists(
            strategies.floats(0.1, 10), min_size=3, max_size=6
        ),
        seed=strategies.integers(0, 99),
    )
    def test_wrong_declared_times_are_corrected(
        self,
        errors: list[float],
        seed: int,
    ) -> None:
        """Fails if times or ratios of speeds stay off by half or more."""
        learned = estimates.Estimates()
        choice = random.Random(seed)
        speeds = (0.5, 1, 2)
        usual = {
            ids.TaskKindName(str(number)): choice.uniform(0.05, 1)
            for number, _ in enumerate(errors)
        }
        for now in range(100 * len(speeds)):
            kind = choice.choice(list(usual))
            declared = usual[kind] * errors[int(kind)]
            place = choice.randrange(len(speeds))
            real = usual[kind] / speeds[place]
            learned.learn((TENANT, kind), declared, worker(place), real, now)
        for kind, seconds in usual.items():
            declared = seconds * errors[int(kind)]
            for place, speed in enumerate(speeds):
                expected = learned.expected_time_on(
                    (TENANT, kind), declared, worker(place)
                )
                self.assertLess(expected * speed / seconds, 1.5)
                self.assertGreater(expected * speed / seconds, 1 / 1.5)

    def test_new_kind_starts_from_the_tenants_ratio(self) -> None:
        """Fails if each new kind repeats its tenant's declared error."""
        learned = estimates.Estimates()
        old = ids.TaskKindName('old')
        for now in range(50):
            learned.learn((TENANT, old), 1.0, worker(now % 5), 0.1, now)
        expected = learned.expected_time(TENANT, ids.TaskKindName('new'), 2.0)
        self.assertAlmostEqual(expected, 0.2, delta=0.05)

    def test_straggler_is_noticed_and_forgiven(self) -> None:
        """Fails if a worker's speed does not follow its real times."""
        learned = estimates.Estimates()
        kind = ids.TaskKindName('k')
        for now in range(200):
            slow = 10 if now >= 100 and now % 5 == 0 else 1
            place = worker(now % 5)
            learned.learn((TENANT, kind), 0.2, place, 0.2 * slow, now)
        ratio = learned.speed(worker(0)) / learned.speed(worker(1))
        self.assertLess(ratio, 0.4)
        for later in range(200, 1200):
            learned.learn((TENANT, kind), 0.2, worker(later % 5), 0.2, later)
        ratio = learned.speed(worker(0)) / learned.speed(worker(1))
        self.assertGreater(ratio, 0.8)

    def test_long_history_does_not_hide_a_straggler(self) -> None:
        """Fails if old times outweigh what happens now."""
        kind = ids.TaskKindName('k')
        rows = (('many samples', 10_000, 0.0), ('long ago', 300, 3600.0))
        for name, count, pause in rows:
            learned = estimates.Estimates()
            for number in range(count):
                place = worker(number % 5)
                now = number / 1000
                learned.learn((TENANT, kind), 0.2, place, 0.2, now)
            for number in range(5 * 8 if pause else 5 * 60):
                slow = 1 if number % 5 else 10
                place = worker(number % 5)
                now = count / 1000 + pause + number / 1000
                learned.learn((TENANT, kind), 0.2, place, 0.2 * slow, now)
            with self.subTest(name):
                ratio = learned.speed(worker(0)) / learned.speed(worker(1))
                self.assertLess(ratio, 0.45)

    def test_tables_are_bounded(self) -> None:
        """Fails if tenants, kinds or workers can grow without end."""
        learned = estimates.Estimates()
        for number in range(20_000):
            key = (
                ids.TenantName(str(number % 900)),
                ids.TaskKindName(str(number)),
            )
            for place in (number % 2000, number % 1999):
                learned.learn(key, 1, worker(place), 1, number)
        self.assertLessEqual(len(learned.kinds), 6400)
        self.assertLessEqual(len(learned.pairs), 8192)
        self.assertLessEqual(len(learned.workers), 1400)
        self.assertLessEqual(len(learned.tenants), 640)


class EjectionTest(unittest.TestCase):
    """Guards against workers that swallow tasks, or are ejected wrongly."""

    def run_rounds(
        self,
        ejector: ejection.Ejector,
        fails: typing.Callable[[int, str, int], bool],
    ) -> None:
        """Report three kinds at all workers in turn."""
        for now in range(ROUNDS):
            for place in range(FLEET):
                kind = str((now + place) % 3)
                ejector.record(
                    worker(place),
                    (TENANT, ids.TaskKindName(kind)),
                    failed=fails(place, kind, now),
                    now=now,
                    fleet_size=FLEET,
                )

    def test_worker_that_fails_everything_is_ejected(self) -> None:
        """Fails if a worker that fails all tasks keeps receiving them."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda place, kind, now: place == 4)
        self.assertEqual(ejector.ejected, {worker(4)})

    def test_kind_that_fails_everywhere_ejects_nobody(self) -> None:
        """Fails if a bad kind of task empties the fleet."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda place, kind, now: kind == '1')
        self.assertEqual(ejector.ejected, set())

    @EXACT
    @hypothesis.given(
        rates=strategies.lists(
            strategies.floats(0, 0.5), min_size=3, max_size=3
        ),
        seed=strategies.integers(0, 9999),
    )
    def test_unreliable_kinds_eject_nobody(
        self,
        rates: list[float],
        seed: int,
    ) -> None:
        """Fails if chance failures, alike everywhere, eject many."""
        ejector = ejection.Ejector()
        choice = random.Random(seed)
        self.run_rounds(
            ejector,
            lambda place, kind, now: choice.random() < rates[int(kind)],
        )
        self.assertLessEqual(len(ejector.ejected), 1)

    def test_busy_faulty_worker_ejects_no_other(self) -> None:
        """Fails if the many quick failures of one worker blame others."""
        ejector = ejection.Ejector()
        for now in range(300):
            key = (TENANT, ids.TaskKindName(str(now % 3)))
            for place in (*itertools.repeat(4, 40), now % FLEET):
                ejector.record(
                    worker(place),
                    key,
                    failed=place == 4,
                    now=now,
                    fleet_size=FLEET,
                )
            self.assertLessEqual(ejector.ejected, {worker(4)})
        self.assertEqual(ejector.ejected, {worker(4)})

    def test_only_a_part_of_the_fleet_is_ejected(self) -> None:
        """Fails if a wave of failures takes out more than a fifth."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda place, kind, now: place < 5)
        self.assertLessEqual(len(ejector.ejected), FLEET // 5)

    def test_probes_are_a_trickle_and_bring_a_worker_back(self) -> None:
        """Fails if an ejected worker gets many tasks, or none for ever."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda place, kind, now: place == 4)
        key = (TENANT, ids.TaskKindName('0'))
        probes = 0
        for now in range(ROUNDS, 10 * ROUNDS):
            if ejector.try_start_probe(worker(4), now):
                probes += 1
                ejector.record(
                    worker(4), key, failed=True, now=now, fleet_size=FLEET
                )
        self.assertTrue(3 <= probes <= 40, probes)
        ends = 10 * ROUNDS
        for now in range(ends, 2 * ends):
            for place in range(3):
                ejector.record(
                    worker(place), key, failed=False, now=now, fleet_size=FLEET
                )
            if ejector.try_start_probe(worker(4), now):
                ejector.record(
                    worker(4), key, failed=False, now=now, fleet_size=FLEET
                )
        self.assertFalse(ejector.is_ejected(worker(4)))
