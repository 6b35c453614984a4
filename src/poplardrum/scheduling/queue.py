"""Task queue of one worker: fair shares between tenants, then job order.

Slot-seconds are shared by start-time fair queueing: the virtual time of a
tenant is the slot-seconds it was charged divided by its share, and the next
task is taken from the waiting tenant with the lowest virtual time.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import typing

from poplardrum import ids

Payload = typing.TypeVar('Payload')

# A running task is half done on average, so half of the running work counts as
# served when a tenant becomes active. Otherwise a tenant that was idle would
# wait until more than its share of the slots used by others became free.
_RUNNING_SERVED_FRACTION: typing.Final = 0.5
_DEFAULT_SHARE: typing.Final = 1.0
# With more tenants than this, those without work are removed. Also the number
# of removed items that the heap of deadlines may hold in a short queue.
_MAX_IDLE_TENANTS: typing.Final = 1024


@dataclasses.dataclass(eq=False)
class QueueItem(typing.Generic[Payload]):
    """A granted task, or a reservation for up to `count` tasks.

    `expected_s` is the expected time of one task, `deadline` a monotonic time
    in seconds. Items are ordered by ascending `urgency`, then `order`.
    """

    id: typing.Hashable
    tenant: ids.TenantName
    urgency: int
    order: float
    expected_s: float
    payload: Payload
    deadline: float = math.inf
    count: int = 1


@dataclasses.dataclass
class TenantQueue(typing.Generic[Payload]):
    """Virtual time and waiting items of one tenant; times are in seconds."""

    share: float = _DEFAULT_SHARE
    virtual_time: float = 0
    running_expected_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque,
    )
    heap: list[tuple[int, float, int, QueueItem[Payload]]] = dataclasses.field(
        default_factory=list,
    )
    waiting_tasks: int = 0
    backlog: float = 0

    def served_virtual_time(self) -> float:
        """Return the virtual time without the unfinished running work."""
        unfinished = math.fsum(self.running_expected_s) * (
            1 - _RUNNING_SERVED_FRACTION
        )
        return self.virtual_time - unfinished / self.share


class FairQueue(typing.Generic[Payload]):
    """Queue of the waiting items of one worker.

    The current time is always passed as an argument; no clock is read.
    """

    def __init__(self) -> None:
        """Start empty; unknown tenants have a share of 1."""
        self.tenant_queues: dict[ids.TenantName, TenantQueue[Payload]] = {}
        self.items: dict[typing.Hashable, QueueItem[Payload]] = {}
        self.tenant_shares: dict[ids.TenantName, float] = {}
        self.deadline_heap: list[tuple[float, int, QueueItem[Payload]]] = []
        self.virtual_time = 0.0
        self.serial_numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting tasks, including reserved ones."""
        return sum(
            tenant_queue.waiting_tasks
            for tenant_queue in self.tenant_queues.values()
        )

    def set_shares(
        self,
        shares: typing.Mapping[ids.TenantName, float],
    ) -> None:
        """Set the shares of all tenants; they apply from the next `pop` on.

        A tenant whose share changes keeps the slot-seconds by which it is
        ahead of the queue's virtual time.
        """
        self.tenant_shares = dict(shares)
        for tenant, tenant_queue in self.tenant_queues.items():
            share = self.tenant_shares.get(tenant, _DEFAULT_SHARE)
            ahead = (
                tenant_queue.virtual_time - self.virtual_time
            ) * tenant_queue.share
            tenant_queue.share = share
            tenant_queue.virtual_time = self.virtual_time + ahead / share

    def push(self, item: QueueItem[Payload]) -> None:
        """Add an item; raise `ValueError` if its id is already in the queue."""
        if item.id in self.items:
            raise ValueError(f'item {item.id!r} is already in the queue')
        tenant_queue = self._tenant_queue(item.tenant)
        if not tenant_queue.waiting_tasks:
            # A tenant must not accumulate credit while it is idle.
            tenant_queue.virtual_time = max(
                tenant_queue.virtual_time, self.virtual_time
            )
        serial = next(self.serial_numbers)
        heapq.heappush(
            tenant_queue.heap,
            (item.urgency, item.order, serial, item),
        )
        if item.deadline < math.inf:
            heapq.heappush(self.deadline_heap, (item.deadline, serial, item))
        self.items[item.id] = item
        tenant_queue.waiting_tasks += item.count
        tenant_queue.backlog += item.count * item.expected_s

    def pop(self, now: float) -> QueueItem[Payload] | None:
        """Return the next item and count one task of it as running.

        A reservation is returned once for each of its tasks. An item past its
        deadline is never returned; see `remove_expired`.
        """
        for tenant_queue in self._by_virtual_time():
            item = self._first_unexpired(tenant_queue, now)
            if item is not None:
                self._count_started(tenant_queue, item)
                return item
        return None

    def remove_expired(self, now: float) -> list[QueueItem[Payload]]:
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self.deadline_heap and self.deadline_heap[0][0] <= now:
            item = heapq.heappop(self.deadline_heap)[2]
            if self.items.get(item.id) is item:
                self._discard(item)
                expired.append(item)
        return expired

    def remove(self, item_id: typing.Hashable) -> QueueItem[Payload] | None:
        """Remove and return an item by its id; `None` if it is not waiting."""
        item = self.items.get(item_id)
        if item is not None:
            self._discard(item)
        return item

    def remove_if(
        self,
        predicate: typing.Callable[[QueueItem[Payload]], bool],
    ) -> list[QueueItem[Payload]]:
        """Remove and return the items for which the predicate holds."""
        removed = [item for item in self.items.values() if predicate(item)]
        for item in removed:
            self._discard(item)
        return removed

    def charge(
        self,
        tenant: ids.TenantName,
        seconds: float,
        expected_s: float,
    ) -> None:
        """Replace the expected time of a finished task by its real time.

        To be called once for each `pop`, with zero `seconds` if nothing ran.
        `expected_s` is that of the item when it was popped.
        """
        tenant_queue = self._tenant_queue(tenant)
        if expected_s in tenant_queue.running_expected_s:
            tenant_queue.running_expected_s.remove(expected_s)
            tenant_queue.virtual_time += (
                seconds - expected_s
            ) / tenant_queue.share
        self._remove_idle_tenants()

    def backlog(self) -> dict[ids.TenantName, float]:
        """Return the expected seconds of waiting work by tenant."""
        return {
            tenant: tenant_queue.backlog
            for tenant, tenant_queue in self.tenant_queues.items()
            if tenant_queue.waiting_tasks
        }

    def _tenant_queue(self, tenant: ids.TenantName) -> TenantQueue[Payload]:
        tenant_queue = self.tenant_queues.get(tenant)
        if tenant_queue is None:
            tenant_queue = TenantQueue(
                self.tenant_shares.get(tenant, _DEFAULT_SHARE)
            )
            tenant_queue.virtual_time = self.virtual_time
            self.tenant_queues[tenant] = tenant_queue
        return tenant_queue

    def _by_virtual_time(self) -> list[TenantQueue[Payload]]:
        return sorted(
            (
                tenant_queue
                for tenant_queue in self.tenant_queues.values()
                if tenant_queue.waiting_tasks
            ),
            key=lambda tenant_queue: tenant_queue.virtual_time,
        )

    def _first_unexpired(
        self,
        tenant_queue: TenantQueue[Payload],
        now: float,
    ) -> QueueItem[Payload] | None:
        # Expired items are removed from this heap only; `remove_expired` finds
        # them in `deadline_heap`.
        while tenant_queue.heap:
            item = tenant_queue.heap[0][-1]
            waiting = self.items.get(item.id) is item
            if waiting and now < item.deadline:
                return item
            heapq.heappop(tenant_queue.heap)
        return None

    def _count_started(
        self,
        tenant_queue: TenantQueue[Payload],
        item: QueueItem[Payload],
    ) -> None:
        self.virtual_time = max(
            self.virtual_time, tenant_queue.served_virtual_time()
        )
        tenant_queue.running_expected_s.append(item.expected_s)
        tenant_queue.virtual_time += item.expected_s / tenant_queue.share
        tenant_queue.waiting_tasks -= 1
        tenant_queue.backlog -= item.expected_s
        item.count -= 1
        if not item.count:
            heapq.heappop(tenant_queue.heap)
            self.items.pop(item.id)
        if not tenant_queue.waiting_tasks:
            tenant_queue.backlog = 0

    def _discard(self, item: QueueItem[Payload]) -> None:
        self.items.pop(item.id)
        tenant_queue = self.tenant_queues[item.tenant]
        tenant_queue.waiting_tasks -= item.count
        tenant_queue.backlog -= item.count * item.expected_s
        if not tenant_queue.waiting_tasks:
            tenant_queue.heap.clear()
            tenant_queue.backlog = 0
        self._compact_deadlines()

    def _compact_deadlines(self) -> None:
        # Removed items stay in the heap until they outnumber the others.
        if len(self.deadline_heap) <= 2 * len(self.items) + _MAX_IDLE_TENANTS:
            return
        self.deadline_heap = [
            item
            for item in self.deadline_heap
            if self.items.get(item[-1].id) is item[-1]
        ]
        heapq.heapify(self.deadline_heap)

    def _remove_idle_tenants(self) -> None:
        if len(self.tenant_queues) <= _MAX_IDLE_TENANTS:
            return
        for tenant, tenant_queue in list(self.tenant_queues.items()):
            if not (
                tenant_queue.waiting_tasks or tenant_queue.running_expected_s
            ):
                self.tenant_queues.pop(tenant)
