"""Resubmissions while processes crash, pause and restart."""

import typing

from poplardrum.standins import fleet
from tests import submission_fleet

MAY_HAVE_RUN: typing.Final = 'may_have_run'


class SubmissionFaultsTest(submission_fleet.FleetCase):
    """Guards against a second start and against lost or false answers."""

    def test_coordinator_killed(self) -> None:
        """Guards against a new start of what a dead coordinator started."""
        key = self.key_owned_by(0, 'killed')
        self.start_job(key, 3)
        self.fleet.agents[0].kill()
        status, reply = self.submit(key, 3, entry=1, first=False)
        self.assertEqual((status, reply['code']), (502, 'indeterminate'))
        self.assertEqual(reply['verdict'], MAY_HAVE_RUN)
        self.heal()
        _, again = self.submit(key, 3, entry=1, first=False)
        self.assertEqual(again['verdict'], MAY_HAVE_RUN)
        self.assert_started_once(key)

    def test_first_attempt_without_coordinator(self) -> None:
        """Guards against refusing new work because one agent is dead."""
        key = self.key_owned_by(1, 'without')
        self.fleet.agents[1].kill()
        status, reply = self.submit(key)
        self.assertEqual((status, reply['code']), (200, 'ok'))
        self.heal()
        status, again = self.submit(key, entry=1, first=False)
        self.assertEqual((status, again), (200, reply))
        self.assert_started_once(key)

    def test_coordinator_paused(self) -> None:
        """Guards against a start by another agent, and after the pause."""
        key = self.key_owned_by(2, 'paused')
        job = self.start_job(key, 1)
        self.fleet.agents[2].pause()
        self.addCleanup(self.fleet.agents[2].resume)
        self.wait_unlinked(2)
        _, reply = self.submit(key, 1, entry=1, first=False)
        self.assertEqual(reply['code'], 'indeterminate')
        self.fleet.agents[2].resume()
        self.heal()
        status, again = self.submit(key, 1, entry=1, first=False)
        self.assertNotEqual(again['code'], 'indeterminate')
        self.assertEqual(len(again['tasks']), 2)
        # The first caller's entry may have stopped waiting for the agent.
        waited = job.result()[1]
        if waited['verdict'] != MAY_HAVE_RUN:
            self.assertEqual(waited, again)
        self.assert_started_once(key)

    def test_agent_restarted_in_place(self) -> None:
        """Guards against a new incarnation that starts lost keys again."""
        key = self.key_owned_by(0, 'in-place')
        self.submit(key)
        self.fleet.agents[0].kill()
        self.heal()
        _, reply = self.submit(key, entry=1, first=False)
        self.assertEqual(reply['code'], 'indeterminate')
        self.assert_started_once(key)

    def test_entry_killed(self) -> None:
        """Guards against a lost job when its entry dies."""
        key = 'entry-killed'
        self.start_job(key, 1.5)
        self.fleet.entries[0].kill()
        status, reply = self.submit(key, 1.5, entry=1, first=False)
        self.assertEqual((status, reply['code']), (200, 'ok'))
        self.assert_started_once(key)

    def test_agent_without_peers(self) -> None:
        """Guards against a start while no agent is reachable."""
        for agent in self.fleet.agents:
            agent.kill()
        fleet.wait_until(
            lambda: self.fleet.count_linked_agents() == 0, 'all are lost'
        )
        status, reply = self.submit('nobody-there')
        self.assertEqual((status, reply['verdict']), (503, 'not_run'))
        _, again = self.submit('nobody-there', first=False)
        self.assertEqual(again['verdict'], MAY_HAVE_RUN)
        self.assertEqual(self.starts('nobody-there'), {})
