"""Admission of new jobs at an entry: refuse early, with a true time.

A tenant's expected wait is its backlog divided by the speed at which the
fleet works on it: the fleet's capacity by the tenant's share among the
tenants that have a backlog. The rules are types; `judge` chooses by type.
"""

import dataclasses
import functools
import math
import random
import typing

from poplardrum import errors, ids
from poplardrum.scheduling import retries

# Seconds of backlog below which a tenant does not compete for slots.
_MIN_ACTIVE_BACKLOG_S: typing.Final = 0.01
# Work just admitted is counted until load reports show it. Reports come at
# least every 2 s, the heartbeat interval.
_MAX_REPORT_DELAY_S: typing.Final = 2.0
# Usage is averaged over this time, a few gaps between a tenant's jobs.
_USAGE_AVERAGING_S: typing.Final = 5.0
# Part of the capacity below which the other tenants count as inactive.
_MIN_ACTIVE_FRACTION: typing.Final = 0.01
# Refused callers are told a time up to this much longer, so that they do not
# all return at once.
_MAX_JITTER_FRACTION: typing.Final = 0.5
_MIN_RETRY_AFTER_S: typing.Final = 0.1
_DEFAULT_RETRY_AFTER_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True)
class FleetLoad:
    """Load of the fleet as the entry's links report it.

    `slot_rate` is in slot-seconds of speed 1 per second; `backlog` holds the
    expected seconds of waiting work by tenant.
    """

    slot_rate: float
    free_slots: int
    backlog: typing.Mapping[ids.TenantName, float]


@dataclasses.dataclass(frozen=True)
class JobRequest:
    """A new job: its tasks, its expected slot-seconds at speed 1, its longest
    task in seconds as far as it is known by experience, and the seconds to
    its deadline."""

    tenant: ids.TenantName
    task_count: int
    slot_seconds: float
    longest_task_s: float
    deadline_s: float
    is_first: bool


@dataclasses.dataclass(frozen=True)
class TenantLimits:
    """Share and quotas of one tenant; `0` jobs or tasks admit nothing."""

    share: float = 1.0
    max_jobs: int = 1000
    max_tasks: int = 20000


@dataclasses.dataclass(frozen=True)
class LeakyBucket:
    """Admit by the tenant's part of the capacity, `burst` seconds at once."""

    burst_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class ExpectedWaitLimit:
    """Admit while the expected wait in seconds is within `limit`."""

    limit_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class GradedRefusal:
    """Refuse a growing part of arrivals as the expected wait grows.

    `parts` are refused at equal steps of the wait up to `limit` seconds;
    everything is refused from there.
    """

    limit_s: float = 2.0
    refused_fractions: tuple[float, ...] = (0.2, 0.4, 0.6, 0.8)


Rule = LeakyBucket | ExpectedWaitLimit | GradedRefusal


@dataclasses.dataclass(slots=True)
class TenantState:
    """What an entry holds of one tenant; times in seconds."""

    jobs: int = 0
    tasks: int = 0
    unreported_work: float = 0
    unreported_at: float = 0
    bucket_level: float = 0
    bucket_updated_at: float = 0
    usage_rate: float = 0
    usage_updated_at: float = 0

    def decayed_usage(self, now: float) -> float:
        """Return the recently admitted slot-seconds per second."""
        age = max(0, now - self.usage_updated_at)
        return self.usage_rate * math.exp(-age / _USAGE_AVERAGING_S)

    def fill_bucket(
        self, rate: float, burst_s: float, context: 'AdmissionContext'
    ) -> float:
        """Fill a leaky bucket; return the excess in seconds if it is full.

        It drains at `rate` slot-seconds a second and holds `burst` seconds.
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
        """Return the admitted work that load reports do not show yet."""
        age = max(0, now - self.unreported_at)
        return self.unreported_work * max(0, 1 - age / _MAX_REPORT_DELAY_S)


@dataclasses.dataclass(frozen=True)
class Rates:
    """Rates in slot-seconds of speed 1 per second.

    `total` is the capacity, `share` the tenant's part of it among the active
    tenants, `others` what the other tenants used of late.
    """

    total: float
    share: float
    others: float

    @property
    def is_uncontended(self) -> bool:
        """Tell whether no other tenant is active."""
        return self.share >= self.total

    @property
    def expected(self) -> float:
        """Return the rate at which the tenant's work is expected to run."""
        return max(self.share, self.total - self.others)


@dataclasses.dataclass(frozen=True)
class AdmissionContext:
    """What a rule judges by; `wait` is the expected one in seconds.

    `within` tells that the tenant has used no more than its share, this job
    included, or that no other tenant is active: a rush may then queue up to
    its deadline, since nobody waits for its slots.
    """

    state: TenantState
    request: JobRequest
    rates: Rates
    expected_wait_s: float
    now: float
    random_value: float
    is_within_share: bool


@functools.singledispatch
def retry_delay(rule: Rule, context: AdmissionContext) -> float:
    """Return 0 to admit, else the seconds until a retry can succeed."""
    raise NotImplementedError(rule)


@retry_delay.register
def _leaky_bucket_delay(rule: LeakyBucket, context: AdmissionContext) -> float:
    return context.state.fill_bucket(
        context.rates.expected, rule.burst_s, context
    )


@retry_delay.register
def _expected_wait_delay(
    rule: ExpectedWaitLimit, context: AdmissionContext
) -> float:
    if context.is_within_share:
        return 0
    return max(0, context.expected_wait_s - rule.limit_s)


@retry_delay.register
def _graded_refusal_delay(
    rule: GradedRefusal, context: AdmissionContext
) -> float:
    if context.is_within_share:
        return 0
    step = rule.limit_s / (len(rule.refused_fractions) + 1)
    passed = int(context.expected_wait_s / step)
    if not passed:
        return 0
    if (
        passed <= len(rule.refused_fractions)
        and context.random_value >= rule.refused_fractions[passed - 1]
    ):
        return 0
    return context.expected_wait_s - step + _MIN_RETRY_AFTER_S


class AdmissionController:
    """Judge new jobs and count those in flight, by tenant."""

    def __init__(self, rule: Rule, rng: random.Random) -> None:
        """Start without jobs; `choice` is used for jitter."""
        self.rule = rule
        self.rng = rng
        self.tenant_limits: dict[ids.TenantName, TenantLimits] = {}
        self.states: dict[ids.TenantName, TenantState] = {}
        self.retry_budgets = retries.RetryBudgets()

    def set_limits(
        self,
        limits: typing.Mapping[ids.TenantName, TenantLimits],
    ) -> None:
        """Set shares and quotas; drop idle tenants that have none."""
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
        """Count a job as in flight; raise `quota` or `overload` otherwise.

        Nothing of a refused job has started; the error's `retry_after` is
        the time until the tenant's backlog lets a job of this size pass. Call
        `finished` for every job admitted.
        """
        state = self.states.setdefault(request.tenant, TenantState())
        limits = self.tenant_limits.get(request.tenant, TenantLimits())
        self.retry_budgets.record_attempt(
            request.tenant, is_first=request.is_first
        )
        self._check_quota(state, limits, request)
        if load.slot_rate <= 0:
            raise errors.refusal(
                errors.Code.unavailable,
                'no worker has a slot',
                self._add_jitter(_DEFAULT_RETRY_AFTER_S),
            )
        view = self._context(state, request, load, now)
        self._check_load(view)
        state.unreported_work = (
            state.remaining_unreported(now) + request.slot_seconds
        )
        state.unreported_at = now
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

        Once all jobs are answered no admitted work is left to be reported; a
        job that was only accepted may still run.
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
        late = (
            context.expected_wait_s
            + request.longest_task_s
            - request.deadline_s
        )
        if late > 0 and context.expected_wait_s > 0:
            raise self._overload_error(
                context, late, 'it would miss its deadline'
            )
        delay = retry_delay(self.rule, context)
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
            f'tenant {tenant} would wait {context.expected_wait_s:.1f} s: {reason}',
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
            is_within_share=usage <= rates.share or rates.is_uncontended,
        )

    def _backlog(
        self,
        tenant: ids.TenantName,
        state: TenantState,
        load: FleetLoad,
        now: float,
    ) -> float:
        reported = load.backlog.get(tenant, 0)
        # Work that finds a free slot never shows as backlog.
        unseen = max(0, state.remaining_unreported(now) - load.free_slots)
        return reported + unseen

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
        least = load.slot_rate * _MIN_ACTIVE_FRACTION
        active = {name for name, used in usage.items() if used > least}
        active.update(
            name
            for name, backlog in load.backlog.items()
            if backlog > _MIN_ACTIVE_BACKLOG_S
        )
        shares = math.fsum(
            self.tenant_limits.get(name, TenantLimits()).share
            for name in active | {tenant}
        )
        own = self.tenant_limits.get(tenant, TenantLimits()).share
        others = math.fsum(usage[name] for name in active & usage.keys())
        return Rates(
            load.slot_rate,
            load.slot_rate * own / shares,
            others,
        )

    def _add_jitter(self, delay: float) -> float:
        spread = 1 + self.rng.random() * _MAX_JITTER_FRACTION
        return max(delay, _MIN_RETRY_AFTER_S) * spread
