"""Task queue of one worker: fair shares between tenants, then job order.

Shares are counted in slot-seconds with start-time fair queueing: each tenant
has a virtual time, the slot-seconds it was charged divided by its share, and
the waiting tenant with the lowest virtual time goes next.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import typing

from poplardrum import ids

Payload = typing.TypeVar('Payload')

# A running task is half done on average, so half of the running work counts
# as served when a tenant joins. Without this, a tenant that was idle would
# wait for more than its share of the slots lent to others to come back.
_RUNNING_SERVED_FRACTION: typing.Final = 0.5
_DEFAULT_SHARE: typing.Final = 1.0
# Tenants without work are forgotten beyond this number.
_MAX_IDLE_TENANTS: typing.Final = 1024


@dataclasses.dataclass(eq=False)
class QueueItem(typing.Generic[Payload]):
    """A granted task, or a reservation for up to `count` tasks.

    `expected` is the expected time of one task in seconds, `deadline` a
    monotonic time in seconds; a lower `urgency` and a lower `order` go first.
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
    """Virtual time and waiting entries of one tenant; times in seconds."""

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
        """Return the virtual time without the work that still runs."""
        unfinished = math.fsum(self.running_expected_s) * (
            1 - _RUNNING_SERVED_FRACTION
        )
        return self.virtual_time - unfinished / self.share


class FairQueue(typing.Generic[Payload]):
    """Order the waiting entries of a worker.

    Time is an argument wherever it matters; nothing is read from a clock.
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
        """Return the number of waiting tasks, reserved ones included."""
        return sum(
            account.waiting_tasks for account in self.tenant_queues.values()
        )

    def set_shares(
        self,
        shares: typing.Mapping[ids.TenantName, float],
    ) -> None:
        """Set the shares of tenants; they apply to the next `pop`.

        The slot-seconds by which a tenant is ahead of the queue's virtual
        time are kept when its share changes.
        """
        self.tenant_shares = dict(shares)
        for tenant, account in self.tenant_queues.items():
            share = self.tenant_shares.get(tenant, _DEFAULT_SHARE)
            ahead = (account.virtual_time - self.virtual_time) * account.share
            account.share = share
            account.virtual_time = self.virtual_time + ahead / share

    def push(self, item: QueueItem[Payload]) -> None:
        """Add an entry; raise `ValueError` if its id is already waiting."""
        if item.id in self.items:
            raise ValueError(f'entry {item.id!r} is already waiting')
        account = self._tenant_queue(item.tenant)
        if not account.waiting_tasks:
            # An idle tenant gets no credit for the time it was idle.
            account.virtual_time = max(account.virtual_time, self.virtual_time)
        serial = next(self.serial_numbers)
        heapq.heappush(
            account.heap,
            (item.urgency, item.order, serial, item),
        )
        if item.deadline < math.inf:
            heapq.heappush(self.deadline_heap, (item.deadline, serial, item))
        self.items[item.id] = item
        account.waiting_tasks += item.count
        account.backlog += item.count * item.expected_s

    def pop(self, now: float) -> QueueItem[Payload] | None:
        """Return the next entry and count its task as running.

        A reservation is returned once for each task that it stands for. An
        entry past its deadline is never returned; see `take_expired`.
        """
        for account in self._by_virtual_time():
            entry = self._first_unexpired(account, now)
            if entry is not None:
                self._count_started(account, entry)
                return entry
        return None

    def remove_expired(self, now: float) -> list[QueueItem[Payload]]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while self.deadline_heap and self.deadline_heap[0][0] <= now:
            entry = heapq.heappop(self.deadline_heap)[2]
            if self.items.get(entry.id) is entry:
                self._discard(entry)
                expired.append(entry)
        return expired

    def remove(self, item_id: typing.Hashable) -> QueueItem[Payload] | None:
        """Remove one entry by its id; return it, `None` if unknown."""
        entry = self.items.get(item_id)
        if entry is not None:
            self._discard(entry)
        return entry

    def remove_if(
        self,
        predicate: typing.Callable[[QueueItem[Payload]], bool],
    ) -> list[QueueItem[Payload]]:
        """Remove and return the entries for which the predicate holds."""
        found = [entry for entry in self.items.values() if predicate(entry)]
        for entry in found:
            self._discard(entry)
        return found

    def charge(
        self,
        tenant: ids.TenantName,
        seconds: float,
        expected_s: float,
    ) -> None:
        """Replace the expected time of an ended task by its real one.

        Call once for each `pop`, with zero `seconds` if nothing ran; the
        `expected` seconds are those of the entry when it was popped.
        """
        account = self._tenant_queue(tenant)
        if expected_s in account.running_expected_s:
            account.running_expected_s.remove(expected_s)
            account.virtual_time += (seconds - expected_s) / account.share
        self._remove_idle_tenants()

    def backlog(self) -> dict[ids.TenantName, float]:
        """Return the expected seconds of waiting work by tenant."""
        return {
            tenant: account.backlog
            for tenant, account in self.tenant_queues.items()
            if account.waiting_tasks
        }

    def _tenant_queue(self, tenant: ids.TenantName) -> TenantQueue[Payload]:
        account = self.tenant_queues.get(tenant)
        if account is None:
            account = TenantQueue(
                self.tenant_shares.get(tenant, _DEFAULT_SHARE)
            )
            account.virtual_time = self.virtual_time
            self.tenant_queues[tenant] = account
        return account

    def _by_virtual_time(self) -> list[TenantQueue[Payload]]:
        return sorted(
            (
                acct
                for acct in self.tenant_queues.values()
                if acct.waiting_tasks
            ),
            key=lambda acct: acct.virtual_time,
        )

    def _first_unexpired(
        self,
        tenant_queue: TenantQueue[Payload],
        now: float,
    ) -> QueueItem[Payload] | None:
        # Expired entries leave the heap here and stay in `deadlines`.
        while tenant_queue.heap:
            entry = tenant_queue.heap[0][-1]
            waiting = self.items.get(entry.id) is entry
            if waiting and now < entry.deadline:
                return entry
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
        account = self.tenant_queues[item.tenant]
        account.waiting_tasks -= item.count
        account.backlog -= item.count * item.expected_s
        if not account.waiting_tasks:
            account.heap.clear()
            account.backlog = 0
        self._compact_deadlines()

    def _compact_deadlines(self) -> None:
        # Removed entries stay in the heaps until they outnumber the rest.
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
        for tenant, account in list(self.tenant_queues.items()):
            if not (account.waiting_tasks or account.running_expected_s):
                self.tenant_queues.pop(tenant)
