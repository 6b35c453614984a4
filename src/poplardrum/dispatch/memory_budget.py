"""The memory that clients and peers may take up in this process.

Each connection has an account. It is charged with every byte that has arrived and
with the declared length of a body that is still to come, until the request is
over. Bytes of a connection that is being closed count until it is closed.

A budget that is exhausted is freed at the cost of those who make least progress:
incomplete requests, in the order of when each last got on by a whole part. Among
them, the address that holds most goes first. The last part of the budget is kept
for small requests, so large bodies can't keep out ordinary callers.
"""

import collections
import typing

# Requests up to this size may use the part that is kept for them.
SMALL_BYTES: typing.Final = 16 * 1024
# A client that sends less than this has made no progress.
PART_BYTES: typing.Final = 16 * 1024
# An incomplete request is not closed in favour of others while its last progress
# is younger; a caller on the same network sends a whole part much faster.
STALLED_AFTER_S: typing.Final = 1.0
_SMALL_SHARE: typing.Final = 0.25


class Account:
    """Bytes that one connection holds; `reserved` of them are still to come."""

    __slots__ = (
        'address',
        'close',
        'closing',
        'held',
        'part',
        'progressed_at',
        'reserved',
        'small',
    )

    def __init__(
        self,
        address: str,
        close: typing.Callable[[], None],
        small: int = SMALL_BYTES,
    ) -> None:
        """Create an empty account; `close` closes its connection.

        Up to `small` bytes of it may use the part kept for small requests.
        """
        self.address = address
        self.close = close
        self.small = small
        self.held = 0
        self.reserved = 0
        self.closing = False
        # Bytes since the last progress, and when that was.
        self.part = 0
        self.progressed_at = 0.0


class MemoryBudget:
    """Decides which bytes may be held, and who is closed for them."""

    def __init__(self, limit_bytes: int) -> None:
        """Create an empty budget."""
        self.limit = limit_bytes
        self.limit_of_large = int(limit_bytes * (1 - _SMALL_SHARE))
        self.held = 0
        # Of the bytes held, those of connections that are being closed.
        self.closing = 0
        self.held_by_address: collections.Counter[str] = collections.Counter()
        # Incomplete requests, the one without progress for longest first.
        self.incomplete: dict[Account, None] = {}

    def arrive(self, account: Account, size: int, now: float) -> bool:
        """Charge bytes that have arrived; return whether they may be held."""
        expected = min(size, account.reserved)
        if not self.charge(account, size - expected, now):
            return False
        account.reserved -= expected
        account.part += size
        if account.part >= PART_BYTES and account in self.incomplete:
            self._record_progress(account, now)
        return True

    def declare(self, account: Account, size: int, now: float) -> bool:
        """Charge bytes that are still to come; return whether they may come."""
        if not self.charge(account, size, now):
            return False
        account.reserved += size
        return True

    def charge(self, account: Account, size: int, now: float) -> bool:
        """Charge bytes; return whether they fit, at the cost of others."""
        if account.closing:
            return False
        limit = self.limit_of_large
        if account.held + size <= account.small:
            limit = self.limit
        if self.held + size > limit and not self._make_room(
            account, size, limit, now
        ):
            return False
        account.held += size
        self.held += size
        self.held_by_address[account.address] += size
        return True

    def begin(self, account: Account, now: float) -> None:
        """Record that a request has begun and is incomplete."""
        if account not in self.incomplete and not account.closing:
            self._record_progress(account, now)

    def complete(self, account: Account) -> None:
        """Record that all of a request has arrived."""
        self.incomplete.pop(account, None)

    def keep(self, account: Account, size: int) -> None:
        """Reduce what an account holds to `size`; the rest is free again."""
        freed = account.held - size
        if freed <= 0:
            return
        account.held = size
        account.reserved = 0
        self.held -= freed
        if account.closing:
            self.closing -= freed
        self._reduce_address(account.address, freed)

    def release(self, account: Account) -> None:
        """Free all that an account holds; its connection is closed."""
        self.incomplete.pop(account, None)
        self.keep(account, 0)
        account.closing = True

    def close(self, account: Account) -> None:
        """Close the connection of an account, whose bytes count until then."""
        if not account.closing:
            account.closing = True
            self.closing += account.held
            self.incomplete.pop(account, None)
            account.close()

    def _record_progress(self, account: Account, now: float) -> None:
        account.part = 0
        account.progressed_at = now
        self.incomplete.pop(account, None)
        self.incomplete[account] = None

    def _make_room(
        self, account: Account, size: int, limit: int, now: float
    ) -> bool:
        """Close others until bytes fit; return whether they do already.

        Bytes that are only declared may be charged as soon as the connections
        that make room are being closed.
        """
        while self.held - self.closing + size > limit:
            victim = self._least_progress(account, now)
            if victim is None:
                return False
            self.close(victim)
        return True

    def _least_progress(self, account: Account, now: float) -> Account | None:
        """Return the account to close for another one.

        An address that holds less than its equal share need not wait until the
        requests of one that holds more are stalled.
        """
        if not self.held_by_address:
            return None
        greatest = max(
            self.held_by_address, key=self.held_by_address.__getitem__
        )
        share = self.limit / len(self.held_by_address)
        is_entitled = (
            account.address != greatest
            and self.held_by_address[account.address] < share
        )
        stalled_at = now - STALLED_AFTER_S
        stalled = [
            each
            for each in self.incomplete
            if each is not account and each.progressed_at <= stalled_at
        ]
        at_greatest = (
            each
            for each in (self.incomplete if is_entitled else stalled)
            if each is not account and each.address == greatest
        )
        return next(at_greatest, stalled[0] if stalled else None)

    def _reduce_address(self, address: str, size: int) -> None:
        left = self.held_by_address[address] - size
        if left > 0:
            self.held_by_address[address] = left
        else:
            self.held_by_address.pop(address, None)
