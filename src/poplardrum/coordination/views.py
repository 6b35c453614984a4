"""Membership view of one process, and the rank of agents for a key."""

import hashlib
import typing

from poplardrum import ids
from poplardrum.peers import messages


class MembershipView:
    """Members as reported by peers and the platform.

    Of two reports about one id, the one with the higher version wins. A
    process sets the version of its own member record and increments it on
    each change.
    """

    def __init__(self, own: messages.Member) -> None:
        """Start with the member of the process itself."""
        self.own = own
        self.by_id: dict[ids.MemberId, messages.Member] = {own.id: own}
        self.revision = 0

    def members(self) -> list[messages.Member]:
        """Return all known members."""
        return list(self.by_id.values())

    def merge(
        self,
        members: typing.Iterable[messages.Member],
    ) -> list[messages.Member]:
        """Apply newer reports; return the members that changed."""
        changed = [member for member in members if self._is_newer(member)]
        for member in changed:
            self.by_id[member.id] = member
            self.revision += 1
        return changed

    def get(self, member: ids.MemberId) -> messages.Member | None:
        """Return a member by id, `None` if it is not known."""
        return self.by_id.get(member)

    def agents(self, region: str) -> list[messages.Member]:
        """Return the agents of a region that have not ended."""
        return [
            member
            for member in self.by_id.values()
            if member.role is messages.Role.agent
            and member.region == region
            and member.state is not messages.MemberState.gone
        ]

    def entries(self) -> frozenset[ids.MemberId]:
        """Return the entries of all regions that have not ended."""
        return frozenset(
            member.id
            for member in self.by_id.values()
            if member.role is messages.Role.entry
            and member.state is not messages.MemberState.gone
        )

    def replace_own(self, member: messages.Member) -> None:
        """Replace the member of the process itself."""
        self.own = member
        self.by_id[member.id] = member
        self.revision += 1

    def _is_newer(self, member: messages.Member) -> bool:
        if member.id == self.own.id:
            return False
        known = self.by_id.get(member.id)
        return known is None or member.version > known.version


def rank(
    tenant: ids.TenantName,
    key: ids.IdempotencyKey,
    agents: typing.Iterable[messages.Member],
) -> list[messages.Member]:
    """Rank agents for a key by rendezvous hashing, best first."""
    return sorted(
        agents,
        key=lambda agent: score(tenant, key, agent.id),
        reverse=True,
    )


def score(
    tenant: ids.TenantName,
    key: ids.IdempotencyKey,
    agent: ids.MemberId,
) -> bytes:
    """Return the rendezvous hashing score of an agent for a key."""
    text = f'{tenant}\0{key}\0{agent}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
