"""Admission control of an entry, by reported load, quotas and estimates."""

import dataclasses
import math
import time
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.operators import rules
from poplardrum.peers import messages
from poplardrum.scheduling import (
    admission,
    admission_policies,
    ejection,
    estimates,
)

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry

# Outcomes that show whether a worker is able to run tasks.
_WORKER_VERDICT_CODES: typing.Final = (
    errors.Code.ok,
    errors.Code.task_failed,
    errors.Code.endpoint_failed,
)


@dataclasses.dataclass
class AdmittedSubmission:
    """Admitted submission with the task times that the caller declared.

    `counted` is true while the submission counts as in flight.
    """

    item: messages.SubmitJob
    declared_ms: list[float]
    counted: bool


class EntryAdmission:
    """Admit or refuse submissions by the load that linked agents report."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Create the admission control without estimates."""
        self.process = process
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.controller = admission.AdmissionController(
            admission_policies.ExpectedWaitLimit(),
            process.random,
        )
        self.applied_rules: rules.Rules | None = None

    def admit(
        self, item: messages.SubmitJob, region: str
    ) -> AdmittedSubmission:
        """Admit a submission; raise `quota`, `overload` or `unavailable`.

        Only a first attempt is refused here. Any other may belong to a known
        key, so it carries the refusal to the coordinator, which applies it
        if the key is unknown. The declared times of the item and the speeds
        in its hints are replaced by this entry's estimates. The hint of an
        ejected worker has no slot, or one slot for a probe.
        """
        self._apply_rules()
        request = self._build_request(item)
        submission = AdmittedSubmission(
            item, [task.declared_ms for task in item.tasks], True
        )
        try:
            self.controller.admit(
                request, self.fleet_load(region), time.monotonic()
            )
        except errors.PoplardrumError as error:
            if item.first:
                raise
            item.refusal_retry_after_s = error.retry_after
            submission.counted = False
        item.tasks = [self._with_estimate(item, task) for task in item.tasks]
        item.hints = [self._corrected_hint(hint) for hint in item.hints]
        return submission

    def release(self, submission: AdmittedSubmission) -> None:
        """Count a submission as no longer in flight."""
        if submission.counted:
            submission.counted = False
            item = submission.item
            self.controller.release(
                item.tenant,
                len(item.tasks),
                answered=item.wait,
            )

    def learn(
        self, submission: AdmittedSubmission, answer: messages.Answer
    ) -> None:
        """Update the estimates and the ejection state from an answer."""
        item = submission.item
        now = time.monotonic()
        if len(answer.tasks) != len(item.tasks):
            return
        rows = zip(
            item.tasks, submission.declared_ms, answer.tasks, strict=True
        )
        for task, declared_ms, outcome in rows:
            if outcome.code not in _WORKER_VERDICT_CODES or not outcome.worker:
                continue
            kind_key = (item.tenant, task.kind)
            failed = outcome.code is not errors.Code.ok
            was_ejected = self.ejector.record(
                outcome.worker,
                kind_key,
                failed=failed,
                now=now,
                fleet_size=len(self.process.links),
            )
            if was_ejected:
                self.process.metrics.count_ejection(outcome.worker)
            if not failed and outcome.seconds > 0:
                self.estimates.learn(
                    kind_key,
                    declared_ms / 1000,
                    outcome.worker,
                    outcome.seconds,
                    now,
                )

    def fleet_load(self, region: str) -> admission.FleetLoad:
        """Return the total load that the ready agents of a region report."""
        loads = [
            (link.member.id, link.load)
            for link in self.process.links.values()
            if link.load
            and link.member.region == region
            and link.member.state is messages.MemberState.ready
        ]
        backlog: dict[ids.TenantName, float] = {}
        for _, load in loads:
            for tenant, seconds in load.backlog_s.items():
                backlog[tenant] = backlog.get(tenant, 0) + seconds
        return admission.FleetLoad(
            slot_rate=math.fsum(
                load.slots * self.estimates.speed(worker, load.speed)
                for worker, load in loads
            ),
            free_slots=sum(load.free_slots for _, load in loads),
            backlog=backlog,
        )

    def _build_request(
        self, item: messages.SubmitJob
    ) -> admission_policies.JobRequest:
        times = [self._expected_s(item, task) for task in item.tasks]
        trusted = [
            seconds
            for task, seconds in zip(item.tasks, times, strict=True)
            if self.estimates.is_trusted(item.tenant, task.kind)
        ]
        return admission_policies.JobRequest(
            tenant=item.tenant,
            task_count=len(times),
            slot_seconds=math.fsum(times),
            longest_task_s=max(trusted, default=0),
            time_left_s=item.deadline_ms / 1000,
            is_first_attempt=item.first,
        )

    def _expected_s(
        self,
        item: messages.SubmitJob,
        task: messages.TaskSpec,
    ) -> float:
        declared_s = task.declared_ms / 1000
        return self.estimates.expected_time(item.tenant, task.kind, declared_s)

    def _with_estimate(
        self,
        item: messages.SubmitJob,
        task: messages.TaskSpec,
    ) -> messages.TaskSpec:
        expected_ms = self._expected_s(item, task) * 1000
        return msgspec.structs.replace(task, declared_ms=expected_ms)

    def _corrected_hint(self, hint: messages.Hint) -> messages.Hint:
        speed = self.estimates.speed(hint.worker, hint.load.speed)
        load = msgspec.structs.replace(hint.load, speed=speed)
        if self.ejector.is_ejected(hint.worker):
            slots = int(
                self.ejector.try_start_probe(hint.worker, time.monotonic()),
            )
            load = msgspec.structs.replace(load, slots=slots, free_slots=slots)
        return messages.Hint(hint.worker, load)

    def _apply_rules(self) -> None:
        current = self.process.configuration.rules
        if current is self.applied_rules:
            return
        self.applied_rules = current
        self.controller.set_limits(
            {
                tenant: admission.TenantLimits(
                    rule.share,
                    rule.max_jobs,
                    rule.max_tasks,
                )
                for tenant, rule in current.tenants.items()
            },
        )
