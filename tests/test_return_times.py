"""When callers of refused jobs may come back."""

import random
import typing
import unittest

from bench import returns_model
from poplardrum.dispatch import return_times

_SEEDS: typing.Final = range(1, 6)


class TestFlood(unittest.TestCase):
    """Three times the capacity for some seconds, then half of it."""

    def test_promised_times(self) -> None:
        """Guards against callers that come back to be refused again."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                promised = returns_model.play(
                    seed, returns_model.promised_returns()
                )
                spread = returns_model.play(
                    seed,
                    returns_model.random_returns(random.Random(seed), 3.0),
                )
                self.assertGreater(promised.served, spread.served)
                self.assertLess(
                    promised.refusals_per_job, spread.refusals_per_job
                )
                self.assertLess(promised.out_of_order, spread.out_of_order)


class TestReturnTimes(unittest.TestCase):
    """Times that are given out one after another."""

    def test_order_of_refusals(self) -> None:
        """Guards against a return time before that of an earlier refusal."""
        returns = return_times.ReturnTimes()
        now, told = 100.0, []
        for work in (4.0, 1.0, 8.0, 2.0):
            told.append(now + returns.promise(now, 10.0, work, 2.0))
            now += 0.1
        self.assertEqual(told, sorted(told))
        self.assertAlmostEqual(told[0], 105.0)
        self.assertAlmostEqual(told[-1], 105.0 + (4.0 + 1.0 + 8.0) / 2.0)

    def test_longest_time(self) -> None:
        """Guards against times that grow with each refusal of an outage."""
        returns = return_times.ReturnTimes()
        for _ in range(1000):
            delay = returns.promise(100.0, 50.0, 100.0, 1.0)
            self.assertLessEqual(delay, return_times.MAX_RETURN_S)

    def test_unknown_rate(self) -> None:
        """Guards against long times after a start, when nothing is known."""
        returns = return_times.ReturnTimes()
        self.assertLess(returns.promise(100.0, 50.0, 1.0, 0.0), 4.0)


class TestCompletionRate(unittest.TestCase):
    """The work that endpoints complete in a second."""

    def test_steady_work(self) -> None:
        """Guards against a rate that drifts from the work that is done."""
        rate = return_times.CompletionRate()
        for tenth in range(200):
            rate.record(0.8, tenth / 10)
        self.assertAlmostEqual(rate.value(), 8.0, delta=0.5)

    def test_outage(self) -> None:
        """Guards against a rate that falls while nothing can be completed."""
        rate = return_times.CompletionRate()
        rate.record(4.0, 1.0)
        before = rate.value()
        rate.record(0.0, 1.0)
        self.assertEqual(rate.value(), before)
