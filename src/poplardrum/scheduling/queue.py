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
_RUNNING_SERVED: typing.Final = 0.5
_DEFAULT_SHARE: typing.Final = 1.0
# Tenants without work are forgotten beyond this number.
_MAX_IDLE_TENANTS: typing.Final = 1024


@dataclasses.dataclass(eq=False)
class Entry(typing.Generic[Payload]):
    """A granted task, or a reservation for up to `count` tasks.

    `expected` is the expected time of one task in seconds, `deadline` a
    monotonic time in seconds; a lower `urgency` and a lower `order` go first.
    """

    id: typing.Hashable
    tenant: ids.TenantName
    urgency: int
    order: float
    expected: float
    payload: Payload
    deadline: float = math.inf
    count: int = 1


@dataclasses.dataclass
class Account(typing.Generic[Payload]):
    """Virtual time and waiting entries of one tenant; times in seconds."""

    share: float = _DEFAULT_SHARE
    virtual: float = 0
    running: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque,
    )
    heap: list[tuple[int, float, int, Entry[Payload]]] = dataclasses.field(
        default_factory=list,
    )
    waiting: int = 0
    backlog: float = 0

    def served(self) -> float:
        """Return the virtual time without the work that still runs."""
        unfinished = math.fsum(self.running) * (1 - _RUNNING_SERVED)
        return self.virtual - unfinished / self.share


class FairQueue(typing.Generic[Payload]):
    """Order the waiting entries of a worker.

    Time is an argument wherever it matters; nothing is read from a clock.
    """

    def __init__(self) -> None:
        """Start empty; unknown tenants have a share of 1."""
        self.accounts: dict[ids.TenantName, Account[Payload]] = {}
        self.entries: dict[typing.Hashable, Entry[Payload]] = {}
        self.share_table: dict[ids.TenantName, float] = {}
        self.deadlines: list[tuple[float, int, Entry[Payload]]] = []
        self.virtual = 0.0
        self.serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting tasks, reserved ones included."""
        return sum(account.waiting for account in self.accounts.values())

    def set_shares(
        self,
        shares: typing.Mapping[ids.TenantName, float],
    ) -> None:
        """Set the shares of tenants; they apply to the next `pop`.

        The slot-seconds by which a tenant is ahead of the queue's virtual
        time are kept when its share changes.
        """
        self.share_table = dict(shares)
        for tenant, account in self.accounts.items():
            share = self.share_table.get(tenant, _DEFAULT_SHARE)
            ahead = (account.virtual - self.virtual) * account.share
            account.share = share
            account.virtual = self.virtual + ahead / share

    def push(self, entry: Entry[Payload]) -> None:
        """Add an entry; raise `ValueError` if its id is already waiting."""
        if entry.id in self.entries:
            raise ValueError(f'entry {entry.id!r} is already waiting')
        account = self._account(entry.tenant)
        if not account.waiting:
            # An idle tenant gets no credit for the time it was idle.
            account.virtual = max(account.virtual, self.virtual)
        serial = next(self.serial)
        heapq.heappush(
            account.heap,
            (entry.urgency, entry.order, serial, entry),
        )
        if entry.deadline < math.inf:
            heapq.heappush(self.deadlines, (entry.deadline, serial, entry))
        self.entries[entry.id] = entry
        account.waiting += entry.count
        account.backlog += entry.count * entry.expected

    def pop(self, now: float) -> Entry[Payload] | None:
        """Return the next entry and count its task as running.

        A reservation is returned once for each task that it stands for. An
        entry past its deadline is never returned; see `take_expired`.
        """
        for account in self._by_virtual_time():
            entry = self._first(account, now)
            if entry is not None:
                self._start(account, entry)
                return entry
        return None

    def take_expired(self, now: float) -> list[Entry[Payload]]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            entry = heapq.heappop(self.deadlines)[2]
            if self.entries.get(entry.id) is entry:
                self._discard(entry)
                expired.append(entry)
        return expired

    def remove(self, entry_id: typing.Hashable) -> Entry[Payload] | None:
        """Remove one entry by its id; return it, `None` if unknown."""
        entry = self.entries.get(entry_id)
        if entry is not None:
            self._discard(entry)
        return entry

    def remove_if(
        self,
        predicate: typing.Callable[[Entry[Payload]], bool],
    ) -> list[Entry[Payload]]:
        """Remove and return the entries for which the predicate holds."""
        found = [entry for entry in self.entries.values() if predicate(entry)]
        for entry in found:
            self._discard(entry)
        return found

    def charge(
        self,
        tenant: ids.TenantName,
        seconds: float,
        expected: float,
    ) -> None:
        """Replace the expected time of an ended task by its real one.

        Call once for each `pop`, with zero `seconds` if nothing ran; the
        `expected` seconds are those of the entry when it was popped.
        """
        account = self._account(tenant)
        if expected in account.running:
            account.running.remove(expected)
            account.virtual += (seconds - expected) / account.share
        self._forget_idle()

    def backlog(self) -> dict[ids.TenantName, float]:
        """Return the expected seconds of waiting work by tenant."""
        return {
            tenant: account.backlog
            for tenant, account in self.accounts.items()
            if account.waiting
        }

    def _account(self, tenant: ids.TenantName) -> Account[Payload]:
        account = self.accounts.get(tenant)
        if account is None:
            account = Account(self.share_table.get(tenant, _DEFAULT_SHARE))
            account.virtual = self.virtual
            self.accounts[tenant] = account
        return account

    def _by_virtual_time(self) -> list[Account[Payload]]:
        return sorted(
            (acct for acct in self.accounts.values() if acct.waiting),
            key=lambda acct: acct.virtual,
        )

    def _first(
        self,
        account: Account[Payload],
        now: float,
    ) -> Entry[Payload] | None:
        # Expired entries leave the heap here and stay in `deadlines`.
        while account.heap:
            entry = account.heap[0][-1]
            waiting = self.entries.get(entry.id) is entry
            if waiting and now < entry.deadline:
                return entry
            heapq.heappop(account.heap)
        return None

    def _start(
        self,
        account: Account[Payload],
        entry: Entry[Payload],
    ) -> None:
        self.virtual = max(self.virtual, account.served())
        account.running.append(entry.expected)
        account.virtual += entry.expected / account.share
        account.waiting -= 1
        account.backlog -= entry.expected
        entry.count -= 1
        if not entry.count:
            heapq.heappop(account.heap)
            self.entries.pop(entry.id)
        if not account.waiting:
            account.backlog = 0

    def _discard(self, entry: Entry[Payload]) -> None:
        self.entries.pop(entry.id)
        account = self.accounts[entry.tenant]
        account.waiting -= entry.count
        account.backlog -= entry.count * entry.expected
        if not account.waiting:
            account.heap.clear()
            account.backlog = 0
        self._compact()

    def _compact(self) -> None:
        # Removed entries stay in the heaps until they outnumber the rest.
        if len(self.deadlines) <= 2 * len(self.entries) + _MAX_IDLE_TENANTS:
            return
        self.deadlines = [
            item
            for item in self.deadlines
            if self.entries.get(item[-1].id) is item[-1]
        ]
        heapq.heapify(self.deadlines)

    def _forget_idle(self) -> None:
        if len(self.accounts) <= _MAX_IDLE_TENANTS:
            return
        for tenant, account in list(self.accounts.items()):
            if not (account.waiting or account.running):
                self.accounts.pop(tenant)
