"""Model of coordinators, workers and links, without an event loop."""

import collections
import dataclasses
import typing

from poplardrum import errors, ids
from poplardrum.daemons import (
    grants,
    reservations,
    slots,
    task_requests,
    worker_tasks,
)
from poplardrum.daemons import job as jobs
from poplardrum.peers import frames, messages

LEASE_S: typing.Final = 10.0
SLOTS: typing.Final = 2


@dataclasses.dataclass
class InFlightItem:
    """Item in flight; `epoch` is the number of the link that carries it."""

    item: typing.Any
    sent_at: float
    epoch: int


@dataclasses.dataclass
class ModelLink:
    """Link between a coordinator and a worker.

    Each end has the number of the link that it uses, or 0 without a link.
    """

    coordinator_epoch: int = 0
    worker_epoch: int = 0
    to_worker: collections.deque[InFlightItem] = dataclasses.field(
        default_factory=collections.deque,
    )
    to_coordinator: collections.deque[InFlightItem] = dataclasses.field(
        default_factory=collections.deque,
    )


class CoordinatorModel:
    """Coordinator whose sent items are queued on model links."""

    def __init__(self, world: 'World', name: str, number: int) -> None:
        """Start one incarnation."""
        self.world = world
        self.name = ids.MemberId(name)
        self.incarnation = ids.Incarnation(f'{name}-{number}')
        self.grants = grants.Grants(self, self.name, self.incarnation)

    def send(self, worker: ids.MemberId, item: frames.AnyItem) -> bool:
        """Queue an item on the link if it is up at this end."""
        link = self.world.link(self.name, worker)
        if not link.coordinator_epoch:
            return False
        link.to_worker.append(
            InFlightItem(item, self.world.now, link.coordinator_epoch)
        )
        return True

    def finished(self, job: jobs.Job) -> None:
        """Record the answer; a second one is an error."""
        if job.id in self.world.answers:
            raise AssertionError(f'{job.id} was answered twice')
        self.world.answers[job.id] = jobs.build_answer(job)

    def receive(self, worker: ids.MemberId, item: typing.Any) -> None:
        """Handle an item from a worker as the process does."""
        if isinstance(item, messages.Done):
            self.grants.task_completed(worker, item.task, item.outcome)
        elif isinstance(item, messages.NotStarted):
            self.grants.not_started(worker, item)
        elif isinstance(item, messages.TaskRunning):
            self.grants.tasks_running(worker, item.tasks)
        elif isinstance(item, messages.Claim):
            self.answer_claim(worker, item)

    def answer_claim(
        self,
        worker: ids.MemberId,
        item: messages.Claim,
    ) -> None:
        """Grant a waiting task, or reply that none is waiting."""
        job = reservations.best_waiting(self.grants.jobs, item.tenant)
        if job is None:
            self.send(worker, messages.NoTask(item.job, item.number))
        else:
            self.grant(job, worker, item.number)

    def grant(
        self,
        job: jobs.Job,
        worker: ids.MemberId,
        claim: int = 0,
    ) -> None:
        """Grant the first waiting task."""
        target = grants.Target(
            job.waiting[0],
            worker,
            self.world.workers[worker].incarnation,
            1000 * LEASE_S,
            claim,
        )
        self.grants.grant(job, target, self.world.now)


class WorkerModel:
    """Worker with an endpoint whose tasks end when the test ends them."""

    def __init__(self, world: 'World', name: str, number: int) -> None:
        """Start one incarnation with an endpoint that offers its slots."""
        self.world = world
        self.name = ids.MemberId(name)
        self.incarnation = ids.Incarnation(f'{name}-{number}')
        self.paused = False
        self.at_endpoint: dict[ids.TaskId, worker_tasks.WorkerTask] = {}
        self.slots = slots.Slots(
            self, worker_tasks.WorkerLimits(50, 100, 10_000)
        )
        self.slots.set_slots(SLOTS, world.now)

    def send(
        self, coordinator_ref: worker_tasks.CoordinatorRef, item: frames.AnyItem
    ) -> bool:
        """Queue an item on the link if it is up at this end."""
        link = self.world.link(coordinator_ref.member, self.name)
        current = self.world.coordinators[coordinator_ref.member]
        if (
            not link.worker_epoch
            or coordinator_ref.incarnation != current.incarnation
        ):
            return False
        link.to_coordinator.append(
            InFlightItem(item, self.world.now, link.worker_epoch)
        )
        return True

    def expected_time(self, item: messages.Start) -> float:
        """Return the declared time."""
        return item.spec.declared_ms / 1000

    def run(self, worker_task: worker_tasks.WorkerTask) -> None:
        """Count a start and check that it was allowed."""
        self.world.started(worker_task)
        self.at_endpoint[worker_task.task_id] = worker_task
        if len(self.at_endpoint) > SLOTS:
            raise AssertionError('more tasks than slots')

    def stop(self, worker_task: worker_tasks.WorkerTask) -> None:
        """End the task at once, as the endpoint does."""
        self.finish(worker_task.task_id, errors.Code.cancelled)

    def finish(self, task: ids.TaskId, code: errors.Code) -> None:
        """End a running task."""
        worker_task = self.at_endpoint.pop(task)
        outcome = messages.TaskOutcome(errors.Verdict.ran, code, seconds=0.1)
        self.slots.task_ended(worker_task, outcome, self.world.now)

    def receive(
        self,
        coordinator_ref: worker_tasks.CoordinatorRef,
        in_flight: InFlightItem,
    ) -> None:
        """Handle an item from a coordinator as the process does."""
        now = self.world.now
        item = in_flight.item
        age = now - in_flight.sent_at
        if isinstance(item, messages.Start):
            self.slots.accept_grant(item, age, now)
        elif isinstance(item, messages.Reserve):
            self.slots.reserve(item, coordinator_ref, now)
        elif isinstance(item, messages.NoTask):
            self.slots.no_task(item, coordinator_ref, now)
        else:
            self.recall(coordinator_ref, item, age)

    def recall(
        self,
        coordinator_ref: worker_tasks.CoordinatorRef,
        item: typing.Any,
        age: float,
    ) -> None:
        """Reply to a coordinator's request about tasks."""
        decide: typing.Any = task_requests.withdraw
        granted_at = float('-inf')
        if isinstance(item, messages.StopTasks):
            decide = task_requests.stop
        if isinstance(item, messages.QueryTasks):
            decide = task_requests.query
            granted_at = self.world.now - age - item.oldest_grant_age_ms / 1000
            if item.worker_incarnation != self.incarnation:
                granted_at = float('-inf')
        for task, grant in zip(item.tasks, item.grant_numbers, strict=True):
            request = task_requests.TaskRequest(
                coordinator_ref, task, grant, granted_at
            )
            decide(self.slots, request, self.world.now)
        self.slots.fill_slots(self.world.now)


class World:
    """All processes and links, with the starts and answers of all tasks."""

    def __init__(self) -> None:
        """Start two coordinators and two workers, linked."""
        self.now = 1000.0
        self.numbers = iter(range(1, 1_000_000))
        self.starts: collections.Counter[ids.TaskId] = collections.Counter()
        self.answers: dict[ids.JobId, messages.Answer] = {}
        self.submitted: dict[ids.JobId, ids.MemberId] = {}
        self.links: dict[tuple[str, str], ModelLink] = {}
        self.coordinators = {
            ids.MemberId(name): CoordinatorModel(self, name, 0)
            for name in ('c0', 'c1')
        }
        self.workers = {
            ids.MemberId(name): WorkerModel(self, name, 0)
            for name in ('w0', 'w1')
        }
        for pair in self.pairs():
            self.connect(*pair)

    def pairs(self) -> list[tuple[ids.MemberId, ids.MemberId]]:
        """Return all pairs of a coordinator and a worker."""
        return [
            (coordinator, worker)
            for coordinator in self.coordinators
            for worker in self.workers
        ]

    def link(self, coordinator: str, worker: str) -> ModelLink:
        """Return the link between two processes."""
        return self.links.setdefault((coordinator, worker), ModelLink())

    def started(self, worker_task: worker_tasks.WorkerTask) -> None:
        """Count a start; check it against the lease and the job's answer."""
        task = worker_task.task_id
        self.starts[task] += 1
        if self.now >= worker_task.lease_expires_at:
            raise AssertionError(f'{task} started on a lapsed lease')
        answer = self.answers.get(task.job)
        if answer is not None:
            verdict = answer.tasks[task.position].verdict
            if verdict is errors.Verdict.not_run:
                raise AssertionError(f'{task} started after "not run"')

    def submit(self, coordinator: ids.MemberId, count: int) -> jobs.Job:
        """Start a job of `count` tasks with a deadline of 40 s."""
        number = next(self.numbers)
        spec = messages.TaskSpec(ids.TaskKindName('weigh-in'), '', 100, False)
        item = messages.SubmitJob(
            request=ids.RequestId(number),
            tenant=ids.TenantName(f'tenant-{number % 2}'),
            key=ids.IdempotencyKey(str(number)),
            digest=b'',
            first=True,
            job_class=ids.JobClassName('gate'),
            urgency=5,
            deadline_ms=40_000,
            tasks=[spec] * count,
        )
        job_id = ids.JobId(f'job-{number}')
        job = jobs.create(job_id, item, self.now, 0, [0.1] * count)
        self.coordinators[coordinator].grants.jobs[job_id] = job
        self.submitted[job_id] = coordinator
        return job

    def connect(
        self,
        coordinator: ids.MemberId,
        worker: ids.MemberId,
    ) -> None:
        """Establish a new link; both ends are notified."""
        link = self.link(coordinator, worker)
        link.coordinator_epoch = link.worker_epoch = next(self.numbers)
        coordinator_model = self.coordinators[coordinator]
        worker_model = self.workers[worker]
        coordinator_ref = worker_tasks.CoordinatorRef(
            coordinator, coordinator_model.incarnation
        )
        worker_model.slots.coordinator_reconnected(coordinator_ref, self.now)
        coordinator_model.grants.worker_reconnected(
            worker, worker_model.incarnation, self.now
        )

    def break_link(
        self, coordinator: ids.MemberId, worker: ids.MemberId
    ) -> None:
        """Break a link as the coordinator sees it.

        The worker may still read what is in its socket buffer.
        """
        self.link(coordinator, worker).coordinator_epoch = 0
        self.coordinators[coordinator].grants.worker_lost(worker, self.now)

    def deliver_to_worker(
        self,
        coordinator: ids.MemberId,
        worker: ids.MemberId,
    ) -> None:
        """Deliver the oldest item to a worker."""
        link = self.link(coordinator, worker)
        worker_model = self.workers[worker]
        if worker_model.paused or not link.to_worker:
            return
        in_flight = link.to_worker.popleft()
        if in_flight.epoch == link.worker_epoch:
            incarnation = self.coordinators[coordinator].incarnation
            worker_model.receive(
                worker_tasks.CoordinatorRef(coordinator, incarnation), in_flight
            )

    def deliver_to_coordinator(
        self,
        coordinator: ids.MemberId,
        worker: ids.MemberId,
    ) -> None:
        """Deliver the oldest item to a coordinator."""
        link = self.link(coordinator, worker)
        if not link.to_coordinator:
            return
        in_flight = link.to_coordinator.popleft()
        if in_flight.epoch == link.coordinator_epoch:
            self.coordinators[coordinator].receive(worker, in_flight.item)

    def restart_worker(self, worker: ids.MemberId) -> None:
        """Kill a worker's agent and start it again; its links break."""
        for coordinator in self.coordinators:
            self.break_link(coordinator, worker)
            self.links[(coordinator, worker)] = ModelLink()
        number = next(self.numbers)
        self.workers[worker] = WorkerModel(self, worker, number)

    def restart_coordinator(self, coordinator: ids.MemberId) -> None:
        """Kill a coordinator and start it again; its jobs are lost."""
        for worker, worker_model in self.workers.items():
            self.links[(coordinator, worker)] = ModelLink()
            worker_model.slots.coordinator_lost(coordinator, self.now)
        lost_jobs = self.coordinators[coordinator].grants.jobs
        for job_id in lost_jobs:
            self.submitted.pop(job_id)
        number = next(self.numbers)
        self.coordinators[coordinator] = CoordinatorModel(
            self,
            coordinator,
            number,
        )

    def advance(self, seconds: float) -> None:
        """Advance the time of all processes that are not paused."""
        self.now += seconds
        for coordinator_model in self.coordinators.values():
            coordinator_model.grants.enforce_timeouts(self.now)
        for worker_model in self.workers.values():
            if not worker_model.paused:
                worker_model.slots.enforce_timeouts(self.now)

    def recover_all(self) -> None:
        """Remove all faults and advance past every job's deadline."""
        for worker_model in self.workers.values():
            worker_model.paused = False
        for pair in self.pairs():
            link = self.link(*pair)
            if (
                not link.coordinator_epoch
                or link.coordinator_epoch != link.worker_epoch
            ):
                self.connect(*pair)
        for _ in range(50):
            for pair in self.pairs():
                self.deliver_to_worker(*pair)
                self.deliver_to_coordinator(*pair)
            self.advance(1)
