"""Entries that tasks of an agent belong to."""

import collections
import typing

from poplardrum import ids
from poplardrum.dispatch import messages

_MAX_RECENT_MESSAGES: typing.Final = 512


class EntrySession:
    """One start of an entry's process.

    It outlives a connection for a moment: ends that were reported shortly
    before a break are reported again, since they may not have arrived.
    """

    def __init__(self, node: str, incarnation: ids.Incarnation) -> None:
        """Start without a connection."""
        self.node = node
        self.incarnation = incarnation
        self.link: messages.Link | None = None
        self.recent_messages: collections.deque[messages.Message] = (
            collections.deque(
                maxlen=_MAX_RECENT_MESSAGES,
            )
        )

    def send(self, message: messages.Message) -> None:
        """Send now, or when the entry connects again."""
        self.recent_messages.append(message)
        if self.link is not None:
            self.link.send(message)

    def attach(self, link: messages.Link) -> None:
        """Continue on a new connection."""
        self.link = link
        for message in self.recent_messages:
            link.send(message)

    def detach(self, link: messages.Link) -> bool:
        """Forget a broken connection unless a newer one is in use."""
        if self.link is not link:
            return False
        self.link = None
        return True
