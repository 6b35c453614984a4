"""The index of agents by speed and room, under changes in any order."""

import random
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.dispatch import (
    connections,
    fleet,
    messages,
    placement,
    room_index,
)
from tests import dispatch_world, profiles

CAPACITY: typing.Final = messages.Resources(16000, 65536, 0)
DEMAND: typing.Final = messages.Resources(2500, 64, 0)
SPEEDS: typing.Final = (0.6, 1.0, 1.6)
ZONES: typing.Final = ('toledo', 'erie')


def connect(
    index: room_index.RoomIndex, number: int, free: int = 16000
) -> fleet.Agent:
    """Return an agent that is listed in an index."""
    agent = fleet.Agent(
        f'side-{number}', ZONES[number % 2], ids.new_incarnation()
    )
    agent.on_change = index.update
    agent.on_connected(typing.cast(connections.Link, dispatch_world.FakeLink()))
    agent.apply_load(make_load(free, SPEEDS[number % 3]))
    return agent


def make_load(
    free: int, slowness: float, accepting: bool = True
) -> messages.Load:
    """Return a load report."""
    return messages.Load(
        0,
        accepting,
        messages.Resources(free, 65536, 0),
        CAPACITY,
        slowness,
        'intake',
        [],
    )


Change = tuple[int, str, int]
CHANGES: typing.Final = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.sampled_from(('load', 'full', 'stop', 'lose', 'reserve')),
        strategies.integers(-3000, 24000),
    ),
    max_size=40,
)


def apply_change(agent: fleet.Agent, change: str, free: int) -> None:
    """Change an agent as messages and losses of its link do."""
    if change == 'lose':
        agent.on_disconnected()
        return
    if agent.link is None:
        agent.on_connected(
            typing.cast(connections.Link, dispatch_world.FakeLink())
        )
    if change == 'reserve':
        agent.reserve(DEMAND, 1)
        return
    agent.apply_load(
        make_load(0 if change == 'full' else free, 1.0, change != 'stop')
    )


class TestRoomIndex(unittest.TestCase):
    """What the index lists."""

    @profiles.settings()
    @hypothesis.given(CHANGES)
    def test_index_follows_its_agents(self, changes: list[Change]) -> None:
        """Guards against agents that are listed twice, late or for ever."""
        index = room_index.RoomIndex('toledo', random.Random(1))
        agents = [connect(index, number) for number in range(10)]
        for number, change, free in changes:
            apply_change(agents[number], change, free)
        usable = [agent for agent in agents if agent.is_usable()]
        listed: list[fleet.Agent] = []
        for speed in index.speeds('intake'):
            listed += index.by_room('intake', speed, 0, own_zone=True)
            listed += index.by_room('intake', speed, 0, own_zone=False)
        self.assertCountEqual(listed, usable)
        self.assertEqual(index.usable_count(), len(usable))
        self.assertEqual(
            index.min_slowness(),
            min((agent.slowness for agent in usable), default=1.0),
        )
        for agent in usable:
            self.assertLess(
                agent.free.cpu_millicores, index.max_free_cpu('intake')
            )

    @profiles.settings()
    @hypothesis.given(CHANGES, strategies.integers(1, 80))
    def test_all_room_is_found(self, changes: list[Change], count: int) -> None:
        """Guards against jobs that wait although endpoints have room."""
        index = room_index.RoomIndex('toledo', random.Random(1))
        agents = [connect(index, number) for number in range(10)]
        for number, change, free in changes:
            apply_change(agents[number], change, free)
        room = sum(
            agent.count_fitting(DEMAND) for agent in agents if agent.is_usable()
        )
        request = placement.PlacementRequest(DEMAND, count, 'intake')
        placed = sum(
            taken for _, taken in placement.choose_agents(index, request)
        )
        self.assertEqual(placed, min(room, count))

    def test_lost_agents_leave_nothing(self) -> None:
        """Guards against agents that have been replaced and stay listed."""
        index = room_index.RoomIndex('toledo')
        for number in range(1000):
            connect(index, number).on_disconnected()
        self.assertEqual(index.positions, {})
        self.assertEqual(index.services, {})

    def test_equally_free_agents_are_spread(self) -> None:
        """Guards against entries that all choose the same endpoint.

        Pattern: many entries place at once on the same view of the fleet.
        """
        chosen = set()
        for seed in range(20):
            index = room_index.RoomIndex('toledo', random.Random(seed))
            for number in range(0, 60, 6):
                connect(index, number)
            request = placement.PlacementRequest(DEMAND, 1, 'intake')
            chosen.add(placement.choose_agents(index, request)[0][0].node)
        self.assertGreater(len(chosen), 4)


class TestCostOfDecisions(unittest.TestCase):
    """Decisions do not look through the fleet."""

    def count_looks(self, agent_count: int, free: int) -> int:
        """Return how many agents one decision looks at."""
        index = room_index.RoomIndex('toledo', random.Random(1))
        original = fleet.Agent.is_usable

        def is_usable(agent: fleet.Agent) -> bool:
            looked.append(agent)
            return original(agent)

        looked: list[fleet.Agent] = []
        for number in range(agent_count):
            connect(index, number, free)
        request = placement.PlacementRequest(DEMAND, 8, 'intake')
        with mock.patch.object(fleet.Agent, 'is_usable', is_usable):
            placement.choose_agents(index, request)
        return len(looked)

    def test_full_fleet_costs_nothing(self) -> None:
        """Guards against waiting jobs that search a full fleet."""
        self.assertEqual(self.count_looks(700, 0), 0)

    def test_large_fleet_costs_as_much_as_a_small_one(self) -> None:
        """Guards against decisions that take longer in a larger fleet."""
        self.assertEqual(
            self.count_looks(700, 16000), self.count_looks(70, 16000)
        )
