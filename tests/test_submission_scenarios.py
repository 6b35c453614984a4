"""Histories of the model in which one rule alone prevents a second start."""

import asyncio
import types
import typing
import unittest

from poplardrum import errors, ids
from poplardrum.coordination import records, views
from poplardrum.daemons import handover
from poplardrum.peers import messages
from tests import submission_stops, submission_world

E0: typing.Final = ids.MemberId('e0')
E1: typing.Final = ids.MemberId('e1')


class ScenarioTest(unittest.TestCase):
    """Guards against second starts that random histories reach rarely."""

    def setUp(self) -> None:
        """Start four stable agents; name them by their rank for one key."""
        self.world = submission_world.World(4, 2, 1)
        self.world.advance(400)
        self.key = self.world.keys[0]
        agents = [agent.view.own for agent in self.world.agents.values()]
        ranked = views.rank(*self.key, agents)
        self.ranked = [member.id for member in ranked]
        self.top, self.second = self.ranked[:2]

    def complete(self, entry: ids.MemberId) -> None:
        """Submit through an entry; unanswered requests time out."""
        self.world.submit(self.key, entry)
        for _ in range(4):
            self.world.deliver_all()
            for agent in self.world.agents.values():
                for number in list(agent.pending):
                    agent.fail_request(number)

    def cut_top(self) -> None:
        """Partition the top agent from the second and, undetected, from e0."""
        self.world.blocked |= {frozenset((self.top, self.second))}
        self.world.blocked |= {frozenset((self.top, E0))}
        self.world.reset(E0, self.top)

    def test_break_at_one_end(self) -> None:
        """Guards against passing over an agent that counts as stable."""
        self.cut_top()
        self.complete(E0)
        self.assertEqual(self.world.starts[self.key], 0)
        self.complete(E1)
        self.assertEqual(self.world.starts[self.key], 1)

    def test_passed_over_unnoticed(self) -> None:
        """Guards against an agent that does not know it was passed over."""
        self.cut_top()
        self.world.advance(6)
        self.complete(E0)
        self.assertEqual(self.world.starts[self.key], 1)
        self.complete(E1)
        self.assertEqual(self.world.starts[self.key], 1)

    def test_return_from_leaving(self) -> None:
        """Guards against trust in an agent that a hand-over skipped."""
        self.complete(E0)
        self.world.finish(self.top, self.key)
        submission_stops.set_leaving(self.world, self.second, leaving=True)
        self.assertTrue(submission_stops.stop(self.world, self.top))
        submission_stops.set_leaving(self.world, self.second, leaving=False)
        self.world.start_agent(self.top, clean=True)
        self.world.connect(E0, self.top)
        self.complete(E0)
        self.assertEqual(self.world.starts[self.key], 1)

    def test_top_agent_is_back(self) -> None:
        """Guards against a start by a new agent that ranks first."""
        self.assertTrue(submission_stops.stop(self.world, self.top))
        self.complete(E0)
        self.world.start_agent(self.top, clean=True)
        self.world.connect(E1, self.top)
        self.complete(E1)
        self.assertEqual(self.world.starts[self.key], 1)
        self.world.advance(200)
        self.complete(E1)
        self.assertEqual(self.world.starts[self.key], 1)

    def test_hand_over(self) -> None:
        """Guards against tombstones and answers that a stop loses."""
        agent = self.world.agents[self.top]
        answer = messages.Answer(
            ids.JobId('j'),
            errors.Code.ok,
            errors.Verdict.ran,
        )
        agent.records.add(self.key, records.Record(answer.job, b'd'), 400)
        agent.records.finish_record(self.key, answer, 400)
        tombstone_key = (self.key[0], ids.IdempotencyKey('buried'))
        owner = ids.MemberId('elsewhere')
        agent.records.add_tombstone(tombstone_key, owner, 800, 400)
        self.assertTrue(submission_stops.stop(self.world, self.top))
        others = list(self.world.agents.values())
        taken = self.world.agents[self.second].records.get(self.key)
        self.assertEqual(taken and taken.answer, answer)
        self.assertEqual(
            [
                other.records.tombstone_owner(tombstone_key, 799)
                for other in others
            ].count(owner),
            1,
        )

    def test_unfinished_job(self) -> None:
        """Guards against a hand-over that is complete despite a running job."""
        agent = self.world.agents[self.top]
        process = types.SimpleNamespace(
            member=agent.view.own,
            submissions=agent,
            ready_agents=list,
        )
        stopped = typing.cast(typing.Any, process)
        self.assertTrue(asyncio.run(handover.hand_over(stopped)))
        agent.records.add(self.key, records.Record(ids.JobId('j'), b'd'), 400)
        self.assertFalse(asyncio.run(handover.hand_over(stopped)))

    def test_batches(self) -> None:
        """Guards against messages that block a link for long."""
        item = messages.TransferredTombstone(*self.key, ids.MemberId('a'), 1)
        sizes = [
            len(batch) for batch in handover.split_into_batches([item] * 1200)
        ]
        self.assertEqual(sizes, [500, 500, 200])
