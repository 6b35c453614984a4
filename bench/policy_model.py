"""Discrete-event model of a fleet that drives the modules of scheduling/.

Only messages, slots and task times are modelled; every decision is made by
the real modules. Times are in seconds of the model.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from bench import policy_workload as workload
from poplardrum import ids
from poplardrum.scheduling import ejection, estimates, ordering, placement
from poplardrum.scheduling import queue as queues

HOP_SECONDS: typing.Final = 0.001
REPORT_SECONDS: typing.Final = 0.1
FAST_FAILURE: typing.Final = 0.005
SLOTS: typing.Final = 8
SPEEDS: typing.Final = (0.5, 0.5, 0.5, 1, 1, 1, 1, 2, 2, 2)


@dataclasses.dataclass
class Plan:
    """Fleet, policy and faults of one run."""

    policy: placement.Policy = placement.LateBinding()
    order: ordering.Ordering = ordering.DEFAULT
    speeds: tuple[float, ...] = SPEEDS
    seed: int = 1
    report_seconds: float = REPORT_SECONDS
    straggler: int | None = None
    slow_from: float = 0
    slow_factor: float = 0.1
    broken: int | None = None
    bad_kind: str = ''
    shared_queue: bool = False
    heed_urgency: bool = True

    @property
    def capacity(self) -> float:
        """Return the slot-seconds of speed 1 per second."""
        return SLOTS * sum(self.speeds)


@dataclasses.dataclass(eq=False)
class Running:
    """A job at its coordinator."""

    job: workload.Job
    expected: list[float]
    order: float
    waiting: list[int]
    left: int
    hinted: list[float]
    idle_reserves: set[int] = dataclasses.field(default_factory=set)
    ends: list['Ended'] = dataclasses.field(default_factory=list)

    def tasks(self) -> list[placement.Task]:
        """Return the waiting tasks in the form that placement takes."""
        return [
            placement.Task(index, self.expected[index])
            for index in self.waiting
        ]


@dataclasses.dataclass(frozen=True)
class Load:
    """Load report of one worker; `backlog` by tenant as in a real frame."""

    at: float
    free: int
    queued: int
    backlog: dict[ids.TenantName, float]
    next_free: float


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Payload of a queue entry; `index` is `None` for a reservation."""

    home: 'Coordinator'
    running: Running
    index: int | None


@dataclasses.dataclass(frozen=True)
class Ended:
    """End of a task at a worker after `seconds` of its slot."""

    ticket: Ticket
    seconds: float
    failed: bool
    worker: str


class Model:
    """Clock, message counts and the parts of the fleet."""

    def __init__(self, plan: Plan) -> None:
        """Build an idle fleet with one coordinator beside each worker."""
        self.plan = plan
        self.now = 0.0
        self.events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self.serial = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self.estimates = estimates.Estimates()
        self.on_answer: typing.Callable[[Running], None] = _ignore
        self.random = random.Random(plan.seed)
        self.workers = [
            Worker(self, number, speed)
            for number, speed in enumerate(plan.speeds)
        ]
        self.coordinators = [
            Coordinator(self, number) for number in range(len(self.workers))
        ]
        self.hints: dict[int, Load] = {}
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
        self.after(HOP_SECONDS, action, *arguments)

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
            self.estimates.expected(job.tenant, task.kind, task.declared)
            for task in job.tasks
        ]

    def learn(self, running: Running) -> None:
        """Learn at the entry from the real times of an answered job."""
        job = running.job
        for ended in running.ends:
            if ended.failed:
                continue
            work = job.tasks[ended.ticket.index or 0]
            kind = (job.tenant, work.kind)
            name = ids.MemberId(ended.worker)
            seconds = ended.seconds
            self.estimates.learn(kind, work.declared, name, seconds, self.now)

    def heartbeat(self, worker: 'Worker') -> None:
        """Report load to the entry at intervals."""
        self.hints[worker.number] = worker.load()
        self.after(self.plan.report_seconds, self.heartbeat, worker)


def _ignore(running: Running) -> None:
    """Take an answer that nobody waits for."""


class Coordinator:
    """Own jobs, as the coordinator of a real agent does."""

    def __init__(self, model: Model, number: int) -> None:
        """Start without jobs and without experience."""
        self.model = model
        self.number = number
        self.views: dict[int, Load] = {}
        self.pending: dict[int, list[float]] = collections.defaultdict(list)
        self.estimates = estimates.Estimates()
        self.ejector = ejection.Ejector()
        self.jobs: dict[int, Running] = {}

    def submit(
        self,
        job: workload.Job,
        expected: list[float],
        hints: dict[int, Load],
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
        self.carry_out(running, plan)

    def admit(self, job: workload.Job, expected: list[float]) -> Running:
        """Estimate a job, from the entry's estimates, and its order."""
        hints = expected
        expected = [
            self.estimates.expected(job.tenant, task.kind, hint)
            for task, hint in zip(job.tasks, expected, strict=True)
        ]
        work = sum(expected)
        ideal = max(*expected, work / self.model.plan.capacity, 0)
        shape = ordering.JobShape(job.arrival, work, ideal)
        order = ordering.order_of(self.model.plan.order, shape)
        count = len(expected)
        return Running(job, expected, order, list(range(count)), count, hints)

    def observe(self, number: int, load: Load) -> None:
        """Keep the newest load report of a worker."""
        known = self.views.get(number)
        if known is None or load.at > known.at:
            self.views[number] = load
            self.pending[number].clear()

    def speed(self, number: int) -> float:
        """Return the speed of a worker, the entry's estimate as prior."""
        rated = self.model.estimates.speed(member(number))
        return self.estimates.speed(member(number), rated)

    def candidates(self) -> list[placement.Candidate]:
        """Return the workers as last reported, with own later grants."""
        found = []
        for number, load in self.views.items():
            name = member(number)
            ejected = self.ejector.is_ejected(name)
            candidate = placement.Candidate(
                name,
                SLOTS,
                load.free,
                load.queued,
                self.speed(number),
                sum(load.backlog.values()),
                ejected=ejected,
                next_free=max(0, load.at + load.next_free - self.model.now),
            )
            if ejected and self.ejector.take_probe(name, self.model.now):
                candidate = dataclasses.replace(
                    candidate, slots=1, ejected=False
                )
            for expected in self.pending[number]:
                candidate.note(expected)
            found.append(candidate)
        return found

    def carry_out(self, running: Running, plan: placement.Plan) -> None:
        """Send grants and reservations, one frame for each worker."""
        frames: dict[int, list[queues.Entry[Ticket]]] = {}
        for place in plan.reservations:
            number = number_of(place.worker)
            entry = self.entry(running, None, place.expected)
            entry.count = place.count
            frames.setdefault(number, []).append(entry)
            running.idle_reserves.add(number)
        for grant in plan.grants:
            number = number_of(grant.worker)
            running.waiting.remove(grant.index)
            expected = running.expected[grant.index]
            entry = self.entry(running, grant.index, expected)
            frames.setdefault(number, []).append(entry)
            running.idle_reserves.discard(number)
        for number, entries in frames.items():
            for entry in entries:
                self.pending[number].extend(
                    itertools.repeat(entry.expected, entry.count),
                )
            worker = self.model.workers[number]
            self.model.send('start', worker.accept, entries)

    def entry(
        self,
        running: Running,
        index: int | None,
        expected: float,
    ) -> queues.Entry[Ticket]:
        """Build the queue entry of a task or a reservation."""
        plan = self.model.plan
        job = running.job
        return queues.Entry(
            id=(id(running), index),
            tenant=ids.TenantName('all') if plan.shared_queue else job.tenant,
            urgency=job.urgency if plan.heed_urgency else 0,
            order=running.order,
            expected=expected,
            payload=Ticket(self, running, index),
            deadline=job.deadline,
        )

    def claim(
        self,
        worker: 'Worker',
        entry: queues.Entry[Ticket],
        load: Load,
        wasted: int,
    ) -> None:
        """Answer a claim with the best waiting task of the job.

        `wasted` is the number of messages lost if no task waits.
        """
        self.observe(worker.number, load)
        running = entry.payload.running
        if not running.waiting:
            self.model.counts['wasted'] += wasted
            self.model.send('none', worker.claimed, entry, None)
            return
        speeds = [self.speed(number) for number in self.views]
        index = placement.pick(
            running.tasks(),
            self.speed(worker.number),
            sum(speeds) / len(speeds),
        ).index
        running.waiting.remove(index)
        running.idle_reserves.discard(worker.number)
        self.model.send('start', worker.claimed, entry, index)

    def done(self, worker: 'Worker', ended: Ended, load: Load) -> None:
        """Take the end of a task; grant to slots that are free now."""
        self.observe(worker.number, load)
        running = ended.ticket.running
        self.learn(worker, ended)
        running.ends.append(ended)
        running.job.failed += ended.failed
        self.count_ended(running, 1)
        if load.free:
            self.top_up(member(worker.number))

    def done_and_claim(
        self,
        worker: 'Worker',
        ended: Ended,
        entry: queues.Entry[Ticket],
        load: Load,
    ) -> None:
        """Take the end of a task and the claim that shares its frame."""
        self.done(worker, ended, load)
        self.claim(worker, entry, load, 1)

    def learn(self, worker: 'Worker', ended: Ended) -> None:
        """Pass an outcome to estimates and ejection."""
        job = ended.ticket.running.job
        work = job.tasks[ended.ticket.index or 0]
        kind = (job.tenant, work.kind)
        name = member(worker.number)
        now = self.model.now
        self.ejector.record(
            name,
            kind,
            failed=ended.failed,
            now=now,
            fleet=len(self.model.workers),
        )
        if not ended.failed:
            hinted = ended.ticket.running.hinted[ended.ticket.index or 0]
            self.estimates.learn(kind, hinted, name, ended.seconds, now)

    def count_ended(self, running: Running, count: int) -> None:
        """Count ended tasks; answer the entry after the last one."""
        running.left -= count
        if running.left or id(running) not in self.jobs:
            return
        self.jobs.pop(id(running))
        self.model.counts['wasted'] += len(running.idle_reserves)
        load = self.model.workers[self.number].load()
        self.model.send('reply', self.answer, running, load)

    def answer(self, running: Running, load: Load) -> None:
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
                    candidate.free = 0
            grants = placement.fill(running.tasks(), candidates)
            self.carry_out(running, placement.Plan(grants))

    def expired(self, ticket: Ticket) -> None:
        """Fail tasks whose deadline passed before they started."""
        running = ticket.running
        count = 1
        if ticket.index is None:
            count = len(running.waiting)
            running.waiting.clear()
        running.job.failed += count
        self.count_ended(running, count)


class Worker:
    """Slots and queue of one worker."""

    def __init__(self, model: Model, number: int, speed: float) -> None:
        """Start idle."""
        self.model = model
        self.number = number
        self.speed = speed
        self.queue: queues.FairQueue[Ticket] = queues.FairQueue()
        self.free = SLOTS
        self.running: dict[Ticket, float] = {}
        self.started: dict[Ticket, tuple[float, float]] = {}
        self.pace = estimates.Mean()

    def load(self) -> Load:
        """Return the load to report."""
        queued = len(self.queue)
        free = max(0, self.free - queued)
        backlog = self.queue.backlog()
        return Load(self.model.now, free, queued, backlog, self.next_free())

    def next_free(self) -> float:
        """Return the expected seconds until a slot is free."""
        pace = math.exp(self.pace.average)
        now = self.model.now
        return min(
            (
                estimates.left(expected * pace, now - since)
                for since, expected in self.started.values()
            ),
            default=0,
        )

    def ends(self) -> list[tuple[float, float]]:
        """Return speed and seconds until it is free for every slot."""
        waits = [max(0, end - self.model.now) for end in self.running.values()]
        waits.extend(itertools.repeat(0, SLOTS - len(waits)))
        return [(self.speed, wait) for wait in waits]

    def accept(self, entries: list[queues.Entry[Ticket]]) -> None:
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

    def take(self) -> queues.Entry[Ticket] | None:
        """Take the next entry and a slot for it."""
        for late in self.queue.take_expired(self.model.now):
            home = late.payload.home
            self.model.send('expired', home.expired, late.payload)
        entry = self.queue.pop(self.model.now)
        self.free -= entry is not None
        return entry

    def begin(self, entry: queues.Entry[Ticket]) -> None:
        """Run a granted task or claim one."""
        ticket = entry.payload
        if ticket.index is not None:
            self.execute(entry, ticket)
            return
        load = self.load()
        self.model.send('claim', ticket.home.claim, self, entry, load, 2)

    def claimed(
        self,
        entry: queues.Entry[Ticket],
        index: int | None,
    ) -> None:
        """Run the task that answers a claim, or give the slot back."""
        if index is None:
            self.queue.remove(entry.id)
            self.queue.charge(entry.tenant, 0, entry.expected)
            self.free += 1
            self.fill()
            return
        ticket = entry.payload
        self.execute(entry, Ticket(ticket.home, ticket.running, index))

    def execute(self, entry: queues.Entry[Ticket], ticket: Ticket) -> None:
        """Occupy the slot for the task's true time."""
        plan = self.model.plan
        work = ticket.running.job.tasks[ticket.index or 0]
        failed = plan.broken == self.number or plan.bad_kind == work.kind
        speed = self.speed
        if plan.straggler == self.number and self.model.now > plan.slow_from:
            speed *= plan.slow_factor
        seconds = FAST_FAILURE if failed else work.seconds / speed
        self.running[ticket] = self.model.now + seconds
        expected = ticket.running.expected[ticket.index or 0]
        self.started[ticket] = (self.model.now, expected)
        ended = Ended(ticket, seconds, failed, str(self.number))
        self.model.after(seconds, self.end, entry, ended)

    def end(self, entry: queues.Entry[Ticket], ended: Ended) -> None:
        """Free the slot, report the end and claim the next task."""
        self.running.pop(ended.ticket)
        expected = self.started.pop(ended.ticket)[1]
        self.pace.add(math.log(ended.seconds / expected), self.model.now)
        self.free += 1
        self.queue.charge(entry.tenant, ended.seconds, entry.expected)
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


def member(number: int) -> ids.MemberId:
    """Return the id of a worker."""
    return ids.MemberId(str(number))


def number_of(name: ids.MemberId) -> int:
    """Return the number of a worker."""
    return int(name)
