"""Loopback proxy between agents and one entry, with faults of a network."""

import asyncio
import contextlib
import enum
import typing

from poplardrum import ini

_CHUNK_BYTES: typing.Final = 65536
_POLL_INTERVAL_S: typing.Final = 0.01
_DELAY_S: typing.Final = 0.2


class LinkMode(enum.Enum):
    """What happens to the bytes of all connections."""

    open = 'open'
    delay = 'delay'
    cut = 'cut'
    cut_up = 'cut_up'
    cut_down = 'cut_down'


class Proxy:
    """Forward connections; bytes of a cut way are held up until it heals.

    The streams are closed when the task of their connection ends.
    """

    def __init__(self, listen: ini.Address, target: ini.Address) -> None:
        """Forward from `listen` to `target`."""
        self.listen = listen
        self.target = target
        self.mode = LinkMode.open
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(self) -> asyncio.Server:
        """Start to listen."""
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
            await asyncio.gather(
                self._forward(reader, up_writer, LinkMode.cut_up),
                self._forward(up_reader, writer, LinkMode.cut_down),
            )
            self.writers.discard(up_writer)
        writer.transport.abort()
        self.writers.discard(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        one_way: LinkMode,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                found = await reader.read(_CHUNK_BYTES)
                while self.mode in {LinkMode.cut, one_way}:
                    await asyncio.sleep(_POLL_INTERVAL_S)
                if self.mode is LinkMode.delay:
                    await asyncio.sleep(_DELAY_S)
                if not found:
                    break
                writer.write(found)
                await writer.drain()
        writer.transport.abort()
