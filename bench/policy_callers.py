"""Entry and callers of the flood benchmark, on the fleet model."""

import collections
import dataclasses
import random
import typing

from bench import policy_model as model
from bench import policy_parts as parts
from bench import policy_workload as workload
from poplardrum import errors, ids
from poplardrum.scheduling import admission, admission_policies

CLIENT_TIMEOUT_S: typing.Final = 10.0
RESUBMIT_INTERVAL_S: typing.Final = 3.0
_DEFAULT_RETRY_DELAY_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True)
class BacklogLimit:
    """Baseline rule that refuses jobs while the fleet's backlog is too long.

    `max_backlog_s` is the time in which the whole fleet completes the longest
    accepted backlog.
    """

    max_backlog_s: float = 5.0


AdmissionRule = BacklogLimit | admission_policies.AdmissionPolicy


class Entry:
    """Admits jobs; callers retry refused ones until their deadline."""

    def __init__(
        self,
        fleet: model.FleetModel,
        rule: AdmissionRule,
        shares: dict[ids.TenantName, float],
    ) -> None:
        """Connect to a fleet and set the tenants' shares."""
        self.fleet = fleet
        self.rule = rule
        self.counts: collections.Counter[str] = collections.Counter()
        self.admission: admission.AdmissionController | None = None
        if not isinstance(rule, BacklogLimit):
            rng = random.Random(fleet.scenario.seed)
            self.admission = admission.AdmissionController(rule, rng)
            self.admission.set_limits(
                {
                    tenant: admission.TenantLimits(share, 10**6, 10**6)
                    for tenant, share in shares.items()
                },
            )
        for worker in fleet.workers:
            worker.queue.set_shares(shares)
        fleet.on_reply = self.release_job

    def receive(self, job: workload.Job) -> None:
        """Handle an attempt of a job that has not been admitted yet."""
        now = self.fleet.now
        job.attempts += 1
        self.counts['attempts'] += 1
        try:
            self.check_admission(job)
        except errors.PoplardrumError as error:
            self.counts['refused'] += 1
            job.first_refusal_s = min(job.first_refusal_s, now - job.arrival)
            delay_s = error.retry_after or _DEFAULT_RETRY_DELAY_S
            if now + delay_s < job.deadline:
                self.fleet.schedule(delay_s, self.receive, job)
            return
        self.fleet.submit(job)
        self.fleet.schedule(RESUBMIT_INTERVAL_S, self.resubmit, job)

    def resubmit(self, job: workload.Job) -> None:
        """Submit an admitted job again as its caller has no reply yet.

        The entry knows the idempotency key and attaches the attempt to the
        job, so that it only counts against the retry budget.
        """
        if job.replied_at <= self.fleet.now or self.fleet.now > job.deadline:
            return
        self.counts['resubmitted'] += 1
        if self.admission:
            self.admission.retry_budgets.record_attempt(
                job.tenant, is_first=False
            )
        self.fleet.schedule(RESUBMIT_INTERVAL_S, self.resubmit, job)

    def check_admission(self, job: workload.Job) -> None:
        """Admit a job or raise `PoplardrumError` with the refusal."""
        now = self.fleet.now
        if isinstance(self.rule, BacklogLimit):
            total = sum(self.backlog_by_tenant().values())
            if total > self.rule.max_backlog_s * self.fleet.scenario.capacity:
                raise errors.refusal(errors.Code.overload, 'queue is full')
            return
        expected_s = self.fleet.expected_times(job)
        is_trusted = self.fleet.estimates.is_trusted
        trusted = [
            seconds
            for task, seconds in zip(job.tasks, expected_s, strict=True)
            if is_trusted(job.tenant, task.kind)
        ]
        assert self.admission
        self.admission.admit(
            admission_policies.JobRequest(
                job.tenant,
                len(expected_s),
                sum(expected_s),
                max(trusted, default=0),
                job.deadline - now,
                job.attempts == 1,
            ),
            self.fleet_load(),
            now,
        )

    def fleet_load(self) -> admission.FleetLoad:
        """Return the load of the fleet from the latest load reports."""
        free = sum(
            report.free_slots for report in self.fleet.load_reports.values()
        )
        rate = self.fleet.scenario.capacity
        return admission.FleetLoad(rate, free, self.backlog_by_tenant())

    def backlog_by_tenant(self) -> dict[ids.TenantName, float]:
        """Return the reported seconds of queued work by tenant."""
        total: dict[ids.TenantName, float] = collections.defaultdict(float)
        for report in self.fleet.load_reports.values():
            for tenant, seconds in report.backlog_s.items():
                total[tenant] += seconds
        return total

    def release_job(self, running_job: parts.RunningJob) -> None:
        """Release the admitted tasks of a job that is over."""
        job = running_job.job
        if self.admission:
            self.admission.release(job.tenant, len(job.tasks))
