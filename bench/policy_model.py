"""Discrete-event model of a fleet that drives the modules of scheduling/.

Only messages, slots and task times are modelled; every decision is made by
the real modules. Times are in seconds of the model.
"""

import collections
import heapq
import itertools
import math
import random
import typing

from bench import policy_coordinator as coordinators
from bench import policy_parts as parts
from bench import policy_workload as workload
from poplardrum import ids
from poplardrum.scheduling import ejection, estimates
from poplardrum.scheduling import queue as queues


class FleetModel:
    """Clock, message counts and the parts of the fleet."""

    def __init__(self, plan: parts.Scenario) -> None:
        """Build an idle fleet with one coordinator beside each worker."""
        self.scenario = plan
        self.now = 0.0
        self.events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self.sequence_numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.on_reply: typing.Callable[[parts.RunningJob], None] = _ignore_reply
        self.random = random.Random(plan.seed)
        self.workers = [
            Worker(self, number, speed)
            for number, speed in enumerate(plan.speeds)
        ]
        self.coordinators = [
            coordinators.Coordinator(self, number)
            for number in range(len(self.workers))
        ]
        self.load_reports: dict[int, parts.LoadReport] = {}
        for worker in self.workers:
            self.report_load(worker)

    def schedule(
        self,
        delay: float,
        action: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Call `action` after `delay` seconds."""
        event = (
            self.now + delay,
            next(self.sequence_numbers),
            action,
            arguments,
        )
        heapq.heappush(self.events, event)

    def send(
        self,
        name: str,
        action: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Count one message and deliver it after a hop."""
        self.counts[name] += 1
        self.schedule(parts.HOP_DELAY_S, action, *arguments)

    def run(self, until: float) -> None:
        """Run until the given time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def submit(self, job: workload.Job) -> None:
        """Forward a job from the entry to a coordinator."""
        slots = [
            pair
            for worker in self.workers
            for pair in worker.slot_availability()
        ]
        job.ideal_s = job.ideal_s or workload.ideal_response_s(job, slots)
        home = self.random.choice(self.coordinators)
        expected = self.expected_times(job)
        self.send('submit', home.submit, job, expected, dict(self.load_reports))

    def expected_times(self, job: workload.Job) -> list[float]:
        """Return what the entry expects of the tasks, from all answers."""
        return [
            self.estimates.expected_time(job.tenant, task.kind, task.declared_s)
            for task in job.tasks
        ]

    def record_outcomes(self, running: parts.RunningJob) -> None:
        """Learn at the entry from the real times of an answered job."""
        job = running.job
        for ended in running.completions:
            work = job.tasks[ended.assignment.index or 0]
            kind = (job.tenant, work.kind)
            name = ids.MemberId(ended.worker)
            self.ejector.record(
                name,
                kind,
                failed=ended.failed,
                now=self.now,
                fleet_size=len(self.workers),
            )
            if ended.failed:
                continue
            seconds = ended.duration_s
            self.estimates.learn(kind, work.declared_s, name, seconds, self.now)

    def report_load(self, worker: 'Worker') -> None:
        """Report load to the entry at intervals."""
        self.load_reports[worker.number] = worker.load()
        self.schedule(self.scenario.report_interval_s, self.report_load, worker)


def _ignore_reply(running: parts.RunningJob) -> None:
    """Take an answer that nobody waits for."""


class Worker:
    """Slots and queue of one worker."""

    def __init__(self, model: FleetModel, number: int, speed: float) -> None:
        """Start idle."""
        self.model = model
        self.number = number
        self.speed = speed
        self.queue: queues.FairQueue[parts.Assignment] = queues.FairQueue()
        self.free_slots = parts.SLOTS_PER_WORKER
        self.running_until: dict[parts.Assignment, float] = {}
        self.run_starts: dict[parts.Assignment, tuple[float, float]] = {}
        self.log_slowness = estimates.DecayingMean()

    def load(self) -> parts.LoadReport:
        """Return the load to report."""
        queued = len(self.queue)
        free = max(0, self.free_slots - queued)
        backlog = self.queue.backlog()
        return parts.LoadReport(
            self.model.now, free, queued, backlog, self.next_free_in()
        )

    def next_free_in(self) -> float:
        """Return the expected seconds until a slot is free."""
        pace = math.exp(self.log_slowness.average)
        now = self.model.now
        return min(
            (
                estimates.remaining_time(expected * pace, now - since)
                for since, expected in self.run_starts.values()
            ),
            default=0,
        )

    def slot_availability(self) -> list[tuple[float, float]]:
        """Return speed and seconds until it is free for every slot."""
        waits = [
            max(0, end - self.model.now) for end in self.running_until.values()
        ]
        waits.extend(itertools.repeat(0, parts.SLOTS_PER_WORKER - len(waits)))
        return [(self.speed, wait) for wait in waits]

    def enqueue(
        self, entries: list[queues.QueueItem[parts.Assignment]]
    ) -> None:
        """Queue grants and reservations."""
        for entry in entries:
            self.queue.push(entry)
        self.fill_slots()

    def fill_slots(self) -> None:
        """Start or claim tasks while slots are free."""
        while self.free_slots:
            entry = self.reserve_next()
            if entry is None:
                return
            self.start_or_claim(entry)

    def reserve_next(self) -> queues.QueueItem[parts.Assignment] | None:
        """Take the next entry and a slot for it."""
        for late in self.queue.remove_expired(self.model.now):
            home = late.payload.coordinator
            self.model.send('expired', home.handle_expired, late.payload)
        entry = self.queue.pop(self.model.now)
        self.free_slots -= entry is not None
        return entry

    def start_or_claim(self, entry: queues.QueueItem[parts.Assignment]) -> None:
        """Run a granted task or claim one."""
        ticket = entry.payload
        if ticket.index is not None:
            self.execute(entry, ticket)
            return
        load = self.load()
        self.model.send(
            'claim', ticket.coordinator.handle_claim, self, entry, load, 2
        )

    def handle_claim_reply(
        self,
        entry: queues.QueueItem[parts.Assignment],
        index: int | None,
    ) -> None:
        """Run the task that answers a claim, or give the slot back."""
        if index is None:
            self.queue.remove(entry.id)
            self.queue.charge(entry.tenant, 0, entry.expected_s)
            self.free_slots += 1
            self.fill_slots()
            return
        ticket = entry.payload
        self.execute(
            entry,
            parts.Assignment(ticket.coordinator, ticket.running_job, index),
        )

    def execute(
        self,
        entry: queues.QueueItem[parts.Assignment],
        ticket: parts.Assignment,
    ) -> None:
        """Occupy the slot for the task's true time."""
        plan = self.model.scenario
        work = ticket.running_job.job.tasks[ticket.index or 0]
        failed = (
            plan.failing_worker == self.number or plan.failing_kind == work.kind
        )
        speed = self.speed
        if (
            plan.straggler == self.number
            and self.model.now > plan.slowdown_start_s
        ):
            speed *= plan.slowdown_factor
        seconds = (
            parts.FAILURE_DURATION_S if failed else work.duration_s / speed
        )
        self.running_until[ticket] = self.model.now + seconds
        expected = ticket.running_job.expected_s[ticket.index or 0]
        self.run_starts[ticket] = (self.model.now, expected)
        ended = parts.Completion(ticket, seconds, failed, str(self.number))
        self.model.schedule(seconds, self.complete, entry, ended)

    def complete(
        self, entry: queues.QueueItem[parts.Assignment], ended: parts.Completion
    ) -> None:
        """Free the slot, report the end and claim the next task."""
        self.running_until.pop(ended.assignment)
        expected = self.run_starts.pop(ended.assignment)[1]
        self.log_slowness.add(
            math.log(ended.duration_s / expected), self.model.now
        )
        self.free_slots += 1
        self.queue.charge(entry.tenant, ended.duration_s, entry.expected_s)
        home = ended.assignment.coordinator
        following = self.reserve_next()
        load = self.load()
        if following is None:
            self.model.send('done', home.handle_completion, self, ended, load)
            return
        ticket = following.payload
        if ticket.coordinator is home and ticket.index is None:
            call = (
                home.handle_completion_and_claim,
                self,
                ended,
                following,
                load,
            )
            self.model.send('done', *call)
            return
        self.model.send('done', home.handle_completion, self, ended, load)
        self.start_or_claim(following)
