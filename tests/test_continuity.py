"""Pauses and cuts that a process notices afterwards."""

import typing
import unittest

from poplardrum.dispatch import continuity, timing

INTERVAL_S: typing.Final = timing.IDLE_CHECK_INTERVAL_S
START_S: typing.Final = 1000.0
CUT_S: typing.Final = 4.0
CHECKS: typing.Final = 20


class TestContinuity(unittest.TestCase):
    """Checks at regular intervals, at given times."""

    def setUp(self) -> None:
        """Check once, in contact."""
        self.continuity = continuity.Continuity()
        self.continuity.contact_at = START_S
        self.now = START_S
        self.check()

    def check(self, *, in_contact: bool = True) -> None:
        """Check now; if in contact, a peer was heard of just before."""
        self.continuity.check(self.now, [self.now] if in_contact else [])

    def pass_time(self, seconds: float, *, in_contact: bool) -> None:
        """Check regularly for some time."""
        for _ in range(int(seconds / INTERVAL_S)):
            self.now += INTERVAL_S
            self.check(in_contact=in_contact)

    def test_nothing_happens(self) -> None:
        """Guards against doubts without a reason, which delay requests."""
        self.pass_time(CHECKS * INTERVAL_S, in_contact=True)
        self.assertFalse(self.continuity.is_in_doubt(self.now))

    def test_before_the_first_check(self) -> None:
        """Guards against a start that counts as a pause."""
        fresh = continuity.Continuity()
        self.assertFalse(fresh.has_just_resumed(fresh.contact_at + CUT_S))

    def test_pause(self) -> None:
        """Guards against starts before the ends of connections are read."""
        self.now += CUT_S
        # Noticed at once, not only by the next check.
        self.assertTrue(self.continuity.has_just_resumed(self.now))
        self.now += 2 * timing.CALLER_CHECK_S
        self.assertFalse(self.continuity.has_just_resumed(self.now))
        self.assertTrue(self.continuity.is_in_doubt(self.now))

    def test_cut(self) -> None:
        """Guards against trust in requests that a cut has held up.

        The network repeats them at intervals that double.
        """
        self.pass_time(CUT_S, in_contact=False)
        self.pass_time(CUT_S - 2 * INTERVAL_S, in_contact=True)
        self.assertTrue(self.continuity.is_in_doubt(self.now))
        self.pass_time(3 * INTERVAL_S, in_contact=True)
        self.assertFalse(self.continuity.is_in_doubt(self.now))

    def test_short_silence(self) -> None:
        """Guards against a doubt at each silence of the agents."""
        self.pass_time(timing.ISOLATED_AFTER_S - INTERVAL_S, in_contact=False)
        self.assertFalse(self.continuity.is_in_doubt(self.now))
