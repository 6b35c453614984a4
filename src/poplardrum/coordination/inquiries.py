"""Inquiry about a key that is unknown at the agent that was asked to run it.

One inquiry belongs to one key at one agent. It says whom to ask, takes the
replies and ends in one outcome. It performs no I/O.
"""

import enum
import typing

from poplardrum import ids
from poplardrum.peers import messages


class Outcome(enum.Enum):
    """End of an inquiry."""

    # Nobody can have started the key, or ever will: it may start here.
    unknown = 'unknown'
    # Another agent owns the key or decides about it.
    redirect = 'redirect'
    # An agent that may have started the key cannot tell.
    indeterminate = 'indeterminate'
    # Nothing has started and nothing will by this attempt.
    undecided = 'undecided'


class Attempt(typing.NamedTuple):
    """What an inquiry is for.

    `hold` is in seconds. `unreachable` are agents that the entry has lost
    for so long that they no longer count as stable. A `peek` looks for a
    record and starts nothing.
    """

    first: bool
    hold: float
    unreachable: frozenset[ids.MemberId] = frozenset()
    peek: bool = False


class Standing(typing.NamedTuple):
    """What the asking agent says of itself for the hold time of a key."""

    stable: bool
    clean: bool


class Inquiry:
    """Ask in rank order until it is known what a key's attempt means."""

    def __init__(
        self,
        own: ids.MemberId,
        ranked: list[ids.MemberId],
        attempt: Attempt,
        standing: Standing,
    ) -> None:
        """Start at agent `own`, which is one of `ranked`, best first."""
        position = ranked.index(own)
        self.own = own
        self.known = frozenset(ranked)
        self.higher = frozenset(ranked[:position])
        self.lower = ranked[position + 1 :]
        self.attempt = attempt
        self.descends = not (attempt.first or standing.stable)
        self.doubtful = not (attempt.first or standing.clean)
        # Agents whose reply leaves it open whether they started the key.
        self.unsure: set[ids.MemberId] = set()
        self.passed: frozenset[ids.MemberId] = frozenset()
        self.owners: set[ids.MemberId] = set()
        self.undecided = False
        self.wanted = list(ranked[:position])
        self.asked: set[ids.MemberId] = set()
        self.answered: set[ids.MemberId] = set()
        self.outcome: Outcome | None = None
        self.owner: ids.MemberId | None = None
        self._advance()

    def next_batch(self) -> list[ids.MemberId]:
        """Return the agents to ask now; each of them must be answered."""
        batch, self.wanted = self.wanted, []
        self.asked.update(batch)
        return batch

    def replied(
        self,
        member: ids.MemberId,
        reply: messages.RecordReply,
    ) -> None:
        """Take the reply of one agent."""
        if self.outcome is not None or member in self.answered:
            return
        self.answered.add(member)
        if reply.state is messages.RecordState.owned:
            self.redirect(member)
            return
        if reply.state is messages.RecordState.unable:
            self._unanswered(member)
            self._advance()
            return
        if reply.state is messages.RecordState.elsewhere:
            self._follow(reply.owner)
        if not reply.clean:
            # This holds for a first attempt too, as a resubmission may have
            # overtaken it on its way.
            self.unsure.add(member)
        if reply.stable:
            self._stop_below(member)
        self._advance()

    def failed(self, member: ids.MemberId) -> None:
        """Note that one agent cannot be reached."""
        if self.outcome is not None or member in self.answered:
            return
        self.answered.add(member)
        self._unanswered(member)
        self._advance()

    def redirect(self, owner: ids.MemberId) -> None:
        """End in favour of another agent."""
        if self.outcome is None:
            self.outcome = Outcome.redirect
            self.owner = owner

    def _unanswered(self, member: ids.MemberId) -> None:
        if not self.attempt.first or member not in self.higher:
            self.unsure.add(member)
        elif member not in self.attempt.unreachable:
            self.undecided = True

    def _follow(self, owner: ids.MemberId | None) -> None:
        if owner == self.own:
            return
        if owner is None or owner not in self.known:
            self.doubtful = True
            return
        if owner in self.asked:
            self.owners.add(owner)
            return
        # The owner of a tombstone may have started the key or have yielded.
        self.owners.add(owner)
        self.wanted.append(owner)
        self.asked.add(owner)

    def _stop_below(self, member: ids.MemberId) -> None:
        # Nothing ranked below a stable agent was used without asking it. The
        # agents between are still asked: a tombstone may lead past them.
        below = self.lower
        if member in self.lower:
            below = self.lower[self.lower.index(member) + 1 :]
        self.passed |= frozenset(below)

    def _advance(self) -> None:
        if self.wanted or self.asked - self.answered:
            return
        settled = self.asked | self.passed
        left = [member for member in self.lower if member not in settled]
        if self.descends and left:
            # Batches double, so a large fleet is asked in a few rounds.
            self.wanted = left[: len(self.asked) + 1]
            return
        if self.doubtful or self.unsure - (self.passed - self.owners):
            self.outcome = Outcome.indeterminate
        elif self.undecided:
            self.outcome = Outcome.undecided
        else:
            self.outcome = Outcome.unknown
