"""Limits of a process on what its clients and peers may take up.

One budget of memory serves all listeners; each listener has a limit of connections.
What was refused or closed is counted by cause and logged once a second.
"""

import asyncio
import collections
import enum
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import connection_limits, memory_budget, metrics

logger = logging.getLogger(__name__)

_BYTES_PER_MB: typing.Final = 1_000_000
# What a process takes up without clients, with room to spare.
_OWN_MEMORY_MB: typing.Final = 64
# Freed memory stays with the process in part, and bytes are held twice for the
# moment in which a body is put together.
_BUDGET_SHARE: typing.Final = 0.4
_MIN_BUDGET_MB: typing.Final = 4
# Serves an entry on any machine that can run one.
_DEFAULT_BUDGET_MB: typing.Final = 32
_REVIEW_INTERVAL_S: typing.Final = 1.0


class Cause(enum.Enum):
    """Why a request was refused or a connection closed."""

    memory = 'memory'
    connections = 'connections'
    too_large = 'too_large'
    too_slow = 'too_slow'
    header = 'header'
    idle = 'idle'


def budget_bytes(memory_mb: int) -> int:
    """Return the budget for clients in a process with this much memory.

    `memory_mb` is 0 if it is not known.
    """
    budget_mb: float = _DEFAULT_BUDGET_MB
    if memory_mb:
        budget_mb = (memory_mb - _OWN_MEMORY_MB) * _BUDGET_SHARE
    return int(max(budget_mb, _MIN_BUDGET_MB) * _BYTES_PER_MB)


class ProcessGuard:
    """The budget and the limits of one process."""

    def __init__(
        self,
        budget: memory_budget.MemoryBudget,
        connections: dict[connection_limits.Listener, int],
        process_metrics: metrics.Metrics,
    ) -> None:
        """Create a guard that counts into the metrics of the process."""
        self.budget = budget
        self.connections = connections
        self.metrics = process_metrics
        self.limits: list[
            connection_limits.ConnectionLimit[GuardedConnection]
        ] = []
        self.causes: collections.Counter[Cause] = collections.Counter()
        read_gauges = process_metrics.gauges
        process_metrics.gauges = lambda: {**read_gauges(), **self._gauges()}

    def at(self, listener: str) -> 'ListenerGuard':
        """Return the limits of a new listener, named as in `Listener`."""
        kind = connection_limits.Listener(listener)
        guard = ListenerGuard(self, self.connections[kind])
        self.limits.append(guard.limit)
        return guard

    def count(self, cause: Cause) -> None:
        """Count a refused request or closed connection."""
        self.causes[cause] += 1
        self.metrics.increment('clients_turned_away', cause.value)

    async def run(self) -> None:
        """Close connections whose time is over, and log, until cancelled."""
        while True:
            await asyncio.sleep(_REVIEW_INTERVAL_S)
            self.review(asyncio.get_running_loop().time())

    def review(self, now: float) -> None:
        """Close connections whose time is over; log a line for each cause."""
        for limit in self.limits:
            for connection in list(limit.addresses):
                if connection.expires_at <= now:
                    self.count(connection.late_cause())
                    self.budget.close(connection.account)
        for cause, count in self.causes.items():
            log_events.emit(
                logger, 'clients turned away', cause=cause.value, count=count
            )
        self.causes.clear()

    def _gauges(self) -> dict[str, float]:
        return {
            'client_bytes_held': self.budget.held,
            'client_bytes_limit': self.budget.limit,
            'requests_incomplete': len(self.budget.incomplete),
            'connections_open': sum(
                len(limit.addresses) for limit in self.limits
            ),
        }


class ListenerGuard:
    """The limits of one listener."""

    def __init__(self, process: ProcessGuard, most: int) -> None:
        """Create the limits of a listener with up to `most` connections."""
        self.process = process
        self.budget = process.budget
        self.limit: connection_limits.ConnectionLimit[GuardedConnection] = (
            connection_limits.ConnectionLimit(most)
        )

    def admit(self, connection: 'GuardedConnection') -> None:
        """Count a new connection; close one if there are too many."""
        to_close = self.limit.add(connection, connection.account.address)
        if to_close is not None:
            self.close(to_close, Cause.connections)

    def close(self, connection: 'GuardedConnection', cause: Cause) -> None:
        """Close a connection for a cause."""
        self.process.count(cause)
        self.budget.close(connection.account)

    def forget(self, connection: 'GuardedConnection') -> None:
        """Free what a closed connection held."""
        self.limit.remove(connection)
        self.budget.release(connection.account)


class GuardedConnection(typing.Protocol):
    """A connection under the limits of a guard."""

    account: memory_budget.Account
    expires_at: float

    def late_cause(self) -> Cause:
        """Return why it is closed when its time is over."""

    def __hash__(self) -> int:
        """Connections are told apart by identity."""


def for_process(
    process_metrics: metrics.Metrics,
    memory_mb: int = 0,
    descriptors: int = 0,
    *,
    is_entry: bool = True,
) -> ProcessGuard:
    """Return the guard of an entry or agent; limits of 0 are not known."""
    return ProcessGuard(
        memory_budget.MemoryBudget(budget_bytes(memory_mb)),
        connection_limits.connections_by_listener(descriptors, is_entry),
        process_metrics,
    )
