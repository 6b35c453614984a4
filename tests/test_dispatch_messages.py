"""Links between entries and agents under malformed and unexpected input."""

import asyncio
import contextlib
import typing
import unittest

import msgspec
import uvloop

from poplardrum import errors, ids
from poplardrum.dispatch import (
    agent,
    connections,
    coordinator,
    entry_sessions,
    lifecycle,
    links,
    messages,
    timing,
)
from poplardrum.platform import settings_file
from poplardrum.standins import ports
from tests import dispatch_world

_WAIT_LIMIT_S: typing.Final = 20.0
_EMPTY_FRAME: typing.Final = b'\x00\x00\x00\x01\x90'
_UNREADABLE_FRAMES: typing.Final = (
    _EMPTY_FRAME,
    b'\x00\x00\x00\x01\xc0',
    b'\x00\x00\x00\x00',
    b'\xff\xff\xff\xff',
    b'\x00\x00\x00\x03\x91\x91\x63',
)


async def wait_for(event: asyncio.Event) -> None:
    """Wait for an event within a generous limit."""
    async with asyncio.timeout(_WAIT_LIMIT_S):
        await event.wait()


class TestFirstFrames(unittest.IsolatedAsyncioTestCase):
    """A peer whose first frame is not a hello."""

    async def test_entry_that_sends_no_hello(self) -> None:
        """Guards against an agent that gives up an entry for ever.

        An entry that sent one frame without messages ended the task that
        keeps its link with a ValueError; the agent never dialled it again.
        """
        for frame in _UNREADABLE_FRAMES:
            with self.subTest(frame=frame):
                await self.check_dialled_again(frame)

    async def check_dialled_again(self, frame: bytes) -> None:
        """Check that an agent dials again after an unreadable frame."""
        address = ('127.0.0.1', ports.free_ports(1)[0])
        again = asyncio.Event()
        connections: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append(writer)
            if len(connections) > 1:
                again.set()
            writer.write(frame)
            await reader.read()

        async with contextlib.AsyncExitStack() as stack:
            server = await asyncio.start_server(serve, *address)
            stack.callback(server.close)
            world = dispatch_world.World()
            config = typing.cast(
                settings_file.ProcessSettings,
                dispatch_world.AgentConfig(),
            )
            subject = agent.Agent(config, world.executor)
            stack.callback(subject.close)
            subject.entry_links.add_seeds([address])
            await wait_for(again)
            for writer in connections:
                writer.transport.abort()

    async def test_agent_that_sends_no_hello(self) -> None:
        """Guards against an unexpected error in the entry's server."""
        for frame in _UNREADABLE_FRAMES:
            with self.subTest(frame=frame):
                await self.check_closed_quietly(frame)

    async def check_closed_quietly(self, frame: bytes) -> None:
        """Check that an entry closes the connection without an exception."""
        address = ('127.0.0.1', ports.free_ports(1)[0])
        unexpected: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: unexpected.append(context)
        )
        agent_links = links.AgentLinks(
            'front-1',
            ids.new_incarnation(),
            coordinator.Coordinator('toledo'),
        )
        async with contextlib.AsyncExitStack() as stack:
            await lifecycle.serve_connections(
                stack, agent_links.serve, address, {}
            )
            reader, writer = await asyncio.open_connection(*address)
            writer.write(frame)
            async with asyncio.timeout(_WAIT_LIMIT_S):
                with contextlib.suppress(ConnectionError):
                    await reader.read()
            writer.transport.abort()
        await asyncio.sleep(0)
        self.assertEqual(unexpected, [])


class TestFrames(unittest.IsolatedAsyncioTestCase):
    """Frames that arrive in pieces, together, or malformed."""

    def setUp(self) -> None:
        """Create a link whose bytes are fed by the test."""
        self.reader = asyncio.StreamReader()
        writer = typing.cast(asyncio.StreamWriter, None)
        self.link = connections.Link(self.reader, writer)

    def frame(self, *sent: messages.Message) -> bytes:
        """Return the bytes of a frame."""
        body = msgspec.msgpack.encode(sent)
        return len(body).to_bytes(4, 'big') + body

    async def test_frames_that_arrive_together(self) -> None:
        """Guards against messages lost or out of order between frames."""
        job = ids.JobId('1')
        stops = [
            messages.StopTasks(job, [messages.RunId(index, 1)])
            for index in range(5)
        ]
        data = self.frame(*stops[:2]) + self.frame() + self.frame(*stops[2:])
        self.reader.feed_data(data)
        self.assertEqual(await self.link.receive(), stops)

    async def test_frames_that_arrive_in_pieces(self) -> None:
        """Guards against a frame that is decoded before all of it is there."""
        stops = [
            messages.StopTasks(
                ids.JobId('1'),
                [messages.RunId(index, 1) for index in range(500)],
            )
        ] * 2
        received: list[messages.AnyMessage] = []
        data = self.frame(stops[0]) + self.frame(stops[1])

        async def receive() -> None:
            while len(received) < len(stops):
                received.extend(await self.link.receive())

        task = asyncio.ensure_future(receive())
        for start in range(0, len(data), 7):
            self.reader.feed_data(data[start : start + 7])
            await asyncio.sleep(0)
        async with asyncio.timeout(_WAIT_LIMIT_S):
            await task
        self.assertEqual(received, stops)

    async def test_malformed_frame_after_a_valid_one(self) -> None:
        """Guards against a malformed frame that costs the ones before it."""
        stop = messages.StopTasks(ids.JobId('1'), [messages.RunId(0, 1)])
        for malformed in _UNREADABLE_FRAMES[1:]:
            with self.subTest(malformed=malformed):
                self.setUp()
                self.reader.feed_data(self.frame(stop) + malformed)
                self.assertEqual(await self.link.receive(), [stop])
                with self.assertRaises(errors.PoplardrumError):
                    await self.link.receive()

    async def test_end_within_a_frame(self) -> None:
        """Guards against a link that waits for the rest of a frame for ever."""
        self.reader.feed_data(self.frame(messages.Ping())[:-1])
        self.reader.feed_eof()
        with self.assertRaises(errors.PoplardrumError):
            await self.link.receive()


class TestStartingEntry(unittest.IsolatedAsyncioTestCase):
    """An entry that listens but still loads its libraries."""

    async def test_agent_waits_for_the_hello(self) -> None:
        """Guards against connections that pile up at an entry that starts.

        Agents dialled again after 0.6 s; the entry then worked through the
        connections that had been given up, one after the other.
        """
        address = ('127.0.0.1', ports.free_ports(1)[0])
        connections_seen: list[asyncio.StreamWriter] = []
        linked = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections_seen.append(writer)
            await asyncio.sleep(timing.LINK_TIMEOUT_S + 0.4)
            link = connections.Link(reader, writer)
            link.send(
                messages.EntryHello('front-1', 'toledo', ids.new_incarnation())
            )
            with contextlib.suppress(errors.PoplardrumError):
                while not linked.is_set():
                    received = await link.receive()
                    if any(
                        isinstance(each, messages.Load) for each in received
                    ):
                        linked.set()

        async with contextlib.AsyncExitStack() as stack:
            server = await asyncio.start_server(serve, *address)
            stack.callback(server.close)
            world = dispatch_world.World()
            config = typing.cast(
                settings_file.ProcessSettings,
                dispatch_world.AgentConfig(),
            )
            subject = agent.Agent(config, world.executor)
            stack.callback(subject.close)
            keep_alive = asyncio.ensure_future(subject.keep_alive.run())
            stack.callback(keep_alive.cancel)
            subject.entry_links.add_seeds([address])
            await wait_for(linked)
        self.assertEqual(len(connections_seen), 1)


class TestLinkWrites(unittest.TestCase):
    """Writes to a connection that has just been closed."""

    def test_flush_after_the_transport_closed(self) -> None:
        """Guards against a RuntimeError in a callback of the event loop."""
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            unexpected = runner.run(self.write_after_close())
        self.assertEqual(unexpected, [])

    async def write_after_close(self) -> list[object]:
        """Send on a link whose transport is closed; return loop errors."""
        unexpected: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: unexpected.append(context)
        )
        address = ('127.0.0.1', ports.free_ports(1)[0])

        async def serve(
            _reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0)

        server = await asyncio.start_server(serve, *address)
        link = connections.Link(*await asyncio.open_connection(*address))
        link.writer.transport.abort()
        await asyncio.sleep(0.01)
        link.send(messages.Ping())
        await asyncio.sleep(0.01)
        self.assertTrue(link.closed)
        server.close()
        return unexpected


class TestSessions(unittest.TestCase):
    """Sessions of entries without a connection."""

    def test_recent_messages_are_bounded(self) -> None:
        """Guards against memory that a disconnected entry takes."""
        session = entry_sessions.EntrySession('front-1', ids.new_incarnation())
        for _ in range(2000):
            session.send(messages.Ping())
        self.assertLess(len(session.recent_messages), 1000)


class TestSupervision(unittest.IsolatedAsyncioTestCase):
    """Background loops that fail."""

    async def test_failed_loop_is_restarted(self) -> None:
        """Guards against one unexpected error that ends a whole process."""
        served = asyncio.Event()
        attempts: list[int] = []

        async def run() -> None:
            attempts.append(1)
            if len(attempts) < 3:
                raise ValueError('unexpected')
            served.set()
            await asyncio.sleep(_WAIT_LIMIT_S)

        task = lifecycle.supervise('test', run)
        await wait_for(served)
        task.cancel()
        self.assertEqual(len(attempts), 3)

    async def test_loop_that_always_fails_ends_the_process(self) -> None:
        """Guards against a process that lives on without a part of itself."""
        ended: list[int] = []

        async def run() -> None:
            raise ValueError('unexpected')

        task = lifecycle.supervise(
            'test', run, restart_delay_s=0, exit_process=ended.append
        )
        async with asyncio.timeout(_WAIT_LIMIT_S):
            with contextlib.suppress(errors.PoplardrumError):
                await task
        self.assertEqual(len(ended), 1)
