"""Tests of records, tombstones, stability tracking and key queries."""

import typing
import unittest

from poplardrum import errors, ids
from poplardrum.coordination import key_queries, records, stability
from poplardrum.peers import messages

KEY: typing.Final = (ids.TenantName('lakeshore'), ids.IdempotencyKey('k'))
OTHER_KEY: typing.Final = (ids.TenantName('lakeshore'), ids.IdempotencyKey('o'))
ENTRY: typing.Final = ids.MemberId('entry-0')
RANKED: typing.Final = [ids.MemberId(name) for name in 'abcde']
State = messages.RecordState
Outcome = key_queries.QueryOutcome


def make_answer(output: str = '') -> messages.Answer:
    """Return the answer of a job with one task."""
    verdict = errors.Verdict.ran
    task = messages.TaskOutcome(verdict, errors.Code.ok, output)
    return messages.Answer(
        ids.JobId('j'),
        errors.Code.ok,
        verdict,
        tasks=[task],
    )


def make_record() -> records.Record:
    """Return a record of a running job."""
    return records.Record(ids.JobId('j'), b'digest')


def make_reply(
    state: messages.RecordState = State.tombstone,
    owner: str | None = None,
    *,
    stable: bool = False,
    clean: bool = True,
) -> messages.RecordReply:
    """Return a reply of an agent to a key query."""
    return messages.RecordReply(
        ids.RequestId(1),
        state,
        ids.Incarnation('i'),
        stable,
        None if owner is None else ids.MemberId(owner),
        clean,
    )


def make_query(
    own: str,
    *,
    is_first: bool = False,
    stable: bool = True,
    clean: bool = True,
    unreachable: str = '',
) -> key_queries.KeyQuery:
    """Return a query of one of the agents a to e, which rank in this order."""
    return key_queries.KeyQuery(
        ids.MemberId(own),
        RANKED,
        key_queries.SubmissionAttempt(
            is_first,
            retention_s=360,
            unreachable=frozenset(map(ids.MemberId, unreachable)),
        ),
        key_queries.AgentGuarantees(stable, clean),
    )


def run(
    query: key_queries.KeyQuery,
    replies: typing.Mapping[str, messages.RecordReply | None],
) -> key_queries.QueryOutcome | None:
    """Run a query to its outcome.

    Agents without a reply cannot be reached.
    """
    while query.outcome is None:
        for member in query.next_batch():
            reply = replies.get(member)
            if reply is None:
                query.handle_failure(member)
            else:
                query.handle_reply(member, reply)
    return query.outcome


class Case(typing.NamedTuple):
    """A query, the replies to it and the expected outcome."""

    name: str
    query: key_queries.KeyQuery
    replies: typing.Mapping[str, messages.RecordReply | None]
    outcome: key_queries.QueryOutcome
    owner: str | None = None


TOMBSTONE: typing.Final = make_reply()
CASES: typing.Final = (
    Case('highest and stable', make_query('a'), {}, Outcome.unknown),
    Case(
        'first at a new agent',
        make_query('a', is_first=True, stable=False, clean=False),
        {},
        Outcome.unknown,
    ),
    Case('not clean', make_query('a', clean=False), {}, Outcome.indeterminate),
    Case('higher is unreachable', make_query('b'), {}, Outcome.indeterminate),
    Case(
        'first, higher may be stable',
        make_query('b', is_first=True),
        {},
        Outcome.undecided,
    ),
    Case(
        'first, higher may be passed over',
        make_query('b', is_first=True, unreachable='a'),
        {},
        Outcome.unknown,
    ),
    Case(
        'higher owns the key',
        make_query('b'),
        {'a': make_reply(State.owned)},
        Outcome.redirect,
        'a',
    ),
    Case(
        'higher is full',
        make_query('b'),
        {'a': make_reply(State.unable)},
        Outcome.indeterminate,
    ),
    Case(
        'first, higher is full',
        make_query('b', is_first=True),
        {'a': make_reply(State.unable)},
        Outcome.undecided,
    ),
    Case(
        'higher restarted',
        make_query('b'),
        {'a': make_reply(clean=False)},
        Outcome.indeterminate,
    ),
    Case(
        'first, higher restarted',
        make_query('b', is_first=True),
        {'a': make_reply(clean=False)},
        Outcome.indeterminate,
    ),
    Case(
        'queries down to a stable agent',
        make_query('a', stable=False),
        {'b': TOMBSTONE, 'c': make_reply(stable=True)},
        Outcome.unknown,
    ),
    Case(
        'a tombstone leads past the owner to a stable agent',
        make_query('b', stable=False),
        {
            'a': make_reply(State.elsewhere, 'd'),
            'c': make_reply(State.owned),
            'd': make_reply(stable=True),
        },
        Outcome.redirect,
        'c',
    ),
    Case(
        'a lower one is unreachable',
        make_query('a', stable=False),
        {'b': TOMBSTONE},
        Outcome.indeterminate,
    ),
    Case(
        'the lowest owns the key',
        make_query('a', stable=False),
        {
            'b': TOMBSTONE,
            'c': TOMBSTONE,
            'd': TOMBSTONE,
            'e': make_reply(State.owned),
        },
        Outcome.redirect,
        'e',
    ),
    Case(
        'a stable higher one suffices',
        make_query('b', stable=False),
        {'a': make_reply(stable=True)},
        Outcome.unknown,
    ),
    Case(
        'tombstone to an owner',
        make_query('b'),
        {'a': make_reply(State.elsewhere, 'd'), 'd': make_reply(State.owned)},
        Outcome.redirect,
        'd',
    ),
    Case(
        'owner of a tombstone has ceded the key',
        make_query('b'),
        {'a': make_reply(State.elsewhere, 'd'), 'd': TOMBSTONE},
        Outcome.unknown,
    ),
    Case(
        'owner of a tombstone is unreachable',
        make_query('b'),
        {'a': make_reply(State.elsewhere, 'd')},
        Outcome.indeterminate,
    ),
    Case(
        'first, owner of a tombstone is unreachable',
        make_query('b', is_first=True),
        {'a': make_reply(State.elsewhere, 'd')},
        Outcome.indeterminate,
    ),
    Case(
        'owner of a tombstone is not known',
        make_query('b'),
        {'a': make_reply(State.elsewhere, 'z')},
        Outcome.indeterminate,
    ),
    Case(
        'owner of a tombstone is the querying agent',
        make_query('b'),
        {'a': make_reply(State.elsewhere, 'b')},
        Outcome.unknown,
    ),
)


class KeyQueryTest(unittest.TestCase):
    """Guards against starting a key that another agent may have started."""

    def test_outcomes(self) -> None:
        """Guards against a wrong outcome for each combination of replies."""
        for case in CASES:
            with self.subTest(case.name):
                outcome = run(case.query, case.replies)
                self.assertEqual(outcome, case.outcome)
                self.assertEqual(case.query.owner, case.owner)

    def test_redirect_is_final(self) -> None:
        """Guards against a start after the key was ceded to another agent."""
        query = make_query('b')
        query.redirect_to(ids.MemberId('a'))
        query.handle_reply(ids.MemberId('a'), TOMBSTONE)
        self.assertIs(query.outcome, Outcome.redirect)


class StabilityTest(unittest.TestCase):
    """Guards against an agent that was passed over without noticing."""

    def setUp(self) -> None:
        """Start an agent at 0 s with one entry that received its frames."""
        self.tracker = stability.StabilityTracker(0, lease_s=4.5)
        self.entries = frozenset((ENTRY,))
        self.tracker.record_echo(ENTRY, 399)

    def is_stable(self, now: float) -> bool:
        """Return whether the agent is stable for 360 s."""
        return self.tracker.is_stable(now, 360, self.entries)

    def test_start(self) -> None:
        """Guards against a stable agent right after its start."""
        self.assertTrue(self.is_stable(400))
        self.tracker.record_echo(ENTRY, 359)
        self.assertFalse(self.is_stable(359.5))

    def test_lost_link(self) -> None:
        """Guards against a stable agent after an entry lost its link."""
        self.tracker.record_link_down(ENTRY, 400, planned=False)
        self.tracker.record_echo(ENTRY, 500)
        self.assertFalse(self.is_stable(500))
        self.tracker.record_echo(ENTRY, 760)
        self.assertTrue(self.is_stable(761))

    def test_planned_stop_of_entry(self) -> None:
        """Guards against an unstable agent after a planned stop of an entry."""
        self.tracker.record_link_down(ENTRY, 400, planned=True)
        self.assertTrue(self.tracker.is_stable(401, 360, frozenset()))

    def test_unnoticed_loss(self) -> None:
        """Guards against a stable agent after a pause.

        The links may be broken without the agent having noticed it.
        """
        self.assertFalse(self.is_stable(405))

    def test_replaced_link(self) -> None:
        """Guards against a lost link that only the entry has noticed."""
        self.tracker.record_link_up(ENTRY, 400)
        self.tracker.record_echo(ENTRY, 400)
        self.assertFalse(self.is_stable(401))

    def test_entry_without_link(self) -> None:
        """Guards against a stable agent while a known entry has no link."""
        self.entries |= {ids.MemberId('entry-1')}
        self.assertFalse(self.is_stable(400))

    def test_clean(self) -> None:
        """Guards against an unknown earlier incarnation."""
        self.assertFalse(self.tracker.is_clean(359, 360))
        self.assertTrue(self.tracker.is_clean(360, 360))


class RecordsTest(unittest.TestCase):
    """Guards against records that are removed early or never."""

    def test_record_limit(self) -> None:
        """Guards against eviction: a full table must refuse new keys."""
        table = records.RecordTable(1, window_s=300)
        table.add(KEY, make_record(), 0)
        table.finish_record(KEY, make_answer(), 10)
        with self.assertRaises(errors.PoplardrumError) as caught:
            table.add(OTHER_KEY, make_record(), 100)
        self.assertIs(caught.exception.verdict, errors.Verdict.not_run)
        self.assertEqual(caught.exception.retry_after, 210)
        self.assertIsNotNone(table.get(KEY))
        table.add(OTHER_KEY, make_record(), 310)
        self.assertIsNone(table.get(KEY))

    def test_answer_bytes_limit(self) -> None:
        """Guards against answers that exceed the memory limit."""
        table = records.RecordTable(
            10, window_s=300, max_total_answer_bytes=1000
        )
        table.add(KEY, make_record(), 0)
        table.finish_record(KEY, make_answer('x' * 1000), 0)
        with self.assertRaises(errors.PoplardrumError):
            table.add(OTHER_KEY, make_record(), 1)
        table.remove_expired(300)
        self.assertEqual(table.answer_bytes, 0)
        table.add(OTHER_KEY, make_record(), 301)

    def test_running_job_does_not_expire(self) -> None:
        """Guards against a second start of a long-running job."""
        table = records.RecordTable(10, window_s=300)
        table.add(KEY, make_record(), 0)
        table.remove_expired(10_000)
        self.assertIsNotNone(table.get(KEY))

    def test_tombstones(self) -> None:
        """Guards against tombstones that are removed before they expire."""
        table = records.RecordTable(1, window_s=300)
        owner = ids.MemberId('a')
        self.assertTrue(table.add_tombstone(KEY, owner, 360, 0))
        self.assertFalse(table.add_tombstone(OTHER_KEY, owner, 400, 100))
        self.assertTrue(table.add_tombstone(KEY, owner, 300, 100))
        self.assertEqual(table.tombstone_owner(KEY, 359), owner)
        self.assertIsNone(table.tombstone_owner(KEY, 360))
        self.assertTrue(table.add_tombstone(OTHER_KEY, owner, 800, 361))
