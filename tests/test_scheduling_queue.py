"""Shares, order and expiry of a worker's queue."""

import collections
import itertools
import math
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.scheduling import queue

EXACT: typing.Final = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=40,
    deadline=None,
)
SLOTS: typing.Final = 8
TENANT: typing.Final = ids.TenantName('a')
RIVAL: typing.Final = ids.TenantName('b')
Entry = queue.QueueItem[int]
SERIAL: typing.Final = itertools.count()


def entry(
    tenant: ids.TenantName = TENANT,
    urgency: int = 5,
    order: float = 0,
    expected: float = 1,
    deadline: float = math.inf,
    count: int = 1,
) -> Entry:
    """Return an entry with a new id."""
    number = next(SERIAL)
    return queue.QueueItem(
        number, tenant, urgency, order, expected, number, deadline, count
    )


class Slots:
    """Eight slots fed by a queue; tasks may run longer than expected."""

    def __init__(self, shares: dict[ids.TenantName, float]) -> None:
        """Start idle."""
        self.queue: queue.FairQueue[int] = queue.FairQueue()
        self.queue.set_shares(shares)
        self.now = 0.0
        self.running: list[tuple[float, float, Entry]] = []
        self.served: dict[str, float] = collections.defaultdict(float)
        self.idle_with_work = False

    def fill(self, factors: dict[ids.TenantName, float]) -> None:
        """Start tasks in all free slots."""
        while len(self.running) < SLOTS:
            found = self.queue.pop(self.now)
            if found is None:
                self.idle_with_work |= len(self.queue) > 0
                return
            real = found.expected_s * factors.get(found.tenant, 1)
            self.running.append((self.now + real, real, found))

    def step(self, factors: dict[ids.TenantName, float]) -> None:
        """Run until the next end of a task."""
        self.fill(factors)
        ending = min(self.running, key=lambda run: run[0])
        self.running.remove(ending)
        self.now, real, found = ending
        self.served[found.tenant] += real
        self.queue.charge(found.tenant, real, found.expected_s)


class ShareTest(unittest.TestCase):
    """Guards against a tenant that takes another one's slot-seconds."""

    @EXACT
    @hypothesis.given(
        shares=strategies.lists(
            strategies.sampled_from((0.5, 1, 2, 4)),
            min_size=2,
            max_size=5,
        ),
        sizes=strategies.lists(
            strategies.sampled_from((0.3, 1.0)),
            min_size=5,
            max_size=5,
        ),
        errors=strategies.lists(
            strategies.sampled_from((0.3, 1, 3)),
            min_size=5,
            max_size=5,
        ),
    )
    def test_backlogged_tenants_get_their_shares(
        self,
        shares: list[float],
        sizes: list[float],
        errors: list[float],
    ) -> None:
        """Fails if expected instead of real times are charged."""
        names = [ids.TenantName(str(index)) for index in range(len(shares))]
        slots = Slots(dict(zip(names, shares, strict=True)))
        factors = dict(zip(names, errors, strict=False))
        for name, size in zip(names, sizes, strict=False):
            slots.queue.push(entry(name, expected=size, count=10**6))
        longest = max(size * 3 for size in sizes)
        while slots.now < 40 * longest:
            slots.step(factors)
        self.assertFalse(slots.idle_with_work)
        total = sum(slots.served.values())
        for name, share in zip(names, shares, strict=True):
            entitled = total * share / sum(shares)
            lag = 3 * SLOTS * longest
            self.assertGreater(slots.served[name], entitled - lag)

    def test_lent_share_is_returned_at_once(self) -> None:
        """Fails if the lender waits for more than its share of slots."""
        slots = Slots({TENANT: 1, RIVAL: 1})
        slots.queue.push(entry(TENANT, count=10**6))
        for _ in range(5 * SLOTS):
            slots.step({})
        slots.fill({})
        slots.queue.push(entry(RIVAL, count=10**6))
        for steps, least, most in ((SLOTS // 2, 3, 4), (2 * SLOTS, 3, 5)):
            for _ in range(steps):
                slots.step({})
                slots.fill({})
            held = [found.tenant for _, _, found in slots.running]
            self.assertGreaterEqual(held.count(RIVAL), least)
            self.assertLessEqual(held.count(RIVAL), most)

    def test_setting_equal_shares_changes_nothing(self) -> None:
        """Fails if each new configuration forgives what tenants used."""
        slots = Slots({TENANT: 1, RIVAL: 1})
        slots.queue.push(entry(TENANT, count=10**6))
        slots.fill({})
        before = slots.queue.tenant_queues[TENANT].virtual_time
        slots.queue.set_shares({TENANT: 1, RIVAL: 1})
        after = slots.queue.tenant_queues[TENANT].virtual_time
        self.assertGreater(before, 0)
        self.assertEqual(after, before)

    def test_idle_tenant_saves_no_credit(self) -> None:
        """Fails if a tenant that was idle takes all slots on its return."""
        slots = Slots({TENANT: 1, RIVAL: 1})
        slots.queue.push(entry(RIVAL))
        slots.queue.push(entry(TENANT, count=10**6))
        for _ in range(50 * SLOTS):
            slots.step({})
        before = dict(slots.served)
        slots.queue.push(entry(RIVAL, count=10**6))
        for _ in range(20 * SLOTS):
            slots.step({})
        gained = slots.served[TENANT] - before[TENANT]
        self.assertGreater(gained, 0.4 * 20 * SLOTS)

    def test_changed_share_applies(self) -> None:
        """Fails if a new share needs a restart or resets the accounts."""
        slots = Slots({TENANT: 1, RIVAL: 1})
        for tenant in (TENANT, RIVAL):
            slots.queue.push(entry(tenant, count=10**6))
        for _ in range(10 * SLOTS):
            slots.step({})
        slots.queue.set_shares({TENANT: 3, RIVAL: 1})
        before = dict(slots.served)
        for _ in range(40 * SLOTS):
            slots.step({})
        ratio = (slots.served[TENANT] - before[TENANT]) / (
            slots.served[RIVAL] - before[RIVAL]
        )
        self.assertAlmostEqual(ratio, 3, delta=0.5)


Operation = tuple[str, int, int, float, float]
OPERATIONS: typing.Final = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('push', 'pop', 'remove', 'expire')),
        strategies.integers(0, 3),
        strategies.integers(1, 3),
        strategies.floats(0, 10),
        strategies.floats(0.01, 5),
    ),
    max_size=60,
)


class Book:
    """Plain record of what a queue must hold."""

    def __init__(self, test: unittest.TestCase) -> None:
        """Start empty."""
        self.test = test
        self.queue: queue.FairQueue[int] = queue.FairQueue()
        self.left: dict[typing.Hashable, int] = {}
        self.entries: dict[typing.Hashable, Entry] = {}
        self.now = 0.0

    def push(
        self,
        tenant: int,
        count: int,
        order: float,
        seconds: float,
    ) -> None:
        """Push an entry that expires after `order` seconds."""
        name = ids.TenantName(str(tenant))
        due = self.now + order
        added = entry(name, tenant, order, seconds, due, count)
        self.queue.push(added)
        self.left[added.id] = count
        self.entries[added.id] = added

    def pop(self) -> None:
        """Pop; something must come if anything is left in time."""
        found = self.queue.pop(self.now)
        live = set(self.left) - self.due()
        self.test.assertEqual(found is None, not live)
        if found is None:
            return
        self.test.assertIn(found.id, live)
        self.left[found.id] -= 1
        if not self.left[found.id]:
            self.left.pop(found.id)

    def remove(self) -> None:
        """Remove the first entry."""
        if self.left:
            key = next(iter(self.left))
            self.test.assertIs(self.queue.remove(key), self.entries[key])
            self.left.pop(key)

    def expire(self) -> None:
        """Take the expired entries."""
        due = self.due()
        expired = {item.id for item in self.queue.remove_expired(self.now)}
        self.test.assertEqual(expired, due)
        for key in due:
            self.left.pop(key)

    def due(self) -> set[typing.Hashable]:
        """Return the entries past their deadline."""
        return {
            key for key in self.left if self.entries[key].deadline <= self.now
        }

    def check(self) -> None:
        """Compare number and backlog."""
        self.test.assertEqual(len(self.queue), sum(self.left.values()))
        backlog = sum(
            self.entries[key].expected_s * number
            for key, number in self.left.items()
        )
        reported = sum(self.queue.backlog().values())
        self.test.assertAlmostEqual(reported, backlog)


class ContentTest(unittest.TestCase):
    """Guards against entries that are lost, doubled or run too late."""

    @EXACT
    @hypothesis.given(operations=OPERATIONS)
    def test_entries_leave_exactly_once(
        self,
        operations: list[Operation],
    ) -> None:
        """Fails if counts, backlog or slots disagree with the entries."""
        book = Book(self)
        for name, tenant, count, order, seconds in operations:
            book.now += 0.1
            match name:
                case 'push':
                    book.push(tenant, count, order, seconds)
                case 'pop':
                    book.pop()
                case 'remove':
                    book.remove()
                case _:
                    book.expire()
            book.check()

    @EXACT
    @hypothesis.given(
        keys=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.floats(0, 9),
            ),
        ),
    )
    def test_urgency_then_order_within_a_tenant(
        self,
        keys: list[tuple[int, float]],
    ) -> None:
        """Fails if a job overtakes a more urgent or earlier one."""
        tested: queue.FairQueue[int] = queue.FairQueue()
        for urgency, order in keys:
            tested.push(entry(TENANT, urgency, order))
        popped = [tested.pop(0) for _ in keys]
        found = [(item.urgency, item.order) for item in popped if item]
        self.assertEqual(found, sorted(keys))

    def test_urgency_does_not_count_between_tenants(self) -> None:
        """Fails if the most urgent flood starves another tenant."""
        slots = Slots({TENANT: 1, RIVAL: 1})
        slots.queue.push(entry(TENANT, urgency=0, count=10**6))
        slots.queue.push(entry(RIVAL, urgency=9, count=10**6))
        for _ in range(20 * SLOTS):
            slots.step({})
        self.assertAlmostEqual(
            slots.served[TENANT], slots.served[RIVAL], delta=2 * SLOTS
        )

    def test_doubled_id_is_refused(self) -> None:
        """Fails if a repeated grant could start a task twice."""
        tested: queue.FairQueue[int] = queue.FairQueue()
        added = entry()
        tested.push(added)
        with self.assertRaises(ValueError):
            tested.push(added)

    def test_removal_by_predicate(self) -> None:
        """Fails if a cancelled job's entries stay or others go."""
        tested: queue.FairQueue[int] = queue.FairQueue()
        for order in range(10):
            tested.push(entry(order=order))
        gone = tested.remove_if(lambda item: item.order < 4)
        self.assertEqual(len(gone), 4)
        self.assertEqual(len(tested), 6)

    def test_tables_stay_bounded(self) -> None:
        """Fails if removed entries or idle tenants pile up."""
        tested: queue.FairQueue[int] = queue.FairQueue()
        for number in range(20_000):
            added = entry(ids.TenantName(str(number)), deadline=1e9)
            tested.push(added)
            if number % 2:
                tested.remove(added.id)
            else:
                tested.pop(0)
                tested.charge(added.tenant, 1, added.expected_s)
        self.assertLess(len(tested.deadline_heap), 3000)
        self.assertLess(len(tested.tenant_queues), 3000)
