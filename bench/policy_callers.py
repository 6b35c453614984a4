"""Entry and callers of the flood bench, on the model of a fleet."""

import collections
import dataclasses
import random
import typing

from bench import policy_model as model
from bench import policy_parts as parts
from bench import policy_workload as workload
from poplardrum import errors, ids
from poplardrum.scheduling import admission

PATIENCE_SECONDS: typing.Final = 10.0
RESUBMIT_SECONDS: typing.Final = 3.0
_PLAIN_RETRY: typing.Final = 1.0


@dataclasses.dataclass(frozen=True)
class QueueBound:
    """Baseline: refuse beyond `seconds` of backlog of the whole fleet."""

    seconds: float = 5.0


Rule = QueueBound | admission.Rule


class Entry:
    """Admit jobs; refused callers return until they give up."""

    def __init__(
        self,
        fleet: model.Model,
        rule: Rule,
        shares: dict[ids.TenantName, float],
    ) -> None:
        """Serve one fleet by one rule."""
        self.fleet = fleet
        self.rule = rule
        self.counts: collections.Counter[str] = collections.Counter()
        self.admission: admission.AdmissionController | None = None
        if not isinstance(rule, QueueBound):
            choice = random.Random(fleet.plan.seed)
            self.admission = admission.AdmissionController(rule, choice)
            self.admission.set_limits(
                {
                    tenant: admission.TenantLimits(share, 10**6, 10**6)
                    for tenant, share in shares.items()
                },
            )
        for worker in fleet.workers:
            worker.queue.set_shares(shares)
        fleet.on_answer = self.answered

    def arrive(self, job: workload.Job) -> None:
        """Take an attempt that nothing has been started for."""
        now = self.fleet.now
        job.attempts += 1
        self.counts['attempts'] += 1
        try:
            self.judge(job)
        except errors.PoplardrumError as error:
            self.counts['refused'] += 1
            job.first_refusal = min(job.first_refusal, now - job.arrival)
            back = error.retry_after or _PLAIN_RETRY
            if now + back < job.deadline:
                self.fleet.after(back, self.arrive, job)
            return
        self.fleet.submit(job)
        self.fleet.after(RESUBMIT_SECONDS, self.resubmit, job)

    def resubmit(self, job: workload.Job) -> None:
        """Repeat a job that is believed lost; its known key attaches."""
        if job.answered <= self.fleet.now or self.fleet.now > job.deadline:
            return
        self.counts['resubmitted'] += 1
        if self.admission:
            self.admission.retry_budgets.record_attempt(
                job.tenant, is_first=False
            )
        self.fleet.after(RESUBMIT_SECONDS, self.resubmit, job)

    def judge(self, job: workload.Job) -> None:
        """Admit a job or raise a refusal."""
        now = self.fleet.now
        if isinstance(self.rule, QueueBound):
            total = sum(self.backlog().values())
            if total > self.rule.seconds * self.fleet.plan.capacity:
                raise errors.refusal(errors.Code.overload, 'queue is full')
            return
        times = self.fleet.expected(job)
        known = self.fleet.estimates.is_trusted
        trusted = [
            seconds
            for task, seconds in zip(job.tasks, times, strict=True)
            if known(job.tenant, task.kind)
        ]
        assert self.admission
        self.admission.admit(
            admission.JobRequest(
                job.tenant,
                len(times),
                sum(times),
                max(trusted, default=0),
                job.deadline - now,
                job.attempts == 1,
            ),
            self.capacity(),
            now,
        )

    def capacity(self) -> admission.FleetLoad:
        """Return the load as the agents reported it."""
        free = sum(load.free for load in self.fleet.hints.values())
        rate = self.fleet.plan.capacity
        return admission.FleetLoad(rate, free, self.backlog())

    def backlog(self) -> dict[ids.TenantName, float]:
        """Return the reported seconds of queued work by tenant."""
        total: dict[ids.TenantName, float] = collections.defaultdict(float)
        for load in self.fleet.hints.values():
            for tenant, seconds in load.backlog.items():
                total[tenant] += seconds
        return total

    def answered(self, running: parts.Running) -> None:
        """Count a job as ended."""
        job = running.job
        if self.admission:
            self.admission.release(job.tenant, len(job.tasks))
