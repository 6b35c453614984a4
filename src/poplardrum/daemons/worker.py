"""The worker side of an agent: its endpoint and the tasks in its slots."""

import asyncio
import logging
import time
import typing

from poplardrum import errors, ids
from poplardrum.daemons import recalls, slots
from poplardrum.endpoints import announcements, runner
from poplardrum.peers import dispatch, frames, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

_TICK_SECONDS: typing.Final = 0.25
# Time that a stopped task has to end by itself before it is given up.
_STOP_SECONDS: typing.Final = 2.0
_RESTOP_SECONDS: typing.Final = 0.1
_UNKNOWN_TIME: typing.Final = float('-inf')

Decide = typing.Callable[[slots.Slots, recalls.Recall, float], None]


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
            slots.Bounds(limits.queue, limits.records, limits.answers),
        )
        self.limits: dict[ids.TaskId, asyncio.Timeout] = {}
        self.config = ids.ConfigNumber(0)

    def load(self) -> messages.Load:
        """Return the load to report."""
        usable = self.endpoint.is_usable(time.monotonic())
        total = self.slots.slots if usable else 0
        queued = len(self.slots.queue)
        return messages.Load(
            slots=total,
            free=max(0, min(total, self.slots.free - queued)),
            queued=queued,
            backlog=self.slots.queue.queue.backlog(),
        )

    def refresh(self) -> None:
        """Bring the slots in line with what the endpoint last said."""
        now = time.monotonic()
        usable = self.endpoint.is_usable(now)
        offered = self.endpoint.slots() if usable else 0
        self.slots.offer(offered, now)

    async def watch(self) -> None:
        """Notice endpoints that fall silent, leases and claims that lapse."""
        while True:
            self.use_shares()
            self.refresh()
            self.slots.tick(time.monotonic())
            await asyncio.sleep(_TICK_SECONDS)

    def run(self, held: slots.Held) -> None:
        """Run a task in the background."""
        self.process.spawn(self.run_task(held), f'run {held.task}')

    async def run_task(self, held: slots.Held) -> None:
        """Run one task and report its end."""
        now = time.monotonic()
        announcement = self.endpoint.announcement
        reason = held.lapsed(now)
        if held.phase is slots.Phase.stopping:
            reason = errors.Code.cancelled
        if announcement is None or reason is not None:
            self.give_back(held, reason or errors.Code.unavailable)
            return
        self.process.metrics.task_starts.labels(held.start.tenant).inc()
        limit = asyncio.timeout(held.deadline - now)
        self.limits[held.task] = limit
        outcome = await self.runner.run(
            announcement.address,
            held.task,
            held.start.spec,
            limit,
        )
        self.limits.pop(held.task)
        if outcome.verdict is errors.Verdict.not_run:
            self.endpoint.suspend()
            self.give_back(held, outcome.code)
            return
        if outcome.code is errors.Code.endpoint_failed:
            # Other connections may not have noticed yet that the endpoint
            # has died; a task sent on one of them may or may not run.
            self.endpoint.suspend()
            self.refresh()
        if limit.expired():
            outcome = await self.abandon(announcement.address, held, outcome)
        self.slots.ended(held, outcome, time.monotonic())

    async def abandon(
        self,
        address: str,
        held: slots.Held,
        outcome: messages.TaskOutcome,
    ) -> messages.TaskOutcome:
        """Stop a task without an answer; its slot waits for the stop."""
        if not await self.runner.stop(address, held.task):
            self.slots.stuck.add(held.task)
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
            await asyncio.sleep(_STOP_SECONDS)
        self.slots.stuck.discard(task)
        self.slots.pump(time.monotonic())

    def give_back(self, held: slots.Held, reason: errors.Code) -> None:
        """Return a task that did not reach the endpoint."""
        self.slots.unreached(held, reason, time.monotonic())
        self.refresh()

    def expected(self, item: messages.Start) -> float:
        """Return the expected run time of a task here in seconds."""
        return self.process.coordinator.workers.estimates.expected_time_on(
            (item.tenant, item.spec.kind),
            item.spec.declared_ms / 1000,
            self.process.member.id,
        )

    def use_shares(self) -> None:
        """Bring the shares of the queue in line with the rules."""
        current = self.process.configuration
        if current.number != self.config:
            self.config = current.number
            tenants = current.rules.tenants
            self.slots.queue.queue.set_shares(
                {name: rule.share for name, rule in tenants.items()},
            )

    def stop(self, held: slots.Held) -> None:
        """Ask the endpoint to stop a task that runs there."""
        announcement = self.endpoint.announcement
        limit = self.limits.get(held.task)
        if announcement is None or limit is None:
            return
        ends = asyncio.get_running_loop().time() + _STOP_SECONDS
        limit.reschedule(min(ends, limit.when() or ends))
        self.process.spawn(
            self.send_stop(announcement.address, held),
            f'stop {held.task}',
        )

    async def send_stop(self, address: str, held: slots.Held) -> None:
        """Ask the endpoint to stop a task until its own answer has come.

        The first request may overtake the one that starts the task.
        """
        while self.slots.held.get(held.task) is held:
            await self.runner.stop(address, held.task)
            await asyncio.sleep(_RESTOP_SECONDS)

    def send(self, owner: slots.Owner, item: frames.AnyItem) -> bool:
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

    def recall(
        self,
        decide: Decide,
        item: messages.Withdraw | messages.StopTasks | messages.QueryTasks,
        link: links.Link,
        granted_at: float = _UNKNOWN_TIME,
    ) -> None:
        """Answer for each of the tasks that a coordinator asks after."""
        if not self.is_current(link):
            return
        now = time.monotonic()
        owner = owner_of(link)
        for task, grant in zip(item.tasks, item.grants, strict=True):
            recall = recalls.Recall(owner, task, grant, granted_at)
            decide(self.slots, recall, now)
        self.slots.pump(now)


def owner_of(link: links.Link) -> slots.Owner:
    """Return the coordinator at the other end of a link."""
    return slots.Owner(link.member.id, link.member.incarnation)


@dispatch.receive.register(messages.Start)
def _start(
    item: messages.Start,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    known = worker.is_current(link)
    if known and item.incarnation == link.member.incarnation:
        worker.slots.accept(item, link.frame_age, time.monotonic())


@dispatch.receive.register(messages.Reserve)
def _reserve(
    item: messages.Reserve,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    if worker.is_current(link):
        worker.slots.reserve(item, owner_of(link), time.monotonic())


@dispatch.receive.register(messages.Release)
def _release(
    item: messages.Release,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.slots.queue.release(owner_of(link), item.jobs)


@dispatch.receive.register(messages.NoTask)
def _no_task(
    item: messages.NoTask,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    if worker.is_current(link):
        worker.slots.no_task(item, owner_of(link), time.monotonic())


@dispatch.receive.register(messages.Withdraw)
def _withdraw(
    item: messages.Withdraw,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.recall(recalls.withdraw, item, link)


@dispatch.receive.register(messages.StopTasks)
def _stop_tasks(
    item: messages.StopTasks,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.recall(recalls.stop, item, link)


@dispatch.receive.register(messages.QueryTasks)
def _query_tasks(
    item: messages.QueryTasks,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    age = item.age_ms / 1000 + link.frame_age
    granted_at = time.monotonic() - age
    if item.worker_incarnation != process.member.incarnation:
        granted_at = _UNKNOWN_TIME
    process.worker.recall(recalls.query, item, link, granted_at)
