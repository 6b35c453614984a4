"""Choice of the entries that an agent links to."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.dispatch import (
    coverage,
    fleet,
    messages,
    neighbours,
)
from tests import profiles, test_dispatch_links


class TestNeighbours(unittest.TestCase):
    """Which entries an agent links to."""

    def test_small_fleet_is_fully_linked(self) -> None:
        """Guards against less choice where all links cost little."""
        entries = test_dispatch_links.make_entries(neighbours.MAX_FULL_MESH)
        chosen = neighbours.choose_entries('side-1', 'erie', '', entries)
        self.assertEqual(chosen, set(entries))

    @hypothesis.given(
        entry_count=strategies.integers(20, 150),
        agent_count=strategies.integers(150, 700),
    )
    @profiles.settings(max_examples=15)
    def test_links_are_bounded_and_even(
        self, entry_count: int, agent_count: int
    ) -> None:
        """Guards against links that grow with the fleet, and hot entries."""
        entries = test_dispatch_links.make_entries(entry_count)
        counts: collections.Counter[messages.EntryAddress] = (
            collections.Counter()
        )
        for index in range(agent_count):
            chosen = neighbours.choose_entries(
                f'side-{index}',
                test_dispatch_links.ZONES[index % 5],
                '',
                entries,
            )
            self.assertLessEqual(
                len(chosen),
                neighbours.MAX_SAME_ZONE + neighbours.MAX_OTHER_ZONES,
            )
            counts.update(chosen)
        mean = sum(counts.values()) / entry_count
        self.assertEqual(len(counts), entry_count)
        self.assertLess(max(counts.values()), 2 * mean + 10)

    def test_a_lost_entry_moves_few_links(self) -> None:
        """Guards against a storm of connections at a single leave."""
        entries = test_dispatch_links.make_entries(35)
        moved = 0
        for index in range(160):
            node, zone = f'side-{index}', test_dispatch_links.ZONES[index % 5]
            before = neighbours.choose_entries(node, zone, '', entries)
            after = neighbours.choose_entries(node, zone, '', entries[1:])
            moved += len(after - before)
        # About a ninth of the agents used it through another zone.
        self.assertLess(moved, 40)

    def test_each_zone_reaches_the_others(self) -> None:
        """Guards against an entry that loses all agents with its zone."""
        entries = test_dispatch_links.make_entries(35)
        far: collections.Counter[messages.EntryAddress] = collections.Counter()
        for index in range(160):
            zone = test_dispatch_links.ZONES[index % 5]
            chosen = neighbours.choose_entries(f's-{index}', zone, '', entries)
            far.update(entry for entry in chosen if entry.zone != zone)
        self.assertGreaterEqual(min(far[entry] for entry in entries), 6)

    def test_entry_that_lacks_a_service(self) -> None:
        """Guards against jobs of a rare service that find no agent."""
        entries = test_dispatch_links.make_entries(40)
        lacking = messages.EntryAddress('10.0.9.9', 7720, 'erie', ('rare',))
        for index in range(20):
            chosen = neighbours.choose_entries(
                f's-{index}', 'toledo', 'rare', [*entries, lacking]
            )
            self.assertIn(lacking, chosen)

    def test_coverage_of_services(self) -> None:
        """Guards against a shortage that a lost link pretends."""
        agents = [
            fleet.Agent(f's-{index}', 'toledo', ids.new_incarnation())
            for index in range(6)
        ]
        for agent in agents[:5]:
            agent.service = 'intake'
        agents[5].service = 'rare'
        self.assertEqual(
            coverage.lacking_services(('intake', 'rare'), agents), {'rare'}
        )
