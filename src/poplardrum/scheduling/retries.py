"""Retry budgets: how much of a tenant's load may be resubmissions."""

import typing

from poplardrum import ids

# Retries allowed as a part of first attempts, and without any of them.
_BUDGET_PART: typing.Final = 0.1
_BUDGET_MIN: typing.Final = 10.0
_MAX_FACTOR: typing.Final = 8.0


class RetryBudgets:
    """Count first attempts against resubmissions, by tenant."""

    def __init__(self) -> None:
        """Start with full budgets."""
        self.left: dict[ids.TenantName, float] = {}

    def seen(self, tenant: ids.TenantName, *, first: bool) -> None:
        """Take note of one attempt."""
        left = self.left.get(tenant, _BUDGET_MIN)
        left += _BUDGET_PART if first else -1
        self.left[tenant] = min(_BUDGET_MIN, max(-_BUDGET_MIN, left))

    def factor(self, tenant: ids.TenantName) -> float:
        """Return by how much to lengthen the times told to refused callers.

        It is 1 within the budget and grows with the resubmissions beyond it.
        """
        excess = -min(0, self.left.get(tenant, _BUDGET_MIN))
        return min(_MAX_FACTOR, 1 + excess * (_MAX_FACTOR - 1) / _BUDGET_MIN)
