"""Estimates of a coordinator about the workers that it may use."""

import time
import typing

from poplardrum import errors, ids
from poplardrum.daemons import grants
from poplardrum.daemons import job as jobs
from poplardrum.peers import links, messages
from poplardrum.scheduling import ejection, estimates, placement

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

# A grant that is younger than this is not yet part of the reported load.
_LOAD_REPORT_LAG_S: typing.Final = 0.01
# Age of a load report at which half of the slots are assumed to be in use.
_LOAD_STALE_AGE_S: typing.Final = 2.0
# Round trip of a task to another worker: the p50 at other workers is 1.3 ms
# above that at the coordinator's own worker.
_ROUND_TRIP_S: typing.Final = 0.001
_FAILURE_CODES: typing.Final = frozenset(
    (errors.Code.task_failed, errors.Code.endpoint_failed),
)


class Workers:
    """Estimate speed, health and free slots of workers.

    The estimates follow the outcomes of tasks and the reported loads.
    """

    def __init__(
        self,
        process: 'agent.Agent',
        granted: grants.Grants,
    ) -> None:
        """Create the estimates without any data."""
        self.process = process
        self.grants = granted
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()

    def expected_times(self, item: messages.SubmitJob) -> list[float]:
        """Return the expected seconds of each task at speed 1."""
        return [
            self.estimates.expected_time(
                item.tenant,
                task.kind,
                task.declared_ms / 1000,
            )
            for task in item.tasks
        ]

    def learn(
        self,
        worker: ids.MemberId,
        tenant: ids.TenantName,
        spec: messages.TaskSpec,
        outcome: messages.TaskOutcome,
    ) -> None:
        """Update the estimates from the outcome of one task.

        Stopped tasks and exceeded deadlines say nothing about the worker.
        """
        now = time.monotonic()
        failed = outcome.code in _FAILURE_CODES
        succeeded = outcome.code is errors.Code.ok
        if succeeded:
            self.estimates.learn(
                (tenant, spec.kind),
                spec.declared_ms / 1000,
                worker,
                outcome.seconds,
                now,
            )
        if not failed and not succeeded:
            return
        was_ejected = self.ejector.record(
            worker,
            (tenant, spec.kind),
            failed=failed,
            now=now,
            fleet_size=len(self.process.ready_agents()),
        )
        if was_ejected:
            self.process.metrics.count_ejection(worker)

    def may_serve_claim(self, worker: ids.MemberId, now: float) -> bool:
        """Return whether a worker's claim may get a task.

        An ejected worker gets one only as a probe, which is then counted as
        started.
        """
        ejected = self.ejector.is_ejected(worker)
        return not ejected or self.ejector.try_start_probe(worker, now)

    def candidates(
        self,
        job: jobs.Job,
        now: float,
    ) -> list[placement.Candidate]:
        """Return the workers that have a link and a known load.

        Without a load report from a worker, the load in the job's hints is
        used. Ejected workers are included and marked as such.
        """
        hints = {hint.worker: hint.load for hint in job.submission.hints}
        candidates = []
        for member in self.process.placement_targets():
            link = self.process.worker_link(member.id)
            load = (link.load if link else None) or hints.get(member.id)
            if link and load:
                candidates.append(self.candidate(link, load, now))
        return candidates

    def candidate(
        self,
        link: links.Link,
        load: messages.Load,
        now: float,
    ) -> placement.Candidate:
        """Return one worker as a candidate.

        An ejected worker with a free slot counts as usable with one slot if a
        probe is due; the probe then counts as started.
        """
        worker = link.member.id
        free_slots = self.estimated_free_slots(link, load, now)
        ejected = self.ejector.is_ejected(worker)
        if (
            ejected
            and free_slots > 0
            and self.ejector.try_start_probe(worker, now)
        ):
            ejected = False
            free_slots = 1
        return placement.Candidate(
            worker,
            load.slots,
            max(0, free_slots),
            load.queued_tasks + max(0, -free_slots),
            self.estimates.speed(worker, load.speed),
            sum(load.backlog_s.values()),
            ejected=ejected,
        )

    def place_locally(
        self,
        tasks: list[placement.Task],
        candidates: list[placement.Candidate],
    ) -> list[placement.Grant] | None:
        """Place a single task in a free slot of the own worker.

        Returns `None`, so that the policy decides, if there are more tasks, no
        slot is free or another worker would finish more than a round trip
        earlier.
        """
        if len(tasks) != 1:
            return None
        expected_s = tasks[0].expected_s
        best = min(
            (
                _finish_time_s(candidate, expected_s)
                for candidate in candidates
                if candidate.usable
            ),
            default=0,
        )
        for candidate in candidates:
            own = candidate.worker == self.process.member.id
            if own and candidate.usable and candidate.free_slots > 0:
                if (
                    _finish_time_s(candidate, expected_s)
                    <= best + _ROUND_TRIP_S
                ):
                    return [placement.Grant(tasks[0].index, candidate.worker)]
        return None

    def estimated_free_slots(
        self,
        link: links.Link,
        load: messages.Load,
        now: float,
    ) -> int:
        """Estimate the free slots of a worker from its last load report.

        Grants that the report does not include are subtracted, and a part of
        the slots by its age, since other coordinators use them meanwhile. A
        negative result is a number of tasks without a free slot.
        """
        is_local = link is self.process.local_link
        seen_at = now if is_local else link.last_seen
        age = min(1, (now - seen_at) / _LOAD_STALE_AGE_S)
        unreported = self.grants.count_recent(
            link.member.id,
            seen_at - _LOAD_REPORT_LAG_S,
        )
        return load.free_slots - unreported - int(age * load.slots / 2)


def _finish_time_s(candidate: placement.Candidate, expected_s: float) -> float:
    return candidate.expected_wait() + expected_s / candidate.speed
