"""Lost agents that are gone, and those that an entry can't reach itself."""

import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import connections, fleet, reachability, timing
from tests import dispatch_world

LOST_AT: typing.Final = 100.0
EXPIRED_AT: typing.Final = LOST_AT + timing.LOST_AGENT_TIMEOUT_S
NEAR: typing.Final = 'toledo'
FAR: typing.Final = 'erie'
VERIFY_INTERVAL_S: typing.Final = 1.5


class ReachabilityCase(unittest.TestCase):
    """Common set-up: an entry in `toledo` with agents in two zones."""

    def setUp(self) -> None:
        """Link the agents long before, and let the store answer."""
        self.agents = {
            ids.Incarnation(f'{zone}-{number}'): fleet.Agent(
                f'{zone}-{number}', zone, ids.Incarnation(f'{zone}-{number}')
            )
            for zone in (NEAR, FAR)
            for number in range(3)
        }
        for agent in self.agents.values():
            agent.link = typing.cast(
                connections.Link, dispatch_world.FakeLink()
            )
        self.reachability = reachability.Reachability(NEAR, self.agents)
        self.contact = reachability.StoreContact()
        self.reachability.store_contact = self.contact
        self.answer_until(LOST_AT - 0.1, since=0.0)

    def answer_until(self, until: float, since: float) -> None:
        """Let the store answer at the usual interval."""
        answered_at = since
        while answered_at <= until:
            self.contact.record_answer(answered_at)
            answered_at += VERIFY_INTERVAL_S

    def lose(self, *agents: str) -> fleet.Agent:
        """Lose the links of agents; return the first of them."""
        for name in agents:
            agent = self.agents[ids.Incarnation(name)]
            agent.link = None
            agent.lost_at = LOST_AT
        return self.agents[ids.Incarnation(agents[0])]

    def first_gone_at(self, agent: fleet.Agent, until: float) -> float:
        """Return when an agent counts as gone, `until` if not before."""
        now = EXPIRED_AT
        while now < until and not self.reachability.is_gone(agent, now):
            now += 0.25
        return min(now, until)


class TestSingleAgents(ReachabilityCase):
    """One agent is lost while the store and all others answer."""

    def test_gone_at_once(self) -> None:
        """Guards against a wait beyond the end of its runs."""
        agent = self.lose('erie-1')
        self.answer_until(EXPIRED_AT, since=LOST_AT + 1.4)
        self.assertTrue(self.reachability.is_gone(agent, EXPIRED_AT))

    def test_without_a_store(self) -> None:
        """Guards against jobs of an entry without a store that wait for it."""
        self.reachability.store_contact = None
        agent = self.lose('erie-1')
        self.assertTrue(self.reachability.is_gone(agent, EXPIRED_AT))

    def test_no_other_agent_answers(self) -> None:
        """Guards against an entry that is cut off from all agents."""
        self.answer_until(EXPIRED_AT, since=LOST_AT + 1.4)
        agent = self.lose(*map(str, self.agents))
        self.assertFalse(self.reachability.is_gone(agent, EXPIRED_AT))


class TestCutEntry(ReachabilityCase):
    """The entry is cut from the store and from agents, for 5.5 s."""

    def setUp(self) -> None:
        """Lose the agents of the other zone, and one of the own zone."""
        super().setUp()
        self.far = self.lose('erie-0', 'erie-1', 'erie-2')
        self.near = self.lose('toledo-1')

    def test_during_the_cut(self) -> None:
        """Guards against tasks that start again while their end is unknown."""
        for agent in (self.near, self.far):
            self.assertEqual(self.first_gone_at(agent, 200.0), 200.0)

    def test_after_the_cut(self) -> None:
        """Guards against a start before agents had the time to link again."""
        back_at = LOST_AT + 5.5
        self.answer_until(back_at + 10, since=back_at)
        gone_at = self.first_gone_at(self.near, 200.0)
        self.assertGreaterEqual(gone_at - back_at, timing.RELINK_TIMEOUT_S)
        self.assertLess(gone_at - back_at, timing.RELINK_TIMEOUT_S + 0.5)

    def test_lost_just_after_an_outage(self) -> None:
        """Guards against an answer of before the loss that counts for it."""
        self.answer_until(LOST_AT - 0.5, since=LOST_AT - 3)
        self.assertFalse(self.reachability.is_gone(self.near, EXPIRED_AT))


class TestLostZones(ReachabilityCase):
    """All agents of a zone are lost while the store answers."""

    def setUp(self) -> None:
        """Let the store answer all the time."""
        super().setUp()
        self.answer_until(LOST_AT + 30, since=LOST_AT + 1.4)

    def test_other_zone(self) -> None:
        """Guards against restarts during a short partition between zones.

        The wait ends soon enough for a zone that is lost for good.
        """
        agent = self.lose('erie-0', 'erie-1', 'erie-2')
        gone_after = self.first_gone_at(agent, 200.0) - LOST_AT
        self.assertGreaterEqual(gone_after, reachability.ZONE_LOSS_TIMEOUT_S)
        self.assertLess(gone_after, reachability.ZONE_LOSS_TIMEOUT_S + 0.5)

    def test_part_of_another_zone(self) -> None:
        """Guards against a wait while the way to the zone is open."""
        agent = self.lose('erie-0', 'erie-1')
        self.assertTrue(self.reachability.is_gone(agent, EXPIRED_AT))

    def test_own_zone(self) -> None:
        """Guards against a wait for the own zone, with no way to be cut."""
        agent = self.lose('toledo-0', 'toledo-1', 'toledo-2')
        self.assertTrue(self.reachability.is_gone(agent, EXPIRED_AT))

    def test_only_agent_of_a_zone(self) -> None:
        """Guards against a single lost host that is taken for its zone."""
        for name in ('erie-1', 'erie-2'):
            self.agents.pop(ids.Incarnation(name))
        agent = self.lose('erie-0')
        self.assertTrue(self.reachability.is_gone(agent, EXPIRED_AT))
