"""Tests of key ownership between two agents."""

import typing
import unittest

from poplardrum import ids
from poplardrum.coordination import key_queries, records, views
from poplardrum.peers import messages
from tests import submission_model, submission_world

KEY: typing.Final = (ids.TenantName('lakeshore'), ids.IdempotencyKey('k'))
ATTEMPT: typing.Final = key_queries.SubmissionAttempt(
    is_first=False, retention_s=360
)
State = messages.RecordState


class KeyOwnershipTest(unittest.TestCase):
    """Guards against two owners of a key and against a key without one."""

    def setUp(self) -> None:
        """Start two agents; `high` ranks first for the key."""
        world = submission_world.World(2, 1, 1)
        agents = list(world.agents.values())
        agents.sort(key=lambda agent: views.score(*KEY, agent.name))
        self.low, self.high = agents

    def query(
        self,
        sender: submission_model.Agent,
        receiver: submission_model.Agent,
        *,
        read_only: bool = False,
    ) -> messages.RecordReply:
        """Return the reply of one agent to a query of the other."""
        own = sender.view.own
        query = messages.AskRecord(ids.RequestId(1), *KEY, own, 360, read_only)
        return receiver.key_ownership.answer_query(query, 1)

    def test_simultaneous_queries(self) -> None:
        """Guards against agents that query each other and both start."""
        lower = self.low.key_ownership.start_query(KEY, ATTEMPT, 0)
        higher = self.high.key_ownership.start_query(KEY, ATTEMPT, 0)
        self.assertEqual(lower.next_batch(), [self.high.name])
        self.assertEqual(higher.next_batch(), [self.low.name])
        reply_to_low = self.query(self.low, self.high)
        reply_to_high = self.query(self.high, self.low)
        lower.handle_reply(self.high.name, reply_to_low)
        higher.handle_reply(self.low.name, reply_to_high)
        self.assertIs(reply_to_low.state, State.owned)
        self.assertIs(reply_to_high.state, State.tombstone)
        self.assertIs(lower.outcome, key_queries.QueryOutcome.redirect)
        self.assertIs(higher.outcome, key_queries.QueryOutcome.unknown)

    def test_known_key(self) -> None:
        """Guards against a tombstone for a key that has a record."""
        record = records.Record(ids.JobId('j'), b'')
        self.low.records.add(KEY, record, 0)
        reply = self.query(self.high, self.low)
        self.assertIs(reply.state, State.owned)

    def test_tombstone(self) -> None:
        """Guards against ceding a key to two agents."""
        self.assertIs(self.query(self.high, self.low).state, State.tombstone)
        self.assertEqual(
            self.low.records.tombstone_owner(KEY, 2), self.high.name
        )
        again = self.query(self.low, self.low)
        self.assertIs(again.state, State.elsewhere)
        self.assertEqual(again.owner, self.high.name)

    def test_read_only_query(self) -> None:
        """Guards against a read-only query that prevents a start."""
        reply = self.query(self.high, self.low, read_only=True)
        self.assertIs(reply.state, State.tombstone)
        self.assertIsNone(self.low.records.tombstone_owner(KEY, 2))

    def test_closed(self) -> None:
        """Guards against a tombstone that is not handed over."""
        self.low.key_ownership.closed = True
        self.assertIs(self.query(self.high, self.low).state, State.unable)
        self.assertEqual(self.low.records.tombstones, {})
