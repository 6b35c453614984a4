"""Keep-alive of the links between entries and agents.

A link is busy while this side depends on the peer: an entry while tasks of its
jobs are placed at the agent, an agent while it has runs of the entry. Busy links
are checked often, since both sides must notice soon that the other is gone.
Idle links are checked the less often the more there are, so that the cost of a
process does not grow with the fleet.

Each side pings only when it has heard nothing for a while, and the other side
answers each ping, so neither has to know whether the link is busy for the other.
Entries need to know which agents are there before they send tasks, so it is they
who keep idle links alive; agents ping an idle link only if no ping has come.
"""

import asyncio
import contextlib
import typing

from poplardrum.dispatch import clocks, connections, continuity, timing


class KeepAlive:
    """Ping silent links of a process and abort those that stay silent."""

    def __init__(self, *, is_passive: bool = False) -> None:
        """Start without links.

        A passive process leaves the pings on idle links to its peers.
        """
        self.is_passive = is_passive
        self.continuity = continuity.Continuity()
        self.links: set[connections.Link] = set()

    @contextlib.contextmanager
    def watch(self, link: connections.Link) -> typing.Iterator[None]:
        """Watch a link; abort it at the end."""
        self.links.add(link)
        try:
            yield
        finally:
            self.links.discard(link)
            link.abort()

    async def run(self) -> None:
        """Check all links until cancelled."""
        while True:
            is_busy = any(link.busy_since is not None for link in self.links)
            await asyncio.sleep(
                timing.LINK_CHECK_INTERVAL_S
                if is_busy
                else timing.IDLE_CHECK_INTERVAL_S
            )
            self.check(clocks.now())

    def check(self, now: float) -> None:
        """Ping or abort links by the time since something was received."""
        self.continuity.check(
            now, (link.last_received_at for link in self.links)
        )
        idle_interval = (
            timing.PASSIVE_PING_INTERVAL_S
            if self.is_passive
            else timing.idle_ping_interval(len(self.links))
        )
        for link in list(self.links):
            check_link(link, now, idle_interval)


def check_link(
    link: connections.Link, now: float, idle_interval: float
) -> None:
    """Mark, ping or abort one link.

    A link that has just become busy gets the time of a busy link from then.
    """
    silence = now - link.last_received_at
    interval = idle_interval
    tolerated = timing.idle_link_timeout(idle_interval)
    expected_since = link.last_received_at
    if link.busy_since is not None:
        interval = timing.PING_INTERVAL_S
        tolerated = timing.LINK_TIMEOUT_S
        expected_since = max(link.last_received_at, link.busy_since)
    link.is_stale = silence > timing.stale_after(interval)
    if now - expected_since > tolerated:
        link.abort()
    elif min(silence, now - link.confirmation.pinged_at) >= interval:
        link.ping()
