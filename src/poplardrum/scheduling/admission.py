"""Admission control for new jobs at an entry.

Jobs that would wait too long are refused early, with the time after which a
retry can succeed. A tenant's expected wait is its backlog divided by the rate
at which the fleet works on it. That rate is the tenant's share of the capacity
among the active tenants, or all that the others leave unused, if that is more.
Policies are types; `retry_delay` dispatches on the type of the policy.
"""

import dataclasses
import functools
import math
import random
import typing

from poplardrum import errors, ids
from poplardrum.scheduling import retries

# A tenant with more backlog than this is active whatever its recent usage.
_MIN_ACTIVE_BACKLOG_SLOT_S: typing.Final = 0.01
# Admitted work is counted by the entry until load reports include it. They
# arrive at least every 2 s, the heartbeat interval.
_MAX_REPORT_DELAY_S: typing.Final = 2.0
# Time constant of the exponential average of a tenant's usage; it covers
# several gaps between the jobs of a tenant.
_USAGE_AVERAGING_S: typing.Final = 5.0
# A tenant that uses more than this fraction of the capacity is active whatever
# its backlog.
_MIN_ACTIVE_FRACTION: typing.Final = 0.01
# Added at random to the retry time, so that refused callers do not all return
# at once.
_MAX_JITTER_FRACTION: typing.Final = 0.5
_MIN_RETRY_AFTER_S: typing.Final = 0.1
_DEFAULT_RETRY_AFTER_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True)
class FleetLoad:
    """Load of the fleet as reported over the entry's links.

    `slot_rate` is the capacity in slot-seconds per second at speed 1;
    `backlog` is the waiting work by tenant in expected slot-seconds.
    """

    slot_rate: float
    free_slots: int
    backlog: typing.Mapping[ids.TenantName, float]


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
class TenantLimits:
    """Share and quotas of one tenant; a quota of 0 admits nothing.

    `share` is a weight relative to the sum of the active tenants' shares.
    """

    share: float = 1.0
    max_jobs: int = 1000
    max_tasks: int = 20000


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


class AdmissionController:
    """Admit or refuse new jobs and count those in flight by tenant."""

    def __init__(self, policy: AdmissionPolicy, rng: random.Random) -> None:
        """Start without jobs; `rng` is used for jitter and graded refusal."""
        self.policy = policy
        self.rng = rng
        self.tenant_limits: dict[ids.TenantName, TenantLimits] = {}
        self.states: dict[ids.TenantName, TenantState] = {}
        self.retry_budgets = retries.RetryBudgets()

    def set_limits(
        self,
        limits: typing.Mapping[ids.TenantName, TenantLimits],
    ) -> None:
        """Replace shares and quotas; remove idle tenants that have none."""
        self.tenant_limits = dict(limits)
        for tenant, state in list(self.states.items()):
            if tenant not in limits and not state.jobs:
                self.states.pop(tenant)

    def admit(
        self,
        request: JobRequest,
        load: FleetLoad,
        now: float,
    ) -> None:
        """Admit a job and count it as in flight, or raise a refusal.

        Raises a `PoplardrumError` with code `quota` (one of the tenant's
        quotas would be exceeded), `overload`, or `unavailable` (no worker is
        available). The refused attempt starts nothing; a job of an earlier
        attempt may be running. The `retry_after` of an `overload` error is the
        expected time until a retry is admitted, longer for tenants beyond
        their retry budget, plus jitter. Call `release` for every admitted job.
        """
        state = self.states.setdefault(request.tenant, TenantState())
        limits = self.tenant_limits.get(request.tenant, TenantLimits())
        self.retry_budgets.record_attempt(
            request.tenant, is_first=request.is_first_attempt
        )
        self._check_quota(state, limits, request)
        if load.slot_rate <= 0:
            raise errors.refusal(
                errors.Code.unavailable,
                'no worker has a slot',
                self._add_jitter(_DEFAULT_RETRY_AFTER_S),
            )
        context = self._context(state, request, load, now)
        self._check_load(context)
        state.unreported_work = (
            state.remaining_unreported(now) + request.slot_seconds
        )
        state.unreported_updated_at = now
        state.usage_rate = (
            state.decayed_usage(now) + request.slot_seconds / _USAGE_AVERAGING_S
        )
        state.usage_updated_at = now
        state.jobs += 1
        state.tasks += request.task_count

    def release(
        self,
        tenant: ids.TenantName,
        tasks: int,
        *,
        answered: bool = True,
    ) -> None:
        """Count a job of `tasks` tasks as no longer in flight.

        When the last job in flight is answered, all admitted work counts as
        done, so nothing is unreported. If that job was only accepted
        (`answered` is false), it may still run, so its work stays counted.
        """
        state = self.states[tenant]
        state.jobs -= 1
        state.tasks -= tasks
        if answered and not state.jobs:
            state.unreported_work = 0

    def expected_wait(
        self,
        tenant: ids.TenantName,
        load: FleetLoad,
        now: float,
    ) -> float:
        """Return the expected seconds until new work of a tenant starts."""
        state = self.states.get(tenant, TenantState())
        backlog = self._backlog(tenant, state, load, now)
        return backlog / self._rates(tenant, load, now).expected

    def _check_quota(
        self,
        state: TenantState,
        limits: TenantLimits,
        request: JobRequest,
    ) -> None:
        over_jobs = state.jobs >= limits.max_jobs
        over_tasks = state.tasks + request.task_count > limits.max_tasks
        if over_jobs or over_tasks:
            name = 'max_jobs' if over_jobs else 'max_tasks'
            raise errors.refusal(
                errors.Code.quota,
                f'quota {name} of tenant {request.tenant} is used up',
                self._add_jitter(_DEFAULT_RETRY_AFTER_S),
            )

    def _check_load(self, context: AdmissionContext) -> None:
        request = context.request
        lateness = (
            context.expected_wait_s
            + request.longest_task_s
            - request.time_left_s
        )
        # Without a wait, a retry would be late as well.
        if lateness > 0 and context.expected_wait_s > 0:
            raise self._overload_error(
                context, lateness, 'it would miss its deadline'
            )
        delay = retry_delay(self.policy, context)
        if delay > 0:
            raise self._overload_error(context, delay, 'its share is used up')

    def _overload_error(
        self,
        context: AdmissionContext,
        delay: float,
        reason: str,
    ) -> errors.PoplardrumError:
        tenant = context.request.tenant
        factor = self.retry_budgets.delay_factor(tenant)
        return errors.refusal(
            errors.Code.overload,
            f'tenant {tenant} would wait {context.expected_wait_s:.1f} s: '
            f'{reason}',
            self._add_jitter(delay * factor),
        )

    def _context(
        self,
        state: TenantState,
        request: JobRequest,
        load: FleetLoad,
        now: float,
    ) -> AdmissionContext:
        rates = self._rates(request.tenant, load, now)
        backlog = self._backlog(request.tenant, state, load, now)
        usage = (
            state.decayed_usage(now) + request.slot_seconds / _USAGE_AVERAGING_S
        )
        return AdmissionContext(
            state=state,
            request=request,
            rates=rates,
            expected_wait_s=backlog / rates.expected,
            now=now,
            random_value=self.rng.random(),
            is_within_share=usage <= rates.share_rate or rates.is_uncontended,
        )

    def _backlog(
        self,
        tenant: ids.TenantName,
        state: TenantState,
        load: FleetLoad,
        now: float,
    ) -> float:
        reported = load.backlog.get(tenant, 0)
        # Work that starts in a free slot at once never becomes backlog. Each
        # free slot is assumed to take 1 slot-second of the unreported work.
        unreported = max(0, state.remaining_unreported(now) - load.free_slots)
        return reported + unreported

    def _rates(
        self,
        tenant: ids.TenantName,
        load: FleetLoad,
        now: float,
    ) -> Rates:
        usage = {
            name: state.decayed_usage(now)
            for name, state in self.states.items()
            if name != tenant
        }
        min_active = load.slot_rate * _MIN_ACTIVE_FRACTION
        active = {name for name, used in usage.items() if used > min_active}
        active.update(
            name
            for name, backlog in load.backlog.items()
            if backlog > _MIN_ACTIVE_BACKLOG_SLOT_S
        )
        total_share = math.fsum(
            self.tenant_limits.get(name, TenantLimits()).share
            for name in active | {tenant}
        )
        share = self.tenant_limits.get(tenant, TenantLimits()).share
        others = math.fsum(usage[name] for name in active & usage.keys())
        return Rates(
            load.slot_rate,
            load.slot_rate * share / total_share,
            others,
        )

    def _add_jitter(self, delay: float) -> float:
        jitter = 1 + self.rng.random() * _MAX_JITTER_FRACTION
        return max(delay, _MIN_RETRY_AFTER_S) * jitter
