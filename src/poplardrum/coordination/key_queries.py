"""Query about a key that is unknown at the agent it was submitted to.

A query belongs to one key at one agent. It determines which agents to query,
processes their replies and ends with one outcome. It performs no I/O.
"""

import enum
import typing

from poplardrum import ids
from poplardrum.peers import messages


class QueryOutcome(enum.Enum):
    """Outcome of a query."""

    # No other agent has started the key or will start it: it may start here.
    unknown = 'unknown'
    # Another agent owns the key or decides about it.
    redirect = 'redirect'
    # It cannot be ruled out that an agent has started the key.
    indeterminate = 'indeterminate'
    # This attempt has started nothing and will not start anything.
    undecided = 'undecided'


class SubmissionAttempt(typing.NamedTuple):
    """Attempt to submit a key, or a read-only lookup of its record.

    `retention_s` is how long records of the key matter. `unreachable` are
    agents to which the entry has had no link for so long that they no longer
    count as stable. A `read_only` attempt starts nothing.
    """

    is_first: bool
    retention_s: float
    unreachable: frozenset[ids.MemberId] = frozenset()
    read_only: bool = False


class AgentGuarantees(typing.NamedTuple):
    """What the querying agent knows about itself for the retention time.

    `stable` means that no entry can have passed over this agent, `clean` that
    no earlier incarnation of it can have started the key.
    """

    stable: bool
    clean: bool


class KeyQuery:
    """Query other agents in rank order until the outcome is known."""

    def __init__(
        self,
        own_id: ids.MemberId,
        ranked: list[ids.MemberId],
        attempt: SubmissionAttempt,
        guarantees: AgentGuarantees,
    ) -> None:
        """Start a query of agent `own_id`.

        `ranked` are all agents of the region including it, best first.
        """
        position = ranked.index(own_id)
        self.own_id = own_id
        self.known_agents = frozenset(ranked)
        self.higher_ranked = frozenset(ranked[:position])
        self.lower_ranked = ranked[position + 1 :]
        self.attempt = attempt
        self.queries_lower = not (attempt.is_first or guarantees.stable)
        self.is_uncertain = not (attempt.is_first or guarantees.clean)
        # Agents that may have started the key, as far as is known.
        self.uncertain_agents: set[ids.MemberId] = set()
        self.skipped: frozenset[ids.MemberId] = frozenset()
        self.reported_owners: set[ids.MemberId] = set()
        self.is_undecided = False
        self.unsent = list(ranked[:position])
        self.queried: set[ids.MemberId] = set()
        self.answered: set[ids.MemberId] = set()
        self.outcome: QueryOutcome | None = None
        self.owner: ids.MemberId | None = None
        self._advance()

    def next_batch(self) -> list[ids.MemberId]:
        """Return the agents to query now.

        A reply or a failure must be passed in for each of them.
        """
        batch, self.unsent = self.unsent, []
        self.queried.update(batch)
        return batch

    def handle_reply(
        self,
        member: ids.MemberId,
        reply: messages.RecordReply,
    ) -> None:
        """Process the reply of one agent."""
        if self.outcome is not None or member in self.answered:
            return
        self.answered.add(member)
        if reply.state is messages.RecordState.owned:
            self.redirect_to(member)
            return
        if reply.state is messages.RecordState.unable:
            self._record_no_reply(member)
            self._advance()
            return
        if reply.state is messages.RecordState.elsewhere:
            self._follow_tombstone(reply.owner)
        if not reply.clean:
            # Applies to a first attempt too, as a resubmission may have
            # overtaken it in transit.
            self.uncertain_agents.add(member)
        if reply.stable:
            self._skip_below(member)
        self._advance()

    def handle_failure(self, member: ids.MemberId) -> None:
        """Record that one agent has sent no reply."""
        if self.outcome is not None or member in self.answered:
            return
        self.answered.add(member)
        self._record_no_reply(member)
        self._advance()

    def redirect_to(self, owner: ids.MemberId) -> None:
        """End the query with a redirect to another agent."""
        if self.outcome is None:
            self.outcome = QueryOutcome.redirect
            self.owner = owner

    def _record_no_reply(self, member: ids.MemberId) -> None:
        if not self.attempt.is_first or member not in self.higher_ranked:
            self.uncertain_agents.add(member)
        elif member not in self.attempt.unreachable:
            self.is_undecided = True

    def _follow_tombstone(self, owner: ids.MemberId | None) -> None:
        if owner == self.own_id:
            return
        if owner is None or owner not in self.known_agents:
            self.is_uncertain = True
            return
        if owner in self.queried:
            self.reported_owners.add(owner)
            return
        # The agent that a tombstone names may have started the key, or have
        # ceded it to another agent.
        self.reported_owners.add(owner)
        self.unsent.append(owner)
        self.queried.add(owner)

    def _skip_below(self, member: ids.MemberId) -> None:
        # No agent ranked below a stable one has started the key without a
        # query to it. The agents in between are still queried, since a
        # tombstone may lead past them.
        below = self.lower_ranked
        if member in self.lower_ranked:
            below = self.lower_ranked[self.lower_ranked.index(member) + 1 :]
        self.skipped |= frozenset(below)

    def _advance(self) -> None:
        if self.unsent or self.queried - self.answered:
            return
        settled = self.queried | self.skipped
        remaining = [
            member for member in self.lower_ranked if member not in settled
        ]
        if self.queries_lower and remaining:
            # Batches double, so a large fleet needs only a few rounds.
            self.unsent = remaining[: len(self.queried) + 1]
            return
        if self.is_uncertain or self.uncertain_agents - (
            self.skipped - self.reported_owners
        ):
            self.outcome = QueryOutcome.indeterminate
        elif self.is_undecided:
            self.outcome = QueryOutcome.undecided
        else:
            self.outcome = QueryOutcome.unknown
