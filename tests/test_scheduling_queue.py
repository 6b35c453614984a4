"""Tests of the fair queue of a worker: shares, order and expiry."""

import collections
import itertools
import math
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.scheduling import queue
from tests import profiles

DETERMINISTIC: typing.Final = profiles.settings(max_examples=40)
SLOTS: typing.Final = 8
TENANT: typing.Final = ids.TenantName('a')
OTHER_TENANT: typing.Final = ids.TenantName('b')
Item = queue.QueueItem[int]
SERIAL_NUMBERS: typing.Final = itertools.count()


def make_item(
    tenant: ids.TenantName = TENANT,
    urgency: int = 5,
    order: float = 0,
    expected: float = 1,
    deadline: float = math.inf,
    count: int = 1,
) -> Item:
    """Return an item with a new id."""
    number = next(SERIAL_NUMBERS)
    return queue.QueueItem(
        number, tenant, urgency, order, expected, number, deadline, count
    )


class Slots:
    """Simulation of a worker whose tasks may not take the expected time."""

    def __init__(self, shares: dict[ids.TenantName, float]) -> None:
        """Start without running tasks."""
        self.queue: queue.FairQueue[int] = queue.FairQueue()
        self.queue.set_shares(shares)
        self.now = 0.0
        self.running: list[tuple[float, float, Item]] = []
        self.served: dict[str, float] = collections.defaultdict(float)
        self.idle_with_work = False

    def fill(self, factors: dict[ids.TenantName, float]) -> None:
        """Start tasks in all free slots."""
        while len(self.running) < SLOTS:
            item = self.queue.pop(self.now)
            if item is None:
                self.idle_with_work |= len(self.queue) > 0
                return
            duration = item.expected_s * factors.get(item.tenant, 1)
            self.running.append((self.now + duration, duration, item))

    def step(self, factors: dict[ids.TenantName, float]) -> None:
        """Advance the time to the next end of a task."""
        self.fill(factors)
        ending = min(self.running, key=lambda run: run[0])
        self.running.remove(ending)
        self.now, duration, item = ending
        self.served[item.tenant] += duration
        self.queue.charge(item.tenant, duration, item.expected_s)


class ShareTest(unittest.TestCase):
    """Guards against a tenant that uses the slot-seconds of another one."""

    @DETERMINISTIC
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
        """Fails if tenants are charged expected instead of real times."""
        names = [ids.TenantName(str(index)) for index in range(len(shares))]
        slots = Slots(dict(zip(names, shares, strict=True)))
        factors = dict(zip(names, errors, strict=False))
        for name, size in zip(names, sizes, strict=False):
            slots.queue.push(make_item(name, expected=size, count=10**6))
        longest = max(size * 3 for size in sizes)
        while slots.now < 40 * longest:
            slots.step(factors)
        self.assertFalse(slots.idle_with_work)
        total = sum(slots.served.values())
        for name, share in zip(names, shares, strict=True):
            entitled = total * share / sum(shares)
            lag = 3 * SLOTS * longest
            self.assertGreater(slots.served[name], entitled - lag)

    def test_unused_share_is_regained_at_once(self) -> None:
        """Fails if a tenant that becomes active does not get its share at once.

        Its slots are in use by another tenant until then.
        """
        slots = Slots({TENANT: 1, OTHER_TENANT: 1})
        slots.queue.push(make_item(TENANT, count=10**6))
        for _ in range(5 * SLOTS):
            slots.step({})
        slots.fill({})
        slots.queue.push(make_item(OTHER_TENANT, count=10**6))
        for steps, minimum, maximum in ((SLOTS // 2, 3, 4), (2 * SLOTS, 3, 5)):
            for _ in range(steps):
                slots.step({})
                slots.fill({})
            tenants = [item.tenant for _, _, item in slots.running]
            self.assertGreaterEqual(tenants.count(OTHER_TENANT), minimum)
            self.assertLessEqual(tenants.count(OTHER_TENANT), maximum)

    def test_setting_equal_shares_changes_nothing(self) -> None:
        """Fails if a new configuration resets the usage of tenants."""
        slots = Slots({TENANT: 1, OTHER_TENANT: 1})
        slots.queue.push(make_item(TENANT, count=10**6))
        slots.fill({})
        before = slots.queue.tenant_queues[TENANT].virtual_time
        slots.queue.set_shares({TENANT: 1, OTHER_TENANT: 1})
        after = slots.queue.tenant_queues[TENANT].virtual_time
        self.assertGreater(before, 0)
        self.assertEqual(after, before)

    def test_idle_tenant_accumulates_no_credit(self) -> None:
        """Fails if a tenant gets all slots after it was idle."""
        slots = Slots({TENANT: 1, OTHER_TENANT: 1})
        slots.queue.push(make_item(OTHER_TENANT))
        slots.queue.push(make_item(TENANT, count=10**6))
        for _ in range(50 * SLOTS):
            slots.step({})
        before = dict(slots.served)
        slots.queue.push(make_item(OTHER_TENANT, count=10**6))
        for _ in range(20 * SLOTS):
            slots.step({})
        served = slots.served[TENANT] - before[TENANT]
        self.assertGreater(served, 0.4 * 20 * SLOTS)

    def test_changed_share_applies(self) -> None:
        """Fails if a new share takes no effect on a running queue."""
        slots = Slots({TENANT: 1, OTHER_TENANT: 1})
        for tenant in (TENANT, OTHER_TENANT):
            slots.queue.push(make_item(tenant, count=10**6))
        for _ in range(10 * SLOTS):
            slots.step({})
        slots.queue.set_shares({TENANT: 3, OTHER_TENANT: 1})
        before = dict(slots.served)
        for _ in range(40 * SLOTS):
            slots.step({})
        ratio = (slots.served[TENANT] - before[TENANT]) / (
            slots.served[OTHER_TENANT] - before[OTHER_TENANT]
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


class QueueModel:
    """Reference model of the contents of a queue."""

    def __init__(self, test: unittest.TestCase) -> None:
        """Start empty."""
        self.test = test
        self.queue: queue.FairQueue[int] = queue.FairQueue()
        self.remaining: dict[typing.Hashable, int] = {}
        self.items: dict[typing.Hashable, Item] = {}
        self.now = 0.0

    def push(
        self,
        tenant: int,
        count: int,
        order: float,
        seconds: float,
    ) -> None:
        """Push an item that expires after `order` seconds."""
        name = ids.TenantName(str(tenant))
        deadline = self.now + order
        item = make_item(name, tenant, order, seconds, deadline, count)
        self.queue.push(item)
        self.remaining[item.id] = count
        self.items[item.id] = item

    def pop(self) -> None:
        """Pop; an item must be returned if any has not expired."""
        item = self.queue.pop(self.now)
        unexpired = set(self.remaining) - self.expired_ids()
        self.test.assertEqual(item is None, not unexpired)
        if item is None:
            return
        self.test.assertIn(item.id, unexpired)
        self.remaining[item.id] -= 1
        if not self.remaining[item.id]:
            self.remaining.pop(item.id)

    def remove(self) -> None:
        """Remove the first item."""
        if self.remaining:
            key = next(iter(self.remaining))
            self.test.assertIs(self.queue.remove(key), self.items[key])
            self.remaining.pop(key)

    def expire(self) -> None:
        """Remove the expired items."""
        expired = self.expired_ids()
        removed = {item.id for item in self.queue.remove_expired(self.now)}
        self.test.assertEqual(removed, expired)
        for key in expired:
            self.remaining.pop(key)

    def expired_ids(self) -> set[typing.Hashable]:
        """Return the ids of the items past their deadline."""
        return {
            key
            for key in self.remaining
            if self.items[key].deadline <= self.now
        }

    def check(self) -> None:
        """Compare the number of tasks and the backlog with the queue."""
        self.test.assertEqual(len(self.queue), sum(self.remaining.values()))
        backlog = sum(
            self.items[key].expected_s * number
            for key, number in self.remaining.items()
        )
        reported = sum(self.queue.backlog().values())
        self.test.assertAlmostEqual(reported, backlog)


class ContentTest(unittest.TestCase):
    """Guards against items that are lost, duplicated or run too late."""

    @DETERMINISTIC
    @hypothesis.given(operations=OPERATIONS)
    def test_items_are_removed_exactly_once(
        self,
        operations: list[Operation],
    ) -> None:
        """Fails if the contents, length or backlog differ from the model."""
        model = QueueModel(self)
        for operation, tenant, count, order, seconds in operations:
            model.now += 0.1
            match operation:
                case 'push':
                    model.push(tenant, count, order, seconds)
                case 'pop':
                    model.pop()
                case 'remove':
                    model.remove()
                case _:
                    model.expire()
            model.check()

    @DETERMINISTIC
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
        fair_queue: queue.FairQueue[int] = queue.FairQueue()
        for urgency, order in keys:
            fair_queue.push(make_item(TENANT, urgency, order))
        popped = [fair_queue.pop(0) for _ in keys]
        found = [(item.urgency, item.order) for item in popped if item]
        self.assertEqual(found, sorted(keys))

    def test_urgency_does_not_count_between_tenants(self) -> None:
        """Fails if a tenant with many urgent tasks starves another one."""
        slots = Slots({TENANT: 1, OTHER_TENANT: 1})
        slots.queue.push(make_item(TENANT, urgency=0, count=10**6))
        slots.queue.push(make_item(OTHER_TENANT, urgency=9, count=10**6))
        for _ in range(20 * SLOTS):
            slots.step({})
        self.assertAlmostEqual(
            slots.served[TENANT], slots.served[OTHER_TENANT], delta=2 * SLOTS
        )

    def test_duplicate_id_is_refused(self) -> None:
        """Fails if a duplicate grant could start a task twice."""
        fair_queue: queue.FairQueue[int] = queue.FairQueue()
        added = make_item()
        fair_queue.push(added)
        with self.assertRaises(ValueError):
            fair_queue.push(added)

    def test_removal_by_predicate(self) -> None:
        """Fails if items of a cancelled job stay or others are removed."""
        fair_queue: queue.FairQueue[int] = queue.FairQueue()
        for order in range(10):
            fair_queue.push(make_item(order=order))
        removed = fair_queue.remove_if(lambda item: item.order < 4)
        self.assertEqual(len(removed), 4)
        self.assertEqual(len(fair_queue), 6)

    def test_tables_stay_bounded(self) -> None:
        """Fails if removed items or idle tenants accumulate."""
        fair_queue: queue.FairQueue[int] = queue.FairQueue()
        for number in range(20_000):
            added = make_item(ids.TenantName(str(number)), deadline=1e9)
            fair_queue.push(added)
            if number % 2:
                fair_queue.remove(added.id)
            else:
                fair_queue.pop(0)
                fair_queue.charge(added.tenant, 1, added.expected_s)
        self.assertLess(len(fair_queue.deadline_heap), 3000)
        self.assertLess(len(fair_queue.tenant_queues), 3000)
