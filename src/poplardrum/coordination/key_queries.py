"""Inquiry about a key that is unknown at the agent that was asked to run it.

One inquiry belongs to one key at one agent. It says whom to ask, takes the
replies and ends in one outcome. It performs no I/O.
"""

import enum
import typing

from poplardrum import ids
from poplardrum.peers import messages


class QueryOutcome(enum.Enum):
    """End of an inquiry."""

    # Nobody can have started the key, or ever will: it may start here.
    unknown = 'unknown'
    # Another agent owns the key or decides about it.
    redirect = 'redirect'
    # An agent that may have started the key cannot tell.
    indeterminate = 'indeterminate'
    # Nothing has started and nothing will by this attempt.
    undecided = 'undecided'


class SubmissionAttempt(typing.NamedTuple):
    """What an inquiry is for.

    `hold` is in seconds. `unreachable` are agents that the entry has lost
    for so long that they no longer count as stable. A `peek` looks for a
    record and starts nothing.
    """

    is_first: bool
    retention_s: float
    unreachable: frozenset[ids.MemberId] = frozenset()
    read_only: bool = False


class AgentGuarantees(typing.NamedTuple):
    """What the asking agent says of itself for the hold time of a key."""

    stable: bool
    clean: bool


class KeyQuery:
    """Ask in rank order until it is known what a key's attempt means."""

    def __init__(
        self,
        own: ids.MemberId,
        ranked: list[ids.MemberId],
        attempt: SubmissionAttempt,
        guarantees: AgentGuarantees,
    ) -> None:
        """Start at agent `own`, which is one of `ranked`, best first."""
        position = ranked.index(own)
        self.own_id = own
        self.known_agents = frozenset(ranked)
        self.higher_ranked = frozenset(ranked[:position])
        self.lower_ranked = ranked[position + 1 :]
        self.attempt = attempt
        self.queries_lower = not (attempt.is_first or guarantees.stable)
        self.is_uncertain = not (attempt.is_first or guarantees.clean)
        # Agents whose reply leaves it open whether they started the key.
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
        """Return the agents to ask now; each of them must be answered."""
        batch, self.unsent = self.unsent, []
        self.queried.update(batch)
        return batch

    def handle_reply(
        self,
        member: ids.MemberId,
        reply: messages.RecordReply,
    ) -> None:
        """Take the reply of one agent."""
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
            # This holds for a first attempt too, as a resubmission may have
            # overtaken it on its way.
            self.uncertain_agents.add(member)
        if reply.stable:
            self._skip_below(member)
        self._advance()

    def handle_failure(self, member: ids.MemberId) -> None:
        """Note that one agent cannot be reached."""
        if self.outcome is not None or member in self.answered:
            return
        self.answered.add(member)
        self._record_no_reply(member)
        self._advance()

    def redirect_to(self, owner: ids.MemberId) -> None:
        """End in favour of another agent."""
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
        # The owner of a tombstone may have started the key or have yielded.
        self.reported_owners.add(owner)
        self.unsent.append(owner)
        self.queried.add(owner)

    def _skip_below(self, member: ids.MemberId) -> None:
        # Nothing ranked below a stable agent was used without asking it. The
        # agents between are still asked: a tombstone may lead past them.
        below = self.lower_ranked
        if member in self.lower_ranked:
            below = self.lower_ranked[self.lower_ranked.index(member) + 1 :]
        self.skipped |= frozenset(below)

    def _advance(self) -> None:
        if self.unsent or self.queried - self.answered:
            return
        settled = self.queried | self.skipped
        left = [member for member in self.lower_ranked if member not in settled]
        if self.queries_lower and left:
            # Batches double, so a large fleet is asked in a few rounds.
            self.unsent = left[: len(self.queried) + 1]
            return
        if self.is_uncertain or self.uncertain_agents - (
            self.skipped - self.reported_owners
        ):
            self.outcome = QueryOutcome.indeterminate
        elif self.is_undecided:
            self.outcome = QueryOutcome.undecided
        else:
            self.outcome = QueryOutcome.unknown
