"""Links from one agent to others: a bounded set, and more on demand."""

import asyncio
import time
import typing

from poplardrum import ids
from poplardrum.coordination import views
from poplardrum.peers import links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

# A coordinator places tasks on this many other workers. An idle neighbour
# costs 0.063% of a core, mostly for heartbeats in both directions, so 24 leave
# a third of the 2.3% that a node may use.
MAX_NEIGHBOURS: typing.Final = 24
_IDLE_TIMEOUT_S: typing.Final = 30.0
_CHECK_INTERVAL_S: typing.Final = 0.5
_POLL_INTERVAL_S: typing.Final = 0.005
_MAX_REFUSAL_AGE_S: typing.Final = 1.5
_HASH_NAMESPACE: typing.Final = ids.TenantName('neighbours')


class Neighbours:
    """Links to a selection of agents, and on demand to the others."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Create the set without links."""
        self.process = process
        self.selected: set[ids.MemberId] = set()
        self.last_used: dict[ids.MemberId, float] = {}
        self.is_stale = True

    def member_changed(self, member: messages.Member) -> None:
        """Update links and selection after a change of another member."""
        if member.role is not messages.Role.agent:
            return
        is_gone = member.state is messages.MemberState.gone
        link = self.process.link_to(member.id)
        if (
            link
            and link.member.incarnation == member.incarnation
            and not is_gone
        ):
            link.member = member
            return
        self.process.stop_dialer(member.id)
        self.is_stale = True
        if len(self.selected) < MAX_NEIGHBOURS:
            self.refresh()

    def refresh(self) -> None:
        """Select the neighbours again and dial those without a link."""
        process = self.process
        own = process.member
        others = [
            member
            for member in process.view.agents(own.region)
            if member.id != own.id
        ]
        if len(others) > MAX_NEIGHBOURS:
            others = views.rank(
                _HASH_NAMESPACE, ids.IdempotencyKey(own.id), others
            )
        self.is_stale = False
        self.selected = {member.id for member in others[:MAX_NEIGHBOURS]}
        for member in others[:MAX_NEIGHBOURS]:
            process.ensure_dialer(member)

    async def maintain(self) -> None:
        """Close idle links and replace lost neighbours until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self.is_stale:
                self.refresh()
            cutoff = time.monotonic() - _IDLE_TIMEOUT_S
            for member in list(self.process.dialers):
                idle = self.last_used.get(member, 0) < cutoff
                if member not in self.selected and idle:
                    self.process.stop_dialer(member)
                    self.last_used.pop(member, None)

    async def connect(
        self,
        member_id: ids.MemberId,
        timeout: float,
    ) -> links.Link | None:
        """Return a link to an agent, dialing it within `timeout` seconds.

        Returns `None` when it cannot be reached.
        """
        member = self.process.view.get(member_id)
        if member is None:
            return None
        started = time.monotonic()
        self.last_used[member_id] = started
        while time.monotonic() < started + timeout:
            link = self.open_link(member_id)
            if link or self.is_failing(member, started):
                return link
            self.process.ensure_dialer(member)
            await asyncio.sleep(_POLL_INTERVAL_S)
        return None

    def open_link(self, member_id: ids.MemberId) -> links.Link | None:
        """Return an open link in either direction."""
        inbound = self.process.inbound.get(member_id)
        if inbound and inbound.is_open:
            return inbound
        return self.process.link_to(member_id)

    def is_failing(self, member: messages.Member, started: float) -> bool:
        """Return whether a recent dial of an agent was refused or timed out.

        Dials are retried within seconds, so older failures are irrelevant.
        """
        failed_dial = self.process.failed_dials.get(member.id)
        if failed_dial is None or failed_dial.incarnation != member.incarnation:
            return False
        if failed_dial.refused:
            return failed_dial.failed_at > started - _MAX_REFUSAL_AGE_S
        silence = self.process.settings.peers.silence
        return (
            failed_dial.timed_out
            and failed_dial.failed_at > started - silence * 2
        )
