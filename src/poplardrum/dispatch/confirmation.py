"""Proof that a peer was there after a silence of its connection."""

from poplardrum.dispatch import messages


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

    def next_ping(self) -> messages.Ping:
        """Return a ping to send now."""
        self.pings_sent += 1
        return messages.Ping(self.pings_sent)

    def record_pong(self, pong: messages.Pong) -> None:
        """Record the reply to a ping."""
        self.last_pong = max(self.last_pong, pong.number)

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
