"""Proxies that can cut a connection silently, as a partition does.

While a connection is cut, its bytes wait, and so do new connections. What is held up is
delivered after the cut, unless one side has ended the connection meanwhile.
"""

import asyncio
import contextlib
import typing

CHUNK_BYTES = 65536
POLL_S = 0.01


class Proxy:
    """Forward connections from one address to another."""

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
        is_cut: typing.Callable[[bytes], bool],
    ) -> None:
        """Cut what `is_cut` tells by the first bytes of a connection."""
        self.listen = listen
        self.target = target
        self.is_cut = is_cut
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> asyncio.Server:
        return await asyncio.start_server(self._connected, *self.listen)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = b''
        with contextlib.suppress(OSError):
            first = await reader.read(CHUNK_BYTES)
        up_writer = None
        with contextlib.suppress(OSError):
            await self._wait(first)
            up_reader, up_writer = await asyncio.open_connection(*self.target)
            up_writer.write(first)
            await asyncio.gather(
                self._forward(reader, up_writer, first),
                self._forward(up_reader, writer, first),
            )
        writer.transport.abort()
        if up_writer is not None:
            up_writer.transport.abort()

    async def _wait(self, first: bytes) -> None:
        while self.is_cut(first):
            await asyncio.sleep(POLL_S)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytes
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait(first)
                writer.write(chunk)
                await writer.drain()
            await self._wait(first)
        except OSError:
            await self._wait(first)
        writer.transport.abort()
