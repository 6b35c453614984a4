"""How many connections a listener accepts, and which it closes for new ones."""

import collections
import enum
import typing

# Of the descriptors of a process, those for files, and those for its listeners,
# its own connections to the store and the endpoint, and the event loop.
_FILE_DESCRIPTORS: typing.Final = 200
_OWN_DESCRIPTORS: typing.Final = 48
# Connections that were accepted before others are closed, or are being closed.
_ACCEPTED_SHARE: typing.Final = 0.1
# The limit of a process without settings on common systems.
_DEFAULT_DESCRIPTORS: typing.Final = 1024
_MIN_CONNECTIONS: typing.Final = 4


class Listener(enum.Enum):
    """Kinds of listeners of a process, by who connects there."""

    callers = 'callers'
    peers = 'peers'
    readiness = 'readiness'
    metrics = 'metrics'
    heartbeats = 'heartbeats'


_ENTRY_SHARES: typing.Final = {
    Listener.callers: 0.55,
    Listener.peers: 0.35,
    Listener.readiness: 0.05,
    Listener.metrics: 0.05,
}
# An agent needs descriptors for its links to entries as well.
_AGENT_SHARES: typing.Final = {
    Listener.heartbeats: 0.25,
    Listener.metrics: 0.05,
}


def connections_by_listener(
    descriptors: int, is_entry: bool
) -> dict[Listener, int]:
    """Return how many connections each listener accepts at most.

    `descriptors` is the limit of the process, 0 if it is not known.
    """
    available = (descriptors or _DEFAULT_DESCRIPTORS) - _FILE_DESCRIPTORS
    available = int((available - _OWN_DESCRIPTORS) * (1 - _ACCEPTED_SHARE))
    shares = _ENTRY_SHARES if is_entry else _AGENT_SHARES
    return {
        listener: max(int(available * share), _MIN_CONNECTIONS)
        for listener, share in shares.items()
    }


Connection = typing.TypeVar('Connection', bound=typing.Hashable)


class ConnectionLimit(typing.Generic[Connection]):
    """The open connections of a listener."""

    def __init__(self, most: int) -> None:
        """Accept up to `most` connections."""
        self.most = most
        self.addresses: dict[Connection, str] = {}
        self.count_by_address: collections.Counter[str] = collections.Counter()
        # Connections without a request in progress, the one that waits for
        # longest first.
        self.waiting: dict[Connection, None] = {}

    def add(self, connection: Connection, address: str) -> Connection | None:
        """Add a new connection; return one to close in turn, if any.

        Of the address with most connections, it is the one that has waited for
        longest. If no connection waits there, it is the new one.
        """
        self.addresses[connection] = address
        self.count_by_address[address] += 1
        to_close = None
        if len(self.addresses) > self.most:
            to_close = self._longest_waiting() or connection
            self.remove(to_close)
        if to_close is not connection:
            self.waiting[connection] = None
        return to_close

    def begin_request(self, connection: Connection) -> None:
        """Record that a connection has a request in progress."""
        self.waiting.pop(connection, None)

    def end_request(self, connection: Connection) -> None:
        """Record that a connection waits again."""
        if connection in self.addresses:
            self.waiting[connection] = None

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.waiting.pop(connection, None)
        address = self.addresses.pop(connection, None)
        if address is None:
            return
        self.count_by_address[address] -= 1
        if not self.count_by_address[address]:
            self.count_by_address.pop(address)

    def _longest_waiting(self) -> Connection | None:
        greatest = max(
            self.count_by_address, key=self.count_by_address.__getitem__
        )
        for connection in self.waiting:
            if self.addresses[connection] == greatest:
                return connection
        return next(iter(self.waiting), None)
