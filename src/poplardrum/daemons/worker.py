"""The worker side of an agent: its task queue and its endpoint's slots."""

import collections
import dataclasses
import logging
import time
import typing

from poplardrum import errors, ids
from poplardrum.endpoints import announcements, runner
from poplardrum.peers import dispatch, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)


@dataclasses.dataclass
class Grant:
    """One granted task; times are monotonic seconds of this process."""

    start: messages.Start
    lease_ends: float
    deadline: float


class Worker:
    """Run granted tasks in the slots of the endpoint."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without an endpoint and without tasks."""
        self.process = process
        self.endpoint = announcements.EndpointStatus()
        self.runner = runner.Runner(
            process.member.id,
            connections=process.settings.limits.connections,
        )
        self.queue: collections.deque[Grant] = collections.deque()
        self.running: dict[ids.TaskId, Grant] = {}
        self.finished: collections.OrderedDict[
            ids.TaskId,
            messages.TaskOutcome,
        ] = collections.OrderedDict()

    def load(self) -> messages.Load:
        """Return the load to report."""
        usable = self.endpoint.usable(time.monotonic())
        slots = self.endpoint.slots() if usable else 0
        return messages.Load(
            slots=slots,
            free=max(0, slots - len(self.running) - len(self.queue)),
            queued=len(self.queue),
        )

    def accept(self, item: messages.Start, age: float) -> None:
        """Queue a granted task whose frame waited `age` seconds."""
        now = time.monotonic()
        grant = Grant(
            start=item,
            lease_ends=now + item.lease_ms / 1000 - age,
            deadline=now + item.deadline_ms / 1000 - age,
        )
        if not self.endpoint.usable(now):
            self.decline(grant, errors.Code.unavailable)
            return
        if len(self.queue) >= self.process.settings.limits.queue:
            self.decline(grant, errors.Code.overload)
            return
        self.queue.append(grant)
        self.pump()

    def pump(self) -> None:
        """Start queued tasks while slots are free."""
        while self.queue and len(self.running) < self.endpoint.slots():
            grant = self.queue.popleft()
            if grant.lease_ends <= time.monotonic():
                self.decline(grant, errors.Code.deadline)
                continue
            self.running[grant.start.task] = grant
            self.process.spawn(self.run(grant), f'run {grant.start.task}')

    async def run(self, grant: Grant) -> None:
        """Run one task and report its end."""
        announcement = self.endpoint.announcement
        if announcement is None:
            self.running.pop(grant.start.task)
            self.decline(grant, errors.Code.unavailable)
            return
        self.process.metrics.task_starts.labels(grant.start.tenant).inc()
        outcome = await self.runner.run(
            announcement.address,
            grant.start.task,
            grant.start.spec,
            max(0.001, grant.deadline - time.monotonic()),
        )
        self.running.pop(grant.start.task)
        self.report(grant, outcome)
        self.pump()

    def report(self, grant: Grant, outcome: messages.TaskOutcome) -> None:
        """Send the end of a task, or keep it for a later query."""
        task = grant.start.task
        self.finished[task] = outcome
        while len(self.finished) > self.process.settings.limits.records:
            self.finished.popitem(last=False)
        self.send(grant.start.coordinator, messages.Done(task, outcome))

    def decline(self, grant: Grant, reason: errors.Code) -> None:
        """Give a task back that has not started and never will here."""
        self.send(
            grant.start.coordinator,
            messages.NotStarted([grant.start.task], reason),
        )

    def send(
        self,
        coordinator: ids.MemberId,
        item: messages.AnyItem,
    ) -> bool:
        """Send to a coordinator over the link that it opened."""
        link = self.process.coordinator_link(coordinator)
        return link is not None and link.send(item)


@dispatch.receive.register(messages.Start)
def _start(
    item: messages.Start,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.worker.accept(item, link.frame_age)


@dispatch.receive.register(messages.StopTasks)
def _stop_tasks(
    item: messages.StopTasks,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    worker = process.worker
    wanted = set(item.tasks)
    for grant in list(worker.queue):
        if grant.start.task in wanted:
            worker.queue.remove(grant)
            worker.decline(grant, errors.Code.cancelled)
    announcement = worker.endpoint.announcement
    for task in wanted & worker.running.keys():
        if announcement:
            process.spawn(
                worker.runner.stop(announcement.address, task),
                f'stop {task}',
            )
