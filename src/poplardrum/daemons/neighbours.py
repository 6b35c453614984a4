"""Links from one agent to others: a bounded set, and more on use."""

import asyncio
import time
import typing

from poplardrum import ids
from poplardrum.coordination import views
from poplardrum.peers import links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

# A coordinator places tasks on this many other workers. An idle neighbour was
# measured to cost 0.063% of a core, mostly for heartbeats in both directions,
# so that 24 leave a third of the 2.3% that a node may spend.
MAX_NEIGHBOURS: typing.Final = 24
_IDLE_SECONDS: typing.Final = 30.0
_CHECK_SECONDS: typing.Final = 0.5
_POLL_SECONDS: typing.Final = 0.005
_REFUSAL_SECONDS: typing.Final = 1.5
_NAMES: typing.Final = ids.TenantName('neighbours')


class Neighbours:
    """Keep links to some agents and dial the others when asked."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without links."""
        self.process = process
        self.kept: set[ids.MemberId] = set()
        self.used: dict[ids.MemberId, float] = {}
        self.stale = True

    def changed(self, member: messages.Member) -> None:
        """Note a change of another member."""
        if member.role is not messages.Role.agent:
            return
        gone = member.state is messages.MemberState.gone
        link = self.process.link_to(member.id)
        if link and link.member.incarnation == member.incarnation and not gone:
            link.member = member
            return
        self.process.drop_dialer(member.id)
        self.stale = True
        if len(self.kept) < MAX_NEIGHBOURS:
            self.refresh()

    def refresh(self) -> None:
        """Choose the kept agents anew and dial those that are missing."""
        process = self.process
        own = process.member
        others = [
            member
            for member in process.view.agents(own.region)
            if member.id != own.id
        ]
        if len(others) > MAX_NEIGHBOURS:
            others = views.rank(_NAMES, ids.IdempotencyKey(own.id), others)
        self.stale = False
        self.kept = {member.id for member in others[:MAX_NEIGHBOURS]}
        for member in others[:MAX_NEIGHBOURS]:
            process.ensure_dialer(member)

    async def maintain(self) -> None:
        """Close idle links and replace lost neighbours until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            if self.stale:
                self.refresh()
            limit = time.monotonic() - _IDLE_SECONDS
            for member in list(self.process.dialers):
                idle = self.used.get(member, 0) < limit
                if member not in self.kept and idle:
                    self.process.drop_dialer(member)
                    self.used.pop(member, None)

    async def reach(
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
        self.used[member_id] = started
        while time.monotonic() < started + timeout:
            link = self.open_link(member_id)
            if link or self.failing(member, started):
                return link
            self.process.ensure_dialer(member)
            await asyncio.sleep(_POLL_SECONDS)
        return None

    def open_link(self, member_id: ids.MemberId) -> links.Link | None:
        """Return a live link in either direction."""
        inbound = self.process.inbound.get(member_id)
        if inbound and inbound.is_open:
            return inbound
        return self.process.link_to(member_id)

    def failing(self, member: messages.Member, started: float) -> bool:
        """Tell whether an agent has just refused or left a dial unanswered.

        Dials are repeated within seconds, so older failures say nothing.
        """
        failed = self.process.failed_dials.get(member.id)
        if failed is None or failed.incarnation != member.incarnation:
            return False
        if failed.refused:
            return failed.at > started - _REFUSAL_SECONDS
        silence = self.process.settings.peers.silence
        return failed.timed_out and failed.at > started - silence * 2
