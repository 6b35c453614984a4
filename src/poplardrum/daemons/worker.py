"""The worker side of an agent: its endpoint and the tasks in its slots."""

import asyncio
import logging
import time
import typing

from poplardrum import errors, ids
from poplardrum.daemons import slots, task_requests
from poplardrum.endpoints import announcements, runner
from poplardrum.peers import frames, handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

_POLL_INTERVAL_S: typing.Final = 0.25
# Time that a stopped task has to end by itself before it is given up.
_STOP_TIMEOUT_S: typing.Final = 2.0
_STOP_RETRY_INTERVAL_S: typing.Final = 0.1
_UNKNOWN_GRANT_TIME: typing.Final = float('-inf')

TaskRequestHandler = typing.Callable[
    [slots.Slots, task_requests.TaskRequest, float], None
]


class Worker:
    """Run granted tasks in the slots of the endpoint."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without an endpoint and without tasks."""
        limits = process.settings.limits
        self.process = process
        self.endpoint = announcements.EndpointStatus()
        self.runner = runner.Runner(
            process.member.id,
            connections=limits.connections,
        )
        self.slots = slots.Slots(
            self,
            slots.WorkerLimits(limits.queue, limits.records, limits.answers),
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
        """Bring the slots in line with what the endpoint last said."""
        now = time.monotonic()
        usable = self.endpoint.is_usable(now)
        offered = self.endpoint.slots() if usable else 0
        self.slots.set_slots(offered, now)

    async def watch(self) -> None:
        """Notice endpoints that fall silent, leases and claims that lapse."""
        while True:
            self.apply_shares()
            self.refresh_slots()
            self.slots.enforce_timeouts(time.monotonic())
            await asyncio.sleep(_POLL_INTERVAL_S)

    def run(self, held: slots.WorkerTask) -> None:
        """Run a task in the background."""
        self.process.spawn(self.run_task(held), f'run {held.task}')

    async def run_task(self, held: slots.WorkerTask) -> None:
        """Run one task and report its end."""
        now = time.monotonic()
        announcement = self.endpoint.announcement
        reason = held.lapse_reason(now)
        if held.phase is slots.Phase.stopping:
            reason = errors.Code.cancelled
        if announcement is None or reason is not None:
            self.return_unstarted(held, reason or errors.Code.unavailable)
            return
        self.process.metrics.task_starts.labels(held.start.tenant).inc()
        limit = asyncio.timeout(held.deadline - now)
        self.timeouts[held.task] = limit
        outcome = await self.runner.run(
            announcement.address,
            held.task,
            held.start.spec,
            limit,
        )
        self.timeouts.pop(held.task)
        if outcome.verdict is errors.Verdict.not_run:
            self.endpoint.suspend()
            self.return_unstarted(held, outcome.code)
            return
        if outcome.code is errors.Code.endpoint_failed:
            # Other connections may not have noticed yet that the endpoint
            # has died; a task sent on one of them may or may not run.
            self.endpoint.suspend()
            self.refresh_slots()
        if limit.expired():
            outcome = await self.stop_unanswered(
                announcement.address, held, outcome
            )
        self.slots.task_ended(held, outcome, time.monotonic())

    async def stop_unanswered(
        self,
        address: str,
        held: slots.WorkerTask,
        outcome: messages.TaskOutcome,
    ) -> messages.TaskOutcome:
        """Stop a task without an answer; its slot waits for the stop."""
        if not await self.runner.stop(address, held.task):
            self.slots.unconfirmed_stops.add(held.task)
            self.process.spawn(
                self.release_slot(address, held.task),
                f'release {held.task}',
            )
        if held.phase is slots.Phase.stopping:
            return runner.with_code(outcome, errors.Code.cancelled)
        return outcome

    async def release_slot(self, address: str, task: ids.TaskId) -> None:
        """Use a slot again once the endpoint confirms that it is free."""
        while not await self.runner.stop(address, task):
            await asyncio.sleep(_STOP_TIMEOUT_S)
        self.slots.unconfirmed_stops.discard(task)
        self.slots.fill_slots(time.monotonic())

    def return_unstarted(
        self, held: slots.WorkerTask, reason: errors.Code
    ) -> None:
        """Return a task that did not reach the endpoint."""
        self.slots.start_failed(held, reason, time.monotonic())
        self.refresh_slots()

    def expected(self, item: messages.Start) -> float:
        """Return the expected run time of a task here in seconds."""
        return self.process.coordinator.workers.estimates.expected_time_on(
            (item.tenant, item.spec.kind),
            item.spec.declared_ms / 1000,
            self.process.member.id,
        )

    def apply_shares(self) -> None:
        """Bring the shares of the queue in line with the rules."""
        current = self.process.configuration
        if current.number != self.config_number:
            self.config_number = current.number
            tenants = current.rules.tenants
            self.slots.queue.fair_queue.set_shares(
                {name: rule.share for name, rule in tenants.items()},
            )

    def stop(self, held: slots.WorkerTask) -> None:
        """Ask the endpoint to stop a task that runs there."""
        announcement = self.endpoint.announcement
        limit = self.timeouts.get(held.task)
        if announcement is None or limit is None:
            return
        ends = asyncio.get_running_loop().time() + _STOP_TIMEOUT_S
        limit.reschedule(min(ends, limit.when() or ends))
        self.process.spawn(
            self.send_stop(announcement.address, held),
            f'stop {held.task}',
        )

    async def send_stop(self, address: str, held: slots.WorkerTask) -> None:
        """Ask the endpoint to stop a task until its own answer has come.

        The first request may overtake the one that starts the task.
        """
        while self.slots.tasks.get(held.task) is held:
            await self.runner.stop(address, held.task)
            await asyncio.sleep(_STOP_RETRY_INTERVAL_S)

    def send(self, owner: slots.CoordinatorRef, item: frames.AnyItem) -> bool:
        """Send to a coordinator over the link that it opened."""
        link = self.process.coordinator_link(owner.member)
        if link is None or link.member.incarnation != owner.incarnation:
            return False
        return link.send(item)

    def is_current(self, link: links.Link) -> bool:
        """Tell whether a link is the one on which answers go out.

        Frames may still be read from a link that a newer one has replaced;
        the coordinator asks after their tasks on the newer one.
        """
        return self.process.coordinator_link(link.member.id) is link

    def answer_task_requests(
        self,
        decide: TaskRequestHandler,
        item: messages.Withdraw | messages.StopTasks | messages.QueryTasks,
        link: links.Link,
        granted_at: float = _UNKNOWN_GRANT_TIME,
    ) -> None:
        """Answer for each of the tasks that a coordinator asks after."""
        if not self.is_current(link):
            return
        now = time.monotonic()
        owner = coordinator_of(link)
        for task, grant in zip(item.tasks, item.grant_numbers, strict=True):
            recall = task_requests.TaskRequest(owner, task, grant, granted_at)
            decide(self.slots, recall, now)
        self.slots.fill_slots(now)


def coordinator_of(link: links.Link) -> slots.CoordinatorRef:
    """Return the coordinator at the other end of a link."""
    return slots.CoordinatorRef(link.member.id, link.member.incarnation)


@handlers.receive.register(messages.Start)
def _start(
    item: messages.Start,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    known = worker.is_current(link)
    if known and item.incarnation == link.member.incarnation:
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
