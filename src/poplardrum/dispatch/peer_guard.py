"""Connections of peers within the limits of the process.

A peer says who it is first, in a small frame. Frames that have arrived in part are
charged; they may use all of the budget, since the work depends on peers.
"""

import asyncio
import contextlib
import math
import typing

from poplardrum.dispatch import connections, memory_budget, process_guard

# Frames of a large fleet are smaller.
_SMALL_BYTES: typing.Final = 1024 * 1024


class PeerConnection:
    """One connection of a peer, which may be a stranger until its hello."""

    def __init__(
        self,
        guard: process_guard.ListenerGuard,
        link: connections.Link,
        address: str,
    ) -> None:
        """Create the state of a connection without unread bytes."""
        self.guard = guard
        self.account = memory_budget.Account(address, link.abort, _SMALL_BYTES)
        # Links have time limits of their own.
        self.expires_at = math.inf

    def late_cause(self) -> process_guard.Cause:
        """Return why it is closed when its time is over."""
        return process_guard.Cause.idle

    def charge_unread(self, size: int) -> bool:
        """Charge the bytes of an incomplete frame; return whether they fit."""
        surplus = size - self.account.held
        if surplus <= 0:
            self.guard.budget.keep(self.account, size)
            return True
        now = asyncio.get_running_loop().time()
        if self.guard.budget.charge(self.account, surplus, now):
            return True
        self.guard.process.count(process_guard.Cause.memory)
        return False

    def identify(self) -> None:
        """Record that its hello has arrived."""
        self.guard.limit.begin_request(self)


class PeerGuard:
    """The limits of the listener for peers."""

    def __init__(self, listener: process_guard.ListenerGuard) -> None:
        """Create the limits."""
        self.listener = listener

    @contextlib.contextmanager
    def watch(self, link: connections.Link) -> typing.Iterator[PeerConnection]:
        """Count a connection and its unread bytes until it is closed."""
        peer = link.writer.get_extra_info('peername')
        connection = PeerConnection(
            self.listener, link, peer[0] if peer else ''
        )
        link.unread.may_hold = connection.charge_unread
        self.listener.admit(connection)
        try:
            yield connection
        finally:
            self.listener.forget(connection)
