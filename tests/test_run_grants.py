"""How long runs may go on for an entry that was not heard of."""

import asyncio
import math
import typing
import unittest
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import (
    agent,
    clocks,
    confirmation,
    connections,
    fleet,
    keepalive,
    lease,
    messages,
    timing,
)
from poplardrum.platform import settings_file
from tests import dispatch_world, test_dispatch_links

NOW: typing.Final = 500.0


class SilentEntryLink(dispatch_world.FakeLink):
    """A link on which frames arrive, but no replies to pings."""

    answered_at = 0.0

    @property
    def confirmed_at(self) -> float:
        """Return when the last ping was sent that has a reply."""
        return self.answered_at


class TestConfirmation(unittest.TestCase):
    """What a reply to a ping proves."""

    def test_time_of_the_ping_counts(self) -> None:
        """Guards against a late reply that counts as a sign of life of now."""
        link_confirmation = confirmation.Confirmation()
        first = link_confirmation.next_ping(NOW)
        link_confirmation.next_ping(NOW + 1)
        link_confirmation.record_pong(messages.Pong(first.number))
        self.assertEqual(link_confirmation.confirmed_at, NOW)

    def test_unknown_reply(self) -> None:
        """Guards against a reply to no ping that proves something."""
        link_confirmation = confirmation.Confirmation()
        link_confirmation.record_pong(messages.Pong(3))
        self.assertEqual(link_confirmation.confirmed_at, -math.inf)


class TestBusyLinks(unittest.IsolatedAsyncioTestCase):
    """Pings of an agent on links that it has runs of."""

    async def test_pings_though_frames_arrive(self) -> None:
        """Guards against runs that stop since their entry had to answer nothing.

        Frames that are no replies prove nothing of the time they were sent.
        """
        link, _ = test_dispatch_links.make_link()
        keeper = keepalive.KeepAlive(is_passive=True)
        with keeper.watch(link):
            link.set_busy(True)
            now = clocks.now() + 2 * timing.PING_INTERVAL_S
            link.last_received_at = now
            keeper.check(now)
            self.assertEqual(link.confirmation.pings_sent, 1)

    async def test_old_reply_is_not_enough_for_a_start(self) -> None:
        """Guards against a run that starts for an entry unproven for long."""
        link, _ = test_dispatch_links.make_link()
        link.confirmation.confirmed_at = (
            clocks.now() - 2 * timing.CONFIRM_AFTER_S
        )
        self.assertFalse(await link.confirm(0.01))
        self.assertEqual(link.confirmation.pings_sent, 1)

    async def test_slow_reply(self) -> None:
        """Guards against a busy host on which no start is ever confirmed."""
        link, _ = test_dispatch_links.make_link()
        asking = asyncio.ensure_future(link.confirm(timing.LINK_TIMEOUT_S))
        await asyncio.sleep(timing.CONFIRM_AFTER_S + 0.1)
        link.confirmation.record_pong(messages.Pong(1))
        link.received.set()
        link.received.clear()
        self.assertTrue(await asking)


class TestEntryWithoutReplies(unittest.IsolatedAsyncioTestCase):
    """Runs of an entry that has stopped to answer pings."""

    async def asyncSetUp(self) -> None:
        """Start one run each of two entries, one of which falls silent."""
        self.world = dispatch_world.World(duration=30)
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)
        self.runs = self.world.executor.runs
        self.agent = agent.Agent(
            typing.cast(
                settings_file.ProcessSettings, dispatch_world.AgentConfig()
            ),
            self.world.executor,
        )
        self.silent = self.world.connect_entry('front-2')[0]
        self.link = SilentEntryLink()
        self.link.answered_at = clocks.now()
        self.silent.link = typing.cast(connections.Link, self.link)
        self.world.start_tasks(1)
        self.world.start_tasks(1, session=self.silent, job=ids.JobId('other'))
        await dispatch_world.wait_until(
            lambda: len(self.world.endpoint.leased.started_runs) > 1
        )

    async def test_its_runs_are_stopped(self) -> None:
        """Guards against runs that go on when their entry has given them up."""
        self.agent.keep_alive.check(clocks.now())
        self.assertFalse(any(run.stopping for run in self.runs.values()))
        self.link.answered_at -= timing.RUN_GRANT_S
        self.agent.keep_alive.check(clocks.now())
        await dispatch_world.wait_until(
            lambda: not self.runs.of_session(self.silent)
        )
        self.assertEqual(len(self.runs), 1)

    async def test_lease_is_not_extended_for_them(self) -> None:
        """Guards against a run that outlives its entry's wait for its end.

        Its stop may fail, or the agent may have been paused until now.
        """
        endpoint_lease = self.world.executor.lease
        self.link.answered_at -= timing.RUN_GRANT_LIMIT_S
        ends_at = endpoint_lease.lapses_at()
        endpoint_lease.renew(clocks.now())
        self.assertEqual(endpoint_lease.lapses_at(), ends_at)
        self.agent.keep_alive.check(clocks.now())
        await dispatch_world.wait_until(
            lambda: endpoint_lease.lapses_at() > ends_at
        )


class TestLostAgent(unittest.TestCase):
    """How long an entry waits for the runs of a lost agent."""

    def expires_in(self, silence: float) -> float:
        """Return the wait for an agent whose last ping was some time ago."""
        lost = fleet.Agent('side-1', 'toledo', ids.new_incarnation())
        with mock.patch.object(clocks, 'now', lambda: NOW):
            lost.record_ping()
        with mock.patch.object(clocks, 'now', lambda: NOW + silence):
            return lost.expires_in()

    def test_counted_from_the_last_ping(self) -> None:
        """Guards against a wait that starts only when the loss is noticed."""
        self.assertAlmostEqual(
            self.expires_in(0.7), timing.LOST_AGENT_TIMEOUT_S - 0.7
        )

    def test_bound_of_the_runs(self) -> None:
        """Guards against a wait that is shorter than what an agent may do."""
        last_renewal = timing.RUN_GRANT_LIMIT_S
        endpoint_lease = lease.Lease(timing.LEASE_S)
        endpoint_lease.observe_clock(1, 0)
        endpoint_lease.renew(last_renewal)
        self.assertGreater(
            timing.LOST_AGENT_TIMEOUT_S, endpoint_lease.lapses_at()
        )

    def test_entry_that_was_away_itself(self) -> None:
        """Guards against restarts before ends of connections are read."""
        self.assertEqual(self.expires_in(9.0), timing.MIN_EXPIRY_DELAY_S)
