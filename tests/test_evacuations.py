"""Evacuated availability zones: the view, its reading, agents and entries."""

import asyncio
import typing
import unittest
from unittest import mock

from poplardrum.dispatch import (
    agent,
    evacuation_reader,
    evacuations,
    messages,
    zone_gate,
)
from poplardrum.platform import endpoints, evacuation_keys, settings_file, store
from tests import dispatch_world, executor_case

ZONES: typing.Final = ('toledo', 'erie')
BOUND_S: typing.Final = 5.0


def snapshot(revision: int, *zones: str) -> store.Snapshot:
    """Return a read of the keys of zones."""
    return store.Snapshot(
        revision,
        [
            store.StoredValue(f'{evacuation_keys.PREFIX}{zone}', b'', revision)
            for zone in zones
        ],
    )


class FakeStore:
    """A store that returns prepared results, then fails."""

    def __init__(self, results: list[store.Snapshot | None]) -> None:
        """Return `results` in turn; `None` is a failure."""
        self.results = results
        self.indexes: list[int] = []

    async def read(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        after_index: int = 0,
        wait_s: float = 0,
    ) -> store.Snapshot:
        """Return the next result."""
        self.indexes.append(after_index)
        found = self.results.pop(0) if self.results else None
        if found is None:
            raise store.platform_error('away', may_have_written=False)
        return found


def make_reader(
    *results: store.Snapshot | None,
) -> tuple[evacuation_reader.EvacuationReader, FakeStore]:
    """Return a reader of a fake store."""
    fake = FakeStore(list(results))
    view = evacuations.Evacuations(ZONES, 0)
    return (
        evacuation_reader.EvacuationReader(
            view, typing.cast(store.Store, fake), BOUND_S
        ),
        fake,
    )


class TestView(unittest.TestCase):
    """The set of zones, with times given."""

    def setUp(self) -> None:
        """Create a view that was never read."""
        self.view = evacuations.Evacuations(ZONES, 100)

    def test_nothing_is_assumed_before_the_first_read(self) -> None:
        """Guards against a site that serves nothing without its store."""
        self.assertFalse(self.view.is_evacuated('toledo'))
        self.assertEqual(self.view.age(103), 3)

    def test_older_view_is_dropped(self) -> None:
        """Guards against a late view that takes an evacuation back."""
        self.view.apply(20, ['toledo'], 101)
        self.assertFalse(self.view.apply(19, [], 102))
        self.assertTrue(self.view.is_evacuated('toledo'))

    def test_removed_and_written_again(self) -> None:
        """Guards against an evacuation that ends with an earlier one."""
        for revision, zones in ((20, ['erie']), (21, []), (22, ['erie'])):
            self.view.apply(revision, zones, revision)
        self.assertFalse(self.view.apply(21, [], 30))
        self.assertTrue(self.view.is_evacuated('erie'))
        self.assertEqual(self.view.returned_at, {})

    def test_several_zones_and_one_that_nobody_has(self) -> None:
        """Guards against counting an unknown zone as one of the site."""
        self.view.apply(20, ['toledo', 'atlantis'], 101)
        self.assertEqual(self.view.unknown_zones(), {'atlantis'})
        self.assertFalse(self.view.are_all_evacuated())
        self.view.apply(21, ['toledo', 'erie', 'atlantis'], 102)
        self.assertTrue(self.view.are_all_evacuated())

    def test_no_zones_in_the_settings(self) -> None:
        """Guards against refusing all where the zones are not known."""
        self.assertFalse(evacuations.Evacuations((), 0).are_all_evacuated())

    def test_cold_endpoints_return_by_steps(self) -> None:
        """Guards against full load at once on endpoints that are cold."""
        shares = [
            evacuations.warm_share(since, 8 - since) for since in range(8)
        ]
        self.assertEqual(shares, sorted(shares))
        self.assertEqual((shares[0], shares[-1]), (0.25, 0.875))
        self.view.apply(20, ['erie'], 100)
        self.view.apply(21, [], 110)
        self.assertEqual(self.view.capacity_share('erie', 0, 110), 1)
        self.assertEqual(self.view.capacity_share('erie', 4, 114), 0.5)
        self.assertEqual(self.view.capacity_share('toledo', 4, 114), 1)


class TestKeys(unittest.TestCase):
    """What the keys in the store say."""

    def test_keys_without_a_zone(self) -> None:
        """Guards against a key that hides the others or names no zone."""
        keys = ['op/evacuate/', 'op/evacuate/a/b', 'op/evacuate/erie', 'op']
        found = evacuation_keys.parse(keys)
        self.assertEqual(found.zones, {'erie'})
        self.assertEqual(len(found.odd_keys), 3)


class TestReader(unittest.IsolatedAsyncioTestCase):
    """Reading from a store that fails."""

    async def asyncSetUp(self) -> None:
        """Make pauses short."""
        self.enterContext(
            mock.patch.object(evacuation_reader, '_MIN_PAUSE_S', 0)
        )

    async def run_loop(
        self,
        fake: FakeStore,
        loop: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        """Run a loop until it has used all prepared results."""
        task = asyncio.ensure_future(loop())
        await dispatch_world.wait_until(lambda: not fake.results)
        task.cancel()

    async def test_last_view_holds_while_the_store_is_away(self) -> None:
        """Guards against an outage that fills or empties a zone."""
        reader, fake = make_reader(snapshot(7, 'erie'), None, None)
        await self.run_loop(fake, reader.watch)
        self.assertEqual(reader.view.zones, {'erie'})

    async def test_read_after_a_failure_is_no_watch(self) -> None:
        """Guards against a change that was missed with a broken watch."""
        reader, fake = make_reader(
            snapshot(7), None, snapshot(9, 'erie'), snapshot(9, 'erie')
        )
        await self.run_loop(fake, reader.watch)
        self.assertEqual(fake.indexes[:4], [0, 7, 0, 9])
        self.assertEqual(reader.view.zones, {'erie'})

    async def test_every_second_read_is_no_watch(self) -> None:
        """Guards against a watch that hears nothing for good."""
        reader, fake = make_reader(*(snapshot(index) for index in (5, 6, 7, 8)))
        await self.run_loop(fake, reader.watch)
        self.assertEqual(fake.indexes[:4], [0, 5, 0, 7])

    async def test_poll_goes_on_after_failures(self) -> None:
        """Guards against an agent that reads once and never again."""
        reader, fake = make_reader(None, None, snapshot(8, 'toledo'))
        await self.run_loop(fake, reader.poll)
        self.assertEqual(set(fake.indexes), {0})
        self.assertEqual(reader.view.zones, {'toledo'})

    async def test_interval_leaves_time_for_a_failed_read(self) -> None:
        """Guards against reading too rarely for a short bound."""
        for bound in (1.0, 5.0, 60.0):
            reader = evacuation_reader.EvacuationReader(
                evacuations.Evacuations((), 0),
                typing.cast(store.Store, FakeStore([])),
                bound,
            )
            self.assertLessEqual(reader.interval, min(0.4 * bound, 2))


class TestAgent(executor_case.ExecutorCase):
    """An agent whose zone is evacuated."""

    duration = 0.3

    async def asyncSetUp(self) -> None:
        """Guard the executor."""
        await super().asyncSetUp()
        self.reader = make_reader()[0]
        self.world.executor.commands.gate = zone_gate.ZoneGate(
            'toledo', self.reader
        )

    def evacuate(self, revision: int, *zones: str) -> None:
        """Receive the view of an entry."""
        self.world.executor.commands.gate.observe(
            messages.EvacuatedZones(revision, list(zones))
        )

    def reasons(self) -> list[messages.Refusal]:
        """Return why runs were refused."""
        return [
            each.reason for each in self.world.link.sent_of(messages.Refused)
        ]

    async def test_start_of_an_entry_with_an_older_view(self) -> None:
        """Guards against a start that only an entry could have prevented."""
        self.evacuate(9, 'toledo')
        self.evacuate(8)
        self.world.start_tasks(1)
        self.assertEqual(self.reasons(), [messages.Refusal.not_accepting])

    async def test_other_zone(self) -> None:
        """Guards against refusing for the evacuation of another zone."""
        self.evacuate(9, 'erie')
        self.world.start_tasks(1)
        await self.wait_for_results(1)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.done])

    async def test_start_that_waits_for_its_confirmation(self) -> None:
        """Guards against a start that was accepted before the evacuation."""
        self.world.link.is_confirmed.clear()
        self.world.start_tasks(1)
        await asyncio.sleep(0)
        self.evacuate(9, 'toledo')
        self.world.link.is_confirmed.set()
        await self.wait_for_results(1)
        self.assertEqual(self.reasons(), [messages.Refusal.not_accepting])
        self.assertEqual(self.world.endpoint.leased.started_runs, [])

    async def test_start_that_is_tried_again(self) -> None:
        """Guards against a second attempt after the evacuation."""
        calls = []

        async def refuse(*_details: object, **_more: object) -> endpoints.Reply:
            calls.append(1)
            self.evacuate(9, 'toledo')
            return endpoints.Reply(endpoints.RequestResult.fenced, 1)

        with mock.patch.object(self.world.endpoint, 'start', refuse):
            self.world.start_tasks(1)
            await self.wait_for_results(1)
        self.assertEqual(len(calls), 1)

    async def test_what_runs_goes_on(self) -> None:
        """Guards against stopping the runs of an evacuated zone."""
        self.world.start_tasks(2)
        await dispatch_world.wait_until(
            lambda: len(self.world.endpoint.leased.running) == 2
        )
        self.evacuate(9, 'toledo')
        await self.wait_for_results(2)
        self.assertEqual(self.world.outcomes(), [messages.Outcome.done] * 2)

    async def test_cold_endpoint_offers_a_part_after_the_return(self) -> None:
        """Guards against one burst on endpoints that are cold."""
        heartbeat = endpoints.decode_heartbeat(
            b'{"Service":"intake","State":"ready","Sequence":9,"born":1,'
            b'"Capacity":{"Cpu":4000,"RequestedMemoryMb":65536},'
            b'"ColdRemainingMs":9000}'
        )
        assert heartbeat is not None
        self.world.executor.observe_heartbeat(heartbeat)
        self.evacuate(9, 'toledo')
        self.evacuate(10)
        free = self.world.executor.free_capacity()
        self.assertEqual(free.cpu_millicores, 1000)

    async def test_message_of_an_entry_reaches_the_gate(self) -> None:
        """Guards against a view that the agent receives and drops."""
        config = typing.cast(
            settings_file.ProcessSettings, dispatch_world.AgentConfig()
        )
        subject = agent.Agent(config, self.world.executor)
        subject._handle_message(
            self.world.session, messages.EvacuatedZones(9, ['toledo'])
        )
        self.assertFalse(self.world.executor.is_accepting())
