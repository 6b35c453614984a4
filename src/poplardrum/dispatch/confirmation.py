"""Proof that a peer was there after a silence of its connection."""

import typing

from poplardrum.dispatch import messages

# Pings of which the time is known; the replies to others are too late anyway.
_MAX_OPEN_PINGS: typing.Final = 64


class Confirmation:
    """The pings of a connection, and whether one has ended the last doubt.

    What follows a silence may have waited for as long, in any number of frames:
    this process or the connection may have stood still. Only the reply to a ping
    that was sent afterwards shows that the peer still stands by it.
    """

    def __init__(self) -> None:
        """Start without a doubt, as on a new connection."""
        self.pings_sent = 0
        # When the last ping was sent, a time of `clocks.now`.
        self.pinged_at = 0.0
        self.last_pong = 0
        # Number of the first ping that followed the last silence.
        self.required_ping = 0
        # Times at which pings without a reply were sent, by number.
        self.sent_at: dict[int, float] = {}

    def next_ping(self, now: float) -> messages.Ping:
        """Return a ping to send now."""
        self.pings_sent += 1
        self.pinged_at = now
        self.sent_at[self.pings_sent] = now
        self.sent_at.pop(self.pings_sent - _MAX_OPEN_PINGS, None)
        return messages.Ping(self.pings_sent)

    def record_pong(self, pong: messages.Pong) -> float | None:
        """Record the reply to a ping; return when it was sent, if known."""
        self.last_pong = max(self.last_pong, pong.number)
        return self.sent_at.pop(pong.number, None)

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
