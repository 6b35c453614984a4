"""Coordinator of the model of a fleet."""

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
    """Own jobs, as the coordinator of a real agent does."""

    def __init__(self, model: 'model.FleetModel', number: int) -> None:
        """Start without jobs and without experience."""
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
        """Place all tasks of a new job."""
        for number, load in hints.items():
            self.record_load(number, load)
        running = self.estimate_job(job, expected)
        self.jobs[id(running)] = running
        plan = placement.place(
            self.model.scenario.policy,
            running.tasks(),
            self.candidates(),
            self.model.random,
        )
        for ejector in (self.ejector, self.model.ejector):
            for name in ejector.ejected:
                if plan.grants and ejector.try_start_probe(
                    name, self.model.now
                ):
                    placement.assign_probe(plan, name)
        self.send_plan(running, plan)

    def is_ejected(self, name: ids.MemberId) -> bool:
        """Tell whether this coordinator or the entry has ejected a worker."""
        ejectors = (self.ejector, self.model.ejector)
        return any(ejector.is_ejected(name) for ejector in ejectors)

    def estimate_job(
        self, job: workload.Job, expected: list[float]
    ) -> parts.RunningJob:
        """Estimate a job, from the entry's estimates, and its order."""
        hints = expected
        expected = [
            self.estimates.expected_time(job.tenant, task.kind, hint)
            for task, hint in zip(job.tasks, expected, strict=True)
        ]
        work = sum(expected)
        ideal = max(*expected, work / self.model.scenario.capacity, 0)
        shape = ordering.JobTimes(job.arrival, work, ideal)
        order = ordering.sort_key(self.model.scenario.order, shape)
        count = len(expected)
        return parts.RunningJob(
            job, expected, order, list(range(count)), count, hints
        )

    def record_load(self, number: int, load: parts.LoadReport) -> None:
        """Keep the newest load report of a worker."""
        known = self.load_reports.get(number)
        if known is None or load.sent_at > known.sent_at:
            self.load_reports[number] = load
            self.granted_since_report[number].clear()

    def expected_speed(self, number: int) -> float:
        """Return the speed of a worker, the entry's estimate as prior."""
        rated = self.model.estimates.speed(parts.member_id(number))
        return self.estimates.speed(parts.member_id(number), rated)

    def candidates(self) -> list[placement.Candidate]:
        """Return the workers as last reported, with own later grants."""
        found = []
        for number, load in self.load_reports.items():
            name = parts.member_id(number)
            ejected = self.is_ejected(name)
            candidate = placement.Candidate(
                name,
                parts.SLOTS_PER_WORKER,
                load.free_slots,
                load.queued_tasks,
                self.expected_speed(number),
                sum(load.backlog_s.values()),
                ejected=ejected,
                next_free_s=max(
                    0, load.sent_at + load.next_free_s - self.model.now
                ),
            )
            for expected in self.granted_since_report[number]:
                candidate.add_granted(expected)
            found.append(candidate)
        return found

    def send_plan(
        self, running: parts.RunningJob, plan: placement.Plan
    ) -> None:
        """Send grants and reservations, one frame for each worker."""
        frames: dict[int, list[queues.QueueItem[parts.Assignment]]] = {}
        for place in plan.reservations:
            number = parts.worker_number(place.worker)
            entry = self.build_queue_item(running, None, place.expected_s)
            entry.count = place.count
            frames.setdefault(number, []).append(entry)
            running.unused_reservations.add(number)
        for grant in plan.grants:
            number = parts.worker_number(grant.worker)
            running.waiting.remove(grant.index)
            expected = running.expected_s[grant.index]
            entry = self.build_queue_item(running, grant.index, expected)
            frames.setdefault(number, []).append(entry)
            running.unused_reservations.discard(number)
        for number, entries in frames.items():
            for entry in entries:
                self.granted_since_report[number].extend(
                    itertools.repeat(entry.expected_s, entry.count),
                )
            worker = self.model.workers[number]
            self.model.send('start', worker.enqueue, entries)

    def build_queue_item(
        self,
        running: parts.RunningJob,
        index: int | None,
        expected: float,
    ) -> queues.QueueItem[parts.Assignment]:
        """Build the queue entry of a task or a reservation."""
        plan = self.model.scenario
        job = running.job
        return queues.QueueItem(
            id=next(self.model.sequence_numbers),
            tenant=ids.TenantName('all')
            if plan.has_shared_queue
            else job.tenant,
            urgency=job.urgency if plan.uses_urgency else 0,
            order=running.order,
            expected_s=expected,
            payload=parts.Assignment(self, running, index),
            deadline=job.deadline,
        )

    def handle_claim(
        self,
        worker: 'model.Worker',
        entry: queues.QueueItem[parts.Assignment],
        load: parts.LoadReport,
        wasted: int,
    ) -> None:
        """Answer a claim with the best waiting task of the job.

        `wasted` is the number of messages lost if no task waits.
        """
        self.record_load(worker.number, load)
        running = entry.payload.running_job
        ejected = self.is_ejected(parts.member_id(worker.number))
        if ejected or not running.waiting:
            self.model.counts['wasted'] += wasted
            self.model.send('none', worker.handle_claim_reply, entry, None)
            self.replace_reservations(
                running, entry.count + 1 if ejected else 0
            )
            return
        speeds = [self.expected_speed(number) for number in self.load_reports]
        index = placement.choose_claimed_task(
            running.tasks(),
            self.expected_speed(worker.number),
            sum(speeds) / len(speeds),
        ).index
        running.waiting.remove(index)
        running.unused_reservations.discard(worker.number)
        self.model.send('start', worker.handle_claim_reply, entry, index)

    def replace_reservations(
        self, running: parts.RunningJob, count: int
    ) -> None:
        """Place tasks again whose reservations are at an ejected worker."""
        plan = placement.place(
            self.model.scenario.policy,
            running.tasks()[:count],
            self.candidates(),
            self.model.random,
        )
        self.send_plan(running, plan)

    def handle_completion(
        self,
        worker: 'model.Worker',
        ended: parts.Completion,
        load: parts.LoadReport,
    ) -> None:
        """Take the end of a task; grant to slots that are free now."""
        self.record_load(worker.number, load)
        running = ended.assignment.running_job
        self.record_outcome(worker, ended)
        running.completions.append(ended)
        running.job.failed_tasks += ended.failed
        self.count_completed(running, 1)
        if load.free_slots:
            self.grant_free_slots(parts.member_id(worker.number))

    def handle_completion_and_claim(
        self,
        worker: 'model.Worker',
        ended: parts.Completion,
        entry: queues.QueueItem[parts.Assignment],
        load: parts.LoadReport,
    ) -> None:
        """Take the end of a task and the claim that shares its frame."""
        self.handle_completion(worker, ended, load)
        self.handle_claim(worker, entry, load, 1)

    def record_outcome(
        self, worker: 'model.Worker', ended: parts.Completion
    ) -> None:
        """Pass an outcome to estimates and ejection."""
        job = ended.assignment.running_job.job
        work = job.tasks[ended.assignment.index or 0]
        kind = (job.tenant, work.kind)
        name = parts.member_id(worker.number)
        now = self.model.now
        self.ejector.record(
            name,
            kind,
            failed=ended.failed,
            now=now,
            fleet_size=len(self.model.workers),
        )
        if not ended.failed:
            hinted = ended.assignment.running_job.entry_estimates_s[
                ended.assignment.index or 0
            ]
            self.estimates.learn(kind, hinted, name, ended.duration_s, now)

    def count_completed(self, running: parts.RunningJob, count: int) -> None:
        """Count ended tasks; answer the entry after the last one."""
        running.unfinished -= count
        if running.unfinished or id(running) not in self.jobs:
            return
        self.jobs.pop(id(running))
        self.model.counts['wasted'] += len(running.unused_reservations)
        load = self.model.workers[self.number].load()
        self.model.send('reply', self.deliver_reply, running, load)

    def deliver_reply(
        self, running: parts.RunningJob, load: parts.LoadReport
    ) -> None:
        """Take the answer at the entry, with the agent's load."""
        running.job.replied_at = self.model.now
        self.model.record_outcomes(running)
        self.model.on_reply(running)
        self.model.load_reports[self.number] = load

    def grant_free_slots(self, reporter: ids.MemberId) -> None:
        """Grant waiting tasks to a worker that reports free slots."""
        for running in list(self.jobs.values()):
            if not running.waiting:
                continue
            candidates = self.candidates()
            for candidate in candidates:
                if candidate.worker != reporter:
                    candidate.free_slots = 0
            grants = placement.fill_free_slots(running.tasks(), candidates)
            self.send_plan(running, placement.Plan(grants))

    def handle_expired(self, ticket: parts.Assignment) -> None:
        """Fail tasks whose deadline passed before they started."""
        running = ticket.running_job
        count = 1
        if ticket.index is None:
            count = len(running.waiting)
            running.waiting.clear()
        running.job.failed_tasks += count
        self.count_completed(running, count)
