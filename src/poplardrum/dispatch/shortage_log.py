"""Log lines on refusals for want of room, at most one a second."""

import collections
import logging
import math
import typing

from poplardrum import log_events
from poplardrum.dispatch import jobs, shares

logger = logging.getLogger(__name__)

_INTERVAL_S: typing.Final = 1.0
_MAX_LISTED_QUEUES: typing.Final = 8


class ShortageLog:
    """Count refusals by queue and log them together."""

    def __init__(self) -> None:
        """Start without refusals."""
        self.refusals: collections.Counter[str] = collections.Counter()
        self.urgencies: dict[str, int] = {}
        self.logged_at = -math.inf

    def record(
        self, job: jobs.Job, queue_shares: shares.QueueShares, now: float
    ) -> None:
        """Record the refusal of a job; log if the last line is a while ago."""
        self.refusals[job.queue] += 1
        self.urgencies[job.queue] = job.urgency
        if now - self.logged_at < _INTERVAL_S:
            return
        self.logged_at = now
        most_refused = self.refusals.most_common(_MAX_LISTED_QUEUES)
        log_events.emit(
            logger,
            'room is short',
            refused=dict(most_refused),
            urgency={queue: self.urgencies[queue] for queue, _ in most_refused},
            started_part={
                queue: round(queue_shares.part(queue), 2)
                for queue, _ in most_refused
            },
        )
        self.refusals.clear()
        self.urgencies.clear()
