"""Model of entries and agents that exchange messages about keys.

Agents decide by the classes under test; connections, pauses, crashes and
callers are modelled. Model time is in seconds.
"""

import collections
import dataclasses
import types
import typing

from poplardrum import errors, ids
from poplardrum.coordination import (
    key_ownership,
    key_queries,
    records,
    stability,
    views,
)
from poplardrum.daemons import node, reachability
from poplardrum.peers import messages

if typing.TYPE_CHECKING:
    from tests import submission_world

SILENCE_S: typing.Final = 5.0
WINDOW_S: typing.Final = 300.0
DEADLINE_S: typing.Final = 30.0
MAX_RECORDS: typing.Final = 3
MAX_REDIRECTS: typing.Final = 8
TENANT: typing.Final = ids.TenantName('lakeshore')
Key = records.RecordKey


def member(name: str, role: messages.Role, version: int) -> messages.Member:
    """Return one incarnation of a process."""
    return messages.Member(
        ids.MemberId(name),
        role,
        ids.Incarnation(f'{name}-{version}'),
        'host',
        1,
        'region',
        'zone',
        version=version * 1000,
    )


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Attempt of a caller, in flight to an agent."""

    key: Key
    first: bool
    sent_at: float
    unreachable: frozenset[ids.MemberId]
    redirects: int = 0


@dataclasses.dataclass
class PendingSubmission:
    """Submission whose key query is running."""

    query: key_queries.KeyQuery
    attempts: list[Attempt]
    started_at: float


class Agent:
    """One incarnation of an agent; behaves as `daemons.submissions`."""

    def __init__(
        self, world: 'submission_world.World', own: messages.Member
    ) -> None:
        """Start without records."""
        self.world = world
        self.view = views.MembershipView(own)
        self.stability = stability.StabilityTracker(world.now, SILENCE_S * 0.9)
        self.records = records.RecordTable(MAX_RECORDS, WINDOW_S)
        self.key_ownership = key_ownership.KeyOwnership(
            self.view, self.records, self.stability
        )
        self.is_paused = False
        self.pending: dict[int, tuple[Key, ids.MemberId]] = {}
        self.undecided: dict[Key, PendingSubmission] = {}

    @property
    def name(self) -> ids.MemberId:
        """Return the id of the agent."""
        return self.view.own.id

    def submit(self, item: Attempt) -> None:
        """Handle an attempt."""
        now = self.world.now
        if item.key in self.records.by_key:
            return
        if item.key in self.undecided:
            self.undecided[item.key].attempts.append(item)
            return
        owner = self.records.tombstone_owner(item.key, now)
        if owner is not None:
            self.world.forward(item, owner)
            return
        attempt = key_queries.SubmissionAttempt(
            item.first and now - item.sent_at < SILENCE_S,
            self.key_ownership.retention_time(DEADLINE_S),
            item.unreachable,
        )
        query = self.key_ownership.start_query(item.key, attempt, now)
        self.undecided[item.key] = PendingSubmission(query, [item], now)
        self.continue_query(item.key)

    def continue_query(self, key: Key) -> None:
        """Send the next requests, or apply the outcome."""
        submission = self.undecided.get(key)
        if submission is None:
            return
        query = submission.query
        if query.outcome is not None:
            self.undecided.pop(key)
            self.key_ownership.end_query(key, query)
            self.apply_outcome(key, submission)
            return
        for target in query.next_batch():
            number = self.world.next_number()
            self.pending[number] = (key, target)
            request = messages.AskRecord(
                ids.RequestId(number),
                *key,
                self.view.own,
                query.attempt.retention_s,
            )
            self.world.send(self.name, target, request)

    def apply_outcome(self, key: Key, submission: PendingSubmission) -> None:
        """Start, redirect or refuse."""
        now = self.world.now
        query = submission.query
        if key in self.records.by_key:
            return
        if query.owner is not None:
            for item in submission.attempts:
                self.world.forward(item, query.owner)
        if query.outcome is not key_queries.QueryOutcome.unknown:
            return
        late = now - submission.attempts[0].sent_at >= DEADLINE_S
        if (
            late
            or now - submission.started_at
            > key_ownership.RETENTION_MARGIN_S / 2
        ):
            return
        record = records.Record(ids.JobId('j'), b'')
        try:
            self.records.add(key, record, now)
        except errors.PoplardrumError:
            self.world.refused_unknown(key, submission.attempts)
            return
        self.world.started(key, self)

    def receive(self, sender: ids.MemberId, item: messages.Item) -> None:
        """Handle a message of another agent."""
        if isinstance(item, messages.AskRecord):
            key = (item.tenant, item.key)
            reply = self.key_ownership.answer_query(item, self.world.now)
            self.world.send(self.name, sender, reply)
            if key in self.undecided and self.undecided[key].query.outcome:
                self.continue_query(key)
        elif isinstance(item, messages.RecordReply):
            request = self.pending.pop(item.request, None)
            if request is not None and request[0] in self.undecided:
                self.undecided[request[0]].query.handle_reply(sender, item)
                self.continue_query(request[0])

    def fail_request(self, number: int) -> None:
        """Fail one pending request."""
        key, target = self.pending.pop(number)
        if key in self.undecided:
            self.undecided[key].query.handle_failure(target)
            self.continue_query(key)


class Entry:
    """One incarnation of an entry with its links to agents."""

    def __init__(
        self, world: 'submission_world.World', own: messages.Member
    ) -> None:
        """Start without links, with a view of the entry alone."""
        self.view = views.MembershipView(own)
        self.links: dict[ids.MemberId, Link] = {}
        self.failed_dials: dict[ids.MemberId, node.FailedDial] = {}
        self.member = own
        self.settings = types.SimpleNamespace(
            peers=types.SimpleNamespace(silence=SILENCE_S),
        )
        self.reachability = reachability.Reachability(
            typing.cast(typing.Any, self)
        )

    def link_to(self, name: ids.MemberId) -> 'Link | None':
        """Return the link to an agent, as this entry sees it."""
        return self.links.get(name)

    def drop_link(self, name: ids.MemberId) -> None:
        """Close the link to an agent, which may not detect it."""
        link = self.links.pop(name, None)
        if link is not None:
            self.reachability.link_down(typing.cast(typing.Any, link))


@dataclasses.dataclass
class Link:
    """A link from an entry to one incarnation of an agent."""

    entry: Entry
    agent: Agent
    member: messages.Member
    last_seen: float
    queue: collections.deque[typing.Any] = dataclasses.field(
        default_factory=collections.deque,
    )
