"""Retry budgets that limit the resubmissions of each tenant."""

import typing

from poplardrum import ids

# Resubmissions allowed for each first attempt, and without any first attempt.
_RETRIES_PER_FIRST_ATTEMPT: typing.Final = 0.1
_MAX_BUDGET_RETRIES: typing.Final = 10.0
_MAX_DELAY_FACTOR: typing.Final = 8.0


class RetryBudgets:
    """Budget of resubmissions by tenant.

    A first attempt adds to the budget, a resubmission takes 1 from it. The
    budget is bounded in both directions.
    """

    def __init__(self) -> None:
        """Start with full budgets."""
        self.remaining: dict[ids.TenantName, float] = {}

    def record_attempt(self, tenant: ids.TenantName, *, is_first: bool) -> None:
        """Update the budget of a tenant by one attempt."""
        budget = self.remaining.get(tenant, _MAX_BUDGET_RETRIES)
        budget += _RETRIES_PER_FIRST_ATTEMPT if is_first else -1
        self.remaining[tenant] = min(
            _MAX_BUDGET_RETRIES, max(-_MAX_BUDGET_RETRIES, budget)
        )

    def delay_factor(self, tenant: ids.TenantName) -> float:
        """Return the factor for the retry times of refused callers.

        It is 1 within the budget and grows with each resubmission beyond it.
        """
        excess = -min(0, self.remaining.get(tenant, _MAX_BUDGET_RETRIES))
        return min(
            _MAX_DELAY_FACTOR,
            1 + excess * (_MAX_DELAY_FACTOR - 1) / _MAX_BUDGET_RETRIES,
        )
