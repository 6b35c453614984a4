"""Sessions of entries at an agent."""

import collections
import typing

from poplardrum import ids
from poplardrum.dispatch import messages

# Older messages are dropped. A run whose completion is lost that way is missing
# from `ActiveRuns`, so its task is queued again.
_MAX_RECENT_MESSAGES: typing.Final = 512


class EntrySession:
    """Session of one incarnation of an entry.

    It survives a short loss of the connection. On each new connection the
    last messages are sent again, since any of them may have been lost;
    entries ignore those that no longer apply.
    """

    def __init__(self, node: str, incarnation: ids.Incarnation) -> None:
        """Create a session without a connection."""
        self.node = node
        self.incarnation = incarnation
        self.link: messages.Link | None = None
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

    def attach(self, link: messages.Link) -> None:
        """Continue on a new connection; send the last messages again."""
        self.link = link
        for message in self.recent_messages:
            link.send(message)

    def detach(self, link: messages.Link) -> bool:
        """Drop a lost connection; return `False` if a newer one is in use."""
        if self.link is not link:
            return False
        self.link = None
        return True
