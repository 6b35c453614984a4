"""Jobs whose callers have gone before the entry could start them."""

import asyncio
import contextlib
import json
import socket
import struct
import time
import typing
import unittest

import uvloop

from poplardrum import ids
from poplardrum.dispatch import (
    connections,
    coordinator,
    fleet,
    lifecycle,
    links,
    messages,
    reloading,
    request_handler,
    routes,
    stored_jobs,
    timing,
)
from poplardrum.platform import job_api
from poplardrum.standins import ports, site
from tests import dispatch_world

JOB_ID: typing.Final = '5c0e7a21d94b36f8'
RESUBMISSION_S: typing.Final = 1.3
# Longer than callers wait before they submit a job again.
LONG_S: typing.Final = RESUBMISSION_S + 0.1
CAPACITY: typing.Final = messages.Resources(4000, 4096, 0)
CLIENT_TIMEOUT_S: typing.Final = 0.4
NO_ROOM: typing.Final = messages.Resources(0, 0, 0)
CONFIGURATION: typing.Final = {
    'Version': 1,
    'Routes': [
        {
            'Name': 'r-1',
            'Host': 'jobs.example',
            'Prefix': '/jobs/',
            'Service': 'intake',
            'Stretch': 1.6,
            'TargetLatencyMs': 60,
        },
    ],
}
# Closes the connection with a reset.
NO_LINGER: typing.Final = struct.pack('ii', 1, 0)


class FakeConfig(typing.NamedTuple):
    """The settings that a request handler uses."""

    resubmission: float = RESUBMISSION_S
    config_bound: float = 2.0


class FakeSettings(typing.NamedTuple):
    """Settings that do not change."""

    config: FakeConfig = FakeConfig()


class Entry:
    """An entry that serves callers over HTTP, with an agent of four slots."""

    def __init__(self) -> None:
        """Create an entry that does not listen yet."""
        self.address = ('127.0.0.1', ports.free_ports(1)[0])
        self.coordinator = coordinator.Coordinator('toledo')
        table = routes.RouteTable()
        table.apply(json.dumps(CONFIGURATION).encode())
        self.handler = request_handler.RequestHandler(
            typing.cast(reloading.Settings, FakeSettings()),
            table,
            self.coordinator,
            typing.cast(stored_jobs.StoredJobs, None),
        )
        self.agent_links = links.AgentLinks(
            'front-1', ids.new_incarnation(), self.coordinator
        )
        self.agent = fleet.Agent('side-1', 'toledo', ids.new_incarnation())
        self.link = dispatch_world.FakeLink()
        self.coordinator.add_agent(self.agent)
        self.agent.on_connected(typing.cast(connections.Link, self.link))

    def report_room(self, free: messages.Resources = CAPACITY) -> None:
        """Report the free capacity of the agent."""
        self.coordinator.handle_message(
            self.agent,
            messages.Load(0, True, free, CAPACITY, 1.0, 'intake', []),
        )

    def started_runs(self) -> list[messages.RunId]:
        """Return the runs that were sent to the agent."""
        return [
            run
            for message in self.link.sent_of(messages.StartTasks)
            for run in message.runs
        ]


class Caller:
    """A caller whose calls block, so that the entry stands still meanwhile."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect to an entry."""
        self.connection = socket.create_connection(address)

    def ask_for_unknown_job(self) -> None:
        """Send a request that needs no agent."""
        self.connection.sendall(
            b'GET /unknown/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n'
        )

    def submit(self, client_timeout_s: float = 20) -> None:
        """Send a job of two tasks."""
        submission = site.submission(2, 'specification')
        # Long enough that the job may wait through a pause of the entry.
        submission['Steps'][0]['EstimatedMs'] = 5000
        body = json.dumps(submission)
        self.connection.sendall(
            f'POST /jobs/{JOB_ID} HTTP/1.1\r\n'
            f'Host: jobs.example\r\n'
            f'{job_api.CLIENT_TIMEOUT_HEADER}: {client_timeout_s * 1000:g}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
        )
        self.connection.close()


class TestDepartedCallers(unittest.IsolatedAsyncioTestCase):
    """Requests that an entry reads or handles long after they were sent.

    Their callers have gone and have submitted the jobs elsewhere, where they
    run: a start here is a second run at the same time (TWICE).
    """

    @classmethod
    def setUpClass(cls) -> None:
        """Use the event loop of the product."""
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def asyncSetUp(self) -> None:
        """Serve callers."""
        self.entry = Entry()
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        await lifecycle.serve_http(
            stack, self.entry.handler.handle_request, self.entry.address, {}
        )
        keep_alive = asyncio.ensure_future(
            self.entry.agent_links.keep_alive.run()
        )
        stack.callback(keep_alive.cancel)

    async def connect(self) -> Caller:
        """Return a caller whose connection has had a response."""
        caller = Caller(self.entry.address)
        caller.ask_for_unknown_job()
        await asyncio.sleep(0.02)
        return caller

    async def test_request_that_was_held_up(self) -> None:
        """Guards against the start of a job whose request came too late.

        The network held up the request, and the end of the connection came
        right behind it.
        """
        self.entry.report_room()
        cases = [
            (await self.connect(), leave, lag_s)
            for leave in (Caller.close, Caller.reset)
            for lag_s in (0.0, 0.0002, 0.002, 0.006)
        ]
        await asyncio.sleep(CLIENT_TIMEOUT_S + LONG_S)
        for caller, leave, lag_s in cases:
            caller.submit(CLIENT_TIMEOUT_S)
            if lag_s:
                await asyncio.sleep(lag_s)
            leave(caller)
            await asyncio.sleep(0.05)
            self.assertEqual(self.entry.started_runs(), [])

    async def test_request_after_a_cut(self) -> None:
        """Guards against the start of a job that a cut of the host held up."""
        self.entry.report_room()
        self.entry.coordinator.continuity.contact_at -= LONG_S
        await asyncio.sleep(timing.IDLE_CHECK_INTERVAL_S)
        for leave in (Caller.close, Caller.reset):
            caller = await self.connect()
            caller.submit()
            await asyncio.sleep(0.006)
            leave(caller)
            await asyncio.sleep(0.05)
            self.assertEqual(self.entry.started_runs(), [])

    async def test_request_on_a_new_connection(self) -> None:
        """Guards against the start of a job from behind a proxy.

        It accepted the caller's connection and connected here late.
        """
        self.entry.report_room()
        for leave in (Caller.close, Caller.reset):
            for lag_s in (0.0002, 0.002, 0.006):
                caller = Caller(self.entry.address)
                caller.submit()
                await asyncio.sleep(lag_s)
                leave(caller)
                await asyncio.sleep(0.05)
                self.assertEqual(self.entry.started_runs(), [])

    async def test_entry_that_is_busy_during_the_hold(self) -> None:
        """Guards against a start before the end of a connection is read.

        The entry had no processor time until the hold was over.
        """
        self.entry.report_room()
        loop = asyncio.get_running_loop()
        for leave in (Caller.close, Caller.reset):
            caller = Caller(self.entry.address)
            caller.submit()
            # All timers below are overdue together afterwards.
            loop.call_later(0.004, time.sleep, 0.03)
            await asyncio.sleep(0.006)
            leave(caller)
            await asyncio.sleep(0.05)
            self.assertEqual(self.entry.started_runs(), [])

    async def test_request_that_waited_for_the_entry(self) -> None:
        """Guards against the start of a job whose request was read too late.

        The entry stood still. On a new connection and on an open one.
        """
        self.entry.report_room()
        for leave in (Caller.close, Caller.reset):
            for caller in (await self.connect(), Caller(self.entry.address)):
                caller.submit()
                leave(caller)
                time.sleep(LONG_S)
                await asyncio.sleep(0.05)
                self.assertEqual(self.entry.started_runs(), [])

    async def test_job_that_waited_through_a_pause(self) -> None:
        """Guards against the start of a job whose caller left during a pause.

        Room is reported as the entry wakes.
        """
        for leave in (Caller.close, Caller.reset):
            self.entry.report_room(NO_ROOM)
            caller = await self.connect()
            caller.submit()
            await asyncio.sleep(0.3)
            self.assertEqual(len(self.entry.coordinator.jobs), 1)
            leave(caller)
            time.sleep(LONG_S)
            self.entry.report_room()
            await asyncio.sleep(0.05)
            self.assertEqual(self.entry.started_runs(), [])

    async def test_caller_that_waits_is_served(self) -> None:
        """Guards against a caller that waits being taken for gone."""
        self.entry.report_room()
        caller = await self.connect()
        await asyncio.sleep(LONG_S)
        caller.submit()
        await dispatch_world.wait_until(self.entry.started_runs)
        self.assertEqual(len(self.entry.started_runs()), 2)
        caller.close()
