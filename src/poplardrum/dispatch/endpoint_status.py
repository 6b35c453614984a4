"""What an agent knows of its endpoint: life, state and capacity."""

import typing

from poplardrum.dispatch import clocks, messages
from poplardrum.platform import endpoints

# Longer than the usual interval of heartbeats, in seconds.
_RESTORED_VALIDITY_S: typing.Final = 1.8


class EndpointStatus:
    """The last heartbeat of the endpoint's present life.

    Until the first one arrives, what an earlier process of the agent knew
    is used if it speaks of the same life.
    """

    def __init__(self) -> None:
        """Start without a known endpoint."""
        self.heartbeat: endpoints.Heartbeat | None = None
        self.restored: endpoints.Heartbeat | None = None
        self.restored_at = 0.0
        self.incarnation = 0

    def is_ready(self) -> bool:
        """Return whether the endpoint takes tasks as far as is known."""
        beat = self.heartbeat
        if beat is None or beat.state != endpoints.READY:
            return False
        # An endpoint that left meanwhile would be missed: it has to say
        # soon that it is still there.
        age = clocks.now() - self.restored_at
        return beat is not self.restored or age < _RESTORED_VALIDITY_S

    def capacity(self) -> messages.Resources:
        """Return the room of the endpoint when it runs nothing."""
        if self.heartbeat is None:
            return messages.Resources(0, 0, 0)
        room = self.heartbeat.capacity
        return messages.Resources(
            room.cpu_millicores, room.memory_mb, room.gpus
        )

    def is_outdated(self, beat: endpoints.Heartbeat) -> bool:
        """Return whether a heartbeat is older than what is known."""
        known = self.heartbeat
        if known is not None:
            age = (beat.born, beat.sequence)
            return age <= (known.born, known.sequence)
        return beat.born < self.incarnation

    def restore(self, beat: endpoints.Heartbeat | None) -> bool:
        """Take what an earlier process knew; return whether it helps."""
        if self.heartbeat is None:
            self.restored = beat
        return self.needs_confirmation()

    def needs_confirmation(self) -> bool:
        """Return whether a report has to confirm what was recalled."""
        known = self.heartbeat is not None or self.incarnation
        return self.restored is not None and not known

    def confirm_restored(self) -> None:
        """Use what was recalled when it speaks of the present life."""
        beat = self.restored
        if self.heartbeat is None and beat is not None:
            if beat.born == self.incarnation:
                self.heartbeat = beat
                self.restored_at = clocks.now()

    def reset(self, born: int) -> None:
        """Forget what is known of an earlier life."""
        if self.incarnation:
            self.heartbeat = None
            self.restored = None
        self.incarnation = born
