"""Model of entries and agents that exchange messages about keys.

Agents decide by the classes under test; connections, pauses, crashes and
callers are modelled. Model time is in seconds.
"""

import collections
import dataclasses
import types
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.coordination import (
    inquiries,
    ledger,
    records,
    stability,
    views,
)
from poplardrum.daemons import contacts, handover, node
from poplardrum.peers import messages

SILENCE: typing.Final = 5.0
WINDOW: typing.Final = 300.0
DEADLINE: typing.Final = 30.0
RECORDS: typing.Final = 3
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
    """One attempt of a caller on its way to an agent."""

    key: Key
    first: bool
    sent: float
    unreachable: frozenset[ids.MemberId]
    redirects: int = 0


@dataclasses.dataclass
class Submission:
    """A submission whose inquiry runs."""

    inquiry: inquiries.Inquiry
    attempts: list[Attempt]
    began: float


class Agent:
    """One incarnation of an agent; acts as `daemons.submissions` does."""

    def __init__(self, world: 'World', own: messages.Member) -> None:
        """Start without records."""
        self.world = world
        self.view = views.View(own)
        self.stability = stability.Stability(world.now, SILENCE * 0.9)
        self.records = records.Records(RECORDS, WINDOW)
        self.ledger = ledger.Ledger(self.view, self.records, self.stability)
        self.frozen = False
        self.asks: dict[int, tuple[Key, ids.MemberId]] = {}
        self.open: dict[Key, Submission] = {}

    @property
    def name(self) -> ids.MemberId:
        """Return the id of the agent."""
        return self.view.own.id

    def submit(self, item: Attempt) -> None:
        """Take an attempt."""
        now = self.world.now
        if item.key in self.records.by_key:
            return
        if item.key in self.open:
            self.open[item.key].attempts.append(item)
            return
        owner = self.records.owner(item.key, now)
        if owner is not None:
            self.world.forward(item, owner)
            return
        attempt = inquiries.Attempt(
            item.first and now - item.sent < SILENCE,
            self.ledger.hold(DEADLINE),
            item.unreachable,
        )
        inquiry = self.ledger.inquire(item.key, attempt, now)
        self.open[item.key] = Submission(inquiry, [item], now)
        self.go_on(item.key)

    def go_on(self, key: Key) -> None:
        """Send the next questions, or act on the outcome."""
        submission = self.open.get(key)
        if submission is None:
            return
        inquiry = submission.inquiry
        if inquiry.outcome is not None:
            self.open.pop(key)
            self.ledger.settle(key, inquiry)
            self.conclude(key, submission)
            return
        for target in inquiry.next_batch():
            number = self.world.number()
            self.asks[number] = (key, target)
            ask = messages.AskRecord(
                ids.RequestId(number),
                *key,
                self.view.own,
                inquiry.attempt.hold,
            )
            self.world.send(self.name, target, ask)

    def conclude(self, key: Key, submission: Submission) -> None:
        """Start, redirect or refuse."""
        now = self.world.now
        inquiry = submission.inquiry
        if key in self.records.by_key:
            return
        if inquiry.owner is not None:
            for item in submission.attempts:
                self.world.forward(item, inquiry.owner)
        if inquiry.outcome is not inquiries.Outcome.unknown:
            return
        late = now - submission.attempts[0].sent >= DEADLINE
        if late or now - submission.began > ledger.HOLD_MARGIN / 2:
            return
        record = records.Record(ids.JobId('j'), b'')
        try:
            self.records.add(key, record, now)
        except errors.PoplardrumError:
            self.world.refused_unknown(key, submission.attempts)
            return
        self.world.started(key, self)

    def receive(self, sender: ids.MemberId, item: messages.Item) -> None:
        """Take a message of another agent."""
        if isinstance(item, messages.AskRecord):
            key = (item.tenant, item.key)
            reply = self.ledger.asked(item, self.world.now)
            self.world.send(self.name, sender, reply)
            if key in self.open and self.open[key].inquiry.outcome:
                self.go_on(key)
        elif isinstance(item, messages.RecordReply):
            asked = self.asks.pop(item.request, None)
            if asked is not None and asked[0] in self.open:
                self.open[asked[0]].inquiry.replied(sender, item)
                self.go_on(asked[0])

    def lose(self, number: int) -> None:
        """Give up one question."""
        key, target = self.asks.pop(number)
        if key in self.open:
            self.open[key].inquiry.failed(target)
            self.go_on(key)


class Entry:
    """One incarnation of an entry with its links to agents."""

    def __init__(self, world: 'World', own: messages.Member) -> None:
        """Start without links, with the view of the platform."""
        self.view = views.View(own)
        self.links: dict[ids.MemberId, Link] = {}
        self.failed_dials: dict[ids.MemberId, node.FailedDial] = {}
        self.member = own
        self.settings = types.SimpleNamespace(
            peers=types.SimpleNamespace(silence=SILENCE),
        )
        self.contacts = contacts.Contacts(typing.cast(typing.Any, self))

    def link_to(self, name: ids.MemberId) -> 'Link | None':
        """Return the link to an agent, as this entry sees it."""
        return self.links.get(name)

    def drop(self, name: ids.MemberId) -> None:
        """Close the link to an agent; it may not notice."""
        link = self.links.pop(name, None)
        if link is not None:
            self.contacts.link_down(typing.cast(typing.Any, link))


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


class World:
    """All processes, connections and callers."""

    def __init__(self, agents: int, entries: int, keys: int) -> None:
        """Start all processes, with every entry linked to every agent."""
        self.now = 0.0
        self.numbers = 0
        self.loops = 0
        self.versions = 0
        self.agents: dict[ids.MemberId, Agent] = {}
        self.names = [ids.MemberId(f'a{number}') for number in range(agents)]
        self.gone: set[ids.MemberId] = set()
        # What the platform holds: also agents that have crashed.
        self.registered: dict[ids.MemberId, messages.Member] = {}
        self.entries: dict[ids.MemberId, Entry] = {}
        self.blocked: set[frozenset[ids.MemberId]] = set()
        self.queues: dict[
            tuple[ids.MemberId, ids.MemberId],
            collections.deque[typing.Any],
        ] = collections.defaultdict(collections.deque)
        self.old_links: list[Link] = []
        self.first_sent: dict[Key, float] = {}
        self.starts: collections.Counter[Key] = collections.Counter()
        self.untrue: list[Key] = []
        self.keys: list[Key] = [
            (TENANT, ids.IdempotencyKey(f'k{number}')) for number in range(keys)
        ]
        for name in self.names:
            self.start_agent(name, clean=True)
        for number in range(entries):
            self.start_entry(ids.MemberId(f'e{number}'))

    def number(self) -> int:
        """Return a number for a question."""
        self.numbers += 1
        return self.numbers

    def processes(self) -> list[typing.Union['Agent', 'Entry']]:
        """Return all live processes."""
        return [*self.agents.values(), *self.entries.values()]

    def start_agent(self, name: ids.MemberId, *, clean: bool) -> None:
        """Start an incarnation of an agent, known to all by its place."""
        self.versions += 1
        own = member(name, messages.Role.agent, self.versions)
        agent = Agent(self, own)
        agent.stability.clean_start = clean
        self.agents[name] = agent
        self.registered[name] = own
        self.gone.discard(name)
        for other in self.processes():
            agent.view.merge([other.view.own])
            other.view.merge([own])

    def start_entry(self, name: ids.MemberId) -> None:
        """Start an incarnation of an entry and link it where possible."""
        self.versions += 1
        own = member(name, messages.Role.entry, self.versions)
        entry = Entry(self, own)
        self.entries[name] = entry
        entry.view.merge(self.registered.values())
        for agent in self.agents.values():
            entry.view.merge([agent.view.own])
            agent.view.merge([own])
            self.connect(name, agent.name)

    def connect(self, entry_name: ids.MemberId, name: ids.MemberId) -> None:
        """Let an entry dial an agent."""
        entry, agent = self.entries[entry_name], self.agents.get(name)
        if self.is_blocked(entry_name, name) or name in entry.links:
            return
        if agent is None:
            self.refuse(entry, name)
            return
        if agent.frozen:
            return
        entry.failed_dials.pop(name, None)
        entry.view.merge([agent.view.own])
        agent.view.merge(entry.view.members())
        agent.stability.entry_up(entry_name, self.now)
        agent.stability.heard(entry_name, self.now)
        entry.links[name] = Link(entry, agent, agent.view.own, self.now)

    def refuse(self, entry: Entry, name: ids.MemberId) -> None:
        """Refuse a connection for an agent that does not run."""
        known = entry.view.get(name)
        if known is not None:
            entry.failed_dials[name] = node.FailedDial(
                known.incarnation,
                self.now,
                refused=True,
                timed_out=False,
            )

    def is_blocked(self, one: ids.MemberId, other: ids.MemberId) -> bool:
        """Tell whether two processes are cut off from each other."""
        return frozenset((one, other)) in self.blocked

    def advance(self, seconds: float) -> None:
        """Let time pass; links without frames fall silent."""
        # Links fall silent within the first seconds; then nothing changes.
        left = seconds
        while left > 0:
            step = 0.5 if seconds - left < SILENCE * 2 else left
            self.now += step
            left -= step
            self.exchange_frames()
        for agent in self.agents.values():
            agent.records.expire(self.now)

    def exchange_frames(self) -> None:
        """Send heartbeats and close silent links at the entries."""
        for entry_name, entry in self.entries.items():
            for name, link in list(entry.links.items()):
                if self.connected(entry_name, link):
                    link.last_seen = self.now
                    link.agent.stability.heard(entry_name, self.now)
                elif self.now - link.last_seen >= SILENCE:
                    self.reset(entry_name, name)

    def connected(self, entry_name: ids.MemberId, link: Link) -> bool:
        """Tell whether frames pass on a link now."""
        alive = self.agents.get(link.agent.name) is link.agent
        cut = self.is_blocked(entry_name, link.agent.name)
        return alive and not cut and not link.agent.frozen

    def reset(self, entry_name: ids.MemberId, name: ids.MemberId) -> None:
        """Break a link at the entry; the agent notices later."""
        link = self.entries[entry_name].links.get(name)
        if link is not None:
            self.old_links.append(link)
            self.entries[entry_name].drop(name)

    def notice(self, index: int) -> None:
        """Let an agent notice one broken link; what it holds is lost."""
        link = self.old_links.pop(index)
        if not link.agent.frozen:
            link.agent.stability.entry_down(
                link.entry.view.own.id,
                self.now,
                ended=False,
            )

    def submit(self, key: Key, entry_name: ids.MemberId) -> None:
        """Let a caller submit a key: first, then as a resubmission."""
        first = key not in self.first_sent
        self.first_sent.setdefault(key, self.now)
        if self.now - self.first_sent[key] >= WINDOW:
            return
        entry = self.entries[entry_name]
        ranked = views.rank(*key, entry.view.agents('region'))
        passed: set[ids.MemberId] = set()
        for candidate in ranked:
            link = entry.links.get(candidate.id)
            known = entry.view.get(candidate.id)
            ready = known and known.state is messages.MemberState.ready
            if link is not None and ready:
                item = Attempt(key, first, self.now, frozenset(passed))
                link.queue.append(item)
                return
            if entry.contacts.passable(candidate, self.now):
                passed.add(candidate.id)

    def forward(self, item: Attempt, owner: ids.MemberId) -> None:
        """Follow a redirect at any entry that has a link to the owner."""
        if item.redirects >= MAX_REDIRECTS:
            self.loops += 1
            return
        for entry in self.entries.values():
            link = entry.links.get(owner)
            if link is not None:
                again = dataclasses.replace(
                    item,
                    unreachable=frozenset(),
                    redirects=item.redirects + 1,
                )
                link.queue.append(again)
                return

    def started(self, key: Key, agent: Agent) -> None:
        """Count a start."""
        self.starts[key] += 1

    def refused_unknown(self, key: Key, attempts: list[Attempt]) -> None:
        """Check the verdict `not_run` of a refused resubmission."""
        if self.starts[key] and any(not item.first for item in attempts):
            self.untrue.append(key)

    def finish(self, name: ids.MemberId, key: Key) -> None:
        """Let a job end."""
        agent = self.agents[name]
        record = agent.records.get(key)
        if record and record.answer is None and not agent.frozen:
            answer = messages.Answer(
                record.job,
                errors.Code.ok,
                errors.Verdict.ran,
            )
            agent.records.finish(key, answer, self.now)

    def send(
        self,
        sender: ids.MemberId,
        target: ids.MemberId,
        item: messages.Item,
    ) -> None:
        """Queue a message between agents."""
        self.queues[(sender, target)].append((self.agents.get(target), item))

    def deliver(self, sender: ids.MemberId, target: ids.MemberId) -> bool:
        """Deliver the oldest message between two agents, if possible."""
        queue = self.queues[(sender, target)]
        agent = self.agents.get(target)
        if not queue or agent is None or agent.frozen:
            return False
        if self.is_blocked(sender, target):
            return False
        incarnation, item = queue.popleft()
        if incarnation is agent:
            agent.receive(sender, item)
        return True

    def deliver_attempt(self, link: Link) -> bool:
        """Deliver the oldest attempt on a link, even a broken one."""
        if not link.queue or link.agent.frozen:
            return False
        if self.agents.get(link.agent.name) is not link.agent:
            return False
        link.agent.submit(link.queue.popleft())
        return True

    def links_with_attempts(self) -> list[Link]:
        """Return the links, broken ones too, that still hold attempts."""
        found = list(self.old_links)
        for entry in self.entries.values():
            found.extend(entry.links.values())
        return [link for link in found if link.queue]

    def deliver_all(self) -> None:
        """Deliver everything that can arrive."""
        moved = True
        while moved:
            moved = False
            for link in self.links_with_attempts():
                moved |= self.deliver_attempt(link)
            pairs = [pair for pair, items in self.queues.items() if items]
            for pair in pairs:
                moved |= self.deliver(*pair)

    def kill(self, name: ids.MemberId) -> None:
        """Kill an agent."""
        self.agents.pop(name, None)
        for entry_name, entry in self.entries.items():
            if name in entry.links and not self.is_blocked(entry_name, name):
                entry.drop(name)

    def stop(self, name: ids.MemberId) -> bool:
        """Stop an agent as planned; `False` if it cannot hand over."""
        agent = self.agents[name]
        running = [
            key
            for key, record in agent.records.by_key.items()
            if record.answer is None
        ]
        if agent.frozen or agent.open or running:
            return False
        process = types.SimpleNamespace(
            member=agent.view.own,
            submissions=agent,
            ready_members=lambda: [
                other
                for other in agent.view.agents('region')
                if other.state is messages.MemberState.ready
            ],
        )
        if not agent.stability.clean(self.now, agent.ledger.hold(DEADLINE)):
            self.kill(name)
            return False
        shares = handover.collect(typing.cast(typing.Any, process), self.now)
        agent.ledger.closed = True
        for target, kept in shares.items():
            other = self.agents.get(target)
            cut = self.is_blocked(name, target)
            if other is None or other.frozen or cut or other.ledger.closed:
                self.kill(name)
                return False
            self.take(other, kept)
        self.depart(agent)
        return True

    def take(self, other: Agent, kept: list[handover.Kept]) -> None:
        """Hand kept items to another agent."""
        process = types.SimpleNamespace(
            member=other.view.own,
            submissions=other,
        )
        for item in kept:
            if isinstance(item, messages.KeptRecord):
                handover.take_record(other.records, item, self.now)
            else:
                handover.take_tombstone(
                    typing.cast(typing.Any, process),
                    item,
                    self.now,
                )

    def depart(self, agent: Agent) -> None:
        """Tell the reachable processes that an agent has ended."""
        own = msgspec.structs.replace(
            agent.view.own,
            state=messages.MemberState.gone,
            version=agent.view.own.version + 1,
        )
        self.gone.add(agent.name)
        self.registered.pop(agent.name, None)
        for entry_name, entry in self.entries.items():
            link = entry.links.get(agent.name)
            linked = link is not None and link.agent is agent
            if linked and not self.is_blocked(entry_name, agent.name):
                entry.view.merge([own])
        for other in self.agents.values():
            cut = self.is_blocked(agent.name, other.name)
            if not cut and not other.frozen:
                other.view.merge([own])
        self.kill(agent.name)

    def set_leaving(self, name: ids.MemberId, *, leaving: bool) -> None:
        """Let an agent leave or return by an operator's rule."""
        agent = self.agents[name]
        state = messages.MemberState.ready
        if leaving:
            state = messages.MemberState.leaving
        if agent.frozen or state is agent.view.own.state:
            return
        if not leaving:
            agent.stability.passed_over(self.now)
        own = msgspec.structs.replace(
            agent.view.own,
            state=state,
            version=agent.view.own.version + 1,
        )
        agent.view.replace_own(own)
        for other in self.processes():
            if not self.is_blocked(name, other.view.own.id):
                other.view.merge([own])
