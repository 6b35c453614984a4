"""The worker of an agent: its endpoint and the tasks in its slots."""

import asyncio
import logging
import time
import typing

from poplardrum import errors, ids
from poplardrum.daemons import slots, task_requests, worker_tasks
from poplardrum.endpoints import announcements, runner
from poplardrum.peers import frames, handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

_POLL_INTERVAL_S: typing.Final = 0.25
# Time for a stopped task to end before its run is abandoned.
_STOP_TIMEOUT_S: typing.Final = 2.0
_STOP_RETRY_INTERVAL_S: typing.Final = 0.1
_UNKNOWN_GRANT_TIME: typing.Final = float('-inf')

TaskRequestHandler = typing.Callable[
    [slots.Slots, task_requests.TaskRequest, float], None
]


class Worker:
    """Run granted tasks in the slots of the endpoint."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Create the worker without an endpoint and tasks."""
        limits = process.settings.limits
        self.process = process
        self.endpoint = announcements.EndpointStatus()
        self.runner = runner.Runner(
            process.member.id,
            connections=limits.connections,
        )
        self.slots = slots.Slots(
            self,
            worker_tasks.WorkerLimits(
                limits.queue, limits.records, limits.answers
            ),
        )
        self.timeouts: dict[ids.TaskId, asyncio.Timeout] = {}
        self.config_number = ids.ConfigNumber(0)

    def load(self) -> messages.Load:
        """Return the load to report."""
        usable = self.endpoint.is_usable(time.monotonic())
        total = self.slots.slot_count if usable else 0
        queued = len(self.slots.queue)
        return messages.Load(
            slots=total,
            free_slots=max(0, min(total, self.slots.free_slots - queued)),
            queued_tasks=queued,
            backlog_s=self.slots.queue.fair_queue.backlog(),
        )

    def refresh_slots(self) -> None:
        """Reconcile the slots with the last announcement of the endpoint."""
        now = time.monotonic()
        usable = self.endpoint.is_usable(now)
        slot_count = self.endpoint.slots() if usable else 0
        self.slots.set_slots(slot_count, now)

    async def watch(self) -> None:
        """Detect silent endpoints, lapsed leases and claims until cancelled."""
        while True:
            self.apply_shares()
            self.refresh_slots()
            self.slots.enforce_timeouts(time.monotonic())
            await asyncio.sleep(_POLL_INTERVAL_S)

    def run(self, task: worker_tasks.WorkerTask) -> None:
        """Run a task in the background."""
        self.process.spawn(self.run_task(task), f'run {task.task_id}')

    async def run_task(self, task: worker_tasks.WorkerTask) -> None:
        """Run one task and report its outcome."""
        now = time.monotonic()
        announcement = self.endpoint.announcement
        reason = task.lapse_reason(now)
        if task.phase is worker_tasks.Phase.stopping:
            reason = errors.Code.cancelled
        if announcement is None or reason is not None:
            self.return_unstarted(task, reason or errors.Code.unavailable)
            return
        self.process.metrics.task_starts.labels(task.start.tenant).inc()
        timeout = asyncio.timeout(task.deadline - now)
        self.timeouts[task.task_id] = timeout
        outcome = await self.runner.run(
            announcement.address,
            task.task_id,
            task.start.spec,
            timeout,
        )
        self.timeouts.pop(task.task_id)
        if outcome.verdict is errors.Verdict.not_run:
            self.endpoint.suspend()
            self.return_unstarted(task, outcome.code)
            return
        if outcome.code is errors.Code.endpoint_failed:
            # Other connections may not yet show that the endpoint has failed;
            # it is unknown whether a task sent on one of them runs.
            self.endpoint.suspend()
            self.refresh_slots()
        if timeout.expired():
            outcome = await self.stop_unanswered(
                announcement.address, task, outcome
            )
        self.slots.task_ended(task, outcome, time.monotonic())

    async def stop_unanswered(
        self,
        address: str,
        task: worker_tasks.WorkerTask,
        outcome: messages.TaskOutcome,
    ) -> messages.TaskOutcome:
        """Stop a task that has not answered in time.

        Its slot is free again once the endpoint confirms the stop.
        """
        if not await self.runner.stop(address, task.task_id):
            self.slots.unconfirmed_stops.add(task.task_id)
            self.process.spawn(
                self.release_slot(address, task.task_id),
                f'release {task.task_id}',
            )
        if task.phase is worker_tasks.Phase.stopping:
            return runner.with_code(outcome, errors.Code.cancelled)
        return outcome

    async def release_slot(self, address: str, task_id: ids.TaskId) -> None:
        """Free a slot once the endpoint confirms that the task has stopped."""
        while not await self.runner.stop(address, task_id):
            await asyncio.sleep(_STOP_TIMEOUT_S)
        self.slots.unconfirmed_stops.discard(task_id)
        self.slots.fill_slots(time.monotonic())

    def return_unstarted(
        self, task: worker_tasks.WorkerTask, reason: errors.Code
    ) -> None:
        """Return a task that did not reach the endpoint."""
        self.slots.start_failed(task, reason, time.monotonic())
        self.refresh_slots()

    def expected_time(self, item: messages.Start) -> float:
        """Return the expected run time of a task here in seconds."""
        return self.process.coordinator.workers.estimates.expected_time_on(
            (item.tenant, item.spec.kind),
            item.spec.declared_ms / 1000,
            self.process.member.id,
        )

    def apply_shares(self) -> None:
        """Apply the tenants' shares of the current rules to the queue."""
        current = self.process.configuration
        if current.number != self.config_number:
            self.config_number = current.number
            tenants = current.rules.tenants
            self.slots.queue.fair_queue.set_shares(
                {name: rule.share for name, rule in tenants.items()},
            )

    def stop(self, task: worker_tasks.WorkerTask) -> None:
        """Stop a task that runs at the endpoint, with a timeout."""
        announcement = self.endpoint.announcement
        timeout = self.timeouts.get(task.task_id)
        if announcement is None or timeout is None:
            return
        stop_by = asyncio.get_running_loop().time() + _STOP_TIMEOUT_S
        timeout.reschedule(min(stop_by, timeout.when() or stop_by))
        self.process.spawn(
            self.send_stop(announcement.address, task),
            f'stop {task.task_id}',
        )

    async def send_stop(
        self, address: str, task: worker_tasks.WorkerTask
    ) -> None:
        """Send stop requests until the run of the task has ended.

        The first one may overtake the request that starts the task.
        """
        while self.slots.tasks.get(task.task_id) is task:
            await self.runner.stop(address, task.task_id)
            await asyncio.sleep(_STOP_RETRY_INTERVAL_S)

    def send(
        self, coordinator: worker_tasks.CoordinatorRef, item: frames.AnyItem
    ) -> bool:
        """Send to a coordinator on the link that it opened."""
        link = self.process.coordinator_link(coordinator.member)
        if link is None or link.member.incarnation != coordinator.incarnation:
            return False
        return link.send(item)

    def is_current(self, link: links.Link) -> bool:
        """Return whether replies to the peer are sent on this link.

        Frames may still be read from a link that a newer one has replaced;
        the coordinator queries their tasks on the newer one.
        """
        return self.process.coordinator_link(link.member.id) is link

    def answer_task_requests(
        self,
        handle: TaskRequestHandler,
        item: messages.Withdraw | messages.StopTasks | messages.QueryTasks,
        link: links.Link,
        granted_at: float = _UNKNOWN_GRANT_TIME,
    ) -> None:
        """Reply for each of the tasks in a coordinator's request."""
        if not self.is_current(link):
            return
        now = time.monotonic()
        coordinator = coordinator_of(link)
        for task_id, grant_number in zip(
            item.tasks, item.grant_numbers, strict=True
        ):
            request = task_requests.TaskRequest(
                coordinator, task_id, grant_number, granted_at
            )
            handle(self.slots, request, now)
        self.slots.fill_slots(now)


def coordinator_of(link: links.Link) -> worker_tasks.CoordinatorRef:
    """Return the coordinator at the other end of a link."""
    return worker_tasks.CoordinatorRef(link.member.id, link.member.incarnation)


@handlers.receive.register(messages.Start)
def _start(
    item: messages.Start,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    is_current = worker.is_current(link)
    if is_current and item.incarnation == link.member.incarnation:
        worker.slots.accept_grant(item, link.frame_age, time.monotonic())


@handlers.receive.register(messages.Reserve)
def _reserve(
    item: messages.Reserve,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    if worker.is_current(link):
        worker.slots.reserve(item, coordinator_of(link), time.monotonic())


@handlers.receive.register(messages.Release)
def _release(
    item: messages.Release,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.slots.queue.release(coordinator_of(link), item.jobs)


@handlers.receive.register(messages.NoTask)
def _no_task(
    item: messages.NoTask,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    if worker.is_current(link):
        worker.slots.no_task(item, coordinator_of(link), time.monotonic())


@handlers.receive.register(messages.Withdraw)
def _withdraw(
    item: messages.Withdraw,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.answer_task_requests(task_requests.withdraw, item, link)


@handlers.receive.register(messages.StopTasks)
def _stop_tasks(
    item: messages.StopTasks,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.answer_task_requests(task_requests.stop, item, link)


@handlers.receive.register(messages.QueryTasks)
def _query_tasks(
    item: messages.QueryTasks,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    age = item.oldest_grant_age_ms / 1000 + link.frame_age
    granted_at = time.monotonic() - age
    if item.worker_incarnation != process.member.incarnation:
        granted_at = _UNKNOWN_GRANT_TIME
    process.worker.answer_task_requests(
        task_requests.query, item, link, granted_at
    )
