"""Coordinator of the fleet model."""

import collections
import itertools
import typing

from bench import policy_parts as parts
from bench import policy_workload as workload
from poplardrum import ids
from poplardrum.scheduling import ejection, estimates, ordering, placement
from poplardrum.scheduling import queue as queues

if typing.TYPE_CHECKING:
    from bench import policy_model as model


class Coordinator:
    """Places the tasks of its jobs, like the coordinator of an agent."""

    def __init__(self, model: 'model.FleetModel', number: int) -> None:
        """Start without jobs and with untrained estimates."""
        self.model = model
        self.number = number
        self.load_reports: dict[int, parts.LoadReport] = {}
        self.granted_since_report: dict[int, list[float]] = (
            collections.defaultdict(list)
        )
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.jobs: dict[int, parts.RunningJob] = {}

    def submit(
        self,
        job: workload.Job,
        expected: list[float],
        hints: dict[int, parts.LoadReport],
    ) -> None:
        """Place all tasks of a new job.

        `expected` and `hints` are the estimates and load reports of the
        entry.
        """
        for number, report in hints.items():
            self.record_load(number, report)
        running_job = self.estimate_job(job, expected)
        self.jobs[id(running_job)] = running_job
        plan = placement.place(
            self.model.scenario.policy,
            running_job.tasks(),
            self.candidates(),
            self.model.random,
        )
        for ejector in (self.ejector, self.model.ejector):
            for name in ejector.ejected:
                if plan.grants and ejector.try_start_probe(
                    name, self.model.now
                ):
                    placement.assign_probe(plan, name)
        self.send_plan(running_job, plan)

    def is_ejected(self, name: ids.MemberId) -> bool:
        """Return whether this coordinator or the entry ejected a worker."""
        ejectors = (self.ejector, self.model.ejector)
        return any(ejector.is_ejected(name) for ejector in ejectors)

    def estimate_job(
        self, job: workload.Job, expected: list[float]
    ) -> parts.RunningJob:
        """Estimate the task times and the sort key of a new job."""
        hints = expected
        expected = [
            self.estimates.expected_time(job.tenant, task.kind, hint)
            for task, hint in zip(job.tasks, expected, strict=True)
        ]
        slot_seconds = sum(expected)
        ideal = max(*expected, slot_seconds / self.model.scenario.capacity, 0)
        job_times = ordering.JobTimes(job.arrival, slot_seconds, ideal)
        order = ordering.sort_key(self.model.scenario.order, job_times)
        count = len(expected)
        return parts.RunningJob(
            job, expected, order, list(range(count)), count, hints
        )

    def record_load(self, number: int, report: parts.LoadReport) -> None:
        """Store a load report of a worker unless a newer one is known."""
        known = self.load_reports.get(number)
        if known is None or report.sent_at > known.sent_at:
            self.load_reports[number] = report
            self.granted_since_report[number].clear()

    def expected_speed(self, number: int) -> float:
        """Estimate the speed of a worker, with the entry's value as prior."""
        entry_estimate = self.model.estimates.speed(parts.member_id(number))
        return self.estimates.speed(parts.member_id(number), entry_estimate)

    def candidates(self) -> list[placement.Candidate]:
        """Return the workers as last reported, with the grants since then."""
        candidates = []
        for number, report in self.load_reports.items():
            name = parts.member_id(number)
            ejected = self.is_ejected(name)
            candidate = placement.Candidate(
                name,
                parts.SLOTS_PER_WORKER,
                report.free_slots,
                report.queued_tasks,
                self.expected_speed(number),
                sum(report.backlog_s.values()),
                ejected=ejected,
                next_free_s=max(
                    0, report.sent_at + report.next_free_s - self.model.now
                ),
            )
            for expected in self.granted_since_report[number]:
                candidate.add_granted(expected)
            candidates.append(candidate)
        return candidates

    def send_plan(
        self, running_job: parts.RunningJob, plan: placement.Plan
    ) -> None:
        """Send grants and reservations, in one frame for each worker."""
        frames: dict[int, list[queues.QueueItem[parts.Assignment]]] = {}
        for place in plan.reservations:
            number = parts.worker_number(place.worker)
            queue_item = self.build_queue_item(
                running_job, None, place.expected_s
            )
            queue_item.count = place.count
            frames.setdefault(number, []).append(queue_item)
            running_job.unused_reservations.add(number)
        for grant in plan.grants:
            number = parts.worker_number(grant.worker)
            running_job.waiting.remove(grant.index)
            expected = running_job.expected_s[grant.index]
            queue_item = self.build_queue_item(
                running_job, grant.index, expected
            )
            frames.setdefault(number, []).append(queue_item)
            running_job.unused_reservations.discard(number)
        for number, queue_items in frames.items():
            for queue_item in queue_items:
                self.granted_since_report[number].extend(
                    itertools.repeat(queue_item.expected_s, queue_item.count),
                )
            worker = self.model.workers[number]
            self.model.send('start', worker.enqueue, queue_items)

    def build_queue_item(
        self,
        running_job: parts.RunningJob,
        index: int | None,
        expected: float,
    ) -> queues.QueueItem[parts.Assignment]:
        """Return the queue item of a grant or, without index, a reservation."""
        plan = self.model.scenario
        job = running_job.job
        return queues.QueueItem(
            id=next(self.model.sequence_numbers),
            tenant=ids.TenantName('all')
            if plan.has_shared_queue
            else job.tenant,
            urgency=job.urgency if plan.uses_urgency else 0,
            order=running_job.order,
            expected_s=expected,
            payload=parts.Assignment(self, running_job, index),
            deadline=job.deadline,
        )

    def handle_claim(
        self,
        worker: 'model.Worker',
        queue_item: queues.QueueItem[parts.Assignment],
        report: parts.LoadReport,
        wasted_messages: int,
    ) -> None:
        """Reply to a claim with the best waiting task of the job.

        `wasted_messages` counts the messages that were sent in vain if the
        job has no waiting task.
        """
        self.record_load(worker.number, report)
        running_job = queue_item.payload.running_job
        ejected = self.is_ejected(parts.member_id(worker.number))
        if ejected or not running_job.waiting:
            self.model.counts['wasted'] += wasted_messages
            self.model.send('none', worker.handle_claim_reply, queue_item, None)
            self.replace_reservations(
                running_job, queue_item.count + 1 if ejected else 0
            )
            return
        speeds = [self.expected_speed(number) for number in self.load_reports]
        index = placement.choose_claimed_task(
            running_job.tasks(),
            self.expected_speed(worker.number),
            sum(speeds) / len(speeds),
        ).index
        running_job.waiting.remove(index)
        running_job.unused_reservations.discard(worker.number)
        self.model.send('start', worker.handle_claim_reply, queue_item, index)

    def replace_reservations(
        self, running_job: parts.RunningJob, count: int
    ) -> None:
        """Place `count` tasks whose reservations are at an ejected worker."""
        plan = placement.place(
            self.model.scenario.policy,
            running_job.tasks()[:count],
            self.candidates(),
            self.model.random,
        )
        self.send_plan(running_job, plan)

    def handle_completion(
        self,
        worker: 'model.Worker',
        completion: parts.Completion,
        report: parts.LoadReport,
    ) -> None:
        """Record a completion; grant tasks to slots that are free now."""
        self.record_load(worker.number, report)
        running_job = completion.assignment.running_job
        self.record_outcome(worker, completion)
        running_job.completions.append(completion)
        running_job.job.failed_tasks += completion.failed
        self.count_completed(running_job, 1)
        if report.free_slots:
            self.grant_free_slots(parts.member_id(worker.number))

    def handle_completion_and_claim(
        self,
        worker: 'model.Worker',
        completion: parts.Completion,
        queue_item: queues.QueueItem[parts.Assignment],
        report: parts.LoadReport,
    ) -> None:
        """Handle a completion and the claim in the same frame."""
        self.handle_completion(worker, completion, report)
        self.handle_claim(worker, queue_item, report, 1)

    def record_outcome(
        self, worker: 'model.Worker', completion: parts.Completion
    ) -> None:
        """Pass an outcome to the estimates and the ejector."""
        job = completion.assignment.running_job.job
        task = job.tasks[completion.assignment.index or 0]
        kind = (job.tenant, task.kind)
        name = parts.member_id(worker.number)
        now = self.model.now
        self.ejector.record(
            name,
            kind,
            failed=completion.failed,
            now=now,
            fleet_size=len(self.model.workers),
        )
        if not completion.failed:
            entry_estimate_s = (
                completion.assignment.running_job.entry_estimates_s[
                    completion.assignment.index or 0
                ]
            )
            self.estimates.learn(
                kind, entry_estimate_s, name, completion.duration_s, now
            )

    def count_completed(
        self, running_job: parts.RunningJob, count: int
    ) -> None:
        """Count tasks that are over; send the reply after the last one."""
        running_job.unfinished -= count
        if running_job.unfinished or id(running_job) not in self.jobs:
            return
        self.jobs.pop(id(running_job))
        self.model.counts['wasted'] += len(running_job.unused_reservations)
        report = self.model.workers[self.number].load()
        self.model.send('reply', self.deliver_reply, running_job, report)

    def deliver_reply(
        self, running_job: parts.RunningJob, report: parts.LoadReport
    ) -> None:
        """Handle a reply, with the agent's load report, at the entry."""
        running_job.job.replied_at = self.model.now
        self.model.record_outcomes(running_job)
        self.model.on_reply(running_job)
        self.model.load_reports[self.number] = report

    def grant_free_slots(self, reporter: ids.MemberId) -> None:
        """Grant waiting tasks to the worker that reported free slots."""
        for running_job in list(self.jobs.values()):
            if not running_job.waiting:
                continue
            candidates = self.candidates()
            for candidate in candidates:
                if candidate.worker != reporter:
                    candidate.free_slots = 0
            grants = placement.fill_free_slots(running_job.tasks(), candidates)
            self.send_plan(running_job, placement.Plan(grants))

    def handle_expired(self, assignment: parts.Assignment) -> None:
        """Count tasks as failed whose deadline passed before their start.

        An expired reservation fails all waiting tasks of its job.
        """
        running_job = assignment.running_job
        count = 1
        if assignment.index is None:
            count = len(running_job.waiting)
            running_job.waiting.clear()
        running_job.job.failed_tasks += count
        self.count_completed(running_job, count)
