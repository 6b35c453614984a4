"""Discrete-event model of a fleet around the modules of scheduling/.

Only messages, slots and task times are modelled; the modules of scheduling/
make every decision. Times are in seconds of the model's clock.
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
    """Event loop of the model, its message counts and its processes.

    The entry is part of this class: its load reports, estimates and ejector
    are attributes here.
    """

    def __init__(self, scenario: parts.Scenario) -> None:
        """Build an idle fleet with one coordinator beside each worker."""
        self.scenario = scenario
        self.now = 0.0
        self.events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self.sequence_numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.on_reply: typing.Callable[[parts.RunningJob], None] = _ignore_reply
        self.random = random.Random(scenario.seed)
        self.workers = [
            Worker(self, number, speed)
            for number, speed in enumerate(scenario.speeds)
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
        """Count one message by name and deliver it after one hop."""
        self.counts[name] += 1
        self.schedule(parts.HOP_DELAY_S, action, *arguments)

    def run(self, until: float) -> None:
        """Process the events up to and including the time `until`."""
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
        coordinator = self.random.choice(self.coordinators)
        expected = self.expected_times(job)
        self.send(
            'submit', coordinator.submit, job, expected, dict(self.load_reports)
        )

    def expected_times(self, job: workload.Job) -> list[float]:
        """Return the entry's estimates of a job's task times."""
        return [
            self.estimates.expected_time(job.tenant, task.kind, task.declared_s)
            for task in job.tasks
        ]

    def record_outcomes(self, running_job: parts.RunningJob) -> None:
        """Pass the outcomes of a job to the entry's estimates and ejector."""
        job = running_job.job
        for completion in running_job.completions:
            task = job.tasks[completion.assignment.index or 0]
            kind = (job.tenant, task.kind)
            name = ids.MemberId(completion.worker)
            self.ejector.record(
                name,
                kind,
                failed=completion.failed,
                now=self.now,
                fleet_size=len(self.workers),
            )
            if completion.failed:
                continue
            seconds = completion.duration_s
            self.estimates.learn(kind, task.declared_s, name, seconds, self.now)

    def report_load(self, worker: 'Worker') -> None:
        """Send the load of a worker to the entry at each interval."""
        self.load_reports[worker.number] = worker.load()
        self.schedule(self.scenario.report_interval_s, self.report_load, worker)


def _ignore_reply(running_job: parts.RunningJob) -> None:
    """Ignore a reply, for models without callers."""


class Worker:
    """Slots and queue of one worker."""

    def __init__(self, model: FleetModel, number: int, speed: float) -> None:
        """Start without tasks."""
        self.model = model
        self.number = number
        self.speed = speed
        self.queue: queues.FairQueue[parts.Assignment] = queues.FairQueue()
        self.free_slots = parts.SLOTS_PER_WORKER
        self.running_until: dict[parts.Assignment, float] = {}
        self.run_starts: dict[parts.Assignment, tuple[float, float]] = {}
        self.log_slowness = estimates.DecayingMean()

    def load(self) -> parts.LoadReport:
        """Return the current load report."""
        queued = len(self.queue)
        free = max(0, self.free_slots - queued)
        backlog = self.queue.backlog()
        return parts.LoadReport(
            self.model.now, free, queued, backlog, self.next_free_in()
        )

    def next_free_in(self) -> float:
        """Return the expected seconds until a slot is free."""
        slowness = math.exp(self.log_slowness.average)
        now = self.model.now
        return min(
            (
                estimates.remaining_time(expected * slowness, now - started_at)
                for started_at, expected in self.run_starts.values()
            ),
            default=0,
        )

    def slot_availability(self) -> list[tuple[float, float]]:
        """Return speed and seconds until it is free, for each slot."""
        waits = [
            max(0, end - self.model.now) for end in self.running_until.values()
        ]
        waits.extend(itertools.repeat(0, parts.SLOTS_PER_WORKER - len(waits)))
        return [(self.speed, wait) for wait in waits]

    def enqueue(
        self, queue_items: list[queues.QueueItem[parts.Assignment]]
    ) -> None:
        """Queue grants and reservations."""
        for queue_item in queue_items:
            self.queue.push(queue_item)
        self.fill_slots()

    def fill_slots(self) -> None:
        """Start or claim tasks while there are free slots."""
        while self.free_slots:
            queue_item = self.reserve_next()
            if queue_item is None:
                return
            self.start_or_claim(queue_item)

    def reserve_next(self) -> queues.QueueItem[parts.Assignment] | None:
        """Remove the next item from the queue and reserve a slot for it.

        Reports items whose deadline has passed to their coordinator.
        """
        for expired_item in self.queue.remove_expired(self.model.now):
            coordinator = expired_item.payload.coordinator
            self.model.send(
                'expired', coordinator.handle_expired, expired_item.payload
            )
        queue_item = self.queue.pop(self.model.now)
        self.free_slots -= queue_item is not None
        return queue_item

    def start_or_claim(
        self, queue_item: queues.QueueItem[parts.Assignment]
    ) -> None:
        """Run the task of a grant, or claim a task for a reservation."""
        assignment = queue_item.payload
        if assignment.index is not None:
            self.execute(queue_item, assignment)
            return
        report = self.load()
        self.model.send(
            'claim',
            assignment.coordinator.handle_claim,
            self,
            queue_item,
            report,
            2,
        )

    def handle_claim_reply(
        self,
        queue_item: queues.QueueItem[parts.Assignment],
        index: int | None,
    ) -> None:
        """Run the task that was claimed, or release the slot without one."""
        if index is None:
            self.queue.remove(queue_item.id)
            self.queue.charge(queue_item.tenant, 0, queue_item.expected_s)
            self.free_slots += 1
            self.fill_slots()
            return
        assignment = queue_item.payload
        self.execute(
            queue_item,
            parts.Assignment(
                assignment.coordinator, assignment.running_job, index
            ),
        )

    def execute(
        self,
        queue_item: queues.QueueItem[parts.Assignment],
        assignment: parts.Assignment,
    ) -> None:
        """Occupy the slot for the real duration of the task."""
        scenario = self.model.scenario
        task = assignment.running_job.job.tasks[assignment.index or 0]
        failed = (
            scenario.failing_worker == self.number
            or scenario.failing_kind == task.kind
        )
        speed = self.speed
        if (
            scenario.straggler == self.number
            and self.model.now > scenario.slowdown_start_s
        ):
            speed *= scenario.slowdown_factor
        seconds = (
            parts.FAILURE_DURATION_S if failed else task.duration_s / speed
        )
        self.running_until[assignment] = self.model.now + seconds
        expected = assignment.running_job.expected_s[assignment.index or 0]
        self.run_starts[assignment] = (self.model.now, expected)
        completion = parts.Completion(
            assignment, seconds, failed, str(self.number)
        )
        self.model.schedule(seconds, self.complete, queue_item, completion)

    def complete(
        self,
        queue_item: queues.QueueItem[parts.Assignment],
        completion: parts.Completion,
    ) -> None:
        """Release the slot, report the completion and start the next item.

        The claim for a reservation of the same coordinator shares the frame
        of the completion.
        """
        self.running_until.pop(completion.assignment)
        expected = self.run_starts.pop(completion.assignment)[1]
        self.log_slowness.add(
            math.log(completion.duration_s / expected), self.model.now
        )
        self.free_slots += 1
        self.queue.charge(
            queue_item.tenant, completion.duration_s, queue_item.expected_s
        )
        coordinator = completion.assignment.coordinator
        next_item = self.reserve_next()
        report = self.load()
        if next_item is None:
            self.model.send(
                'done', coordinator.handle_completion, self, completion, report
            )
            return
        assignment = next_item.payload
        if assignment.coordinator is coordinator and assignment.index is None:
            call = (
                coordinator.handle_completion_and_claim,
                self,
                completion,
                next_item,
                report,
            )
            self.model.send('done', *call)
            return
        self.model.send(
            'done', coordinator.handle_completion, self, completion, report
        )
        self.start_or_claim(next_item)
