"""Loopback proxy between agents and one entry, with faults of a network."""

import asyncio
import contextlib
import enum
import typing

from poplardrum import ini

_CHUNK: typing.Final = 65536
_POLL: typing.Final = 0.01
_DELAY: typing.Final = 0.2


class Mode(enum.Enum):
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
        self.mode = Mode.open
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(self) -> asyncio.Server:
        """Start to listen."""
        return await asyncio.start_server(self._connected, *self.listen)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            up_reader, up_writer = await asyncio.open_connection(*self.target)
            self.writers.add(up_writer)
            await asyncio.gather(
                self._pump(reader, up_writer, Mode.cut_up),
                self._pump(up_reader, writer, Mode.cut_down),
            )
            self.writers.discard(up_writer)
        writer.transport.abort()
        self.writers.discard(writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        one_way: Mode,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                found = await reader.read(_CHUNK)
                while self.mode in {Mode.cut, one_way}:
                    await asyncio.sleep(_POLL)
                if self.mode is Mode.delay:
                    await asyncio.sleep(_DELAY)
                if not found:
                    break
                writer.write(found)
                await writer.drain()
        writer.transport.abort()
