"""Completions that an endpoint drops though no record has them.

It may drop them only after its lease has lapsed: all that ran beside them has
ended by then, and their tasks may start again.
"""

import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import completions, lease

logger = logging.getLogger(__name__)

# Longest time for which runs may end by themselves before the lease lapses.
_MAX_DRAIN_S: typing.Final = 1.5


class CompletionDiscard:
    """Let the lease lapse where completions can't be acknowledged."""

    def __init__(
        self,
        endpoint_lease: lease.Lease,
        request_report: typing.Callable[[], None],
    ) -> None:
        """Create a tracker without completions."""
        self.lease = endpoint_lease
        self.tracker = completions.CompletionTracker()
        self.request_report = request_report

    def review(self, now: float, run_count: int) -> bool:
        """Suspend the lease if need be; discard once it has lapsed.

        Return whether it has lapsed for that.
        """
        if not self.needs_lapse(now, run_count):
            return False
        if not self.lease.suspended:
            self._suspend_lease()
        if not self.lease.has_lapsed(now):
            return False
        log_events.emit(
            logger,
            'unacknowledged completions discarded',
            level=logging.WARNING,
            ends=self.tracker.discard(),
        )
        return True

    def needs_lapse(self, now: float, run_count: int) -> bool:
        """Return whether the lease has to lapse now.

        For overtaken completions alone, other runs first get some time to end.
        """
        if self.tracker.is_backlogged():
            return True
        overtaken_since = self.tracker.overtaken_since
        if overtaken_since is None:
            return False
        return not run_count or now - overtaken_since > _MAX_DRAIN_S

    def _suspend_lease(self) -> None:
        self.lease.suspended = True
        self.request_report()
        log_events.emit(
            logger,
            'lease suspended: completions cannot be acknowledged',
            level=logging.WARNING,
            held=len(self.tracker.unacknowledged),
            overtaken=self.tracker.overtaken_since is not None,
        )
