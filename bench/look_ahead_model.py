"""Model of entries that place jobs at once, by views that are some time old.

Placement, jobs and views of agents are those of the product; the network and
the endpoints are modelled. A job is in time if its last task is.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import typing

from bench import cost_dispatch_placement as placement_cost
from poplardrum import ids
from poplardrum.dispatch import (
    fleet,
    forecasts,
    job_widths,
    jobs,
    look_ahead,
    messages,
    placement,
    room_index,
)

ZONES: typing.Final = ('north', 'east', 'west')
SLOWNESSES: typing.Final = (0.8, 1.15, 1.7)
CAPACITY: typing.Final = messages.Resources(64000, 65536, 0)
NEED_MILLICORES: typing.Final = (4000, 6600)
ONE_WAY_S: typing.Final = 0.001
# Between load reports to an entry of the same zone, and of another.
REPORT_INTERVALS_S: typing.Final = (0.012, 0.064)
DURATION_SPREAD: typing.Final = 0.15
MAX_WAIT_FRACTION: typing.Final = 0.35


class Kind(typing.NamedTuple):
    """A kind of jobs: arrivals in a second, mean width, times in seconds."""

    rate: float
    width: float
    duration: float
    target: float


KINDS: typing.Final = (
    Kind(115, 7, 0.13, 0.28),
    Kind(21, 4, 1.7, 3.1),
    Kind(300, 2, 0.35, 0.71),
)


@dataclasses.dataclass
class Result:
    """Jobs by width, and the starts with those refused for want of room."""

    arrived: collections.Counter[str]
    in_time: collections.Counter[str]
    waits: dict[str, list[float]]
    starts: int = 0
    refused_starts: int = 0


@dataclasses.dataclass
class Endpoint:
    """An endpoint with its agent, and the expected ends of its runs."""

    zone: str
    slowness: float
    free_cpu: int = CAPACITY.cpu_millicores
    runs: dict[int, tuple[float, int]] = dataclasses.field(default_factory=dict)
    peers: list['Peer'] = dataclasses.field(default_factory=list)


class Entry:
    """An entry with its view of the agents and its waiting jobs."""

    def __init__(
        self, number: int, clock: typing.Callable[[], float], *, looks: bool
    ) -> None:
        """Create an entry without agents."""
        self.zone = ZONES[number % len(ZONES)]
        self.index = room_index.RoomIndex(self.zone, random.Random(number))
        self.look_ahead = look_ahead.LookAhead(self.index, clock)
        self.looks = looks
        self.waiting: dict[ids.JobId, jobs.Job] = {}
        self.is_scheduled = False

    def in_turn(self, now: float) -> typing.Iterable[jobs.Job]:
        """Return the waiting jobs in the order of a pass."""
        slowness = self.index.min_slowness()
        ordered = sorted(
            self.waiting.values(),
            key=lambda job: job.placement_priority(now, slowness),
        )
        return (
            self.look_ahead.take_turns(ordered, now) if self.looks else ordered
        )

    def choose(
        self, job: jobs.Job, request: placement.PlacementRequest, now: float
    ) -> list[placement.Placement]:
        """Return agents for the waiting tasks of a job."""
        if self.looks:
            return self.look_ahead.choose_agents(job, request, now)
        return placement.choose_agents(self.index, request)


@dataclasses.dataclass
class Peer:
    """An agent as one entry sees it."""

    entry: Entry
    endpoint: Endpoint
    view: fleet.Agent
    starts_received: int = 0
    has_report_due: bool = False

    def apply_load(self, now: float) -> None:
        """Apply a load report that is made now."""
        endpoint = self.endpoint
        freed = tuple(
            sum(
                need
                for end, need in endpoint.runs.values()
                if abs(end - now) <= point
            )
            // forecasts.MILLICORES
            for point in forecasts.POINTS_S
        )
        self.view.apply_load(
            messages.Load(
                self.starts_received,
                True,
                messages.Resources(endpoint.free_cpu, 65536, 0),
                CAPACITY,
                endpoint.slowness,
                'intake',
                [],
                freed,
            )
        )
        self.view.forecast_at = now


class Model:
    """Entries and endpoints under a load."""

    def __init__(
        self, seed: int, load: float, *, agents: int, looks_ahead: bool
    ) -> None:
        """Prepare 8 entries; `load` scales the rates of all kinds."""
        # Arrivals do not depend on what is done with them.
        self.arrivals = random.Random(seed)
        self.random = random.Random(seed)
        self.load = load
        # Actual against predicted durations.
        self.duration_factor = 1.0
        self.now = 0.0
        self.events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.entries = [
            Entry(number, self._clock, looks=looks_ahead) for number in range(8)
        ]
        self.result = Result(
            collections.Counter(),
            collections.Counter(),
            collections.defaultdict(list),
        )
        self.peers: dict[fleet.Agent, Peer] = {}
        for number in range(agents):
            endpoint = Endpoint(
                ZONES[number % len(ZONES)],
                SLOWNESSES[number // len(ZONES) % len(SLOWNESSES)],
            )
            for entry in self.entries:
                self._link(number, endpoint, entry)

    def run(self, seconds: float) -> Result:
        """Let jobs arrive for some time; return the result."""
        for kind in KINDS:
            self._arrive(kind, seconds)
        while self.events:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self.result

    def _clock(self) -> float:
        return self.now

    def _after(self, delay: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now + delay, next(self.sequence), call)
        )

    def _link(self, number: int, endpoint: Endpoint, entry: Entry) -> None:
        view = fleet.Agent(
            f'side-{number}', endpoint.zone, ids.new_incarnation()
        )
        view.on_change = entry.index.update
        view.on_connected(typing.cast(typing.Any, placement_cost.OpenLink()))
        peer = Peer(entry, endpoint, view)
        endpoint.peers.append(peer)
        self.peers[view] = peer
        peer.apply_load(0)

    def _arrive(self, kind: Kind, until: float) -> None:
        delay = self.arrivals.expovariate(kind.rate * self.load)
        if self.now + delay < until:
            self._after(delay, lambda: self._submit(kind, until))

    def _submit(self, kind: Kind, until: float) -> None:
        self._arrive(kind, until)
        width = max(round(self.arrivals.gammavariate(5, kind.width / 5)), 1)
        need = messages.Resources(
            self.arrivals.randint(*NEED_MILLICORES), 64, 0
        )
        job = make_job(next(self.sequence), kind, width, need, self.now)
        self.result.arrived[job_widths.label(width)] += 1
        entry = self.arrivals.choice(self.entries)
        entry.waiting[job.id] = job
        self._schedule(entry)
        self._after(
            job.last_resort_at - self.now, lambda: self._schedule(entry)
        )
        self._after(job.refuse_at - self.now, lambda: self._refuse(entry, job))

    def _refuse(self, entry: Entry, job: jobs.Job) -> None:
        if not job.started and job.id in entry.waiting:
            entry.waiting.pop(job.id)
            entry.look_ahead.forget(job)

    def _schedule(self, entry: Entry) -> None:
        if entry.waiting and not entry.is_scheduled:
            entry.is_scheduled = True
            self._after(0, lambda: self._place(entry))

    def _place(self, entry: Entry) -> None:
        entry.is_scheduled = False
        for job in entry.in_turn(self.now):
            tasks = job.ready_tasks()
            request = request_for(job, self.now)
            for view, count in entry.choose(job, request, self.now):
                self._send(job, self.peers[view], tasks[:count])
                tasks = tasks[count:]
            if not tasks:
                entry.waiting.pop(job.id, None)

    def _send(self, job: jobs.Job, peer: Peer, tasks: list[jobs.Task]) -> None:
        for task in tasks:
            task.place(job.id, peer.view, self.now)
        job.started = True
        peer.view.reserve(job.steps[0].need, len(tasks))
        self._after(ONE_WAY_S, lambda: self._receive(job, peer, tasks))

    def _receive(
        self, job: jobs.Job, peer: Peer, tasks: list[jobs.Task]
    ) -> None:
        need = job.steps[0].need.cpu_millicores
        peer.starts_received += 1
        self.result.starts += len(tasks)
        fitting = min(peer.endpoint.free_cpu // need, len(tasks))
        for task in tasks[:fitting]:
            self._start(job, peer, task)
        self._report(peer.endpoint)
        refused = tasks[fitting:]
        if refused:
            self.result.refused_starts += len(refused)
            self._after(ONE_WAY_S, lambda: self._requeue(job, peer, refused))

    def _start(self, job: jobs.Job, peer: Peer, task: jobs.Task) -> None:
        need = job.steps[0].need.cpu_millicores
        endpoint = peer.endpoint
        expected = job.predicted_duration * endpoint.slowness
        number = next(self.sequence)
        endpoint.free_cpu -= need
        endpoint.runs[number] = (self.now + expected, need)
        task.placed_at = self.now
        spread = max(self.random.gauss(1, DURATION_SPREAD), 0.3)

        def end() -> None:
            endpoint.free_cpu += endpoint.runs.pop(number)[1]
            self._report(endpoint)
            self._after(ONE_WAY_S, lambda: self._complete(job, peer, task))

        self._after(expected * spread * self.duration_factor, end)

    def _complete(self, job: jobs.Job, peer: Peer, task: jobs.Task) -> None:
        task.leave_agent(job.id, jobs.Phase.done)
        peer.apply_load(self.now)
        if all(each.phase is jobs.Phase.done for each in job.tasks):
            label = job_widths.label(len(job.tasks))
            self.result.waits[label].append(
                max(each.placed_at for each in job.tasks) - job.arrived_at
            )
            if self.now <= job.arrived_at + job.target_latency:
                self.result.in_time[label] += 1
        self._schedule(peer.entry)

    def _requeue(
        self, job: jobs.Job, peer: Peer, refused: list[jobs.Task]
    ) -> None:
        for task in refused:
            task.leave_agent(job.id, jobs.Phase.waiting)
        peer.apply_load(self.now)
        peer.entry.waiting[job.id] = job
        self._schedule(peer.entry)

    def _report(self, endpoint: Endpoint) -> None:
        """Report to entries that have none on its way."""
        for peer in endpoint.peers:
            if not peer.has_report_due:
                peer.has_report_due = True
                is_far = peer.entry.zone != endpoint.zone
                delay = self.random.uniform(0, REPORT_INTERVALS_S[is_far])
                self._after(
                    delay + ONE_WAY_S, functools.partial(self._deliver, peer)
                )

    def _deliver(self, peer: Peer) -> None:
        peer.has_report_due = False
        had = peer.view.free.cpu_millicores
        peer.apply_load(self.now)
        if peer.view.free.cpu_millicores > had:
            self._schedule(peer.entry)


def make_job(
    number: int, kind: Kind, width: int, need: messages.Resources, now: float
) -> jobs.Job:
    """Return a job of one step that arrives now."""
    step = jobs.Step(0, 0, width, need, kind.duration)
    return jobs.Job(
        id=ids.JobId(str(number)),
        queue='r-1',
        urgency=0,
        max_attempts=2,
        specification='',
        service='intake',
        steps=[step],
        estimate=kind.duration,
        client_timeout=30.0,
        predicted_duration=kind.duration,
        has_prediction=True,
        tasks=jobs.make_tasks([step]),
        arrived_at=now,
        target_latency=kind.target,
        refuse_at=now + MAX_WAIT_FRACTION * kind.target,
        deadline=now + 30.0,
        outcome=typing.cast(typing.Any, None),
    )


def request_for(job: jobs.Job, now: float) -> placement.PlacementRequest:
    """Return the request to place the waiting tasks of a job."""
    return placement.request_for(job, job.steps[0], job.ready_tasks(), 1, now)
