"""Leases of entries on their stored jobs, and what happens without one."""

import asyncio
import typing
import unittest
from unittest import mock

import msgspec

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    connections,
    fleet,
    messages,
    owner_lease,
    owner_lease_keeper,
    ownership_validity,
    timing,
)
from poplardrum.platform import endpoints
from tests import (
    dispatch_world,
    executor_case,
    stored_world,
    test_dispatch_links,
)


class TestLostStops(stored_world.StoredCase):
    """An entry whose order to stop its runs never arrived."""

    async def asyncSetUp(self) -> None:
        """Let the entry start a job, lose its validity and its link."""
        await super().asyncSetUp()
        self.owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.validity = ownership_validity.ValidityMonitor(self.entry.ownership)
        self.validity.was_valid = True
        self.entry.can_own_jobs = False
        self.validity.check()
        self.agent.on_disconnected()

    def link_again(self) -> list[messages.StopTasks]:
        """Link the agent, which lists the run; return the stops it is sent."""
        link = dispatch_world.FakeLink()
        self.agent.on_connected(link.as_link())
        run = (self.owned.job.id, self.owned.job.tasks[0].run_id())
        self.entry.coordinator.handle_message(
            self.agent, messages.ActiveRuns([run])
        )
        return link.sent_of(messages.StopTasks)

    async def test_stop_lost_with_its_link(self) -> None:
        """Guards against a stale owner's run that goes on beside the next one's.

        The link broke before the stop arrived. On the next link the entry took
        the run that the agent listed for one that it wanted.
        """
        stops = self.link_again()
        self.assertEqual(
            [(stop.job, stop.runs) for stop in stops],
            [(self.owned.job.id, [self.owned.job.tasks[0].run_id()])],
        )

    async def test_job_that_is_owned_again(self) -> None:
        """Guards against the end of a run whose job was never taken over."""
        self.entry.can_own_jobs = True
        self.validity.check()
        await dispatch_world.wait_until(lambda: self.owned.confirmed)
        self.assertEqual(self.link_again(), [])


class TestOwnerLease(unittest.TestCase):
    """How long a lease lasts."""

    def setUp(self) -> None:
        """Create a lease that was never granted."""
        self.lease = owner_lease.OwnerLease()

    def test_never_granted(self) -> None:
        """Guards against starts for an entry that has granted nothing."""
        self.assertFalse(self.lease.is_valid(0))

    def test_late_reply(self) -> None:
        """Guards against a lease that a delayed reply extends."""
        self.lease.renew(100, messages.OwnerLeaseGrant(4, 2))
        self.assertTrue(self.lease.is_valid(103.9))
        self.assertFalse(self.lease.is_valid(104))

    def test_starts(self) -> None:
        """Guards against starts as long as runs may go on, or longer."""
        self.lease.renew(100, messages.OwnerLeaseGrant(4, 2))
        self.assertTrue(self.lease.may_start(101.9))
        self.assertFalse(self.lease.may_start(102))
        self.lease.renew(103, messages.OwnerLeaseGrant(0, 2))
        self.assertFalse(self.lease.may_start(104))

    def test_replies_out_of_order(self) -> None:
        """Guards against a lease that an older reply shortens."""
        self.lease.renew(101, messages.OwnerLeaseGrant(4, 2))
        self.lease.renew(100, messages.OwnerLeaseGrant(4, 2))
        self.assertTrue(self.lease.is_valid(104.9))

    def test_version_without_leases(self) -> None:
        """Guards against an upgrade during which no stored job runs."""
        self.lease.renew(100, None)
        self.assertTrue(self.lease.is_valid(1e9))


class TestExpiredLease(executor_case.ExecutorCase):
    """An agent whose entry neither renews its lease nor stops its runs."""

    duration = 30.0

    async def asyncSetUp(self) -> None:
        """Start a run of a stored job, and one that is not stored."""
        await super().asyncSetUp()
        self.world.start_tasks(1, stored=True)
        self.world.start_tasks(1, job=ids.JobId('f' * 16))
        self.keeper = owner_lease_keeper.OwnerLeaseKeeper(self.world.executor)
        await dispatch_world.wait_until(
            lambda: len(self.world.endpoint.leased.running) == 2
        )
        self.expires_at = self.world.session.owner_lease.expires_at

    async def test_runs_are_stopped(self) -> None:
        """Guards against runs beside those of the next owner of their job.

        The owner was paused at the moment at which it had to stop them.
        """
        self.keeper.check(self.expires_at)
        await self.wait_for_results(1)
        self.assertEqual(
            [end.job for end in self.world.link.sent_of(messages.Completion)],
            [dispatch_world.JOB_ID],
        )
        self.assertEqual(len(self.world.endpoint.leased.running), 1)

    async def test_runs_go_on_before(self) -> None:
        """Guards against work that is thrown away while the lease lasts."""
        self.keeper.check(self.expires_at - 0.01)
        self.assertFalse(
            any(run.stopping for run in self.world.executor.runs.values())
        )

    async def test_lease_is_renewed_in_time(self) -> None:
        """Guards against a lease that expires because nobody asks for it."""
        now = clocks.now()
        self.keeper.check(now)
        self.keeper.check(now)
        self.assertEqual(len(self.world.link.sent_of(messages.Ping)), 1)
        self.keeper.check(now + timing.OWNER_LEASE_RENEWAL_INTERVAL_S + 0.1)
        self.assertEqual(len(self.world.link.sent_of(messages.Ping)), 2)

    async def test_run_without_an_answer(self) -> None:
        """Guards against a run that may have started and is not stopped."""
        self.world.endpoint.faults['start'] = ['silent']
        self.world.start_tasks(1, job=ids.JobId('e' * 16), stored=True)
        leased = self.world.endpoint.leased
        await dispatch_world.wait_until(lambda: len(leased.running) == 3)
        self.keeper.check(self.expires_at)
        await dispatch_world.wait_until(lambda: len(leased.running) == 1)

    async def test_loop_ends_the_runs(self) -> None:
        """Guards against a check that nobody makes."""
        loop = asyncio.ensure_future(self.keeper.run())
        self.addCleanup(loop.cancel)
        self.world.session.owner_lease.expires_at = clocks.now()
        await self.wait_for_results(1)


class TestStarts(executor_case.ExecutorCase):
    """Starts of stored jobs whose entry has no valid lease at first."""

    async def asyncSetUp(self) -> None:
        """Give the entry a real link, and let its lease expire."""
        await super().asyncSetUp()
        self.link, self.writer = test_dispatch_links.make_link()
        self.world.session.attach(self.link)
        lease = self.world.session.owner_lease
        lease.expires_at = lease.starts_until = clocks.now()
        self.started = self.world.endpoint.leased.started_runs

    def sent_pings(self) -> int:
        """Return the number of pings that the agent has sent."""
        return self.link.confirmation.pings_sent

    async def grant(self, run_s: float, start_s: float, number: int) -> None:
        """Let the reply to a ping arrive."""
        lease = messages.OwnerLeaseGrant(run_s, start_s)
        body = msgspec.msgpack.encode([messages.Pong(number, lease)])
        self.link.reader.feed_data(len(body).to_bytes(4, 'big') + body)
        await self.link.receive()

    async def test_start_waits_for_the_lease(self) -> None:
        """Guards against a start by an entry that is no owner any more."""
        self.world.start_tasks(3, stored=True)
        await dispatch_world.wait_until(self.sent_pings)
        self.assertEqual(self.sent_pings(), 1)
        self.assertEqual(self.started, [])
        await self.grant(3.0, 2.0, 1)
        await dispatch_world.wait_until(lambda: len(self.started) == 3)

    async def test_entry_without_a_lease(self) -> None:
        """Guards against a start by an entry whose job has another owner."""
        await self.refuse_start(run_s=0.0, start_s=2.0)

    async def test_entry_without_recent_cancels(self) -> None:
        """Guards against a start long after the cancel of its job.

        It had waited here for a sign of life of its entry.
        """
        await self.refuse_start(run_s=3.0, start_s=0.0)

    async def refuse_start(self, run_s: float, start_s: float) -> None:
        """Check that nothing starts under a lease."""
        self.world.start_tasks(1, stored=True)
        await dispatch_world.wait_until(self.sent_pings)
        await self.grant(run_s, start_s, 1)
        await dispatch_world.wait_until(self.refusals)
        self.assertEqual(self.started, [])

    def refusals(self) -> list[messages.Refused]:
        """Return the refusals for want of a lease."""
        return [
            message
            for message in self.world.session.recent_messages
            if isinstance(message, messages.Refused)
            and message.reason is messages.Refusal.owner_lease
        ]

    async def test_start_that_is_sent_again(self) -> None:
        """Guards against a second try that is sent after the lease has expired."""
        lease = self.world.session.owner_lease
        lease.renew(clocks.now(), messages.OwnerLeaseGrant(60.0, 60.0))
        endpoint = self.world.endpoint
        endpoint.leased.fencing_token = (
            self.world.executor.lease.fencing_token + 1
        )
        send = endpoint.start

        async def expire_after_reply(
            request: endpoints.StartRequest, **options: typing.Any
        ) -> endpoints.Reply:
            reply = await send(request, **options)
            lease.starts_until = clocks.now()
            return reply

        with mock.patch.object(endpoint, 'start', expire_after_reply):
            self.world.start_tasks(1, stored=True)
            await dispatch_world.wait_until(
                lambda: self.world.session.recent_messages
            )
        self.assertEqual(self.started, [])

    async def test_reply_to_an_unknown_ping(self) -> None:
        """Guards against a lease of which it is not known when it began."""
        await self.grant(3.0, 2.0, 7)
        self.assertFalse(self.world.session.owner_lease.is_valid(clocks.now()))

    async def test_jobs_that_are_not_stored(self) -> None:
        """Guards against a delay of jobs that have no owner."""
        self.world.start_tasks(1)
        await dispatch_world.wait_until(lambda: self.started)
        self.assertEqual(self.sent_pings(), 0)


class TestGrants(unittest.IsolatedAsyncioTestCase):
    """What an entry replies to pings."""

    async def replies_of(self, link: connections.Link) -> list[messages.Pong]:
        """Let a ping arrive; return the replies."""
        body = msgspec.msgpack.encode([messages.Ping(1)])
        link.reader.feed_data(len(body).to_bytes(4, 'big') + body)
        await link.receive()
        return [
            message
            for message in link.pending
            if isinstance(message, messages.Pong)
        ]

    async def test_entry_grants_what_is_left(self) -> None:
        """Guards against a lease that lasts longer than the ownership."""
        grant = messages.OwnerLeaseGrant(1.5, 0.5)
        link, _ = test_dispatch_links.make_link()
        entry_link = connections.Link(
            asyncio.StreamReader(), link.writer, lambda: grant
        )
        self.assertEqual(
            await self.replies_of(entry_link), [messages.Pong(1, grant)]
        )

    async def test_agent_grants_nothing(self) -> None:
        """Guards against an agent that is taken for an owner."""
        link, _ = test_dispatch_links.make_link()
        self.assertEqual(await self.replies_of(link), [messages.Pong(1, None)])


class TestRefusedStarts(stored_world.StoredCase):
    """An entry whose start was refused for want of a lease."""

    async def test_agent_is_not_avoided(self) -> None:
        """Guards against a healthy endpoint that gets no more tasks of a job."""
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        task = owned.job.tasks[0]
        agent: fleet.Agent = self.agent
        self.entry.coordinator.handle_message(
            agent,
            messages.Refused(
                owned.job.id, [task.run_id()], messages.Refusal.owner_lease
            ),
        )
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.link) == [1, 2]
        )
        self.assertEqual(task.avoided_nodes, set())
