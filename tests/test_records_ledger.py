"""Ties, tombstones and closed ledgers between two agents."""

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


class LedgerTest(unittest.TestCase):
    """Guards against two owners of a key, and against none."""

    def setUp(self) -> None:
        """Start two agents; `high` ranks first for the key."""
        world = submission_world.World(2, 1, 1)
        agents = list(world.agents.values())
        agents.sort(key=lambda agent: views.score(*KEY, agent.name))
        self.low, self.high = agents

    def ask(
        self,
        asker: submission_model.Agent,
        asked: submission_model.Agent,
        *,
        peek: bool = False,
    ) -> messages.RecordReply:
        """Let one agent ask the other."""
        own = asker.view.own
        ask = messages.AskRecord(ids.RequestId(1), *KEY, own, 360, peek)
        return asked.key_ownership.answer_query(ask, 1)

    def test_tie(self) -> None:
        """Guards against agents that ask each other and both go on."""
        lower = self.low.key_ownership.start_query(KEY, ATTEMPT, 0)
        higher = self.high.key_ownership.start_query(KEY, ATTEMPT, 0)
        self.assertEqual(lower.next_batch(), [self.high.name])
        self.assertEqual(higher.next_batch(), [self.low.name])
        to_low = self.ask(self.low, self.high)
        to_high = self.ask(self.high, self.low)
        lower.handle_reply(self.high.name, to_low)
        higher.handle_reply(self.low.name, to_high)
        self.assertIs(to_low.state, State.owned)
        self.assertIs(to_high.state, State.tombstone)
        self.assertIs(lower.outcome, key_queries.QueryOutcome.redirect)
        self.assertIs(higher.outcome, key_queries.QueryOutcome.unknown)

    def test_known_key(self) -> None:
        """Guards against a tombstone for a key that was started."""
        record = records.Record(ids.JobId('j'), b'')
        self.low.records.add(KEY, record, 0)
        reply = self.ask(self.high, self.low)
        self.assertIs(reply.state, State.owned)

    def test_tombstone(self) -> None:
        """Guards against a promise to two agents."""
        self.assertIs(self.ask(self.high, self.low).state, State.tombstone)
        self.assertEqual(
            self.low.records.tombstone_owner(KEY, 2), self.high.name
        )
        again = self.ask(self.low, self.low)
        self.assertIs(again.state, State.elsewhere)
        self.assertEqual(again.owner, self.high.name)

    def test_peek(self) -> None:
        """Guards against a fetch that keeps a key from starting."""
        reply = self.ask(self.high, self.low, peek=True)
        self.assertIs(reply.state, State.tombstone)
        self.assertIsNone(self.low.records.tombstone_owner(KEY, 2))

    def test_closed(self) -> None:
        """Guards against a promise that the hand-over does not carry."""
        self.low.key_ownership.closed = True
        self.assertIs(self.ask(self.high, self.low).state, State.unable)
        self.assertEqual(self.low.records.tombstones, {})
