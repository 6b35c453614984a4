"""Evacuated availability zones at entries."""

import typing
import unittest
from unittest import mock

from poplardrum import errors, ids
from poplardrum.dispatch import (
    connections,
    entry_evacuations,
    fleet,
    jobs,
    links,
    messages,
    metrics,
    request_handler,
)
from tests import (
    dispatch_world,
    test_dispatch_coordinator,
    test_evacuations,
)

ZONES: typing.Final = ('toledo', 'erie')
BOUND_S: typing.Final = 5.0


class TestEntry(test_dispatch_coordinator.CoordinatorCase):
    """An entry with one agent in each of two zones."""

    async def asyncSetUp(self) -> None:
        """Connect an agent in the other zone."""
        await super().asyncSetUp()
        self.reader = test_evacuations.make_reader()[0]
        handler = mock.Mock(
            spec=request_handler.RequestHandler, coordinator=self.coordinator
        )
        self.agent_links = links.AgentLinks(
            'front-1', ids.new_incarnation(), self.coordinator
        )
        self.subject = entry_evacuations.EntryEvacuations(
            self.reader, handler, self.agent_links
        )
        self.reader.on_change = self.subject.handle_change
        self.other = fleet.Agent('side-2', 'erie', ids.new_incarnation())
        self.other_link = dispatch_world.FakeLink()
        self.coordinator.add_agent(self.other)
        self.other.on_connected(typing.cast(connections.Link, self.other_link))
        self.report_load(self.other, test_dispatch_coordinator.CAPACITY)

    def evacuate(self, revision: int, *zones: str) -> None:
        """Read a view from the store."""
        self.reader.observe(messages.EvacuatedZones(revision, list(zones)))

    def starts(self) -> list[int]:
        """Return how many starts each agent was sent."""
        return [
            len(link.sent_of(messages.StartTasks))
            for link in (self.link, self.other_link)
        ]

    async def test_zone_is_left_out_until_it_returns(self) -> None:
        """Guards against starts in the zone, and tasks lost to its absence."""
        self.evacuate(9, 'toledo')
        job = await self.submit_job(1, 6)
        self.assertEqual(self.starts(), [0, 1])
        self.assertEqual(len(job.ready_tasks()), 2)
        self.assertEqual(self.coordinator.index.usable_count(), 1)
        self.evacuate(10)
        await test_dispatch_coordinator.run_event_loop()
        self.assertEqual(self.starts(), [1, 1])

    async def test_load_of_an_agent_that_knows_less(self) -> None:
        """Guards against listing the zone again by a load report."""
        self.evacuate(9, 'toledo')
        self.report_load(self.agent, test_dispatch_coordinator.CAPACITY)
        self.assertFalse(self.agent.is_usable())
        await self.submit_job(1, 1)
        self.assertEqual(self.starts(), [0, 1])

    async def test_agent_that_links_later(self) -> None:
        """Guards against an agent of the zone that is new to the entry."""
        self.evacuate(9, 'toledo', 'erie')
        late, link = self.connect('side-3')
        await self.submit_job(1, 1)
        self.assertFalse(late.is_usable())
        self.assertEqual(link.sent_of(messages.StartTasks), [])

    async def test_all_zones_evacuated(self) -> None:
        """Guards against holding jobs that cannot run anywhere."""
        self.evacuate(8, 'toledo')
        running = await self.submit_job(1, 1)
        full = self.make_job(2, 4, demand=messages.Resources(4000, 64, 0))
        self.coordinator.submit(full)
        self.evacuate(9, *ZONES)
        waiting_error = full.outcome.exception()
        assert isinstance(waiting_error, errors.PoplardrumError)
        with self.assertRaises(errors.PoplardrumError) as raised:
            self.subject.check_open()
        for error in (waiting_error, raised.exception):
            self.assertIs(error.verdict, errors.Verdict.not_run)
            self.assertEqual(error.retry_after, BOUND_S)
        self.assertFalse(running.outcome.done())
        self.evacuate(10, 'erie')
        self.subject.check_open()

    async def test_stored_jobs_wait(self) -> None:
        """Guards against giving up accepted jobs when no zone is left."""
        self.evacuate(9, *ZONES)
        job = self.make_job(1, 1)
        job.owner = mock.Mock()
        self.coordinator.submit(job)
        self.evacuate(10, 'erie')
        self.evacuate(11, *ZONES)
        self.assertFalse(job.outcome.done())

    async def test_agents_are_told(self) -> None:
        """Guards against agents that learn of a change by their reads alone."""
        self.agent_links.links.add(typing.cast(connections.Link, self.link))
        self.evacuate(9, 'erie')
        self.assertEqual(
            self.link.sent_of(messages.EvacuatedZones),
            [messages.EvacuatedZones(9, ['erie'])],
        )

    async def test_agent_that_links_is_told(self) -> None:
        """Guards against an agent that is new, and has never read."""
        self.evacuate(9, 'erie')
        hello = messages.AgentHello('side-4', 'erie', ids.new_incarnation())
        link = dispatch_world.FakeLink()
        with mock.patch.object(
            link,
            'receive_hello',
            mock.AsyncMock(return_value=(hello, [])),
            create=True,
        ):
            await self.agent_links._handshake(
                typing.cast(connections.Link, link)
            )
        self.assertEqual(
            link.sent_of(messages.EvacuatedZones),
            [messages.EvacuatedZones(9, ['erie'])],
        )

    async def test_all_zones_evacuated_while_a_request_is_held(self) -> None:
        """Guards against a job that waits though its refusal is known."""
        handler = mock.Mock(check_open=self.subject.check_open)
        handler.stale_requests.hold = mock.AsyncMock(
            side_effect=lambda *_: self.evacuate(9, *ZONES)
        )
        job = self.make_job(1, 1)
        job.resolve(jobs.JobOutcome.failed)
        with self.assertRaises(errors.PoplardrumError):
            await request_handler.RequestHandler._run_job(handler, job, None)
        handler.coordinator.submit.assert_not_called()


class TestOff(unittest.TestCase):
    """Deployments whose zones are never evacuated."""

    def test_nothing_runs_without_a_bound(self) -> None:
        """Guards against calls to the store that nobody needs."""
        config = mock.Mock(evacuation_bound=None)
        handler = mock.Mock(metrics=metrics.Metrics())
        found = entry_evacuations.background_loops(
            config, mock.Mock(), handler, mock.Mock()
        )
        self.assertEqual(found, [])
