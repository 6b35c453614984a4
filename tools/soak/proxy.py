"""Loopback proxy between agents and one entry, with network faults."""

import asyncio
import contextlib
import dataclasses
import enum
import time
import typing

from poplardrum import ini

_CHUNK_BYTES: typing.Final = 65536
_POLL_INTERVAL_S: typing.Final = 0.01
_DELAY_S: typing.Final = 0.2


class LinkMode(enum.Enum):
    """What the proxy does with the bytes of all connections.

    `cut_up` cuts the direction to the entry, `cut_down` that from it.
    """

    open = 'open'
    delay = 'delay'
    cut = 'cut'
    cut_up = 'cut_up'
    cut_down = 'cut_down'


@dataclasses.dataclass
class _Connection:
    """A connection, and what its client sent first."""

    greeting: bytes = b''


class Proxy:
    """Forwards connections; the bytes of a cut direction wait for its end.

    Connections of `cut_peers`, whose names are in what they send first, are cut
    in both directions. The streams are closed when the task of their connection
    ends.
    """

    def __init__(self, listen: ini.Address, target: ini.Address) -> None:
        """Forward from `listen` to `target`."""
        self.listen = listen
        self.target = target
        self.mode = LinkMode.open
        self.cut_peers: frozenset[bytes] = frozenset()
        self.writers: set[asyncio.StreamWriter] = set()
        # When a request with all of these parts last came by, in monotonic
        # seconds.
        self.watched: tuple[bytes, ...] = ()
        self.watched_at = 0.0

    async def serve(self) -> asyncio.Server:
        """Start listening and return the server."""
        return await asyncio.start_server(self._handle_connection, *self.listen)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            up_reader, up_writer = await asyncio.open_connection(*self.target)
            self.writers.add(up_writer)
            connection = _Connection()
            await asyncio.gather(
                self._forward(reader, up_writer, LinkMode.cut_up, connection),
                self._forward(up_reader, writer, LinkMode.cut_down, connection),
            )
            self.writers.discard(up_writer)
        writer.transport.abort()
        self.writers.discard(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_mode: LinkMode,
        connection: _Connection,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                chunk = await reader.read(_CHUNK_BYTES)
                if cut_mode is LinkMode.cut_up and not connection.greeting:
                    connection.greeting = chunk
                self._note(chunk)
                while self._is_cut(cut_mode, connection):
                    await asyncio.sleep(_POLL_INTERVAL_S)
                if self.mode is LinkMode.delay:
                    await asyncio.sleep(_DELAY_S)
                if not chunk:
                    break
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()

    def _note(self, chunk: bytes) -> None:
        if self.watched and all(part in chunk for part in self.watched):
            self.watched_at = time.monotonic()

    def _is_cut(self, cut_mode: LinkMode, connection: _Connection) -> bool:
        return self.mode in {LinkMode.cut, cut_mode} or any(
            name in connection.greeting for name in self.cut_peers
        )
