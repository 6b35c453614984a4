"""Sessions of entries at an agent."""

import collections
import typing

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    connections,
    messages,
    owner_lease,
    timing,
)

# Older messages are dropped. A run whose completion is lost that way is missing
# from `ActiveRuns`, so its task is queued again.
_MAX_RECENT_MESSAGES: typing.Final = 512


class EntrySession:
    """Session of one incarnation of an entry.

    It survives a short loss of the connection. On each new connection the
    last messages are sent again, since any of them may have been lost;
    entries ignore those that no longer apply, which they tell by the numbers of the
    runs: none is given twice. An `expired` session ends with
    its last run, unless the entry connects again before.
    """

    def __init__(self, node: str, incarnation: ids.Incarnation) -> None:
        """Create a session without a connection."""
        self.node = node
        self.incarnation = incarnation
        self.link: connections.Link | None = None
        self.owner_lease = owner_lease.OwnerLease()
        # Number of active runs of this entry at the endpoint.
        self.active_runs = 0
        self.expired = False
        # How often the connection was lost.
        self.losses = 0
        self.recent_messages: collections.deque[messages.Message] = (
            collections.deque(
                maxlen=_MAX_RECENT_MESSAGES,
            )
        )

    def send(self, message: messages.Message) -> None:
        """Send a message now, or when the entry reconnects."""
        self.recent_messages.append(message)
        if self.link is not None:
            self.link.send(message)

    def notify(self, message: messages.Message) -> None:
        """Send a message now, or never if the entry is not connected."""
        if self.link is not None:
            self.link.send(message)

    def attach(self, link: connections.Link) -> None:
        """Continue on a new connection; send the last messages again."""
        self.link = link
        link.owner_lease = self.owner_lease
        self.expired = False
        link.set_busy(self.active_runs > 0)
        for message in self.recent_messages:
            link.send(message)

    def is_over(self) -> bool:
        """Return whether it has expired and no run of it is left."""
        return self.expired and not self.active_runs

    def count_run(self, change: int) -> None:
        """Add `change` to the number of active runs."""
        self.active_runs += change
        if self.link is not None:
            self.link.set_busy(self.active_runs > 0)

    async def is_current(self, link: connections.Link | None) -> bool:
        """Return whether the entry still stands by a command from a link.

        A command that arrives after a silence may have been delayed while the
        entry gave up this agent.
        """
        return (
            link is not None
            and await link.confirm(timing.LINK_TIMEOUT_S)
            and link is self.link
            and self.is_connected()
        )

    async def may_start_stored_jobs(
        self, link: connections.Link | None, since: float
    ) -> bool:
        """Return whether the lease of the entry lets its stored jobs start now.

        It is asked over the link of a command that came at `since`.
        """
        return (
            link is not None
            and await link.ask_for_owner_lease(since, timing.LINK_TIMEOUT_S)
            and link is self.link
        )

    def is_in_doubt(self) -> bool:
        """Return whether its next command has to be confirmed first."""
        return self.link is None or not self.link.confirmation.is_given()

    def is_connected(self) -> bool:
        """Return whether the entry was heard of within the link timeout.

        After a pause of this process it was not, even if frames are waiting.
        """
        link = self.link
        return (
            link is not None
            and not link.closed
            and clocks.now() - link.last_received_at <= timing.LINK_TIMEOUT_S
        )

    def detach(self, link: connections.Link) -> bool:
        """Drop a lost connection; return `False` if a newer one is in use."""
        if self.link is not link:
            return False
        self.link = None
        self.losses += 1
        return True
