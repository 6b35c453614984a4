"""Admission control for new jobs at an entry.

Jobs that would wait too long are refused early, with the time after which a
retry can succeed. A tenant's expected wait is its backlog divided by the rate
at which the fleet works on it. That rate is the tenant's share of the capacity
among the active tenants, or all that the others leave unused, if that is more.
Policies are types; `admission_policies.retry_delay` dispatches on the type of the policy.
"""

import dataclasses
import math
import random
import typing

from poplardrum import errors, ids
from poplardrum.scheduling import admission_policies, retries

# A tenant with more backlog than this is active whatever its recent usage.
_MIN_ACTIVE_BACKLOG_SLOT_S: typing.Final = 0.01
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
class TenantLimits:
    """Share and quotas of one tenant; a quota of 0 admits nothing.

    `share` is a weight relative to the sum of the active tenants' shares.
    """

    share: float = 1.0
    max_jobs: int = 1000
    max_tasks: int = 20000


class AdmissionController:
    """Admit or refuse new jobs and count those in flight by tenant."""

    def __init__(
        self, policy: admission_policies.AdmissionPolicy, rng: random.Random
    ) -> None:
        """Start without jobs; `rng` is used for jitter and graded refusal."""
        self.policy = policy
        self.rng = rng
        self.tenant_limits: dict[ids.TenantName, TenantLimits] = {}
        self.states: dict[ids.TenantName, admission_policies.TenantState] = {}
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
        request: admission_policies.JobRequest,
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
        state = self.states.setdefault(
            request.tenant, admission_policies.TenantState()
        )
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
        state = self.states.get(tenant, admission_policies.TenantState())
        backlog = self._backlog(tenant, state, load, now)
        return backlog / self._rates(tenant, load, now).expected

    def _check_quota(
        self,
        state: admission_policies.TenantState,
        limits: TenantLimits,
        request: admission_policies.JobRequest,
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

    def _check_load(self, context: admission_policies.AdmissionContext) -> None:
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
        delay = admission_policies.retry_delay(self.policy, context)
        if delay > 0:
            raise self._overload_error(context, delay, 'its share is used up')

    def _overload_error(
        self,
        context: admission_policies.AdmissionContext,
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
        state: admission_policies.TenantState,
        request: admission_policies.JobRequest,
        load: FleetLoad,
        now: float,
    ) -> admission_policies.AdmissionContext:
        rates = self._rates(request.tenant, load, now)
        backlog = self._backlog(request.tenant, state, load, now)
        usage = (
            state.decayed_usage(now) + request.slot_seconds / _USAGE_AVERAGING_S
        )
        return admission_policies.AdmissionContext(
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
        state: admission_policies.TenantState,
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
    ) -> admission_policies.Rates:
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
        return admission_policies.Rates(
            load.slot_rate,
            load.slot_rate * share / total_share,
            others,
        )

    def _add_jitter(self, delay: float) -> float:
        jitter = 1 + self.rng.random() * _MAX_JITTER_FRACTION
        return max(delay, _MIN_RETRY_AFTER_S) * jitter
