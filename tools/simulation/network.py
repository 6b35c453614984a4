"""Connections between simulated processes.

Bytes arrive in order after a delay. A path that is cut holds them back, and the
peers learn nothing; a reset or the end of a process closes the connection.
"""

import asyncio
import random
import typing

from poplardrum import ini
from tools.simulation import virtual_time

# One way, between hosts.
_DELAY_S: typing.Final = (0.0003, 0.0015)
# A cut path delivers this long after it was mended, by retransmission.
_RETRANSMIT_S: typing.Final = 0.2
_READ_LIMIT: typing.Final = 1 << 20

Accept = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Coroutine[typing.Any, typing.Any, None],
]


class _End:
    """One end of a connection; it serves as transport and writer of a link."""

    def __init__(
        self, network: 'Network', process: virtual_time.Process
    ) -> None:
        self.network = network
        self.process = process
        self.reader = asyncio.StreamReader(_READ_LIMIT, loop=process.loop)
        self.transport = self
        self.peer: _End | None = None
        self.is_closed = False
        self.eof_received = False
        # When the last byte sent from here arrives.
        self.arrives_at = 0.0

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""
        if not self.is_closed and self.process.is_alive:
            self.network.transmit(self, data)

    def is_closing(self) -> bool:
        """Return whether this end is closed or has been reset."""
        return self.is_closed or self.eof_received

    def get_extra_info(self, _name: str) -> None:
        """Return `None`: ends have no addresses."""

    def get_write_buffer_size(self) -> int:
        """Return 0: the network takes all bytes."""
        return 0

    def abort(self) -> None:
        """Close both ends; bytes in transit are lost."""
        if not self.is_closed:
            self.is_closed = True
            self.network.transmit(self, b'')
            self.receive(b'')

    def receive(self, data: bytes) -> None:
        """Hand bytes to the process, or the end of the connection."""
        if self.eof_received:
            return
        if data:
            self.process.call(self.reader.feed_data, data)
        else:
            self.eof_received = True
            self.process.call(self.reader.feed_eof)


class Network:
    """Hosts, the processes that listen there, and the paths between them."""

    def __init__(
        self, simulation: virtual_time.Simulation, rng: random.Random
    ) -> None:
        """Create a network whose paths all work."""
        self.simulation = simulation
        self.random = rng
        self.listeners: dict[
            ini.Address, tuple[virtual_time.Process, Accept]
        ] = {}
        self.dark_hosts: set[str] = set()
        # Paths from one host to another, until when they are cut.
        self.cuts: dict[tuple[str, str], float] = {}
        self.extra_delay = 0.0
        self.ends: list[_End] = []
        self.frames_sent = 0

    def cut(self, source: str, target: str, seconds: float) -> None:
        """Hold back what a host sends to another."""
        path = (source, target)
        until = self.simulation.now + seconds
        self.cuts[path] = max(self.cuts.get(path, 0.0), until)

    def reset_connections(self, host: str) -> None:
        """Reset all connections of a host."""
        for end in list(self.ends):
            if end.process.name == host:
                end.abort()

    def power_off(self, host: str) -> None:
        """Drop the host's connections; its peers notice nothing."""
        self.dark_hosts.add(host)
        for end in list(self.ends):
            if end.process.name == host:
                end.is_closed = True
                self.ends.remove(end)

    async def connect(
        self, process: virtual_time.Process, host: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection from a process; raise `OSError` if refused."""
        while self._is_blocked(process.name, host) or host in self.dark_hosts:
            await asyncio.sleep(_RETRANSMIT_S)
        await asyncio.sleep(2 * self._delay())
        listener = self.listeners.get((host, port))
        if listener is None or not listener[0].is_alive:
            raise ConnectionRefusedError(host)
        server, accept = listener
        near, far = _End(self, process), _End(self, server)
        near.peer, far.peer = far, near
        self.ends += [near, far]
        server.call(_accept, server, accept, far)
        return near.reader, typing.cast(asyncio.StreamWriter, near)

    def transmit(self, end: _End, data: bytes) -> None:
        """Deliver bytes of one end to the other after the delay of the path."""
        peer = end.peer
        if peer is None:
            return
        self.frames_sent += bool(data)
        path = (end.process.name, peer.process.name)
        blocked_for = self.cuts.get(path, 0.0) - self.simulation.now
        delay = self._delay()
        if blocked_for > 0:
            if not data:
                # What a cut holds back is lost if its sender resets.
                return
            delay += blocked_for + _RETRANSMIT_S
        end.arrives_at = max(end.arrives_at, self.simulation.now + delay)
        self.simulation.call_later(
            end.arrives_at - self.simulation.now,
            lambda: self._arrive(end, peer, data),
        )
        if not data and end in self.ends:
            self.ends.remove(end)

    def _arrive(self, sender: _End, receiver: _End, data: bytes) -> None:
        if sender.is_closed and data:
            return
        if receiver.process.is_alive and not receiver.is_closed:
            receiver.receive(data)
        elif data and receiver.process.name not in self.dark_hosts:
            # A host without such a connection answers with a reset.
            sender.receive(b'')

    def _delay(self) -> float:
        return self.random.uniform(*_DELAY_S) + self.extra_delay

    def _is_blocked(self, source: str, target: str) -> bool:
        now = self.simulation.now
        return (
            max(
                self.cuts.get((source, target), 0.0),
                self.cuts.get((target, source), 0.0),
            )
            > now
        )


def _accept(server: virtual_time.Process, accept: Accept, end: _End) -> None:
    server.spawn(accept(end.reader, typing.cast(asyncio.StreamWriter, end)))
