"""World of the model: processes, connections, time and callers."""

import collections
import dataclasses
import typing

from poplardrum import errors, ids
from poplardrum.coordination import views
from poplardrum.daemons import node
from poplardrum.peers import messages
from tests import submission_model


class World:
    """All processes, connections and callers."""

    def __init__(self, agents: int, entries: int, keys: int) -> None:
        """Start all processes, with every entry linked to every agent."""
        self.now = 0.0
        self.last_number = 0
        self.redirect_loops = 0
        self.last_version = 0
        self.agents: dict[ids.MemberId, submission_model.Agent] = {}
        self.names = [ids.MemberId(f'a{number}') for number in range(agents)]
        self.gone: set[ids.MemberId] = set()
        # Registrations in the platform's store, also of crashed agents.
        self.registered: dict[ids.MemberId, messages.Member] = {}
        self.entries: dict[ids.MemberId, submission_model.Entry] = {}
        self.blocked: set[frozenset[ids.MemberId]] = set()
        self.messages_in_flight: dict[
            tuple[ids.MemberId, ids.MemberId],
            collections.deque[typing.Any],
        ] = collections.defaultdict(collections.deque)
        self.broken_links: list[submission_model.Link] = []
        self.first_sent_at: dict[submission_model.Key, float] = {}
        self.starts: collections.Counter[submission_model.Key] = (
            collections.Counter()
        )
        self.false_refusals: list[submission_model.Key] = []
        self.keys: list[submission_model.Key] = [
            (submission_model.TENANT, ids.IdempotencyKey(f'k{number}'))
            for number in range(keys)
        ]
        for name in self.names:
            self.start_agent(name, clean=True)
        for number in range(entries):
            self.start_entry(ids.MemberId(f'e{number}'))

    def next_number(self) -> int:
        """Return a number for a request."""
        self.last_number += 1
        return self.last_number

    def processes(
        self,
    ) -> list[typing.Union[submission_model.Agent, submission_model.Entry]]:
        """Return all live processes."""
        return [*self.agents.values(), *self.entries.values()]

    def start_agent(self, name: ids.MemberId, *, clean: bool) -> None:
        """Start an incarnation of an agent and add it to all views."""
        self.last_version += 1
        own = submission_model.member(
            name, messages.Role.agent, self.last_version
        )
        agent = submission_model.Agent(self, own)
        agent.stability.has_clean_start = clean
        self.agents[name] = agent
        self.registered[name] = own
        self.gone.discard(name)
        for other in self.processes():
            agent.view.merge([other.view.own])
            other.view.merge([own])

    def start_entry(self, name: ids.MemberId) -> None:
        """Start an incarnation of an entry and link it where possible."""
        self.last_version += 1
        own = submission_model.member(
            name, messages.Role.entry, self.last_version
        )
        entry = submission_model.Entry(self, own)
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
        if agent.is_paused:
            return
        entry.failed_dials.pop(name, None)
        entry.view.merge([agent.view.own])
        agent.view.merge(entry.view.members())
        agent.stability.record_link_up(entry_name, self.now)
        agent.stability.record_echo(entry_name, self.now)
        entry.links[name] = submission_model.Link(
            entry, agent, agent.view.own, self.now
        )

    def refuse(self, entry: submission_model.Entry, name: ids.MemberId) -> None:
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
        """Return whether two processes are partitioned from each other."""
        return frozenset((one, other)) in self.blocked

    def advance(self, seconds: float) -> None:
        """Advance the time; links without frames become silent."""
        # Links become silent within the first seconds; then nothing changes.
        left = seconds
        while left > 0:
            step = (
                0.5 if seconds - left < submission_model.SILENCE_S * 2 else left
            )
            self.now += step
            left -= step
            self.exchange_frames()
        for agent in self.agents.values():
            agent.records.remove_expired(self.now)

    def exchange_frames(self) -> None:
        """Send heartbeats and close silent links at the entries."""
        for entry_name, entry in self.entries.items():
            for name, link in list(entry.links.items()):
                if self.is_connected(entry_name, link):
                    link.last_seen = self.now
                    link.agent.stability.record_echo(entry_name, self.now)
                elif self.now - link.last_seen >= submission_model.SILENCE_S:
                    self.reset(entry_name, name)

    def is_connected(
        self, entry_name: ids.MemberId, link: submission_model.Link
    ) -> bool:
        """Return whether frames are delivered on a link now."""
        alive = self.agents.get(link.agent.name) is link.agent
        cut = self.is_blocked(entry_name, link.agent.name)
        return alive and not cut and not link.agent.is_paused

    def reset(self, entry_name: ids.MemberId, name: ids.MemberId) -> None:
        """Break a link at the entry; the agent detects it later."""
        link = self.entries[entry_name].links.get(name)
        if link is not None:
            self.broken_links.append(link)
            self.entries[entry_name].drop_link(name)

    def notice_break(self, index: int) -> None:
        """Make an agent detect one broken link; attempts on it are lost."""
        link = self.broken_links.pop(index)
        if not link.agent.is_paused:
            link.agent.stability.record_link_down(
                link.entry.view.own.id,
                self.now,
                planned=False,
            )

    def submit(
        self, key: submission_model.Key, entry_name: ids.MemberId
    ) -> None:
        """Submit a key as a caller: once as first attempt, then again."""
        first = key not in self.first_sent_at
        self.first_sent_at.setdefault(key, self.now)
        if self.now - self.first_sent_at[key] >= submission_model.WINDOW_S:
            return
        entry = self.entries[entry_name]
        ranked = views.rank(*key, entry.view.agents('region'))
        passed: set[ids.MemberId] = set()
        for candidate in ranked:
            link = entry.links.get(candidate.id)
            known = entry.view.get(candidate.id)
            ready = known and known.state is messages.MemberState.ready
            if link is not None and ready:
                item = submission_model.Attempt(
                    key, first, self.now, frozenset(passed)
                )
                link.queue.append(item)
                return
            if entry.reachability.can_pass_over(candidate, self.now):
                passed.add(candidate.id)

    def forward(
        self, item: submission_model.Attempt, owner: ids.MemberId
    ) -> None:
        """Follow a redirect at any entry that has a link to the owner."""
        if item.redirects >= submission_model.MAX_REDIRECTS:
            self.redirect_loops += 1
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

    def started(
        self, key: submission_model.Key, agent: submission_model.Agent
    ) -> None:
        """Count a start."""
        self.starts[key] += 1

    def refused_unknown(
        self,
        key: submission_model.Key,
        attempts: list[submission_model.Attempt],
    ) -> None:
        """Check the verdict `not_run` of a refused resubmission."""
        if self.starts[key] and any(not item.first for item in attempts):
            self.false_refusals.append(key)

    def finish(self, name: ids.MemberId, key: submission_model.Key) -> None:
        """End a job."""
        agent = self.agents[name]
        record = agent.records.get(key)
        if record and record.answer is None and not agent.is_paused:
            answer = messages.Answer(
                record.job,
                errors.Code.ok,
                errors.Verdict.ran,
            )
            agent.records.finish_record(key, answer, self.now)

    def send(
        self,
        sender: ids.MemberId,
        target: ids.MemberId,
        item: messages.Item,
    ) -> None:
        """Queue a message between agents."""
        self.messages_in_flight[(sender, target)].append(
            (self.agents.get(target), item)
        )

    def deliver(self, sender: ids.MemberId, target: ids.MemberId) -> bool:
        """Deliver the oldest message between two agents, if possible."""
        queue = self.messages_in_flight[(sender, target)]
        agent = self.agents.get(target)
        if not queue or agent is None or agent.is_paused:
            return False
        if self.is_blocked(sender, target):
            return False
        incarnation, item = queue.popleft()
        if incarnation is agent:
            agent.receive(sender, item)
        return True

    def deliver_attempt(self, link: submission_model.Link) -> bool:
        """Deliver the oldest attempt on a link, even a broken one."""
        if not link.queue or link.agent.is_paused:
            return False
        if self.agents.get(link.agent.name) is not link.agent:
            return False
        link.agent.submit(link.queue.popleft())
        return True

    def links_with_attempts(self) -> list[submission_model.Link]:
        """Return the links, also broken ones, with undelivered attempts."""
        links = list(self.broken_links)
        for entry in self.entries.values():
            links.extend(entry.links.values())
        return [link for link in links if link.queue]

    def deliver_all(self) -> None:
        """Deliver everything that can be delivered."""
        moved = True
        while moved:
            moved = False
            for link in self.links_with_attempts():
                moved |= self.deliver_attempt(link)
            pairs = [
                pair for pair, items in self.messages_in_flight.items() if items
            ]
            for pair in pairs:
                moved |= self.deliver(*pair)

    def kill(self, name: ids.MemberId) -> None:
        """Kill an agent."""
        self.agents.pop(name, None)
        for entry_name, entry in self.entries.items():
            if name in entry.links and not self.is_blocked(entry_name, name):
                entry.drop_link(name)
