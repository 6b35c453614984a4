"""Which members an entry has lost, and for how long."""

import typing

from poplardrum import ids
from poplardrum.peers import links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry


class LastContact(typing.NamedTuple):
    """Latest frame of one incarnation; `at` is monotonic seconds."""

    incarnation: ids.Incarnation
    received_at: float


class Reachability:
    """Remember when a lost member was last heard of."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Start without lost members."""
        self.process = process
        self.last_contacts: dict[ids.MemberId, LastContact] = {}
        self.unreachable_since: dict[ids.MemberId, LastContact] = {}

    def link_down(self, link: links.Link) -> None:
        """Note the last frame of a link that has ended."""
        self.last_contacts[link.member.id] = LastContact(
            link.member.incarnation,
            link.last_seen,
        )

    def can_pass_over(self, member: messages.Member, now: float) -> bool:
        """Tell whether a first attempt may pass over an agent.

        A live agent stops to call itself stable after the silence time
        without a frame of this entry, so the entry waits as long from the
        agent's last frame. A refused connection shows that no process is
        there. An agent that this entry never reached may still be stable.
        """
        if self.process.link_to(member.id):
            return False
        failed = self.process.failed_dials.get(member.id)
        if failed and failed.refused:
            if failed.incarnation == member.incarnation:
                return True
        contact = self.last_contacts.get(member.id)
        if contact is None or contact.incarnation != member.incarnation:
            return False
        return now - contact.received_at >= self.process.settings.peers.silence

    def expired_members(self, now: float) -> list[messages.Member]:
        """Return the members that were out of reach for a whole window."""
        limits = self.process.settings.limits
        wait = limits.window + limits.deadline
        found = []
        for member in self.process.view.members():
            gone = member.state is messages.MemberState.gone
            if gone or self._is_reachable(member):
                self.unreachable_since.pop(member.id, None)
                continue
            contact = self.unreachable_since.get(member.id)
            if contact is None or contact.incarnation != member.incarnation:
                self.unreachable_since[member.id] = LastContact(
                    member.incarnation, now
                )
            elif now - contact.received_at >= wait:
                found.append(member)
        return found

    def _is_reachable(self, member: messages.Member) -> bool:
        own = self.process.member.id
        return member.id == own or self.process.link_to(member.id) is not None
