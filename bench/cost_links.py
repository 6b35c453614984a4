"""Measure the cost of a link: grpclib streams and plain asyncio streams.

Both carry the same frames with the same codec on uvloop over loopback, with
both ends in one process. Run `python -m bench.cost_links`; the comparison
supports docs/decisions/links-and-codec.md.
"""

import asyncio
import contextlib
import os
import time
import typing

import uvloop
from grpclib import client, const
from grpclib import server as grpc_server

from bench import figures
from poplardrum import errors, ids
from poplardrum.peers import codec, frames, messages
from poplardrum.standins import ports

_ROUTE: typing.Final = '/bench.Link/Echo'
_EXCHANGE_COUNT: typing.Final = 5000
_BATCH_ITEMS: typing.Final = 10
_LENGTH_PREFIX_BYTES: typing.Final = 4

Exchange = typing.Callable[[frames.Frame], typing.Awaitable[frames.Frame]]


def build_frame(items: int) -> frames.Frame:
    """Return a frame with `items` completions and a load report."""
    done = messages.Done(
        ids.TaskId(ids.JobId('0123456789abcdef-01234567'), 7),
        messages.TaskOutcome(
            errors.Verdict.ran,
            errors.Code.ok,
            'released',
            ids.MemberId('agent-7'),
            0.05,
        ),
    )
    load = messages.Load(8, 3, 0)
    return frames.Frame(
        1.0,
        ids.ConfigNumber(4),
        [done for _ in range(items)],
        load,
    )


class EchoService:
    """Service that returns each frame of a grpclib stream."""

    async def echo(self, stream: typing.Any) -> None:
        """Return each received frame until the stream ends."""
        async for received in stream:
            await stream.send_message(received)

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the handlers by route, as grpclib requires."""
        return {
            _ROUTE: const.Handler(
                self.echo,
                const.Cardinality.STREAM_STREAM,
                frames.Frame,
                frames.Frame,
            ),
        }


async def open_grpclib(stack: contextlib.AsyncExitStack) -> Exchange:
    """Start a server and open a grpclib stream to it."""
    port = ports.free_ports(1)[0]
    server = grpc_server.Server(
        [EchoService()],
        codec=codec.MessagePackCodec(),
    )
    await server.start('127.0.0.1', port)
    stack.callback(server.close)
    channel = client.Channel(
        '127.0.0.1',
        port,
        codec=codec.MessagePackCodec(),
    )
    stack.callback(channel.close)
    method = client.StreamStreamMethod(
        channel,
        _ROUTE,
        frames.Frame,
        frames.Frame,
    )
    stream = await stack.enter_async_context(method.open())
    await stream.send_request()

    async def exchange(sent: frames.Frame) -> frames.Frame:
        await stream.send_message(sent)
        return typing.cast(frames.Frame, await stream.recv_message())

    stack.push_async_callback(stream.cancel)
    return exchange


class PlainStream:
    """Length-prefixed frames over an asyncio connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Use the given connection."""
        self.reader = reader
        self.writer = writer
        self.codec = codec.MessagePackCodec()

    async def send(self, sent: frames.Frame) -> None:
        """Write one frame."""
        content = self.codec.encode(sent, frames.Frame)
        self.writer.write(len(content).to_bytes(_LENGTH_PREFIX_BYTES) + content)
        await self.writer.drain()

    async def receive(self) -> frames.Frame:
        """Read one frame."""
        length = int.from_bytes(
            await self.reader.readexactly(_LENGTH_PREFIX_BYTES)
        )
        content = await self.reader.readexactly(length)
        return typing.cast(
            frames.Frame,
            self.codec.decode(content, frames.Frame),
        )


async def _echo_plain(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    stream = PlainStream(reader, writer)
    with contextlib.suppress(EOFError, asyncio.CancelledError):
        while True:
            await stream.send(await stream.receive())


async def open_plain(stack: contextlib.AsyncExitStack) -> Exchange:
    """Start a server and open a plain stream to it."""
    port = ports.free_ports(1)[0]
    server = await asyncio.start_server(_echo_plain, '127.0.0.1', port)
    stack.callback(server.close)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    stack.callback(writer.close)
    stream = PlainStream(reader, writer)

    async def exchange(sent: frames.Frame) -> frames.Frame:
        await stream.send(sent)
        return await stream.receive()

    return exchange


async def measure(name: str, open_stream: typing.Any) -> list[figures.Figure]:
    """Return wall and CPU time per exchange, of both ends together."""
    measured = []
    async with contextlib.AsyncExitStack() as stack:
        exchange = await open_stream(stack)
        for items in (1, _BATCH_ITEMS):
            sent = build_frame(items)
            await exchange(sent)
            wall, cpu = time.monotonic(), time.process_time()
            for _ in range(_EXCHANGE_COUNT):
                await exchange(sent)
            wall = (time.monotonic() - wall) / _EXCHANGE_COUNT
            cpu = (time.process_time() - cpu) / _EXCHANGE_COUNT
            label = f'links.{name}_items_{items}'
            measured += [
                figures.without_bound(f'{label}_wall', wall * 1e6, 'us'),
                figures.without_bound(f'{label}_cpu', cpu * 1e6, 'us'),
            ]
    return measured


async def main() -> list[figures.Figure]:
    """Measure the frame size and both kinds of stream."""
    size = len(codec.MessagePackCodec().encode(build_frame(1), frames.Frame))
    return [
        figures.without_bound('links.frame_items_1', size, 'B'),
        *await measure('grpclib', open_grpclib),
        *await measure('plain', open_plain),
    ]


if __name__ == '__main__':
    os.environ['UV_USE_IO_URING'] = '0'
    figures.print_figures(uvloop.run(main()))
