"""Proof that a peer was there after a silence of its connection."""

import collections
import math
import typing

from poplardrum.dispatch import messages

# A peer that sends frames but no replies is lost before it has had more pings.
_MAX_OPEN_PINGS: typing.Final = 32


class Confirmation:
    """The pings of a connection, and whether one has ended the last doubt.

    What follows a silence may have waited for as long, in any number of frames:
    this process or the connection may have stood still. Only the reply to a ping
    that was sent afterwards shows that the peer still stands by it.
    """

    def __init__(self) -> None:
        """Start without a doubt, as on a new connection."""
        self.pings_sent = 0
        self.last_pong = 0
        # Number of the first ping that followed the last silence.
        self.required_ping = 0
        # When the last ping was sent that has a reply: the peer was there then
        # or later.
        self.confirmed_at = -math.inf
        # Numbers and times of the pings without a reply.
        self.open_pings: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=_MAX_OPEN_PINGS)
        )

    def next_ping(self, now: float) -> messages.Ping:
        """Return a ping to send now."""
        self.pings_sent += 1
        self.open_pings.append((self.pings_sent, now))
        return messages.Ping(self.pings_sent)

    def record_pong(self, pong: messages.Pong) -> None:
        """Record the reply to a ping."""
        self.last_pong = max(self.last_pong, pong.number)
        while self.open_pings and self.open_pings[0][0] <= pong.number:
            _, sent_at = self.open_pings.popleft()
            self.confirmed_at = max(self.confirmed_at, sent_at)

    def record_silence(self) -> None:
        """Doubt what is received from now on."""
        self.required_ping = self.pings_sent + 1

    def reset(self) -> None:
        """End the doubt, for reasons that the caller knows."""
        self.required_ping = 0

    def is_given(self) -> bool:
        """Return whether what is received is not in doubt."""
        return self.last_pong >= self.required_ping

    def needs_ping(self) -> bool:
        """Return whether no ping that could end the doubt is on its way."""
        return not self.is_given() and self.pings_sent < self.required_ping
