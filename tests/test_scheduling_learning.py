"""Tests of learned times and speeds and of worker ejection."""

import itertools
import random
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from poplardrum import errors, ids, metrics
from poplardrum.daemons import workers
from poplardrum.peers import messages
from poplardrum.scheduling import ejection, estimates
from tests import profiles

DETERMINISTIC: typing.Final = profiles.settings(max_examples=50)
TENANT: typing.Final = ids.TenantName('lakeshore')
FLEET_SIZE: typing.Final = 10
ROUNDS: typing.Final = 60


def worker_id(number: int) -> ids.MemberId:
    """Return the id of a worker."""
    return ids.MemberId(str(number))


class EstimatesTest(unittest.TestCase):
    """Guards against wrong estimates of times and speeds."""

    @DETERMINISTIC
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
        """Fails if expected times at a worker stay wrong by half or more."""
        estimator = estimates.Estimates()
        rng = random.Random(seed)
        speeds = (0.5, 1, 2)
        usual_times = {
            ids.TaskKindName(str(number)): rng.uniform(0.05, 1)
            for number, _ in enumerate(errors)
        }
        for now in range(100 * len(speeds)):
            kind = rng.choice(list(usual_times))
            declared = usual_times[kind] * errors[int(kind)]
            index = rng.randrange(len(speeds))
            real = usual_times[kind] / speeds[index]
            estimator.learn(
                (TENANT, kind), declared, worker_id(index), real, now
            )
        for kind, seconds in usual_times.items():
            declared = seconds * errors[int(kind)]
            for index, speed in enumerate(speeds):
                expected = estimator.expected_time_on(
                    (TENANT, kind), declared, worker_id(index)
                )
                self.assertLess(expected * speed / seconds, 1.5)
                self.assertGreater(expected * speed / seconds, 1 / 1.5)

    def test_new_kind_starts_from_the_tenants_ratio(self) -> None:
        """Fails if a new kind ignores the ratio learned for its tenant."""
        estimator = estimates.Estimates()
        known_kind = ids.TaskKindName('old')
        for now in range(50):
            estimator.learn(
                (TENANT, known_kind), 1.0, worker_id(now % 5), 0.1, now
            )
        expected = estimator.expected_time(TENANT, ids.TaskKindName('new'), 2.0)
        self.assertAlmostEqual(expected, 0.2, delta=0.05)

    def test_speed_follows_slowdown_and_recovery(self) -> None:
        """Fails if a worker's speed does not follow its measured times."""
        estimator = estimates.Estimates()
        kind = ids.TaskKindName('k')
        for now in range(200):
            slowness = 10 if now >= 100 and now % 5 == 0 else 1
            worker = worker_id(now % 5)
            estimator.learn((TENANT, kind), 0.2, worker, 0.2 * slowness, now)
        ratio = estimator.speed(worker_id(0)) / estimator.speed(worker_id(1))
        self.assertLess(ratio, 0.4)
        for later in range(200, 1200):
            estimator.learn(
                (TENANT, kind), 0.2, worker_id(later % 5), 0.2, later
            )
        ratio = estimator.speed(worker_id(0)) / estimator.speed(worker_id(1))
        self.assertGreater(ratio, 0.8)

    def test_long_history_does_not_hide_a_slow_worker(self) -> None:
        """Fails if old measured times outweigh recent ones."""
        kind = ids.TaskKindName('k')
        rows = (('many samples', 10_000, 0.0), ('long ago', 300, 3600.0))
        for name, count, pause in rows:
            estimator = estimates.Estimates()
            for number in range(count):
                worker = worker_id(number % 5)
                now = number / 1000
                estimator.learn((TENANT, kind), 0.2, worker, 0.2, now)
            for number in range(5 * 8 if pause else 5 * 60):
                slowness = 1 if number % 5 else 10
                worker = worker_id(number % 5)
                now = count / 1000 + pause + number / 1000
                estimator.learn(
                    (TENANT, kind), 0.2, worker, 0.2 * slowness, now
                )
            with self.subTest(name):
                ratio = estimator.speed(worker_id(0)) / estimator.speed(
                    worker_id(1)
                )
                self.assertLess(ratio, 0.45)

    def test_tables_are_bounded(self) -> None:
        """Fails if tables of tenants, kinds or workers grow without bound."""
        estimator = estimates.Estimates()
        for number in range(20_000):
            key = (
                ids.TenantName(str(number % 900)),
                ids.TaskKindName(str(number)),
            )
            for worker in (number % 2000, number % 1999):
                estimator.learn(key, 1, worker_id(worker), 1, number)
        self.assertLessEqual(len(estimator.kinds), 6400)
        self.assertLessEqual(len(estimator.pairs), 8192)
        self.assertLessEqual(len(estimator.workers), 1400)
        self.assertLessEqual(len(estimator.tenants), 640)


class EjectionTest(unittest.TestCase):
    """Guards against missing and false ejections of workers."""

    def run_rounds(
        self,
        ejector: ejection.Ejector,
        fails: typing.Callable[[int, str, int], bool],
    ) -> None:
        """Record outcomes of three kinds at all workers in turn."""
        for now in range(ROUNDS):
            for worker in range(FLEET_SIZE):
                kind = str((now + worker) % 3)
                ejector.record(
                    worker_id(worker),
                    (TENANT, ids.TaskKindName(kind)),
                    failed=fails(worker, kind, now),
                    now=now,
                    fleet_size=FLEET_SIZE,
                )

    def test_evicted_worker_is_forgotten(self) -> None:
        """Fails if a worker stays ejected of which nothing is known."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda worker, kind, now: worker == 4)
        ejector.workers.max_rows = FLEET_SIZE
        for worker in range(FLEET_SIZE, 2 * FLEET_SIZE):
            ejector.workers.get_or_create(worker_id(worker))
        self.assertEqual(ejector.ejected, set())

    def test_worker_that_fails_everything_is_ejected(self) -> None:
        """Fails if a worker that fails all tasks is not ejected."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda worker, kind, now: worker == 4)
        self.assertEqual(ejector.ejected, {worker_id(4)})

    def test_kind_that_fails_everywhere_ejects_nobody(self) -> None:
        """Fails if a kind that fails on all workers ejects any of them."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda worker, kind, now: kind == '1')
        self.assertEqual(ejector.ejected, set())

    @DETERMINISTIC
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
        """Fails if failures that are equally likely everywhere eject many."""
        ejector = ejection.Ejector()
        rng = random.Random(seed)
        self.run_rounds(
            ejector,
            lambda worker, kind, now: rng.random() < rates[int(kind)],
        )
        self.assertLessEqual(len(ejector.ejected), 1)

    def test_busy_faulty_worker_ejects_no_other(self) -> None:
        """Fails if many fast failures of one worker eject another one."""
        ejector = ejection.Ejector()
        for now in range(300):
            key = (TENANT, ids.TaskKindName(str(now % 3)))
            for worker in (*itertools.repeat(4, 40), now % FLEET_SIZE):
                ejector.record(
                    worker_id(worker),
                    key,
                    failed=worker == 4,
                    now=now,
                    fleet_size=FLEET_SIZE,
                )
            self.assertLessEqual(ejector.ejected, {worker_id(4)})
        self.assertEqual(ejector.ejected, {worker_id(4)})

    def test_ejected_fraction_is_bounded(self) -> None:
        """Fails if failures of many workers eject over a fifth of the fleet."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda worker, kind, now: worker < 5)
        self.assertLessEqual(len(ejector.ejected), FLEET_SIZE // 5)

    def test_probes_are_rare_and_end_an_ejection(self) -> None:
        """Fails if an ejected worker gets many tasks or never recovers."""
        ejector = ejection.Ejector()
        self.run_rounds(ejector, lambda worker, kind, now: worker == 4)
        key = (TENANT, ids.TaskKindName('0'))
        probes = 0
        for now in range(ROUNDS, 10 * ROUNDS):
            if ejector.try_start_probe(worker_id(4), now):
                probes += 1
                ejector.record(
                    worker_id(4),
                    key,
                    failed=True,
                    now=now,
                    fleet_size=FLEET_SIZE,
                )
        self.assertTrue(3 <= probes <= 40, probes)
        recovery_at = 10 * ROUNDS
        for now in range(recovery_at, 2 * recovery_at):
            for worker in range(3):
                ejector.record(
                    worker_id(worker),
                    key,
                    failed=False,
                    now=now,
                    fleet_size=FLEET_SIZE,
                )
            if ejector.try_start_probe(worker_id(4), now):
                ejector.record(
                    worker_id(4),
                    key,
                    failed=False,
                    now=now,
                    fleet_size=FLEET_SIZE,
                )
        self.assertFalse(ejector.is_ejected(worker_id(4)))


class EjectionMetricTest(unittest.TestCase):
    """Guards against a counter of ejections that stays at 0."""

    def test_ejection_is_counted_once(self) -> None:
        """Fails if an ejection is not counted, or each failure is."""
        process = mock.Mock()
        process.metrics = metrics.Metrics()
        process.ready_agents.return_value = range(FLEET_SIZE)
        learned = workers.Workers(process, mock.Mock())
        for _ in range(ROUNDS):
            for worker in range(FLEET_SIZE):
                code = (
                    errors.Code.task_failed if worker == 4 else errors.Code.ok
                )
                learned.learn(
                    worker_id(worker),
                    TENANT,
                    messages.TaskSpec(ids.TaskKindName('k'), '', 100, False),
                    messages.TaskOutcome(errors.Verdict.ran, code, seconds=0.1),
                )
        ejections = process.metrics.registry.get_sample_value(
            'poplardrum_ejections_total', {'worker': worker_id(4)}
        )
        self.assertEqual(ejections, 1)
