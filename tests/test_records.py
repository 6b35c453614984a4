"""Records, tombstones, stability and inquiries, each on its own."""

import typing
import unittest

from poplardrum import errors, ids
from poplardrum.coordination import key_queries, records, stability
from poplardrum.peers import messages

KEY: typing.Final = (ids.TenantName('lakeshore'), ids.IdempotencyKey('k'))
OTHER: typing.Final = (ids.TenantName('lakeshore'), ids.IdempotencyKey('o'))
ENTRY: typing.Final = ids.MemberId('entry-0')
RANKED: typing.Final = [ids.MemberId(name) for name in 'abcde']
State = messages.RecordState
Outcome = key_queries.QueryOutcome


def answer(output: str = '') -> messages.Answer:
    """Return the answer of a job with one task."""
    verdict = errors.Verdict.ran
    task = messages.TaskOutcome(verdict, errors.Code.ok, output)
    return messages.Answer(
        ids.JobId('j'),
        errors.Code.ok,
        verdict,
        tasks=[task],
    )


def record() -> records.Record:
    """Return a record of a running job."""
    return records.Record(ids.JobId('j'), b'digest')


def reply(
    state: messages.RecordState = State.tombstone,
    owner: str | None = None,
    *,
    stable: bool = False,
    clean: bool = True,
) -> messages.RecordReply:
    """Return a reply of an agent."""
    return messages.RecordReply(
        ids.RequestId(1),
        state,
        ids.Incarnation('i'),
        stable,
        None if owner is None else ids.MemberId(owner),
        clean,
    )


def inquiry(
    own: str,
    *,
    first: bool = False,
    stable: bool = True,
    clean: bool = True,
    unreachable: str = '',
) -> key_queries.KeyQuery:
    """Return an inquiry of one of the agents a to e, ranked so."""
    return key_queries.KeyQuery(
        ids.MemberId(own),
        RANKED,
        key_queries.SubmissionAttempt(
            first,
            retention_s=360,
            unreachable=frozenset(map(ids.MemberId, unreachable)),
        ),
        key_queries.AgentGuarantees(stable, clean),
    )


def run(
    subject: key_queries.KeyQuery,
    replies: typing.Mapping[str, messages.RecordReply | None],
) -> key_queries.QueryOutcome | None:
    """Answer all questions; an agent without a reply is out of reach."""
    while subject.outcome is None:
        for member in subject.next_batch():
            found = replies.get(member)
            if found is None:
                subject.handle_failure(member)
            else:
                subject.handle_reply(member, found)
    return subject.outcome


class Case(typing.NamedTuple):
    """One inquiry and its expected outcome."""

    name: str
    subject: key_queries.KeyQuery
    replies: typing.Mapping[str, messages.RecordReply | None]
    outcome: key_queries.QueryOutcome
    owner: str | None = None


FREE: typing.Final = reply()
CASES: typing.Final = (
    Case('highest and stable', inquiry('a'), {}, Outcome.unknown),
    Case(
        'first at a new agent',
        inquiry('a', first=True, stable=False, clean=False),
        {},
        Outcome.unknown,
    ),
    Case('unclean start', inquiry('a', clean=False), {}, Outcome.indeterminate),
    Case('higher is lost', inquiry('b'), {}, Outcome.indeterminate),
    Case(
        'first, higher may be stable',
        inquiry('b', first=True),
        {},
        Outcome.undecided,
    ),
    Case(
        'first, higher is passable',
        inquiry('b', first=True, unreachable='a'),
        {},
        Outcome.unknown,
    ),
    Case(
        'higher has it',
        inquiry('b'),
        {'a': reply(State.owned)},
        Outcome.redirect,
        'a',
    ),
    Case(
        'higher is full',
        inquiry('b'),
        {'a': reply(State.unable)},
        Outcome.indeterminate,
    ),
    Case(
        'first, higher is full',
        inquiry('b', first=True),
        {'a': reply(State.unable)},
        Outcome.undecided,
    ),
    Case(
        'higher restarted',
        inquiry('b'),
        {'a': reply(clean=False)},
        Outcome.indeterminate,
    ),
    Case(
        'first, higher restarted',
        inquiry('b', first=True),
        {'a': reply(clean=False)},
        Outcome.indeterminate,
    ),
    Case(
        'asks down to a stable agent',
        inquiry('a', stable=False),
        {'b': FREE, 'c': reply(stable=True)},
        Outcome.unknown,
    ),
    Case(
        'a tombstone leads past the owner to a stable agent',
        inquiry('b', stable=False),
        {
            'a': reply(State.elsewhere, 'd'),
            'c': reply(State.owned),
            'd': reply(stable=True),
        },
        Outcome.redirect,
        'c',
    ),
    Case(
        'a lower one is lost',
        inquiry('a', stable=False),
        {'b': FREE},
        Outcome.indeterminate,
    ),
    Case(
        'the lowest has it',
        inquiry('a', stable=False),
        {'b': FREE, 'c': FREE, 'd': FREE, 'e': reply(State.owned)},
        Outcome.redirect,
        'e',
    ),
    Case(
        'a stable higher one is enough',
        inquiry('b', stable=False),
        {'a': reply(stable=True)},
        Outcome.unknown,
    ),
    Case(
        'tombstone to an owner',
        inquiry('b'),
        {'a': reply(State.elsewhere, 'd'), 'd': reply(State.owned)},
        Outcome.redirect,
        'd',
    ),
    Case(
        'its owner has yielded',
        inquiry('b'),
        {'a': reply(State.elsewhere, 'd'), 'd': FREE},
        Outcome.unknown,
    ),
    Case(
        'its owner is lost',
        inquiry('b'),
        {'a': reply(State.elsewhere, 'd')},
        Outcome.indeterminate,
    ),
    Case(
        'first, its owner is lost',
        inquiry('b', first=True),
        {'a': reply(State.elsewhere, 'd')},
        Outcome.indeterminate,
    ),
    Case(
        'its owner is not known',
        inquiry('b'),
        {'a': reply(State.elsewhere, 'z')},
        Outcome.indeterminate,
    ),
    Case(
        'its owner is the asker',
        inquiry('b'),
        {'a': reply(State.elsewhere, 'b')},
        Outcome.unknown,
    ),
)


class InquiryTest(unittest.TestCase):
    """Guards against a start while another agent may have started the key."""

    def test_outcomes(self) -> None:
        """Guards against a wrong outcome of each kind of reply."""
        for case in CASES:
            with self.subTest(case.name):
                outcome = run(case.subject, case.replies)
                self.assertEqual(outcome, case.outcome)
                self.assertEqual(case.subject.owner, case.owner)

    def test_yields_once(self) -> None:
        """Guards against a start after yielding to a higher rank."""
        subject = inquiry('b')
        subject.redirect_to(ids.MemberId('a'))
        subject.handle_reply(ids.MemberId('a'), FREE)
        self.assertIs(subject.outcome, Outcome.redirect)


class StabilityTest(unittest.TestCase):
    """Guards against an agent that was passed over and does not know it."""

    def setUp(self) -> None:
        """Start an agent at 0 s with one entry that hears of it."""
        self.subject = stability.StabilityTracker(0, lease_s=4.5)
        self.entries = frozenset((ENTRY,))
        self.subject.record_echo(ENTRY, 399)

    def stable(self, now: float) -> bool:
        """Tell whether the agent is stable for 360 s."""
        return self.subject.is_stable(now, 360, self.entries)

    def test_start(self) -> None:
        """Guards against trust in an agent that has just started."""
        self.assertTrue(self.stable(400))
        self.subject.record_echo(ENTRY, 359)
        self.assertFalse(self.stable(359.5))

    def test_lost_link(self) -> None:
        """Guards against trust right after an entry lost its link."""
        self.subject.record_link_down(ENTRY, 400, planned=False)
        self.subject.record_echo(ENTRY, 500)
        self.assertFalse(self.stable(500))
        self.subject.record_echo(ENTRY, 760)
        self.assertTrue(self.stable(761))

    def test_planned_stop_of_entry(self) -> None:
        """Guards against distrust after each planned stop of an entry."""
        self.subject.record_link_down(ENTRY, 400, planned=True)
        self.assertTrue(self.subject.is_stable(401, 360, frozenset()))

    def test_unnoticed_loss(self) -> None:
        """Guards against trust after a pause, before links are found dead."""
        self.assertFalse(self.stable(405))

    def test_replaced_link(self) -> None:
        """Guards against a loss that only the entry has noticed."""
        self.subject.record_link_up(ENTRY, 400)
        self.subject.record_echo(ENTRY, 400)
        self.assertFalse(self.stable(401))

    def test_entry_without_link(self) -> None:
        """Guards against trust while a known entry has no link."""
        self.entries |= {ids.MemberId('entry-1')}
        self.assertFalse(self.stable(400))

    def test_clean(self) -> None:
        """Guards against an unknown predecessor within the hold time."""
        self.assertFalse(self.subject.is_clean(359, 360))
        self.assertTrue(self.subject.is_clean(360, 360))


class RecordsTest(unittest.TestCase):
    """Guards against records that are dropped early or kept without end."""

    def test_count_bound(self) -> None:
        """Guards against eviction: a full table refuses new keys."""
        kept = records.RecordTable(1, window_s=300)
        kept.add(KEY, record(), 0)
        kept.finish_record(KEY, answer(), 10)
        with self.assertRaises(errors.PoplardrumError) as caught:
            kept.add(OTHER, record(), 100)
        self.assertIs(caught.exception.verdict, errors.Verdict.not_run)
        self.assertEqual(caught.exception.retry_after, 210)
        self.assertIsNotNone(kept.get(KEY))
        kept.add(OTHER, record(), 310)
        self.assertIsNone(kept.get(KEY))

    def test_byte_bound(self) -> None:
        """Guards against answers that outgrow their memory."""
        kept = records.RecordTable(10, window_s=300, max_answer_bytes=1000)
        kept.add(KEY, record(), 0)
        kept.finish_record(KEY, answer('x' * 1000), 0)
        with self.assertRaises(errors.PoplardrumError):
            kept.add(OTHER, record(), 1)
        kept.remove_expired(300)
        self.assertEqual(kept.answer_bytes, 0)
        kept.add(OTHER, record(), 301)

    def test_running_job_stays(self) -> None:
        """Guards against a second start of a job that runs for long."""
        kept = records.RecordTable(10, window_s=300)
        kept.add(KEY, record(), 0)
        kept.remove_expired(10_000)
        self.assertIsNotNone(kept.get(KEY))

    def test_tombstones(self) -> None:
        """Guards against promises that are forgotten before their time."""
        kept = records.RecordTable(1, window_s=300)
        owner = ids.MemberId('a')
        self.assertTrue(kept.add_tombstone(KEY, owner, 360, 0))
        self.assertFalse(kept.add_tombstone(OTHER, owner, 400, 100))
        self.assertTrue(kept.add_tombstone(KEY, owner, 300, 100))
        self.assertEqual(kept.tombstone_owner(KEY, 359), owner)
        self.assertIsNone(kept.tombstone_owner(KEY, 360))
        self.assertTrue(kept.add_tombstone(OTHER, owner, 800, 361))
