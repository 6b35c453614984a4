"""Load reports of an agent: how often, to whom, and in which frames."""

import asyncio
import typing
import unittest

import msgspec

from poplardrum.dispatch import connections, load_reports, messages
from tests import dispatch_world

_CAPACITY: typing.Final = messages.Resources(16000, 65536, 0)
_LARGE_FLEET: typing.Final = 35
_SMALL_FLEET: typing.Final = 5
_FRAMES: typing.Final = msgspec.msgpack.Decoder(list[messages.AnyMessage])


class FrameWriter:
    """A stream writer that decodes the frames that are written."""

    def __init__(self) -> None:
        """Create an open connection."""
        self.frames: list[list[messages.AnyMessage]] = []
        self.transport = self

    def write(self, frame: bytes) -> None:
        """Record one frame."""
        self.frames.append(_FRAMES.decode(frame[4:]))

    def abort(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent."""
        return 0


def make_load(
    free_cpu: int, *, accepting: bool = True, starts_received: int = 0
) -> messages.Load:
    """Return the load of an endpoint."""
    free = messages.Resources(free_cpu, 65536, 0)
    return messages.Load(
        starts_received, accepting, free, _CAPACITY, 1.0, 'intake', []
    )


class TestIntervals(unittest.TestCase):
    """The time between two reports to an entry."""

    def interval(
        self,
        sent: messages.Load,
        current: messages.Load,
        *,
        entries: int = _LARGE_FLEET,
        same_zone: bool = True,
    ) -> float:
        """Return the interval in a fleet with a number of entries."""
        return load_reports.min_interval(
            load_reports.throttled_entries(entries, entries),
            sent,
            current,
            same_zone=same_zone,
        )

    def test_small_fleet_reports_each_change(self) -> None:
        """Guards against capacity that a small fleet leaves unused."""
        interval = self.interval(
            make_load(16000), make_load(13000), entries=_SMALL_FLEET
        )
        self.assertEqual(interval, 0)

    def test_end_of_acceptance_is_reported_at_once(self) -> None:
        """Guards against starts at an endpoint that is about to leave."""
        interval = self.interval(
            make_load(16000), make_load(16000, accepting=False)
        )
        self.assertEqual(interval, 0)

    def test_scarce_room_is_reported_sooner(self) -> None:
        """Guards against room that stays unused while jobs wait for it."""
        ample = self.interval(make_load(16000), make_load(13000))
        scarce = self.interval(make_load(0), make_load(13000))
        self.assertLess(scarce, ample)

    def test_other_zones_hear_less_often(self) -> None:
        """Guards against priced traffic between zones."""
        loads = make_load(16000), make_load(13000)
        self.assertLess(
            self.interval(*loads), self.interval(*loads, same_zone=False)
        )

    def test_reports_of_an_agent_are_bounded(self) -> None:
        """Guards against reports that grow with the number of entries."""
        loads = make_load(0), make_load(1000)
        rates = [
            16 / self.interval(*loads, entries=count) for count in (20, 35, 150)
        ]
        self.assertLess(max(rates), 600)
        self.assertGreaterEqual(rates[1], rates[2])


class TestLoadInFrames(unittest.IsolatedAsyncioTestCase):
    """The load travels in the frames of other messages."""

    async def asyncSetUp(self) -> None:
        """Attach a link of an entry to an executor with room for four tasks."""
        self.world = dispatch_world.World()
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)
        self.writer = FrameWriter()
        self.link = connections.Link(
            asyncio.StreamReader(),
            typing.cast(asyncio.StreamWriter, self.writer),
        )
        self.world.session.attach(self.link)
        self.links = {self.link}
        self.reporter = load_reports.LoadReporter(
            self.world.executor, self.links, 'toledo'
        )
        self.reporter.entry_count = _LARGE_FLEET
        self.reporter.attach(self.link)
        await asyncio.sleep(0)
        self.writer.frames.clear()

    async def test_refusal_comes_with_the_load(self) -> None:
        """Guards against starts that are sent to a full endpoint again.

        Pattern: several entries choose the same endpoint at once.
        """
        self.link.starts_received += 1
        self.world.start_tasks(6)
        await asyncio.sleep(0)
        refused = [
            frame
            for frame in self.writer.frames
            if any(isinstance(each, messages.Refused) for each in frame)
        ]
        self.assertEqual(len(refused), 1)
        load = refused[0][-1]
        self.assertIsInstance(load, messages.Load)
        self.assertEqual(
            typing.cast(messages.Load, load).free.cpu_millicores, 0
        )

    async def test_known_load_is_not_repeated(self) -> None:
        """Guards against frames that tell an entry nothing new."""
        self.link.send(messages.Pong())
        await asyncio.sleep(0)
        self.assertEqual(self.writer.frames, [[messages.Pong()]])
