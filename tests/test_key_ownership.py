"""Tests of the decision which of two agents may start a key."""

import typing
import unittest

from poplardrum import errors, ids
from poplardrum.coordination import (
    key_ownership,
    key_queries,
    records,
    stability,
    views,
)
from poplardrum.peers import messages
from tests import submission_model

KEY: typing.Final = (ids.TenantName('lakeshore'), ids.IdempotencyKey('k'))
RETENTION_S: typing.Final = 360.0
NOW: typing.Final = 1000.0


def rank_agents() -> list[messages.Member]:
    """Return two agents, the one that ranks higher for the key first."""
    members = [
        submission_model.member(name, messages.Role.agent, 1)
        for name in ('agent-0', 'agent-1')
    ]
    return views.rank(*KEY, members)


class QueryInProgressTest(unittest.TestCase):
    """Guards against two agents that both start a key.

    The lower ranked agent has asked the higher ranked one, and the reply says
    that the key may start here. The query is still registered, as its task
    runs in a later iteration of the event loop.
    """

    def setUp(self) -> None:
        """Complete a query of the lower ranked agent."""
        self.higher, self.lower = rank_agents()
        view = views.MembershipView(self.lower)
        view.merge([self.higher])
        self.records = records.RecordTable(10, window_s=300)
        self.ownership = key_ownership.KeyOwnership(
            view, self.records, stability.StabilityTracker(0, lease_s=4.5)
        )
        attempt = key_queries.SubmissionAttempt(
            is_first=True, retention_s=RETENTION_S
        )
        self.query = self.ownership.start_query(KEY, attempt, NOW)
        self.query.next_batch()

    def ask(self) -> messages.RecordState:
        """Return the state that the higher ranked agent is told."""
        return self.ownership.answer_query(
            messages.AskRecord(
                ids.RequestId(2), *KEY, self.higher, RETENTION_S
            ),
            NOW,
        ).state

    def test_decided_key_is_not_ceded(self) -> None:
        """Guards against a tombstone for a key that is about to start here."""
        self.query.handle_reply(
            self.higher.id,
            messages.RecordReply(
                ids.RequestId(1),
                messages.RecordState.tombstone,
                ids.Incarnation('i'),
                stable=True,
                owner=None,
                clean=True,
            ),
        )
        self.assertIs(self.query.outcome, key_queries.QueryOutcome.unknown)
        self.assertIs(self.ask(), messages.RecordState.owned)
        self.assertEqual(self.records.tombstones, {})

    def test_undecided_key_is_ceded(self) -> None:
        """Guards against a key that neither agent starts."""
        self.assertIs(self.ask(), messages.RecordState.tombstone)
        self.assertIs(self.query.outcome, key_queries.QueryOutcome.redirect)
        self.assertEqual(self.query.owner, self.higher.id)

    def test_ceded_key_gets_no_record(self) -> None:
        """Guards against a record that breaks the promise of a tombstone."""
        self.ask()
        record = records.Record(ids.JobId('j'), b'digest')
        with self.assertRaises(errors.PoplardrumError) as caught:
            self.records.add(KEY, record, NOW)
        self.assertIs(caught.exception.verdict, errors.Verdict.not_run)
        self.assertIsNone(self.records.get(KEY))
        after = NOW + RETENTION_S
        self.records.add(KEY, record, after)
        self.assertEqual(self.records.tombstones, {})
