"""Endpoint status of an agent: incarnation, state and capacity."""

import asyncio
import collections
import math
import typing

from poplardrum.dispatch import clocks, messages
from poplardrum.platform import endpoints

# Longer than the usual interval of heartbeats.
_RESTORED_VALIDITY_S: typing.Final = 1.8
# Late messages of incarnations before these are not expected.
_MAX_REPLACED: typing.Final = 16


class EndpointStatus:
    """The last heartbeat of the endpoint's current incarnation.

    Until the first one arrives, the heartbeat saved by an earlier process of
    the agent is used if it is of the same incarnation. `incarnation` is the
    Unix time, in milliseconds, at which the endpoint started. Where the time of
    day goes back, that of a later incarnation may be lower: then the answer to
    a report request tells which one is there.
    """

    def __init__(self) -> None:
        """Create a status of an unknown endpoint."""
        self.heartbeat: endpoints.Heartbeat | None = None
        self.restored: endpoints.Heartbeat | None = None
        self.restored_at = 0.0
        self.incarnation = 0
        # When the current incarnation was last heard of.
        self.heard_at = -math.inf
        self.replaced: collections.deque[int] = collections.deque(
            maxlen=_MAX_REPLACED
        )
        # The last heartbeat of an incarnation that started earlier by its time
        # of day. It is late, or the first one of a later incarnation.
        self.unconfirmed: endpoints.Heartbeat | None = None
        # Set at each heartbeat.
        self.updated = asyncio.Event()

    def observe(self, heartbeat: endpoints.Heartbeat) -> None:
        """Use a heartbeat that is not outdated."""
        self.heard_at = clocks.now()
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
        if heartbeat.born in self.replaced:
            return True
        current = self.heartbeat
        if current is not None:
            version = (heartbeat.born, heartbeat.sequence)
            return version <= (current.born, current.sequence)
        return heartbeat.born < self.incarnation

    def hold_unconfirmed(self, heartbeat: endpoints.Heartbeat) -> bool:
        """Hold an outdated heartbeat that may be of a later incarnation.

        Return whether it may be, which a report has to tell.
        """
        if heartbeat.born >= self.incarnation or (
            heartbeat.born in self.replaced
        ):
            return False
        self.unconfirmed = heartbeat
        return True

    def take_confirmed(self) -> endpoints.Heartbeat | None:
        """Return the held heartbeat if it is of the incarnation of a report.

        Any other one was late.
        """
        heartbeat, self.unconfirmed = self.unconfirmed, None
        if heartbeat is None or heartbeat.born != self.incarnation:
            return None
        return heartbeat

    def is_late(self, incarnation: int, requested_at: float) -> bool:
        """Return whether a report is of an incarnation that has ended.

        Whatever answers a request is there when the request is sent, or later.
        So it is not late if the current incarnation was heard of before that.
        """
        if incarnation in self.replaced:
            return True
        return incarnation < self.incarnation and requested_at < self.heard_at

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
            self.replaced.append(self.incarnation)
            self.heartbeat = None
            self.restored = None
        self.incarnation = incarnation
