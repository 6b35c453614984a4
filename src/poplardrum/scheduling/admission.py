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
_IDLE_BACKLOG: typing.Final = 0.01
# Work just admitted is counted until load reports show it. Reports come at
# least every 2 s, the heartbeat interval.
_UNSEEN_SECONDS: typing.Final = 2.0
# Usage is averaged over this time, a few gaps between a tenant's jobs.
_USAGE_SECONDS: typing.Final = 5.0
# Part of the capacity below which the other tenants count as inactive.
_IDLE_PART: typing.Final = 0.01
# Refused callers are told a time up to this much longer, so that they do not
# all return at once.
_JITTER: typing.Final = 0.5
_MIN_RETRY_SECONDS: typing.Final = 0.1
_NO_CAPACITY_RETRY: typing.Final = 1.0


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Load of the fleet as the entry's links report it.

    `slot_rate` is in slot-seconds of speed 1 per second; `backlog` holds the
    expected seconds of waiting work by tenant.
    """

    slot_rate: float
    free: int
    backlog: typing.Mapping[ids.TenantName, float]


@dataclasses.dataclass(frozen=True)
class Request:
    """A new job: its tasks, its expected slot-seconds at speed 1, its longest
    task in seconds as far as it is known by experience, and the seconds to
    its deadline."""

    tenant: ids.TenantName
    tasks: int
    work: float
    longest: float
    deadline: float
    first: bool


@dataclasses.dataclass(frozen=True)
class TenantLimits:
    """Share and quotas of one tenant; `0` jobs or tasks admit nothing."""

    share: float = 1.0
    max_jobs: int = 1000
    max_tasks: int = 20000


@dataclasses.dataclass(frozen=True)
class CapacityRate:
    """Admit by the tenant's part of the capacity, `burst` seconds at once."""

    burst: float = 2.0


@dataclasses.dataclass(frozen=True)
class ExpectedWait:
    """Admit while the expected wait in seconds is within `limit`."""

    limit: float = 2.0


@dataclasses.dataclass(frozen=True)
class GradedReduction:
    """Refuse a growing part of arrivals as the expected wait grows.

    `parts` are refused at equal steps of the wait up to `limit` seconds;
    everything is refused from there.
    """

    limit: float = 2.0
    parts: tuple[float, ...] = (0.2, 0.4, 0.6, 0.8)


Rule = CapacityRate | ExpectedWait | GradedReduction


@dataclasses.dataclass(slots=True)
class TenantState:
    """What an entry holds of one tenant; times in seconds."""

    jobs: int = 0
    tasks: int = 0
    unseen: float = 0
    unseen_at: float = 0
    level: float = 0
    level_at: float = 0
    used: float = 0
    used_at: float = 0

    def usage(self, now: float) -> float:
        """Return the recently admitted slot-seconds per second."""
        age = max(0, now - self.used_at)
        return self.used * math.exp(-age / _USAGE_SECONDS)

    def fill(self, rate: float, burst: float, view: 'View') -> float:
        """Fill a leaky bucket; return the excess in seconds if it is full.

        It drains at `rate` slot-seconds a second and holds `burst` seconds.
        """
        drained = max(0, view.now - self.level_at) * rate
        self.level = max(0, self.level - drained)
        self.level_at = view.now
        excess = self.level / rate - burst
        if excess > 0:
            return excess
        self.level += view.request.work
        return 0

    def pending(self, now: float) -> float:
        """Return the admitted work that load reports do not show yet."""
        age = max(0, now - self.unseen_at)
        return self.unseen * max(0, 1 - age / _UNSEEN_SECONDS)


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
    def uncontended(self) -> bool:
        """Tell whether no other tenant is active."""
        return self.share >= self.total

    @property
    def expected(self) -> float:
        """Return the rate at which the tenant's work is expected to run."""
        return max(self.share, self.total - self.others)


@dataclasses.dataclass(frozen=True)
class View:
    """What a rule judges by; `wait` is the expected one in seconds.

    `within` tells that the tenant has used no more than its share, this job
    included, or that no other tenant is active: a rush may then queue up to
    its deadline, since nobody waits for its slots.
    """

    state: TenantState
    request: Request
    rates: Rates
    wait: float
    now: float
    chance: float
    within: bool


@functools.singledispatch
def judge(rule: Rule, view: View) -> float:
    """Return 0 to admit, else the seconds until a retry can succeed."""
    raise NotImplementedError(rule)


@judge.register
def _capacity_rate(rule: CapacityRate, view: View) -> float:
    return view.state.fill(view.rates.expected, rule.burst, view)


@judge.register
def _expected_wait(rule: ExpectedWait, view: View) -> float:
    if view.within:
        return 0
    return max(0, view.wait - rule.limit)


@judge.register
def _graded(rule: GradedReduction, view: View) -> float:
    if view.within:
        return 0
    step = rule.limit / (len(rule.parts) + 1)
    passed = int(view.wait / step)
    if not passed:
        return 0
    if passed <= len(rule.parts) and view.chance >= rule.parts[passed - 1]:
        return 0
    return view.wait - step + _MIN_RETRY_SECONDS


class Admission:
    """Judge new jobs and count those in flight, by tenant."""

    def __init__(self, rule: Rule, choice: random.Random) -> None:
        """Start without jobs; `choice` is used for jitter."""
        self.rule = rule
        self.choice = choice
        self.limit_table: dict[ids.TenantName, TenantLimits] = {}
        self.states: dict[ids.TenantName, TenantState] = {}
        self.retries = retries.RetryBudgets()

    def set_limits(
        self,
        limits: typing.Mapping[ids.TenantName, TenantLimits],
    ) -> None:
        """Set shares and quotas; drop idle tenants that have none."""
        self.limit_table = dict(limits)
        for tenant, state in list(self.states.items()):
            if tenant not in limits and not state.jobs:
                self.states.pop(tenant)

    def admit(
        self,
        request: Request,
        capacity: Capacity,
        now: float,
    ) -> None:
        """Count a job as in flight; raise `quota` or `overload` otherwise.

        Nothing of a refused job has started; the error's `retry_after` is
        the time until the tenant's backlog lets a job of this size pass. Call
        `finished` for every job admitted.
        """
        state = self.states.setdefault(request.tenant, TenantState())
        limits = self.limit_table.get(request.tenant, TenantLimits())
        self.retries.seen(request.tenant, first=request.first)
        self._check_quota(state, limits, request)
        if capacity.slot_rate <= 0:
            raise errors.refusal(
                errors.Code.unavailable,
                'no worker has a slot',
                self._jittered(_NO_CAPACITY_RETRY),
            )
        view = self._view(state, request, capacity, now)
        self._check_load(view)
        state.unseen = state.pending(now) + request.work
        state.unseen_at = now
        state.used = state.usage(now) + request.work / _USAGE_SECONDS
        state.used_at = now
        state.jobs += 1
        state.tasks += request.tasks

    def finished(
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
            state.unseen = 0

    def wait(
        self,
        tenant: ids.TenantName,
        capacity: Capacity,
        now: float,
    ) -> float:
        """Return the expected seconds until new work of a tenant starts."""
        state = self.states.get(tenant, TenantState())
        backlog = self._backlog(tenant, state, capacity, now)
        return backlog / self._rates(tenant, capacity, now).expected

    def _check_quota(
        self,
        state: TenantState,
        limits: TenantLimits,
        request: Request,
    ) -> None:
        over_jobs = state.jobs >= limits.max_jobs
        over_tasks = state.tasks + request.tasks > limits.max_tasks
        if over_jobs or over_tasks:
            name = 'max_jobs' if over_jobs else 'max_tasks'
            raise errors.refusal(
                errors.Code.quota,
                f'quota {name} of tenant {request.tenant} is used up',
                self._jittered(_NO_CAPACITY_RETRY),
            )

    def _check_load(self, view: View) -> None:
        request = view.request
        late = view.wait + request.longest - request.deadline
        if late > 0 and view.wait > 0:
            raise self._overload(view, late, 'it would miss its deadline')
        delay = judge(self.rule, view)
        if delay > 0:
            raise self._overload(view, delay, 'its share is used up')

    def _overload(
        self,
        view: View,
        delay: float,
        reason: str,
    ) -> errors.PoplardrumError:
        tenant = view.request.tenant
        factor = self.retries.factor(tenant)
        return errors.refusal(
            errors.Code.overload,
            f'tenant {tenant} would wait {view.wait:.1f} s: {reason}',
            self._jittered(delay * factor),
        )

    def _view(
        self,
        state: TenantState,
        request: Request,
        capacity: Capacity,
        now: float,
    ) -> View:
        rates = self._rates(request.tenant, capacity, now)
        backlog = self._backlog(request.tenant, state, capacity, now)
        usage = state.usage(now) + request.work / _USAGE_SECONDS
        return View(
            state=state,
            request=request,
            rates=rates,
            wait=backlog / rates.expected,
            now=now,
            chance=self.choice.random(),
            within=usage <= rates.share or rates.uncontended,
        )

    def _backlog(
        self,
        tenant: ids.TenantName,
        state: TenantState,
        capacity: Capacity,
        now: float,
    ) -> float:
        reported = capacity.backlog.get(tenant, 0)
        # Work that finds a free slot never shows as backlog.
        unseen = max(0, state.pending(now) - capacity.free)
        return reported + unseen

    def _rates(
        self,
        tenant: ids.TenantName,
        capacity: Capacity,
        now: float,
    ) -> Rates:
        usage = {
            name: state.usage(now)
            for name, state in self.states.items()
            if name != tenant
        }
        least = capacity.slot_rate * _IDLE_PART
        active = {name for name, used in usage.items() if used > least}
        active.update(
            name
            for name, backlog in capacity.backlog.items()
            if backlog > _IDLE_BACKLOG
        )
        shares = math.fsum(
            self.limit_table.get(name, TenantLimits()).share
            for name in active | {tenant}
        )
        own = self.limit_table.get(tenant, TenantLimits()).share
        others = math.fsum(usage[name] for name in active & usage.keys())
        return Rates(
            capacity.slot_rate,
            capacity.slot_rate * own / shares,
            others,
        )

    def _jittered(self, delay: float) -> float:
        spread = 1 + self.choice.random() * _JITTER
        return max(delay, _MIN_RETRY_SECONDS) * spread
