"""Owners of stored jobs, and when their tasks have certainly ended."""

import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import membership, takeover, timing

RESTARTS: typing.Final = 1000


def announce(node: str, number: int) -> dict[str, membership.Member]:
    """Return the announcement of one incarnation of a node."""
    incarnation = ids.Incarnation(f'{node}-{number}')
    return {node: membership.Member('10.0.0.1', 7720, incarnation)}


class TestOwnerTracker(unittest.TestCase):
    """When all tasks of an owner have certainly ended."""

    def members(self, **named: str) -> dict[str, membership.Member]:
        """Return announced members by node."""
        return {
            node: membership.Member('10.0.0.1', 1, ids.Incarnation(name))
            for node, name in named.items()
        }

    def is_gone(self, tracker: takeover.OwnerTracker, now: float) -> bool:
        """Return whether the owner `a` is gone."""
        return tracker.gone_for(ids.Incarnation('a'), now) > 0

    def test_missing_owner_may_still_run(self) -> None:
        """Guards against two owners while one cannot reach the store."""
        tracker = takeover.OwnerTracker()
        tracker.update_members(self.members(n1='a', n2='b'))
        tracker.update_members(self.members(n2='b'))
        self.assertFalse(self.is_gone(tracker, 100.0))
        self.assertFalse(
            self.is_gone(tracker, 100.0 + timing.TAKEOVER_TIMEOUT_S - 0.1)
        )
        self.assertTrue(
            self.is_gone(tracker, 100.0 + timing.TAKEOVER_TIMEOUT_S + 0.1)
        )

    def test_owner_that_comes_back(self) -> None:
        """Guards against takeovers after an outage of the store."""
        tracker = takeover.OwnerTracker()
        tracker.update_members({})
        self.assertFalse(self.is_gone(tracker, 100.0))
        tracker.update_members(self.members(n1='a'))
        self.assertFalse(self.is_gone(tracker, 105.0))
        tracker.update_members({})
        self.assertFalse(self.is_gone(tracker, 106.0))

    def test_node_that_started_again(self) -> None:
        """Guards against waiting for a process that is known to be gone."""
        tracker = takeover.OwnerTracker()
        tracker.update_members(self.members(n1='a'))
        tracker.update_members(self.members(n1='c'))
        self.assertFalse(self.is_gone(tracker, 100.0))
        self.assertTrue(
            self.is_gone(tracker, 100.1 + timing.LOST_AGENT_TIMEOUT_S)
        )

    def test_owner_stops_before_others_take_over(self) -> None:
        """Guards against timeouts that let two owners run one job."""
        # A stop may use all of its time, and then the lease has to lapse.
        latest_end = (
            timing.OWNERSHIP_TIMEOUT_S
            + timing.TOTAL_STOP_TIMEOUT_S
            + timing.max_lease_duration(timing.LEASE_S)
        )
        self.assertLess(latest_end, timing.TAKEOVER_TIMEOUT_S)

    def test_one_member_is_preferred(self) -> None:
        """Guards against all entries taking over the same job at once."""
        tracker = takeover.OwnerTracker()
        tracker.update_members(self.members(n1='a', n2='b', n3='c'))
        preferred = {
            tracker.preferred_owner(ids.JobId(f'{number:016x}'))
            for number in range(40)
        }
        self.assertEqual(preferred, {'a', 'b', 'c'})


class TestOwnerTraces(unittest.TestCase):
    """Guards against traces of entries that are gone, and lost ones."""

    def setUp(self) -> None:
        """Start without members."""
        self.tracker = takeover.OwnerTracker()

    def test_restarts_leave_nothing(self) -> None:
        """Fails if a table grows with each restart of an entry."""
        for number in range(RESTARTS):
            self.tracker.update_members(announce('front-1', number))
            self.tracker.retain_only(set())
        self.assertEqual(len(self.tracker.nodes), 1)
        self.assertEqual(self.tracker.missing_since, {})

    def test_owner_with_jobs_is_kept(self) -> None:
        """Fails if it is forgotten that the node of an owner has restarted."""
        self.tracker.update_members(announce('front-1', 1))
        self.tracker.update_members(announce('front-1', 2))
        owner = ids.Incarnation('front-1-1')
        self.tracker.retain_only({owner})
        self.assertEqual(
            self.tracker.gone_for(owner, 0), -timing.LOST_AGENT_TIMEOUT_S
        )
