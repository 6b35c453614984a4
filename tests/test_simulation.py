"""Simulated fleets under random faults."""

import typing
import unittest
from unittest import mock

from poplardrum.dispatch import coordinator, fleet, stale_requests
from tools.simulation import scenario

_SEEDS: typing.Final = range(1, 9)
_DURATION_S: typing.Final = 12.0
# Enough for the fault that is put back to show in some of them.
_FAULTY_SEEDS: typing.Final = range(1, 25)


class TestScenarios(unittest.TestCase):
    """Entries and agents in virtual time, with faults that overlap."""

    def test_seeds(self) -> None:
        """Guards against runs that overlap, false refusals and lost agents."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = scenario.run(seed, _DURATION_S)
                self.assertEqual(result.violations, [], result.text())


class TestIdleFleet(unittest.TestCase):
    """What processes do while there are no jobs."""

    def test_frames_of_idle_links(self) -> None:
        """Guards against pings of both sides on each idle link of a fleet."""
        entries, agents = 12, 60
        frames = scenario.idle_frames(entries, agents) / (entries * agents)
        # One ping of the entry in a second and its reply.
        self.assertLessEqual(frames, 2.0)


class TestSensitivity(unittest.TestCase):
    """A fault that was mended before, put back, is found."""

    def test_timer_of_an_earlier_loss(self) -> None:
        """Guards against a simulation that would miss expired agents in use."""
        expire = coordinator.Coordinator._expire_agent

        def expire_always(
            self: coordinator.Coordinator, agent: fleet.Agent, loss: int
        ) -> None:
            expire(self, agent, agent.losses)

        with mock.patch.object(
            coordinator.Coordinator, '_expire_agent', expire_always
        ):
            found = any(
                scenario.run(seed, _DURATION_S).violations
                for seed in _FAULTY_SEEDS
            )
        self.assertTrue(found)

    def test_requests_that_are_late(self) -> None:
        """Guards against a simulation that would miss jobs of departed callers."""

        async def start_at_once(*_details: object) -> None:
            """Hold no request."""

        with mock.patch.object(
            stale_requests.StaleRequests, 'hold', start_at_once
        ):
            found = any(
                'two runs at once' in violation
                for seed in _FAULTY_SEEDS
                for violation in scenario.run(seed, _DURATION_S).violations
            )
        self.assertTrue(found)
