"""Pauses of this process and cuts of its host, noticed afterwards.

What is read after a pause or a cut may have been sent as long before. A caller
that had no answer meanwhile has gone and submits its job to another entry, and
the end of its connection may be read only after its request.
"""

import logging
import math
import typing

from poplardrum import log_events
from poplardrum.dispatch import clocks, timing

logger = logging.getLogger(__name__)


class Continuity:
    """Whether this process ran all along, in contact with its peers.

    Times are those of `clocks.now`.
    """

    def __init__(self) -> None:
        """Start in contact; pauses are noticed from the first check on."""
        self.checked_at = math.inf
        self.contact_at = clocks.now()
        self.resumed_at = -math.inf
        self.doubt_until = -math.inf

    def check(self, now: float, received_at: typing.Iterable[float]) -> None:
        """Check at regular intervals; peers were heard of at `received_at`."""
        self.notice_pause(now)
        self.contact_at = max(self.contact_at, *received_at, -math.inf)
        silence = now - self.contact_at
        if silence > timing.ISOLATED_AFTER_S:
            self._doubt(now, silence)

    def notice_pause(self, now: float) -> None:
        """Notice that this process stood still since the last call."""
        pause = now - self.checked_at
        self.checked_at = now
        if pause > timing.PAUSED_AFTER_S:
            self.resumed_at = now
            self._doubt(now, pause)
            log_events.emit(
                logger,
                'process stood still',
                level=logging.WARNING,
                seconds=round(pause, 3),
            )

    def has_just_resumed(self, now: float) -> bool:
        """Return whether ends of connections may not have been read yet."""
        if self.checked_at <= now:
            self.notice_pause(now)
        return now - self.resumed_at < timing.CALLER_CHECK_S

    def is_in_doubt(self, now: float) -> bool:
        """Return whether what is read now may have been sent long before."""
        return now < self.doubt_until or self.has_just_resumed(now)

    def _doubt(self, now: float, duration: float) -> None:
        """Doubt what is read for as long again.

        The network repeats what it held up at intervals that double.
        """
        self.doubt_until = max(self.doubt_until, now + duration)
