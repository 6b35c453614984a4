"""The lease of an entry on its stored jobs, as an agent knows it.

An entry may run its stored jobs only until another one may have taken them over.
It grants each agent a lease that ends no later. The agent stops the runs of stored
jobs when the lease has expired, whether or not the entry tells it to: the command
may be lost, and the entry may be paused or cut off.
"""

import math


class OwnerLease:
    """Until when an entry certainly owns its stored jobs.

    Times are of `clocks.now`, which includes time of suspension.
    """

    def __init__(self) -> None:
        """Create a lease that was never granted."""
        self.expires_at = -math.inf

    def renew(self, asked_at: float, duration_s: float | None) -> None:
        """Extend the lease by a reply to a request that was sent at `asked_at`.

        The duration counts from the request, so that a delayed reply does not
        extend it. It is `None` if the entry is of a version without leases, which
        stops its jobs itself.
        """
        expires_at = math.inf if duration_s is None else asked_at + duration_s
        self.expires_at = max(self.expires_at, expires_at)

    def is_valid(self, now: float) -> bool:
        """Return whether the entry certainly owns its jobs at a time."""
        return now < self.expires_at
