"""Measure who is served while a third or two thirds of the room are away.

Run `python -m bench.policy_short_room`. Entries, with the coordinator of
`dispatch/`, share the endpoints of three zones, of which some are lost for
the whole run. Clocks and links are modelled: time jumps to the next event.
"""

import asyncio
import collections
import dataclasses
import math
import random
import typing

from bench import model_loop
from poplardrum import errors, ids
from poplardrum.dispatch import (
    admission,
    clocks,
    coordinator,
    fleet,
    jobs,
    messages,
)

_ZONES: typing.Final = ('toledo', 'erie', 'buffalo')
_ENTRIES_PER_ZONE: typing.Final = 1
_AGENTS_PER_ZONE: typing.Final = 9
_SPEEDS: typing.Final = (0.6, 1.0, 1.6)
_SIZES: typing.Final = (1.0, 1.0, 1.5)
_ENDPOINT_CPU: typing.Final = 64000
_MEMORY_MB: typing.Final = 131072
_SERVICE: typing.Final = 'intake'
_HOP_S: typing.Final = 0.0005
# Between reports of an agent to an entry of its zone, and of another.
_REPORT_INTERVALS_S: typing.Final = {True: 0.014, False: 0.072}
_BASE_LATENCY_S: typing.Final = 0.06
_STRETCH: typing.Final = 1.6
_CLIENT_TIMEOUT_S: typing.Final = 6.0
_RUN_S: typing.Final = 10.0
_MEASURED_FROM_S: typing.Final = 2.0
_SEED: typing.Final = 7
_MS_PER_S: typing.Final = 1000


class _Queue(typing.NamedTuple):
    """A queue whose jobs have `width` tasks of `duration` seconds."""

    name: str
    urgency: int
    rate: float
    width: int
    duration: float


QUEUES: typing.Final = (
    _Queue('narrow-short', 0, 123.0, 8, 0.06),
    _Queue('long', 2, 22.5, 4, 0.9),
    _Queue('common', 1, 360.0, 2, 0.2),
)


@dataclasses.dataclass(eq=False)
class Link:
    """The link of one entry to one endpoint."""

    endpoint: 'Endpoint'
    entry: 'Entry'
    agent: fleet.Agent
    starts_received: int = 0
    reported_at: float = -math.inf
    is_report_due: bool = False
    is_stale: bool = False

    def send(self, message: messages.AnyMessage) -> None:
        """Deliver a message of the entry."""
        loop = asyncio.get_running_loop()
        loop.call_later(_HOP_S, self.endpoint.receive, self, message)

    def set_busy(self, busy: bool) -> None:
        """Do nothing."""


class Endpoint:
    """An agent with its endpoint."""

    def __init__(self, zone: str, slowness: float, size: float) -> None:
        """Start without runs."""
        self.zone = zone
        self.slowness = slowness
        self.capacity = messages.Resources(
            int(_ENDPOINT_CPU * size), _MEMORY_MB, 0
        )
        self.free = self.capacity
        self.links: list[Link] = []
        self.busy_cpu_seconds = 0.0

    def receive(self, link: Link, message: messages.AnyMessage) -> None:
        """Start tasks that fit and refuse the others."""
        if not isinstance(message, messages.StartTasks):
            return
        link.starts_received += 1
        loop = asyncio.get_running_loop()
        job = link.entry.models[message.job]
        refused = []
        for run in message.runs:
            if self.free.cpu_millicores < message.demand.cpu_millicores:
                refused.append(run)
                continue
            self.free = self.free.minus(message.demand)
            duration = job.durations[run.task_index] * self.slowness
            loop.call_later(
                duration, self._end_run, link, message, run, duration
            )
        if refused:
            refusal = messages.Refused(
                message.job, refused, messages.Refusal.no_room
            )
            self._deliver(link, refusal)
        self._report_changes()

    def _end_run(
        self,
        link: Link,
        start: messages.StartTasks,
        run: messages.RunId,
        duration: float,
    ) -> None:
        freed = start.demand
        self.busy_cpu_seconds += freed.cores() * duration
        self.free = self.free.minus(
            messages.Resources(
                -freed.cpu_millicores, -freed.memory_mb, -freed.gpus
            )
        )
        self._deliver(
            link, messages.Completion(start.job, run, messages.Outcome.done)
        )
        self._report_changes()

    def _deliver(self, link: Link, message: messages.AnyMessage) -> None:
        """Send a message, with the load in the same frame."""
        link.reported_at = asyncio.get_running_loop().time()
        load = self.load(link)
        loop = asyncio.get_running_loop()
        loop.call_later(_HOP_S, _receive_frame, link, (message, load))

    def load(self, link: Link) -> messages.Load:
        """Return the load for the entry at a link."""
        return messages.Load(
            link.starts_received,
            True,
            self.free,
            self.capacity,
            self.slowness,
            _SERVICE,
            [],
        )

    def _report_changes(self) -> None:
        loop = asyncio.get_running_loop()
        for link in self.links:
            if link.is_report_due:
                continue
            is_near = link.entry.zone == self.zone
            due_at = link.reported_at + _REPORT_INTERVALS_S[is_near]
            link.is_report_due = True
            loop.call_at(max(due_at, loop.time()), self._report, link)

    def _report(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        link.is_report_due = False
        link.reported_at = loop.time()
        loop.call_later(_HOP_S, _receive_frame, link, (self.load(link),))


def _receive_frame(
    link: Link, frame: typing.Sequence[messages.AnyMessage]
) -> None:
    for message in frame:
        link.entry.coordinator.handle_message(link.agent, message)


@dataclasses.dataclass(eq=False)
class ModelJob:
    """A job and what becomes of it."""

    queue: _Queue
    durations: list[float]
    cpu: int
    arrived_at: float
    result: str = 'open'
    answered_after: float = math.inf

    def core_seconds(self) -> float:
        """Return the work at slowness 1."""
        return sum(self.durations) * self.cpu / _MS_PER_S


class Entry:
    """One entry with its callers."""

    def __init__(self, zone: str, is_short: bool) -> None:
        """Start without jobs; order jobs for short room if `is_short`."""
        self.zone = zone
        self.coordinator = coordinator.Coordinator(
            zone, has_short_room=is_short
        )
        self.models: dict[ids.JobId, ModelJob] = {}

    async def run_job(self, model: ModelJob, rng: random.Random) -> None:
        """Submit a job and record its result."""
        loop = asyncio.get_running_loop()
        longest = max(model.durations)
        mean = sum(model.durations) / len(model.durations)
        target = _STRETCH * mean + _BASE_LATENCY_S
        job = make_job(model, longest * rng.lognormvariate(0, 0.1), target)
        self.models[job.id] = model
        index = self.coordinator.index
        job.refuse_at = job.arrived_at + admission.longest_wait(
            target,
            job.predicted_duration,
            _CLIENT_TIMEOUT_S,
            index.min_slowness(),
            recovering=False,
        )
        try:
            self.coordinator.submit(job)
            await job.outcome
            latency = loop.time() - job.arrived_at
            model.result = 'in_time' if latency <= target else 'late'
        except errors.PoplardrumError as error:
            is_refused = error.code is errors.Code.overload
            model.result = 'refused' if is_refused else 'failed'
        finally:
            model.answered_after = loop.time() - job.arrived_at
            self.coordinator.finish(job)


def make_job(model: ModelJob, predicted: float, target: float) -> jobs.Job:
    """Return the job of the entry."""
    now = asyncio.get_running_loop().time()
    width = len(model.durations)
    need = messages.Resources(model.cpu, 64, 0)
    step = jobs.Step(0, 0, width, need, predicted)
    return jobs.Job(
        id=ids.JobId(f'{random.getrandbits(64):016x}'),
        queue=model.queue.name,
        urgency=model.queue.urgency,
        max_attempts=2,
        specification='',
        service=_SERVICE,
        steps=[step],
        estimate=predicted,
        client_timeout=_CLIENT_TIMEOUT_S,
        predicted_duration=predicted,
        has_prediction=True,
        tasks=jobs.make_tasks([step]),
        arrived_at=now,
        target_latency=target,
        refuse_at=math.inf,
        deadline=now + _CLIENT_TIMEOUT_S,
        outcome=asyncio.get_running_loop().create_future(),
    )


def draw_job(queue: _Queue, now: float, rng: random.Random) -> ModelJob:
    """Draw a job of a queue."""
    width = min(max(round(queue.width * rng.lognormvariate(-0.08, 0.4)), 1), 32)
    typical = queue.duration * rng.lognormvariate(-0.08, 0.4)
    durations = [typical * rng.lognormvariate(0, 0.15) for _ in range(width)]
    cpu = int(min(5100 * rng.lognormvariate(-0.02, 0.2), 7700))
    return ModelJob(queue, durations, cpu, now)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load at `ratio` of the usual one, with room away."""

    name: str
    zones_away: int = 1
    ratio: float = 1.0


SCENARIOS: typing.Final = (
    Scenario('third_away'),
    Scenario('two_thirds_away', zones_away=2, ratio=0.6),
)


async def _arrivals(
    scenario: Scenario,
    queue: _Queue,
    entries: typing.Sequence[Entry],
    rng: random.Random,
    found: list[ModelJob],
) -> None:
    loop = asyncio.get_running_loop()
    tasks = set()
    while loop.time() < _RUN_S:
        rate = queue.rate * scenario.ratio
        await asyncio.sleep(rng.expovariate(rate))
        model = draw_job(queue, loop.time(), rng)
        found.append(model)
        entry = rng.choice(entries)
        tasks.add(asyncio.create_task(entry.run_job(model, rng)))
    await asyncio.gather(*tasks)


async def play(scenario: Scenario, is_short: bool) -> list[ModelJob]:
    """Return the jobs of one run."""
    rng = random.Random(_SEED)
    random.seed(_SEED)
    zones = _ZONES[: len(_ZONES) - scenario.zones_away]
    endpoints = [
        Endpoint(zone, _SPEEDS[number % 3], _SIZES[number // 3 % 3])
        for zone in zones
        for number in range(_AGENTS_PER_ZONE)
    ]
    entries = [
        Entry(zone, is_short)
        for zone in _ZONES
        for _ in range(_ENTRIES_PER_ZONE)
    ]
    for entry in entries:
        for number, endpoint in enumerate(endpoints):
            agent = fleet.Agent(
                f'side-{number}', endpoint.zone, ids.new_incarnation()
            )
            link = Link(endpoint, entry, agent)
            endpoint.links.append(link)
            entry.coordinator.add_agent(agent)
            agent.on_connected(typing.cast(typing.Any, link))
            _receive_frame(link, (endpoint.load(link),))
    found: list[ModelJob] = []
    await asyncio.gather(
        *(
            _arrivals(
                scenario, queue, entries, random.Random(rng.random()), found
            )
            for queue in QUEUES
        )
    )
    return found


def report(name: str, found: typing.Sequence[ModelJob]) -> None:
    """Print what became of the jobs by queue, and of the widest."""
    ratios = []
    for queue in QUEUES:
        mine = [
            job
            for job in found
            if job.queue is queue and job.arrived_at >= _MEASURED_FROM_S
        ]
        results = collections.Counter(job.result for job in mine)
        work = sum(job.core_seconds() for job in mine)
        done = sum(
            job.core_seconds() for job in mine if job.result == 'in_time'
        )
        mine.sort(key=ModelJob.core_seconds)
        widest = mine[int(len(mine) * 0.9) :]
        in_time = results['in_time'] / len(mine)
        large = sum(job.result == 'in_time' for job in widest) / len(widest)
        ratios.append(in_time)
        refused = [
            job.answered_after for job in mine if job.result == 'refused'
        ]
        wait = sum(refused) / len(refused) if refused else 0
        label = f'short_room.{name}.{queue.name}'
        print(f'{label}.in_time {in_time:.3f} ratio')
        print(f'{label}.work_in_time {done / work:.3f} ratio')
        print(f'{label}.late {results["late"] / len(mine):.3f} ratio')
        print(f'{label}.refused {results["refused"] / len(mine):.3f} ratio')
        print(f'{label}.refusal_wait {wait:.3f} s')
        print(f'{label}.largest {large / max(in_time, 0.001):.2f} ratio')
    print(f'short_room.{name}.worst_queue {min(ratios):.3f} ratio', flush=True)


def run(scenario: Scenario, *, is_short: bool) -> list[ModelJob]:
    """Play a scenario on a clock of its own."""
    loop = model_loop.ModelLoop()
    earlier = clocks.now
    clocks.now = loop.time
    try:
        return loop.run_until_complete(play(scenario, is_short))
    finally:
        clocks.now = earlier
        loop.close()


if __name__ == '__main__':
    for each in SCENARIOS:
        report(f'{each.name}.baseline', run(each, is_short=False))
        report(f'{each.name}.shares', run(each, is_short=True))
