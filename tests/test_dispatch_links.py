"""Keep-alive, choice of links and commands that follow a silence."""

import asyncio
import typing
import unittest
from unittest import mock

import msgspec

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    connections,
    entry_links,
    fleet,
    keepalive,
    messages,
    timing,
)
from tests import dispatch_world

ZONES: typing.Final = ('toledo', 'erie', 'buffalo', 'cleveland', 'milwaukee')


class SilentWriter:
    """A stream writer that records what is written."""

    def __init__(self) -> None:
        """Create an open connection."""
        self.written: list[bytes] = []
        self.aborted = False
        self.transport = self

    def write(self, data: bytes) -> None:
        """Record bytes."""
        self.written.append(data)

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.aborted

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent."""
        return 0


def make_link() -> tuple[connections.Link, SilentWriter]:
    """Return a link on which nothing is received."""
    writer = SilentWriter()
    link = connections.Link(
        asyncio.StreamReader(), typing.cast(asyncio.StreamWriter, writer)
    )
    return link, writer


def make_entries(
    count: int, zones: typing.Sequence[str] = ZONES
) -> list[messages.EntryAddress]:
    """Return entries, spread over availability zones."""
    return [
        messages.EntryAddress(
            f'10.0.0.{index}', 7720, zones[index % len(zones)]
        )
        for index in range(count)
    ]


class TestKeepAlive(unittest.IsolatedAsyncioTestCase):
    """Which links are pinged and lost, and when."""

    async def test_busy_link_is_lost_after_its_timeout(self) -> None:
        """Guards against runs of an entry that is gone."""
        link, writer = make_link()
        now = link.last_received_at
        link.busy_since = now
        keepalive.check_link(link, now + timing.LINK_TIMEOUT_S - 0.01, 1.0)
        self.assertFalse(writer.aborted)
        keepalive.check_link(link, now + timing.LINK_TIMEOUT_S + 0.01, 1.0)
        self.assertTrue(writer.aborted)

    async def test_idle_link_may_be_silent_for_longer(self) -> None:
        """Guards against frames on idle links that grow with the fleet."""
        link, writer = make_link()
        now = link.last_received_at
        keepalive.check_link(link, now + timing.LINK_TIMEOUT_S + 0.01, 1.0)
        self.assertFalse(writer.aborted)
        await asyncio.sleep(0)
        self.assertEqual(writer.written, [])
        keepalive.check_link(link, now + 1.01, 1.0)
        await asyncio.sleep(0)
        self.assertEqual(len(writer.written), 1)
        keepalive.check_link(link, now + timing.idle_link_timeout(1.0) + 1, 1.0)
        self.assertTrue(writer.aborted)

    async def test_link_that_becomes_busy_gets_its_time(self) -> None:
        """Guards against the loss of a live agent at the first start."""
        link, writer = make_link()
        now = link.last_received_at + 2.0
        link.busy_since = now
        keepalive.check_link(link, now + 0.1, 1.0)
        await asyncio.sleep(0)
        self.assertFalse(writer.aborted)
        self.assertEqual(len(writer.written), 1)

    async def test_agent_without_reply_gets_no_tasks(self) -> None:
        """Guards against tasks sent to an agent that did not answer a ping."""
        link, _ = make_link()
        agent = fleet.Agent('side-1', 'toledo', ids.new_incarnation())
        agent.on_connected(link)
        agent.accepting = True
        self.assertTrue(agent.is_usable())
        keepalive.check_link(link, link.last_received_at + 1.5, 1.0)
        self.assertFalse(agent.is_usable())

    async def test_agents_leave_idle_pings_to_entries(self) -> None:
        """Guards against pings of both sides on each idle link."""
        for is_passive, silence, pings in ((True, 1.1, 0), (False, 0.3, 1)):
            with self.subTest(is_passive=is_passive):
                link, writer = make_link()
                keep_alive = keepalive.KeepAlive(is_passive=is_passive)
                with keep_alive.watch(link):
                    # An entry with many links pings each once in a second.
                    keep_alive.check(link.last_received_at + silence)
                    await asyncio.sleep(0)
                    self.assertEqual(len(writer.written), pings)

    async def test_agent_pings_when_no_ping_comes(self) -> None:
        """Guards against an agent that keeps the link of a dead entry."""
        link, writer = make_link()
        keep_alive = keepalive.KeepAlive(is_passive=True)
        with keep_alive.watch(link):
            keep_alive.check(link.last_received_at + 1.5)
            await asyncio.sleep(0)
            self.assertEqual(len(writer.written), 1)
            keep_alive.check(link.last_received_at + 10)
            self.assertTrue(writer.aborted)

    def test_idle_pings_are_bounded(self) -> None:
        """Guards against a cost of idle links that grows with the fleet."""
        for count in (1, 12, 60, 160, 700):
            rate = count / timing.idle_ping_interval(count)
            self.assertLessEqual(rate, max(60.0, count))


class TestCommandsAfterSilence(unittest.IsolatedAsyncioTestCase):
    """Starts that may have been delayed, or come after a pause."""

    async def asyncSetUp(self) -> None:
        """Start an executor whose entry has a real link."""
        self.world = dispatch_world.World()
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)
        self.link, self.writer = make_link()
        self.world.session.attach(self.link)

    async def test_start_on_a_link_in_use(self) -> None:
        """Guards against a delay of each start."""
        self.world.start_tasks(1)
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.started_runs
        )

    async def receive(self, *sent: messages.Message) -> None:
        """Let a frame of the entry arrive."""
        body = msgspec.msgpack.encode(sent)
        self.link.reader.feed_data(len(body).to_bytes(4, 'big') + body)
        for message in await self.link.receive():
            if isinstance(message, messages.StartTasks):
                self.world.executor.start(self.world.session, message)

    async def receive_start_after_silence(self) -> None:
        """Let a start arrive after a silence."""
        self.link.last_received_at -= timing.CONFIRM_AFTER_S + 0.1
        await self.receive(
            messages.StartTasks(
                dispatch_world.JOB_ID,
                'specification',
                dispatch_world.DEMAND,
                0.05,
                [messages.RunId(0, 1)],
            )
        )

    async def test_start_after_a_silence_waits_for_the_entry(self) -> None:
        """Guards against a start that its entry gave up long ago."""
        await self.receive_start_after_silence()
        await asyncio.sleep(0.1)
        self.assertEqual(self.world.endpoint.leased.started_runs, [])
        await self.receive(messages.Pong(self.link.confirmation.pings_sent))
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.started_runs
        )

    async def test_start_in_a_backlog_of_several_frames(self) -> None:
        """Guards against starts that the entry has placed elsewhere.

        After a freeze an agent read a backlog of over 64 KiB in several
        parts. Each part counted as a sign of life after the one before.
        """
        await self.receive_start_after_silence()
        await self.receive(messages.Ping(7), messages.Pong(0))
        await self.receive(messages.Entries(1, []))
        await dispatch_world.wait_until(lambda: not self.world.executor.runs)
        self.assertEqual(self.world.endpoint.leased.started_runs, [])

    async def test_start_after_a_silence_without_reply(self) -> None:
        """Guards against a start for an entry that does not answer."""
        await self.receive_start_after_silence()
        await dispatch_world.wait_until(lambda: not self.world.executor.runs)
        self.assertEqual(self.world.endpoint.leased.started_runs, [])

    async def test_wait_ends_with_the_link(self) -> None:
        """Guards against capacity that is held for an entry that is gone."""
        await self.receive_start_after_silence()
        await asyncio.sleep(0)
        self.link.abort()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(self.world.executor.runs.values(), [])

    async def test_start_after_a_pause_of_the_agent(self) -> None:
        """Guards against acting on a permission that has run out.

        The agent's process is paused between the arrival of a start and its
        request to the endpoint; meanwhile the entry gives it up.
        """
        later = clocks.now() + 5.0
        self.world.start_tasks(1)
        with mock.patch.object(clocks, 'now', lambda: later):
            for _ in range(5):
                await asyncio.sleep(0)
        await dispatch_world.wait_until(lambda: not self.world.executor.runs)
        self.assertEqual(self.world.endpoint.leased.started_runs, [])


class TestEntryLinks(unittest.IsolatedAsyncioTestCase):
    """Entries that come, go and are replaced."""

    async def asyncSetUp(self) -> None:
        """Create links whose connections are recorded."""
        self.dialled: list[object] = []
        self.subject = entry_links.EntryLinks(
            'side-1', 'toledo', self.connect, self.demand
        )
        self.all_entries = False
        self.addCleanup(self.subject.close)

    def demand(self) -> entry_links.LinkDemand:
        """Return what the agent asks for."""
        return entry_links.LinkDemand('intake', self.all_entries)

    async def connect(self, address: object) -> None:
        """Record a dialled address and stay connected."""
        self.dialled.append(address)
        await asyncio.Event().wait()

    async def test_thousand_replacements_leave_nothing(self) -> None:
        """Guards against addresses that are dialled for ever."""
        for revision in range(1, 1001):
            entry = messages.EntryAddress(f'10.0.0.{revision}', 7720, 'toledo')
            self.subject.update(revision, [entry])
            await asyncio.sleep(0)
        self.assertEqual(len(self.subject.tasks), 1)
        self.assertEqual(len(self.subject.entries), 1)
        self.assertEqual(self.subject.release_at, {})

    async def test_older_list_is_ignored(self) -> None:
        """Guards against an entry that has left and is in use again."""
        entries = make_entries(3)
        self.subject.update(7, entries[:2])
        self.subject.update(6, entries)
        self.assertEqual(len(self.subject.tasks), 2)

    async def test_empty_list_is_ignored(self) -> None:
        """Guards against the loss of all links with the store's leases."""
        self.subject.update(1, make_entries(3))
        self.subject.update(2, [])
        self.assertEqual(len(self.subject.tasks), 3)

    async def test_linked_entry_that_is_not_announced(self) -> None:
        """Guards against runs given up since an announcement lapsed."""
        entries = make_entries(3)
        self.subject.update(1, entries)
        link, _ = make_link()
        self.subject.links[entries[0].address()] = link
        self.subject.update(2, entries[1:])
        self.assertIn(entries[0].address(), self.subject.tasks)

    async def test_busy_link_is_kept(self) -> None:
        """Guards against a link that is dropped while it has runs."""
        entries = make_entries(40)
        self.subject.add_seeds([entries[0].address(), entries[1].address()])
        links = [make_link()[0], make_link()[0]]
        links[0].busy_since = 1.0
        for entry, link in zip(entries[:2], links):
            self.subject.links[entry.address()] = link
        others = [
            entry
            for entry in entries
            if entry.zone != 'toledo' or entry.host in {'10.0.0.0', '10.0.0.1'}
        ]
        self.subject.update(1, entries)
        self.subject.review(clocks.now() + 60)
        self.subject.review(clocks.now() + 120)
        self.assertIn(entries[0].address(), self.subject.tasks)
        self.assertLess(len(self.subject.tasks), len(others))

    async def test_search_for_an_owner(self) -> None:
        """Guards against a stored job's completion that no owner hears of."""
        entries = make_entries(40)
        self.all_entries = True
        self.subject.update(1, entries)
        self.assertEqual(len(self.subject.tasks), 40)
