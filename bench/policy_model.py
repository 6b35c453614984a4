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


class Model:
    """Clock, message counts and the parts of the fleet."""

    def __init__(self, plan: parts.Plan) -> None:
        """Build an idle fleet with one coordinator beside each worker."""
        self.plan = plan
        self.now = 0.0
        self.events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self.serial = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.on_answer: typing.Callable[[parts.Running], None] = _ignore
        self.random = random.Random(plan.seed)
        self.workers = [
            Worker(self, number, speed)
            for number, speed in enumerate(plan.speeds)
        ]
        self.coordinators = [
            coordinators.Coordinator(self, number)
            for number in range(len(self.workers))
        ]
        self.hints: dict[int, parts.Load] = {}
        for worker in self.workers:
            self.heartbeat(worker)

    def after(
        self,
        delay: float,
        action: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Call `action` after `delay` seconds."""
        event = (self.now + delay, next(self.serial), action, arguments)
        heapq.heappush(self.events, event)

    def send(
        self,
        name: str,
        action: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Count one message and deliver it after a hop."""
        self.counts[name] += 1
        self.after(parts.HOP_SECONDS, action, *arguments)

    def run(self, until: float) -> None:
        """Run until the given time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def submit(self, job: workload.Job) -> None:
        """Forward a job from the entry to a coordinator."""
        slots = [pair for worker in self.workers for pair in worker.ends()]
        job.ideal = job.ideal or workload.ideal_seconds(job, slots)
        home = self.random.choice(self.coordinators)
        expected = self.expected(job)
        self.send('submit', home.submit, job, expected, dict(self.hints))

    def expected(self, job: workload.Job) -> list[float]:
        """Return what the entry expects of the tasks, from all answers."""
        return [
            self.estimates.expected_time(job.tenant, task.kind, task.declared)
            for task in job.tasks
        ]

    def learn(self, running: parts.Running) -> None:
        """Learn at the entry from the real times of an answered job."""
        job = running.job
        for ended in running.ends:
            work = job.tasks[ended.ticket.index or 0]
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
            seconds = ended.seconds
            self.estimates.learn(kind, work.declared, name, seconds, self.now)

    def heartbeat(self, worker: 'Worker') -> None:
        """Report load to the entry at intervals."""
        self.hints[worker.number] = worker.load()
        self.after(self.plan.report_seconds, self.heartbeat, worker)


def _ignore(running: parts.Running) -> None:
    """Take an answer that nobody waits for."""


class Worker:
    """Slots and queue of one worker."""

    def __init__(self, model: Model, number: int, speed: float) -> None:
        """Start idle."""
        self.model = model
        self.number = number
        self.speed = speed
        self.queue: queues.FairQueue[parts.Ticket] = queues.FairQueue()
        self.free = parts.SLOTS
        self.running: dict[parts.Ticket, float] = {}
        self.started: dict[parts.Ticket, tuple[float, float]] = {}
        self.pace = estimates.DecayingMean()

    def load(self) -> parts.Load:
        """Return the load to report."""
        queued = len(self.queue)
        free = max(0, self.free - queued)
        backlog = self.queue.backlog()
        return parts.Load(
            self.model.now, free, queued, backlog, self.next_free()
        )

    def next_free(self) -> float:
        """Return the expected seconds until a slot is free."""
        pace = math.exp(self.pace.average)
        now = self.model.now
        return min(
            (
                estimates.remaining_time(expected * pace, now - since)
                for since, expected in self.started.values()
            ),
            default=0,
        )

    def ends(self) -> list[tuple[float, float]]:
        """Return speed and seconds until it is free for every slot."""
        waits = [max(0, end - self.model.now) for end in self.running.values()]
        waits.extend(itertools.repeat(0, parts.SLOTS - len(waits)))
        return [(self.speed, wait) for wait in waits]

    def accept(self, entries: list[queues.QueueItem[parts.Ticket]]) -> None:
        """Queue grants and reservations."""
        for entry in entries:
            self.queue.push(entry)
        self.fill()

    def fill(self) -> None:
        """Start or claim tasks while slots are free."""
        while self.free:
            entry = self.take()
            if entry is None:
                return
            self.begin(entry)

    def take(self) -> queues.QueueItem[parts.Ticket] | None:
        """Take the next entry and a slot for it."""
        for late in self.queue.remove_expired(self.model.now):
            home = late.payload.home
            self.model.send('expired', home.expired, late.payload)
        entry = self.queue.pop(self.model.now)
        self.free -= entry is not None
        return entry

    def begin(self, entry: queues.QueueItem[parts.Ticket]) -> None:
        """Run a granted task or claim one."""
        ticket = entry.payload
        if ticket.index is not None:
            self.execute(entry, ticket)
            return
        load = self.load()
        self.model.send('claim', ticket.home.claim, self, entry, load, 2)

    def claimed(
        self,
        entry: queues.QueueItem[parts.Ticket],
        index: int | None,
    ) -> None:
        """Run the task that answers a claim, or give the slot back."""
        if index is None:
            self.queue.remove(entry.id)
            self.queue.charge(entry.tenant, 0, entry.expected_s)
            self.free += 1
            self.fill()
            return
        ticket = entry.payload
        self.execute(entry, parts.Ticket(ticket.home, ticket.running, index))

    def execute(
        self, entry: queues.QueueItem[parts.Ticket], ticket: parts.Ticket
    ) -> None:
        """Occupy the slot for the task's true time."""
        plan = self.model.plan
        work = ticket.running.job.tasks[ticket.index or 0]
        failed = plan.broken == self.number or plan.bad_kind == work.kind
        speed = self.speed
        if plan.straggler == self.number and self.model.now > plan.slow_from:
            speed *= plan.slow_factor
        seconds = parts.FAST_FAILURE if failed else work.seconds / speed
        self.running[ticket] = self.model.now + seconds
        expected = ticket.running.expected[ticket.index or 0]
        self.started[ticket] = (self.model.now, expected)
        ended = parts.Ended(ticket, seconds, failed, str(self.number))
        self.model.after(seconds, self.end, entry, ended)

    def end(
        self, entry: queues.QueueItem[parts.Ticket], ended: parts.Ended
    ) -> None:
        """Free the slot, report the end and claim the next task."""
        self.running.pop(ended.ticket)
        expected = self.started.pop(ended.ticket)[1]
        self.pace.add(math.log(ended.seconds / expected), self.model.now)
        self.free += 1
        self.queue.charge(entry.tenant, ended.seconds, entry.expected_s)
        home = ended.ticket.home
        following = self.take()
        load = self.load()
        if following is None:
            self.model.send('done', home.done, self, ended, load)
            return
        ticket = following.payload
        if ticket.home is home and ticket.index is None:
            call = (home.done_and_claim, self, ended, following, load)
            self.model.send('done', *call)
            return
        self.model.send('done', home.done, self, ended, load)
        self.begin(following)
