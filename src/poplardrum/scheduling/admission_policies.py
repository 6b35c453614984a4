"""Policies of admission control, which decide by the expected wait.

Policies are types; `retry_delay` dispatches on the type of the policy.
"""

import dataclasses
import functools
import math
import typing

from poplardrum import ids

# Admitted work is counted by the entry until load reports include it. They
# arrive at least every 2 s, the heartbeat interval.
_MAX_REPORT_DELAY_S: typing.Final = 2.0
# Time constant of the exponential average of a tenant's usage; it covers
# several gaps between the jobs of a tenant.
_USAGE_AVERAGING_S: typing.Final = 5.0
_MIN_RETRY_AFTER_S: typing.Final = 0.1


@dataclasses.dataclass(frozen=True)
class JobRequest:
    """A new job and what is expected of it.

    `slot_seconds` is the expected work at speed 1, `longest_task_s` the
    longest of the tasks whose times have been learned, or 0 if there are
    none, and `time_left_s` the time until the deadline. `is_first_attempt` is
    false for a resubmission.
    """

    tenant: ids.TenantName
    task_count: int
    slot_seconds: float
    longest_task_s: float
    time_left_s: float
    is_first_attempt: bool


@dataclasses.dataclass(frozen=True)
class LeakyBucket:
    """Admit at the rate expected for the tenant, with bursts of `burst_s`.

    Entries do not use it; benchmarks compare it with `ExpectedWaitLimit`.
    """

    burst_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class ExpectedWaitLimit:
    """Admit while the expected wait is at most `limit_s`.

    Jobs of a tenant within its share are admitted whatever the wait.
    """

    limit_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class GradedRefusal:
    """Refuse a growing fraction of arrivals as the expected wait grows.

    The range up to `limit_s` is divided into equal steps, one more than there
    are fractions. Nothing is refused in the first step, then each fraction
    applies to one step; beyond the limit everything is refused. Jobs of a
    tenant within its share are admitted whatever the wait. Entries do not use
    it; benchmarks compare it with `ExpectedWaitLimit`.
    """

    limit_s: float = 2.0
    refused_fractions: tuple[float, ...] = (0.2, 0.4, 0.6, 0.8)


AdmissionPolicy = LeakyBucket | ExpectedWaitLimit | GradedRefusal


@dataclasses.dataclass(slots=True)
class TenantState:
    """Jobs in flight and recent usage of one tenant at an entry.

    Times are in seconds, work in slot-seconds at speed 1.
    """

    jobs: int = 0
    tasks: int = 0
    unreported_work: float = 0
    unreported_updated_at: float = 0
    bucket_level: float = 0
    bucket_updated_at: float = 0
    usage_rate: float = 0
    usage_updated_at: float = 0

    def decayed_usage(self, now: float) -> float:
        """Return the recently admitted work in slot-seconds per second."""
        age = max(0, now - self.usage_updated_at)
        return self.usage_rate * math.exp(-age / _USAGE_AVERAGING_S)

    def fill_bucket(
        self, rate: float, burst_s: float, context: 'AdmissionContext'
    ) -> float:
        """Add a job to the leaky bucket, or return the seconds to wait.

        The bucket drains at `rate` slot-seconds per second and is full at
        `burst_s` seconds of that rate. Returns 0 if the job was added.
        """
        drained = max(0, context.now - self.bucket_updated_at) * rate
        self.bucket_level = max(0, self.bucket_level - drained)
        self.bucket_updated_at = context.now
        excess = self.bucket_level / rate - burst_s
        if excess > 0:
            return excess
        self.bucket_level += context.request.slot_seconds
        return 0

    def remaining_unreported(self, now: float) -> float:
        """Return the admitted work that load reports do not include yet."""
        age = max(0, now - self.unreported_updated_at)
        return self.unreported_work * max(0, 1 - age / _MAX_REPORT_DELAY_S)


@dataclasses.dataclass(frozen=True)
class Rates:
    """Rates in slot-seconds per second at speed 1.

    `total` is the capacity, `share_rate` the tenant's share of it among the
    active tenants, `others` the recent usage of the other active tenants.
    """

    total: float
    share_rate: float
    others: float

    @property
    def is_uncontended(self) -> bool:
        """Return whether no other tenant is active."""
        return self.share_rate >= self.total

    @property
    def expected(self) -> float:
        """Return the rate at which the tenant's work is expected to run."""
        return max(self.share_rate, self.total - self.others)


@dataclasses.dataclass(frozen=True)
class AdmissionContext:
    """Inputs of a policy for one job.

    `random_value` is in the range from 0 to 1. `is_within_share` is true if
    the tenant, including this job, has used no more than its share or if no
    other tenant is active. Its jobs may then queue up to their deadline, since
    they take no slot from the share of another tenant.
    """

    state: TenantState
    request: JobRequest
    rates: Rates
    expected_wait_s: float
    now: float
    random_value: float
    is_within_share: bool


@functools.singledispatch
def retry_delay(policy: AdmissionPolicy, context: AdmissionContext) -> float:
    """Return 0 to admit a job, else the seconds until a retry can succeed.

    An admitted job is added to the tenant's bucket by `LeakyBucket`; the other
    policies change nothing.
    """
    raise NotImplementedError(policy)


@retry_delay.register
def _leaky_bucket_delay(
    policy: LeakyBucket, context: AdmissionContext
) -> float:
    return context.state.fill_bucket(
        context.rates.expected, policy.burst_s, context
    )


@retry_delay.register
def _expected_wait_delay(
    policy: ExpectedWaitLimit, context: AdmissionContext
) -> float:
    if context.is_within_share:
        return 0
    return max(0, context.expected_wait_s - policy.limit_s)


@retry_delay.register
def _graded_refusal_delay(
    policy: GradedRefusal, context: AdmissionContext
) -> float:
    if context.is_within_share:
        return 0
    step_s = policy.limit_s / (len(policy.refused_fractions) + 1)
    steps = int(context.expected_wait_s / step_s)
    if not steps:
        return 0
    if (
        steps <= len(policy.refused_fractions)
        and context.random_value >= policy.refused_fractions[steps - 1]
    ):
        return 0
    # At a wait of exactly `step_s` some arrivals are still refused, so a margin
    # is added to reach the first step.
    return context.expected_wait_s - step_s + _MIN_RETRY_AFTER_S
