"""Tests of the decisions on memory and connections of clients."""

import typing
import unittest

from poplardrum.dispatch import (
    connection_limits,
    memory_budget,
    metrics,
    process_guard,
)

_MB: typing.Final = 1_000_000
_LONG_AGO_S: typing.Final = 5.0


class TestBudget(unittest.TestCase):
    """Who may hold bytes, and who is closed for them."""

    def setUp(self) -> None:
        """Create a budget of 4 MB, 3 MB of it for large requests."""
        self.budget = memory_budget.MemoryBudget(4 * _MB)
        self.closed: list[str] = []

    def make_account(self, name: str, address: str) -> memory_budget.Account:
        """Return an account with an incomplete request."""
        account = memory_budget.Account(
            address, lambda: self.closed.append(name)
        )
        self.budget.begin(account, 0)
        return account

    def test_declared_bytes_count_once(self) -> None:
        """Guards against bytes that are charged twice or not at all."""
        account = self.make_account('a', '1')
        self.assertTrue(self.budget.declare(account, _MB, 0))
        self.assertTrue(self.budget.arrive(account, _MB, 0))
        self.assertEqual(self.budget.held, _MB)
        self.assertTrue(self.budget.arrive(account, _MB, 0))
        self.assertEqual(self.budget.held, 2 * _MB)
        self.budget.release(account)
        self.assertEqual(self.budget.held, 0)
        self.assertFalse(self.budget.held_by_address)

    def test_large_request_is_refused(self) -> None:
        """Guards against fresh requests that are closed for newer ones."""
        self.budget.declare(self.make_account('a', '1'), 3 * _MB, 0)
        late = self.make_account('b', '1')
        self.assertFalse(self.budget.declare(late, _MB, 0.5))
        self.assertEqual(self.closed, [])

    def test_small_request_beside_large_ones(self) -> None:
        """Guards against large bodies that keep out ordinary callers."""
        self.budget.declare(self.make_account('a', '1'), 3 * _MB, 0)
        small = self.make_account('b', '1')
        self.assertTrue(self.budget.declare(small, 1000, 0))

    def test_least_progress_is_closed(self) -> None:
        """Guards against closing a request that gets on."""
        fast, slow = self.make_account('a', '1'), self.make_account('b', '1')
        for account in (fast, slow):
            self.budget.declare(account, _MB, 0)
        self.budget.arrive(slow, 1, _LONG_AGO_S)
        self.budget.arrive(fast, memory_budget.PART_BYTES, _LONG_AGO_S)
        late = self.make_account('c', '1')
        self.assertTrue(self.budget.declare(late, 2 * _MB, _LONG_AGO_S))
        self.assertEqual(self.closed, ['b'])

    def test_bytes_count_until_closed(self) -> None:
        """Guards against bytes that are replaced before they are freed."""
        slow = self.make_account('a', '1')
        self.budget.declare(slow, 3 * _MB, 0)
        late = self.make_account('b', '1')
        self.assertTrue(self.budget.declare(late, 2 * _MB, _LONG_AGO_S))
        self.assertEqual(self.budget.held, 5 * _MB)
        self.budget.keep(slow, 0)
        self.budget.release(slow)
        self.assertEqual((self.budget.held, self.budget.closing), (2 * _MB, 0))
        self.assertFalse(self.budget.charge(slow, 1, 0))

    def test_complete_request_is_not_closed(self) -> None:
        """Guards against closing a request whose job may have started."""
        whole = self.make_account('a', '1')
        self.budget.declare(whole, 3 * _MB, 0)
        self.budget.complete(whole)
        late = self.make_account('b', '1')
        self.assertFalse(self.budget.declare(late, _MB, _LONG_AGO_S))

    def test_crowd_of_one_address(self) -> None:
        """Guards against a crowd that keeps out other addresses."""
        for name in ('a', 'b', 'c'):
            self.budget.declare(self.make_account(name, '1'), _MB, 0)
        other = self.make_account('d', '2')
        self.assertTrue(self.budget.declare(other, _MB, 0))
        self.assertEqual(self.closed, ['a'])
        again = self.make_account('e', '1')
        self.assertFalse(self.budget.declare(again, _MB, 0))


class TestConnections(unittest.TestCase):
    """Which connections are accepted."""

    def test_longest_waiting_is_closed(self) -> None:
        """Guards against connections beyond the limit, or closing a busy one."""
        limit: connection_limits.ConnectionLimit[str] = (
            connection_limits.ConnectionLimit(3)
        )
        for name in ('a', 'b', 'c'):
            self.assertIsNone(limit.add(name, '1'))
        limit.begin_request('a')
        self.assertEqual(limit.add('d', '1'), 'b')
        for name in ('c', 'd'):
            limit.begin_request(name)
        self.assertEqual(limit.add('e', '1'), 'e')
        self.assertEqual(len(limit.addresses), 3)

    def test_address_with_most_connections(self) -> None:
        """Guards against a crowd that closes connections of others."""
        limit: connection_limits.ConnectionLimit[str] = (
            connection_limits.ConnectionLimit(3)
        )
        for name, address in (('a', '2'), ('b', '1'), ('c', '1')):
            limit.add(name, address)
        self.assertEqual(limit.add('d', '3'), 'b')
        self.assertEqual(limit.add('e', '3'), 'd')
        self.assertIn('a', limit.addresses)

    def test_below_the_descriptors(self) -> None:
        """Guards against limits that exceed the descriptors for sockets."""
        for descriptors in (400, 1024, 4100):
            shares = connection_limits.connections_by_listener(
                descriptors, is_entry=True
            )
            self.assertLess(sum(shares.values()), descriptors - 248)

    def test_counts_are_logged_once(self) -> None:
        """Guards against log lines for each client, and lost causes."""
        guard = process_guard.for_process(metrics.Metrics(), 160, 400)
        for _ in range(3):
            guard.count(process_guard.Cause.memory)
        with self.assertLogs(level='INFO') as logs:
            guard.review(0)
            guard.review(1)
        self.assertEqual(len(logs.output), 1)
        key = ('clients_turned_away', 'memory')
        self.assertEqual(guard.metrics.counters[key], 3)
