"""Retry budgets: how much of a tenant's load may be resubmissions."""

import typing

from poplardrum import ids

# Retries allowed as a part of first attempts, and without any of them.
_RETRIES_PER_FIRST_ATTEMPT: typing.Final = 0.1
_MAX_BUDGET_RETRIES: typing.Final = 10.0
_MAX_DELAY_FACTOR: typing.Final = 8.0


class RetryBudgets:
    """Count first attempts against resubmissions, by tenant."""

    def __init__(self) -> None:
        """Start with full budgets."""
        self.remaining: dict[ids.TenantName, float] = {}

    def record_attempt(self, tenant: ids.TenantName, *, is_first: bool) -> None:
        """Take note of one attempt."""
        left = self.remaining.get(tenant, _MAX_BUDGET_RETRIES)
        left += _RETRIES_PER_FIRST_ATTEMPT if is_first else -1
        self.remaining[tenant] = min(
            _MAX_BUDGET_RETRIES, max(-_MAX_BUDGET_RETRIES, left)
        )

    def delay_factor(self, tenant: ids.TenantName) -> float:
        """Return by how much to lengthen the times told to refused callers.

        It is 1 within the budget and grows with the resubmissions beyond it.
        """
        excess = -min(0, self.remaining.get(tenant, _MAX_BUDGET_RETRIES))
        return min(
            _MAX_DELAY_FACTOR,
            1 + excess * (_MAX_DELAY_FACTOR - 1) / _MAX_BUDGET_RETRIES,
        )
