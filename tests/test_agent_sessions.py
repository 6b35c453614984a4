"""Sessions of an agent with entries that are silent for a while."""

import asyncio
import contextlib
import typing
import unittest
from unittest import mock

from poplardrum import errors, ids
from poplardrum.dispatch import agent, connections, messages
from poplardrum.platform import settings_file
from poplardrum.standins import ports
from tests import dispatch_world

JOB_ID: typing.Final = dispatch_world.JOB_ID


class FakeEntry:
    """An entry that records what agents send on each connection."""

    def __init__(self, node: str) -> None:
        """Create an entry that does not listen yet."""
        self.node = node
        self.incarnation = ids.new_incarnation()
        self.address = ('127.0.0.1', ports.free_ports(1)[0])
        self.server: asyncio.Server | None = None
        self.links: list[connections.Link] = []
        self.received: list[list[messages.AnyMessage]] = []
        # Messages that follow the hello in the same frame.
        self.greetings: list[messages.Message] = []

    async def listen(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.serve, *self.address)

    def vanish(self) -> None:
        """Break all connections and accept no others."""
        if self.server is not None:
            self.server.close()
        for link in self.links:
            link.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Record the messages of a connection until it is closed."""
        link = connections.Link(reader, writer)
        link.send(
            messages.EntryHello(self.node, 'toledo', self.incarnation),
        )
        for greeting in self.greetings:
            link.send(greeting)
        received: list[messages.AnyMessage] = []
        self.links.append(link)
        self.received.append(received)
        with contextlib.suppress(errors.PoplardrumError):
            while True:
                received.extend(await link.receive())

    def start_task(self) -> None:
        """Start task 0 of a stored job."""
        self.links[-1].send(
            messages.StartTasks(
                JOB_ID,
                'specification',
                dispatch_world.DEMAND,
                0.05,
                [messages.RunId(0, 1)],
                stored=True,
            )
        )

    def received_of(self, kind: type[typing.Any]) -> list[typing.Any]:
        """Return the messages of one kind on the last connection."""
        return [each for each in self.received[-1] if isinstance(each, kind)]


class AgentCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: an agent with one entry."""

    run_duration = 0.2

    async def asyncSetUp(self) -> None:
        """Start the agent and wait until it has a link."""
        self.world = dispatch_world.World(self.run_duration)
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)
        self.agent = agent.Agent(
            typing.cast(
                settings_file.ProcessSettings, dispatch_world.AgentConfig()
            ),
            self.world.executor,
        )
        self.addCleanup(self.agent.close)
        self.entry = FakeEntry('front-1')
        await self.entry.listen()
        self.addCleanup(self.entry.vanish)
        self.agent.entry_links.add_seeds([self.entry.address])
        await self.wait_until_linked(1)

    async def wait_until_linked(self, connection_count: int) -> None:
        """Wait for the agent's state on a connection."""
        await dispatch_world.wait_until(
            lambda: (
                len(self.entry.received) == connection_count
                and self.entry.received_of(messages.Load)
            )
        )

    async def start_run(self) -> None:
        """Start a run and wait until the endpoint has it."""
        self.entry.start_task()
        await dispatch_world.wait_until(
            lambda: self.world.endpoint.leased.running
        )

    def kinds_received(self) -> list[type[object]]:
        """Return the kinds of messages on the last connection, in order."""
        return [type(each) for each in self.entry.received[-1]]


class TestSilentEntry(AgentCase):
    """An entry that comes back after its session has expired."""

    async def test_completion_of_an_expired_session(self) -> None:
        """Guards against a done task that the entry starts again.

        The run was done while the entry was silent. On its return it learned
        that the run is not active, and only later that it is done.
        """
        await self.start_run()
        self.entry.vanish()
        await dispatch_world.wait_until(lambda: not self.agent.sessions)
        await self.entry.listen()
        await self.wait_until_linked(2)
        kinds = self.kinds_received()
        self.assertIn(messages.UnackedCompletion, kinds)
        self.assertLess(
            kinds.index(messages.UnackedCompletion),
            kinds.index(messages.ActiveRuns),
        )


class TestStartNotices(AgentCase):
    """What the owner of a stored job learns of starts."""

    run_duration = 30.0

    async def wait_for_notice(self) -> None:
        """Wait for the notice that run 1 of task 0 has started."""
        notice = messages.RunStarted(JOB_ID, messages.RunId(0, 1))
        await dispatch_world.wait_until(
            lambda: notice in self.entry.received_of(messages.RunStarted)
        )

    async def test_accepted_start(self) -> None:
        """Guards against a job that waits for ever by its owner's count."""
        await self.start_run()
        await self.wait_for_notice()

    async def test_unanswered_start(self) -> None:
        """Guards against a lost reply that hides a start."""
        self.world.endpoint.faults['start'] = ['silent']
        await self.start_run()
        await self.wait_for_notice()

    async def test_new_connection(self) -> None:
        """Guards against a notice that is lost with its connection."""
        await self.start_run()
        await self.wait_for_notice()
        self.entry.links[-1].abort()
        await self.wait_until_linked(2)
        await self.wait_for_notice()


class TestReturnDuringStops(AgentCase):
    """An entry that comes back while its runs are being stopped."""

    run_duration = 30.0

    async def test_stopping_run_is_reported(self) -> None:
        """Guards against a second run of a task whose first one still stops."""
        await self.start_run()
        self.world.endpoint.default_faults['stop'] = 'lost'
        self.entry.vanish()
        executor = self.world.executor
        await dispatch_world.wait_until(
            lambda: any(run.stopping for run in executor.runs.values())
        )
        await self.entry.listen()
        await self.wait_until_linked(2)
        active = self.entry.received_of(messages.ActiveRuns)[0]
        self.assertEqual(active.runs, [(JOB_ID, messages.RunId(0, 1))])
        self.world.endpoint.default_faults.clear()
        await dispatch_world.wait_until(
            lambda: self.entry.received_of(messages.Completion)
        )

    async def test_session_ends_with_its_last_run(self) -> None:
        """Guards against sessions of entries that never come back."""
        await self.start_run()
        resending = asyncio.ensure_future(self.agent.resend_completions())
        self.addCleanup(resending.cancel)
        self.entry.vanish()
        await dispatch_world.wait_until(lambda: not self.agent.sessions)
        self.assertEqual(self.world.executor.runs.values(), [])


class TestUnexpectedErrors(AgentCase):
    """Messages at the start of a connection that cannot be handled."""

    async def test_error_after_the_hello(self) -> None:
        """Guards against a session that keeps a closed link for ever."""
        self.entry.greetings = [
            messages.StopTasks(JOB_ID, [messages.RunId(0, 1)])
        ]
        failure = mock.patch.object(
            self.world.executor, 'stop', side_effect=ValueError('unexpected')
        )
        with failure, self.assertLogs('poplardrum.dispatch.agent', 'ERROR'):
            self.entry.links[-1].abort()
            await dispatch_world.wait_until(lambda: len(self.entry.links) > 1)
            await dispatch_world.wait_until(
                lambda: not self.agent.links and not self.agent.sessions
            )


class TestEntryWithoutStore(AgentCase):
    """An entry that is linked, but does not acknowledge completions."""

    async def test_overdue_completion_goes_to_all_entries(self) -> None:
        """Guards against a done task that the next owner starts again.

        The store turned the entry away. It kept its links, so the completions
        went to it alone, and another entry took its jobs over.
        """
        other = FakeEntry('front-2')
        await other.listen()
        self.addCleanup(other.vanish)
        self.agent.entry_links.add_seeds([other.address])
        await dispatch_world.wait_until(lambda: other.received)
        resending = asyncio.ensure_future(self.agent.resend_completions())
        self.addCleanup(resending.cancel)
        await self.start_run()
        await dispatch_world.wait_until(
            lambda: self.entry.received_of(messages.Completion)
        )
        self.assertEqual(other.received_of(messages.UnackedCompletion), [])
        await dispatch_world.wait_until(
            lambda: other.received_of(messages.UnackedCompletion)
        )
        self.assertTrue(self.entry.received_of(messages.UnackedCompletion))

    async def test_links_to_all_entries(self) -> None:
        """Guards against a next owner that the agent has no link to."""
        await self.start_run()
        await dispatch_world.wait_until(
            lambda: self.entry.received_of(messages.Completion)
        )
        resending = asyncio.ensure_future(self.agent.resend_completions())
        self.addCleanup(resending.cancel)
        others = [FakeEntry(f'front-{number}') for number in range(2, 16)]
        async with contextlib.AsyncExitStack() as stack:
            for other in others:
                await other.listen()
                stack.callback(other.vanish)
            self.agent.update_entries(
                messages.Entries(
                    1,
                    [
                        messages.EntryAddress(*each.address, 'toledo')
                        for each in (self.entry, *others)
                    ],
                )
            )
            await dispatch_world.wait_until(
                lambda: all(
                    other.received
                    and other.received_of(messages.UnackedCompletion)
                    for other in others
                )
            )
