"""The lease of an entry on its stored jobs, as an agent knows it.

An entry may run its stored jobs only until another one may have taken them over.
It grants each agent a lease that ends no later. The agent stops the runs of stored
jobs when the lease has expired, whether or not the entry tells it to: the command
may be lost, and the entry may be paused or cut off.
"""

import math

from poplardrum.dispatch import messages


class OwnerLease:
    """Until when the stored jobs of an entry may run, and their tasks start.

    Times are of `clocks.now`, which includes time of suspension.
    """

    def __init__(self) -> None:
        """Create a lease that was never granted."""
        self.expires_at = -math.inf
        self.starts_until = -math.inf

    def renew(
        self, asked_at: float, grant: messages.OwnerLeaseGrant | None
    ) -> None:
        """Extend the lease by a reply to a request that was sent at `asked_at`.

        The durations count from the request, so that a delayed reply does not
        extend them. There is no grant if the entry is of a version without leases,
        which stops its jobs itself.
        """
        if grant is None:
            self.expires_at = math.inf
            self.starts_until = math.inf
            return
        self.expires_at = max(self.expires_at, asked_at + grant.run_s)
        self.starts_until = max(self.starts_until, asked_at + grant.start_s)

    def is_valid(self, now: float) -> bool:
        """Return whether the entry certainly owns its jobs at a time."""
        return now < self.expires_at

    def may_start(self, now: float) -> bool:
        """Return whether tasks of its jobs may start at a time."""
        return now < min(self.expires_at, self.starts_until)
