"""Endpoint status of an agent: incarnation, state and capacity."""

import asyncio
import typing

from poplardrum.dispatch import clocks, messages
from poplardrum.platform import endpoints

# Longer than the usual interval of heartbeats.
_RESTORED_VALIDITY_S: typing.Final = 1.8


class EndpointStatus:
    """The last heartbeat of the endpoint's current incarnation.

    Until the first one arrives, the heartbeat saved by an earlier process of
    the agent is used if it is of the same incarnation. `incarnation` is the
    Unix time, in milliseconds, at which the endpoint started.
    """

    def __init__(self) -> None:
        """Create a status of an unknown endpoint."""
        self.heartbeat: endpoints.Heartbeat | None = None
        self.restored: endpoints.Heartbeat | None = None
        self.restored_at = 0.0
        self.incarnation = 0
        # Set at each heartbeat.
        self.updated = asyncio.Event()

    def observe(self, heartbeat: endpoints.Heartbeat) -> None:
        """Use a heartbeat that is not outdated."""
        self.heartbeat = heartbeat
        self.updated.set()

    def is_ready(self) -> bool:
        """Return whether the last known state of the endpoint is ready."""
        heartbeat = self.heartbeat
        if heartbeat is None or heartbeat.state != endpoints.READY:
            return False
        # The endpoint may have begun to drain since the saved heartbeat, so
        # a new one has to arrive soon.
        age = clocks.now() - self.restored_at
        return heartbeat is not self.restored or age < _RESTORED_VALIDITY_S

    def capacity(self) -> messages.Resources:
        """Return the total capacity of the endpoint."""
        if self.heartbeat is None:
            return messages.Resources(0, 0, 0)
        capacity = self.heartbeat.capacity
        return messages.Resources(
            capacity.cpu_millicores, capacity.memory_mb, capacity.gpus
        )

    def is_outdated(self, heartbeat: endpoints.Heartbeat) -> bool:
        """Return whether a heartbeat is not newer than the known one."""
        current = self.heartbeat
        if current is not None:
            version = (heartbeat.born, heartbeat.sequence)
            return version <= (current.born, current.sequence)
        return heartbeat.born < self.incarnation

    def restore(self, heartbeat: endpoints.Heartbeat | None) -> bool:
        """Set a saved heartbeat; return whether a report must confirm it."""
        if self.heartbeat is None:
            self.restored = heartbeat
        return self.needs_confirmation()

    def needs_confirmation(self) -> bool:
        """Return whether a report has to confirm the restored heartbeat."""
        is_known = self.heartbeat is not None or self.incarnation
        return self.restored is not None and not is_known

    def confirm_restored(self) -> None:
        """Use the restored heartbeat if it is of the current incarnation."""
        heartbeat = self.restored
        if self.heartbeat is None and heartbeat is not None:
            if heartbeat.born == self.incarnation:
                self.heartbeat = heartbeat
                self.restored_at = clocks.now()

    def reset(self, incarnation: int) -> None:
        """Start over for an incarnation; drop heartbeats of an earlier one."""
        if self.incarnation:
            self.heartbeat = None
            self.restored = None
        self.incarnation = incarnation
