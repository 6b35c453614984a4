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

    def __init__(self, model: 'model.Model', number: int) -> None:
        """Start without jobs and without experience."""
        self.model = model
        self.number = number
        self.views: dict[int, parts.Load] = {}
        self.pending: dict[int, list[float]] = collections.defaultdict(list)
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.jobs: dict[int, parts.Running] = {}

    def submit(
        self,
        job: workload.Job,
        expected: list[float],
        hints: dict[int, parts.Load],
    ) -> None:
        """Place all tasks of a new job."""
        for number, load in hints.items():
            self.observe(number, load)
        running = self.admit(job, expected)
        self.jobs[id(running)] = running
        plan = placement.place(
            self.model.plan.policy,
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
        self.carry_out(running, plan)

    def is_ejected(self, name: ids.MemberId) -> bool:
        """Tell whether this coordinator or the entry has ejected a worker."""
        ejectors = (self.ejector, self.model.ejector)
        return any(ejector.is_ejected(name) for ejector in ejectors)

    def admit(self, job: workload.Job, expected: list[float]) -> parts.Running:
        """Estimate a job, from the entry's estimates, and its order."""
        hints = expected
        expected = [
            self.estimates.expected_time(job.tenant, task.kind, hint)
            for task, hint in zip(job.tasks, expected, strict=True)
        ]
        work = sum(expected)
        ideal = max(*expected, work / self.model.plan.capacity, 0)
        shape = ordering.JobTimes(job.arrival, work, ideal)
        order = ordering.sort_key(self.model.plan.order, shape)
        count = len(expected)
        return parts.Running(
            job, expected, order, list(range(count)), count, hints
        )

    def observe(self, number: int, load: parts.Load) -> None:
        """Keep the newest load report of a worker."""
        known = self.views.get(number)
        if known is None or load.at > known.at:
            self.views[number] = load
            self.pending[number].clear()

    def speed(self, number: int) -> float:
        """Return the speed of a worker, the entry's estimate as prior."""
        rated = self.model.estimates.speed(parts.member(number))
        return self.estimates.speed(parts.member(number), rated)

    def candidates(self) -> list[placement.Candidate]:
        """Return the workers as last reported, with own later grants."""
        found = []
        for number, load in self.views.items():
            name = parts.member(number)
            ejected = self.is_ejected(name)
            candidate = placement.Candidate(
                name,
                parts.SLOTS,
                load.free,
                load.queued,
                self.speed(number),
                sum(load.backlog.values()),
                ejected=ejected,
                next_free_s=max(0, load.at + load.next_free - self.model.now),
            )
            for expected in self.pending[number]:
                candidate.add_granted(expected)
            found.append(candidate)
        return found

    def carry_out(self, running: parts.Running, plan: placement.Plan) -> None:
        """Send grants and reservations, one frame for each worker."""
        frames: dict[int, list[queues.QueueItem[parts.Ticket]]] = {}
        for place in plan.reservations:
            number = parts.number_of(place.worker)
            entry = self.entry(running, None, place.expected_s)
            entry.count = place.count
            frames.setdefault(number, []).append(entry)
            running.idle_reserves.add(number)
        for grant in plan.grants:
            number = parts.number_of(grant.worker)
            running.waiting.remove(grant.index)
            expected = running.expected[grant.index]
            entry = self.entry(running, grant.index, expected)
            frames.setdefault(number, []).append(entry)
            running.idle_reserves.discard(number)
        for number, entries in frames.items():
            for entry in entries:
                self.pending[number].extend(
                    itertools.repeat(entry.expected_s, entry.count),
                )
            worker = self.model.workers[number]
            self.model.send('start', worker.accept, entries)

    def entry(
        self,
        running: parts.Running,
        index: int | None,
        expected: float,
    ) -> queues.QueueItem[parts.Ticket]:
        """Build the queue entry of a task or a reservation."""
        plan = self.model.plan
        job = running.job
        return queues.QueueItem(
            id=next(self.model.serial),
            tenant=ids.TenantName('all') if plan.shared_queue else job.tenant,
            urgency=job.urgency if plan.heed_urgency else 0,
            order=running.order,
            expected_s=expected,
            payload=parts.Ticket(self, running, index),
            deadline=job.deadline,
        )

    def claim(
        self,
        worker: 'model.Worker',
        entry: queues.QueueItem[parts.Ticket],
        load: parts.Load,
        wasted: int,
    ) -> None:
        """Answer a claim with the best waiting task of the job.

        `wasted` is the number of messages lost if no task waits.
        """
        self.observe(worker.number, load)
        running = entry.payload.running
        ejected = self.is_ejected(parts.member(worker.number))
        if ejected or not running.waiting:
            self.model.counts['wasted'] += wasted
            self.model.send('none', worker.claimed, entry, None)
            self.move(running, entry.count + 1 if ejected else 0)
            return
        speeds = [self.speed(number) for number in self.views]
        index = placement.choose_claimed_task(
            running.tasks(),
            self.speed(worker.number),
            sum(speeds) / len(speeds),
        ).index
        running.waiting.remove(index)
        running.idle_reserves.discard(worker.number)
        self.model.send('start', worker.claimed, entry, index)

    def move(self, running: parts.Running, count: int) -> None:
        """Place tasks again whose reservations are at an ejected worker."""
        plan = placement.place(
            self.model.plan.policy,
            running.tasks()[:count],
            self.candidates(),
            self.model.random,
        )
        self.carry_out(running, plan)

    def done(
        self, worker: 'model.Worker', ended: parts.Ended, load: parts.Load
    ) -> None:
        """Take the end of a task; grant to slots that are free now."""
        self.observe(worker.number, load)
        running = ended.ticket.running
        self.learn(worker, ended)
        running.ends.append(ended)
        running.job.failed += ended.failed
        self.count_ended(running, 1)
        if load.free:
            self.top_up(parts.member(worker.number))

    def done_and_claim(
        self,
        worker: 'model.Worker',
        ended: parts.Ended,
        entry: queues.QueueItem[parts.Ticket],
        load: parts.Load,
    ) -> None:
        """Take the end of a task and the claim that shares its frame."""
        self.done(worker, ended, load)
        self.claim(worker, entry, load, 1)

    def learn(self, worker: 'model.Worker', ended: parts.Ended) -> None:
        """Pass an outcome to estimates and ejection."""
        job = ended.ticket.running.job
        work = job.tasks[ended.ticket.index or 0]
        kind = (job.tenant, work.kind)
        name = parts.member(worker.number)
        now = self.model.now
        self.ejector.record(
            name,
            kind,
            failed=ended.failed,
            now=now,
            fleet_size=len(self.model.workers),
        )
        if not ended.failed:
            hinted = ended.ticket.running.hinted[ended.ticket.index or 0]
            self.estimates.learn(kind, hinted, name, ended.seconds, now)

    def count_ended(self, running: parts.Running, count: int) -> None:
        """Count ended tasks; answer the entry after the last one."""
        running.left -= count
        if running.left or id(running) not in self.jobs:
            return
        self.jobs.pop(id(running))
        self.model.counts['wasted'] += len(running.idle_reserves)
        load = self.model.workers[self.number].load()
        self.model.send('reply', self.answer, running, load)

    def answer(self, running: parts.Running, load: parts.Load) -> None:
        """Take the answer at the entry, with the agent's load."""
        running.job.answered = self.model.now
        self.model.learn(running)
        self.model.on_answer(running)
        self.model.hints[self.number] = load

    def top_up(self, reporter: ids.MemberId) -> None:
        """Grant waiting tasks to a worker that reports free slots."""
        for running in list(self.jobs.values()):
            if not running.waiting:
                continue
            candidates = self.candidates()
            for candidate in candidates:
                if candidate.worker != reporter:
                    candidate.free_slots = 0
            grants = placement.fill_free_slots(running.tasks(), candidates)
            self.carry_out(running, placement.Plan(grants))

    def expired(self, ticket: parts.Ticket) -> None:
        """Fail tasks whose deadline passed before they started."""
        running = ticket.running
        count = 1
        if ticket.index is None:
            count = len(running.waiting)
            running.waiting.clear()
        running.job.failed += count
        self.count_ended(running, count)
