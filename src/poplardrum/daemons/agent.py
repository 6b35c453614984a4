"""The agent: the process that runs next to each endpoint."""

import asyncio
import contextlib
import logging
import time
import typing

from aiohttp import web

from poplardrum import ids, metrics, settings
from poplardrum.callers import error_replies
from poplardrum.daemons import (
    configuration,
    coordinator,
    handover,
    membership,
    neighbours,
    node,
    signals,
    submissions,
    worker,
)
from poplardrum.endpoints import announcements
from poplardrum.peers import links, messages
from poplardrum.platform import consul, store

logger = logging.getLogger(__name__)

_POLL_INTERVAL_S: typing.Final = 0.25
# Backlog per slot from which an entry may refuse work.
_LARGE_BACKLOG_S: typing.Final = 0.5
_MIN_IDLE_POLLS: typing.Final = 4
_LEAVING_RULE_STATE: typing.Final = 'leaving'


class Agent(node.Node):
    """Agent process: manages the slots of one endpoint, coordinates jobs."""

    def __init__(
        self,
        config: settings.Settings,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Create the components; nothing is listening yet."""
        super().__init__(config, messages.Role.agent, stack)
        self.worker = worker.Worker(self)
        self.coordinator = coordinator.Coordinator(self)
        self.submissions = submissions.Submissions(self)
        self.local_link = links.LocalLink(self)
        self.neighbours = neighbours.Neighbours(self)
        self.backlog_per_slot_s = 0.0

    def load(self) -> messages.Load:
        """Return the load of the endpoint."""
        return self.worker.load()

    def gauges(self) -> typing.Iterator[metrics.Gauge]:
        """Return the current values for `/metrics`."""
        yield from super().gauges()
        yield metrics.Gauge('running_tasks', self.worker.slots.running_count)
        yield metrics.Gauge('running_jobs', len(self.coordinator.jobs))

    def frame_received(self, link: links.Link) -> None:
        """Record an entry's echo; offer it a newer configuration."""
        self.submissions.frame_received(link)
        if link.member.role is messages.Role.entry:
            configuration.offer(self, link)

    def is_isolated(self) -> bool:
        """Return whether no entry has a link to this agent."""
        return not any(
            link.member.role is messages.Role.entry
            for link in self.inbound.values()
        )

    def update_member(self, member: messages.Member) -> None:
        """Merge a member into the view; correct a wrong state of this agent."""
        if member.id == self.member.id:
            if self.correct_own_state(member):
                for link in self.all_links():
                    link.send(messages.Leaving(self.member))
            return
        if self.view.merge([member]):
            self.neighbours.member_changed(member)

    def link_up(self, link: links.Link) -> None:
        """Register a link; reconcile with the agent that has reconnected.

        The agent is a worker on a dialed link, else a coordinator.
        """
        self.submissions.link_up(link)
        super().link_up(link)
        if link.member.role is not messages.Role.agent:
            return
        if link.dialed:
            self.coordinator.worker_reconnected(link.member)
        else:
            coordinator_ref = worker.coordinator_of(link)
            self.worker.slots.coordinator_reconnected(
                coordinator_ref, time.monotonic()
            )

    def link_down(self, link: links.Link) -> None:
        """Record that a worker or a coordinator is unreachable."""
        table = self.links if link.dialed else self.inbound
        is_current = table.get(link.member.id) is link
        super().link_down(link)
        self.submissions.link_down(link)
        if not is_current:
            return
        if link.dialed:
            self.coordinator.worker_lost(link.member.id)
        else:
            self.worker.slots.coordinator_lost(
                link.member.id,
                time.monotonic(),
            )

    def ready_agents(self) -> list[messages.Member]:
        """Return the agents of this region that accept new work."""
        return [
            member
            for member in self.view.agents(self.member.region)
            if member.state is messages.MemberState.ready
        ]

    def placement_targets(self) -> list[messages.Member]:
        """Return the agents on which tasks of own jobs may be placed.

        While this agent drains, its slots still serve its own jobs.
        """
        targets = self.ready_agents()
        if self.stopping.is_set() and self.member not in targets:
            targets.append(self.member)
        return targets

    async def connect(
        self,
        member: ids.MemberId,
        timeout: float,
    ) -> links.Link | None:
        """Return a link to another agent, dialing it if necessary."""
        return await self.neighbours.connect(member, timeout)

    def worker_link(self, member: ids.MemberId) -> links.Link | None:
        """Return the link on which this coordinator sends to a worker."""
        if member == self.member.id:
            self.local_link.load = self.worker.load()
            return self.local_link
        return self.link_to(member)

    def coordinator_link(self, member: ids.MemberId) -> links.Link | None:
        """Return the link on which this worker replies to a coordinator."""
        if member == self.member.id:
            return self.local_link
        link = self.inbound.get(member)
        return link if link and link.is_open else None

    async def handle_announcement(self, request: web.Request) -> web.Response:
        """Handle an announcement of the endpoint."""
        announcement = announcements.decode(await request.read())
        changed = self.worker.endpoint.update(announcement, time.monotonic())
        if changed:
            self.update_member_state()
        self.worker.slots.update_orphans(announcement.running, time.monotonic())
        self.worker.refresh_slots()
        return web.json_response({'agent': self.member.id})

    def update_member_state(self) -> None:
        """Derive this agent's state and announce a change to all peers.

        The agent is leaving while the endpoint or a rule says so, or while
        it stops; else it is ready. The state `gone` is final.
        """
        if self.member.state is messages.MemberState.gone:
            return
        state = messages.MemberState.ready
        rule = self.configuration.rules.workers.get(self.member.id)
        endpoint = self.worker.endpoint.announcement
        endpoint_leaving = (
            endpoint is not None
            and endpoint.state is announcements.EndpointState.leaving
        )
        leaving_by_rule = rule is not None and rule.state == _LEAVING_RULE_STATE
        if endpoint_leaving or leaving_by_rule or self.stopping.is_set():
            state = messages.MemberState.leaving
        elif self.member.state is not state:
            self.submissions.stability.record_bypass(time.monotonic())
        self.set_state(state)

    async def apply_rules(self) -> None:
        """Apply the operators' rule for this worker until cancelled."""
        while True:
            self.update_member_state()
            self.report_cleared_backlog()
            await asyncio.sleep(_POLL_INTERVAL_S)

    def report_cleared_backlog(self) -> None:
        """Report the end of a large backlog before the next heartbeat.

        Entries refuse work by the load that was last reported to them, which
        may be one heartbeat interval old.
        """
        load = self.load()
        backlog_s = sum(load.backlog_s.values()) / max(1, load.slots)
        cleared = self.backlog_per_slot_s > _LARGE_BACKLOG_S and not backlog_s
        self.backlog_per_slot_s = backlog_s
        if not cleared:
            return
        for link in self.inbound.values():
            if link.member.role is messages.Role.entry:
                link.send(messages.Heartbeat())

    async def drain(self) -> None:
        """Accept no new work; finish that in progress within the limit.

        The agent must be idle for several polls in a row, as grants may be in
        flight from coordinators that have not read the announcement yet.
        """
        self.update_member_state()
        self.worker.slots.drain(self.member.id, time.monotonic())
        deadline = time.monotonic() + self.settings.limits.drain
        idle_polls = 0
        while time.monotonic() < deadline and idle_polls < _MIN_IDLE_POLLS:
            idle_polls = 0 if self.is_busy() else idle_polls + 1
            await asyncio.sleep(_POLL_INTERVAL_S / 5)

    def is_busy(self) -> bool:
        """Return whether jobs or tasks are unfinished here."""
        return bool(
            self.coordinator.jobs
            or self.submissions.undecided
            or self.worker.slots.tasks,
        )


async def run(config: settings.Settings) -> None:
    """Run an agent until a stop signal, then drain it."""
    async with contextlib.AsyncExitStack() as stack:
        process = Agent(config, stack)
        stack.push_async_callback(process.worker.runner.close)
        signals.install(process.stopping)
        platform = consul.ConsulStore(
            config.platform.address,
            config.platform.timeout,
            config.platform.calls,
        )
        stack.push_async_callback(platform.close)
        process.platform_calls = platform.call_counts
        await links.serve(process, stack)
        await serve_http(process, stack)
        process.spawn(register(process, platform), 'register')
        process.spawn(node.bootstrap(process), 'bootstrap')
        spawn_watchers(process)
        logger.info('agent %s is ready', process.member.id)
        await process.stopping.wait()
        await stop(process, platform)
        await process.cancel_tasks()


def spawn_watchers(process: Agent) -> None:
    """Spawn the background loops for deadlines, rules, expiry and links."""
    process.spawn(process.coordinator.watch(), 'watch jobs')
    process.spawn(process.worker.watch(), 'watch slots')
    process.spawn(process.apply_rules(), 'rules')
    process.spawn(process.submissions.expire(), 'expiry')
    process.spawn(process.neighbours.maintain(), 'neighbours')


async def register(process: Agent, platform: store.Store) -> None:
    """Register once and record whether no earlier registration existed."""
    is_clean = await membership.register(process, platform)
    process.submissions.stability.has_clean_start = is_clean


async def stop(process: Agent, platform: store.Store) -> None:
    """Finish all work, hand the records over and close the links.

    An agent whose records were not all accepted stays registered:
    resubmissions of its keys are then answered as indeterminate for their
    window.
    """
    await process.drain()
    complete = await handover.hand_over(process)
    # Records that an earlier incarnation has lost stay unknown for their whole
    # retention time.
    complete = complete and process.submissions.clean()
    if complete:
        process.set_state(messages.MemberState.gone)
    # Entries restore the registrations of linked agents, so the links are
    # closed before this one is removed.
    await links.flush_and_close(process)
    if complete:
        await membership.unregister(process, platform)


async def serve_http(
    process: Agent,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Serve the HTTP routes for the endpoint, metrics and probes."""
    app = web.Application(middlewares=[error_replies.error_middleware])
    app.add_routes(
        [
            web.post('/announce', process.handle_announcement),
            web.get('/metrics', process.serve_metrics),
            web.get('/livez', node.liveness),
        ]
    )
    await node.serve_application(process, app, stack)
