"""Which members an entry cannot reach, and for how long."""

import typing

from poplardrum import ids
from poplardrum.peers import links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry


class LastContact(typing.NamedTuple):
    """Time of the last frame of one incarnation, in monotonic seconds.

    In `Reachability.unreachable_since` it is instead the time at which the
    member was first found unreachable.
    """

    incarnation: ids.Incarnation
    received_at: float


class Reachability:
    """Record when unreachable members last sent a frame."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Create a table without unreachable members."""
        self.process = process
        self.last_contacts: dict[ids.MemberId, LastContact] = {}
        self.unreachable_since: dict[ids.MemberId, LastContact] = {}

    def link_down(self, link: links.Link) -> None:
        """Record the time of the last frame of a link that has closed."""
        self.last_contacts[link.member.id] = LastContact(
            link.member.incarnation,
            link.last_seen,
        )

    def can_pass_over(self, member: messages.Member, now: float) -> bool:
        """Return whether a first attempt may pass over an agent.

        A live agent no longer counts as stable after the silence limit
        without a frame of this entry, so the entry waits that long from the
        agent's last frame. A refused connection shows that the process does
        not run. An agent that this entry never reached may still be stable.
        """
        if self.process.link_to(member.id):
            return False
        failed_dial = self.process.failed_dials.get(member.id)
        if failed_dial and failed_dial.refused:
            if failed_dial.incarnation == member.incarnation:
                return True
        contact = self.last_contacts.get(member.id)
        if contact is None or contact.incarnation != member.incarnation:
            return False
        return now - contact.received_at >= self.process.settings.peers.silence

    def expired_members(self, now: float) -> list[messages.Member]:
        """Return the members that were unreachable for long enough.

        That is for the sum of the limits `window` and `deadline`. The time
        counts from the first call that finds them unreachable.
        """
        limits = self.process.settings.limits
        max_unreachable_s = limits.window + limits.deadline
        expired = []
        for member in self.process.view.members():
            is_gone = member.state is messages.MemberState.gone
            if is_gone or self._is_reachable(member):
                self.unreachable_since.pop(member.id, None)
                continue
            contact = self.unreachable_since.get(member.id)
            if contact is None or contact.incarnation != member.incarnation:
                self.unreachable_since[member.id] = LastContact(
                    member.incarnation, now
                )
            elif now - contact.received_at >= max_unreachable_s:
                expired.append(member)
        return expired

    def _is_reachable(self, member: messages.Member) -> bool:
        own = self.process.member.id
        return member.id == own or self.process.link_to(member.id) is not None
