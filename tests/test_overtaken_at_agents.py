"""What an agent does with completions that were overtaken by a later run."""

import asyncio
import typing
from unittest import mock

from poplardrum.dispatch import clocks, completion_discard, messages
from poplardrum.standins import leased_endpoint
from tests import dispatch_world, test_agent_sessions

JOB_ID: typing.Final = dispatch_world.JOB_ID
MAX_DRAIN_S: typing.Final = 0.1


class LapseWatch:
    """Record since when the lease of an endpoint has lapsed, and when it did."""

    def __init__(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """Watch the renewals of an endpoint."""
        self.leased = leased
        self.lapsed_at = 0.0
        self.extend = leased.extend_lease

    def extend_lease(self, now: float, lease_until: float) -> None:
        """Extend the lease; note if it had lapsed before."""
        self.update(now)
        self.extend(now, lease_until)

    def update(self, now: float) -> None:
        """Note if the lease has lapsed."""
        if now >= self.leased.lease_expires_at:
            self.lapsed_at = self.leased.lease_expires_at

    def has_lapsed_since(self, since: float) -> bool:
        """Return whether the lease has lapsed since a time."""
        self.update(clocks.now())
        return self.lapsed_at >= since


class OvertakenCase(test_agent_sessions.AgentCase):
    """Common set-up: a completion of a stored job waits for its answer."""

    run_duration = 0.05
    neighbours = 0
    neighbour_duration = 30.0

    async def asyncSetUp(self) -> None:
        """Let a run be done beside others that go on."""
        await super().asyncSetUp()
        self.enterContext(
            mock.patch.object(completion_discard, '_MAX_DRAIN_S', MAX_DRAIN_S)
        )
        self.executor = self.world.executor
        self.leased = self.world.endpoint.leased
        self.watch = LapseWatch(self.leased)
        self.enterContext(
            mock.patch.object(
                self.leased, 'extend_lease', self.watch.extend_lease
            )
        )
        self.entry.start_task()
        await dispatch_world.wait_until(lambda: self.leased.running)
        self.world.endpoint.duration = self.neighbour_duration
        self.start_neighbours(self.neighbours)
        await dispatch_world.wait_until(
            lambda: self.entry.received_of(messages.Completion)
        )
        self.ended_at = clocks.now()
        completion = self.entry.received_of(messages.Completion)[0]
        self.completion_id = completion.completion_id

    def start_neighbours(self, count: int) -> None:
        """Start runs of another entry."""
        job = typing.cast(typing.Any, 'a' * 16)
        self.world.start_tasks(count, job=job)

    def reject(self) -> None:
        """Tell the agent that the completion was overtaken."""
        self.entry.links[-1].send(
            messages.CompletionsOvertaken([self.completion_id])
        )

    def is_dropped(self) -> bool:
        """Return whether the endpoint has dropped the completion."""
        return bool(self.leased.acknowledged_id >= self.completion_id.number)

    async def wait_until_dropped(self) -> None:
        """Wait until it is dropped; check that the lease lapsed before."""
        await dispatch_world.wait_until(self.is_dropped)
        self.assertTrue(self.watch.has_lapsed_since(self.ended_at))


class TestIdleEndpoint(OvertakenCase):
    """Nothing runs beside the completion."""

    async def test_dropped_after_the_lapse(self) -> None:
        """Guards against a completion that is dropped as if it had been recorded."""
        self.reject()
        await dispatch_world.wait_until(
            lambda: not self.executor.is_accepting()
        )
        await self.wait_until_dropped()

    async def test_accepts_again(self) -> None:
        """Guards against an agent that takes no more tasks."""
        self.reject()
        await self.wait_until_dropped()
        await dispatch_world.wait_until(self.executor.is_accepting)

    async def test_acknowledged_by_another_entry(self) -> None:
        """Guards against an entry that knows less, and acknowledges it."""
        self.reject()
        self.entry.links[-1].send(
            messages.CompletionsAcknowledged([self.completion_id])
        )
        await self.wait_until_dropped()

    async def test_is_not_sent_again(self) -> None:
        """Guards against an answered completion that is sent for ever."""
        self.reject()
        completions = self.executor.completions
        await dispatch_world.wait_until(
            lambda: completions.overtaken_since is not None
        )
        self.assertEqual(completions.due_for_resend(clocks.now() + 10), [])
        self.assertFalse(completions.has_unclaimed((), clocks.now() + 10))

    async def test_restarted_endpoint(self) -> None:
        """Guards against a wait for the end of a lease that is no more."""
        self.reject()
        completions = self.executor.completions
        await dispatch_world.wait_until(
            lambda: completions.overtaken_since is not None
        )
        completions.reset(2)
        self.assertIsNone(completions.overtaken_since)


class TestNewProcess(OvertakenCase):
    """An agent process that has not renewed the lease itself."""

    async def test_lease_of_the_earlier_process(self) -> None:
        """Guards against a lease that counts as lapsed from the start.

        The endpoint may have got a renewal just before the process started.
        """
        world = dispatch_world.World()
        self.assertFalse(world.executor.lease.has_lapsed(clocks.now()))


class TestBusyEndpoint(OvertakenCase):
    """Other runs go on for long beside the completion."""

    neighbours = 2

    async def test_neighbours_end_with_the_lease(self) -> None:
        """Guards against completions that are never dropped while others run."""
        self.reject()
        await self.wait_until_dropped()
        self.assertEqual(
            self.world.outcomes(), [messages.Outcome.lost] * self.neighbours
        )

    async def test_acknowledged_completion(self) -> None:
        """Guards against a lapse where the completion was recorded."""
        self.entry.links[-1].send(
            messages.CompletionsAcknowledged([self.completion_id])
        )
        await dispatch_world.wait_until(self.is_dropped)
        self.assertEqual(self.world.outcomes(), [])
        self.assertTrue(self.executor.is_accepting())


class TestDrain(OvertakenCase):
    """Other runs end by themselves soon."""

    neighbours = 2
    neighbour_duration = 0.3

    async def test_neighbours_end_by_themselves(self) -> None:
        """Guards against work that is lost though it was nearly done."""
        with mock.patch.object(completion_discard, '_MAX_DRAIN_S', 10.0):
            self.reject()
            await self.wait_until_dropped()
        self.assertEqual(
            self.world.outcomes(), [messages.Outcome.done] * self.neighbours
        )

    async def test_no_run_starts_meanwhile(self) -> None:
        """Guards against an endpoint that never gets idle."""
        self.reject()
        await dispatch_world.wait_until(
            lambda: self.executor.completions.overtaken_since is not None
        )
        self.start_neighbours(3)
        await asyncio.sleep(0.01)
        self.assertGreaterEqual(self.world.refused(), 1)
