"""The entry: HTTP API for callers and operators, links to all agents."""

import asyncio
import contextlib
import logging
import time
import typing

from aiohttp import web

from poplardrum import errors, metrics, settings
from poplardrum.callers import error_replies
from poplardrum.callers import routes as caller_routes
from poplardrum.daemons import (
    admission,
    configuration,
    membership,
    node,
    reachability,
    router,
    signals,
)
from poplardrum.operators import routes as operator_routes
from poplardrum.peers import links, messages
from poplardrum.platform import consul, store

logger = logging.getLogger(__name__)

_DRAIN_POLL_INTERVAL_S: typing.Final = 0.05
# A process whose event loop was stalled for longer than this counts as paused.
_PAUSE_THRESHOLD_S: typing.Final = 1.0


class Entry(node.Node):
    """Entry process: accepts jobs from callers and edits from operators."""

    def __init__(
        self,
        config: settings.Settings,
        stack: contextlib.AsyncExitStack,
        platform: store.Store,
    ) -> None:
        """Create the components; nothing is listening yet."""
        super().__init__(config, messages.Role.entry, stack)
        self.platform = platform
        self.router = router.Router(self)
        self.admission = admission.EntryAdmission(self)
        self.reachability = reachability.Reachability(self)
        self.requests_in_flight = 0
        self.last_tick_at = time.monotonic()
        self.resumed_at = float('-inf')

    def gauges(self) -> typing.Iterator[metrics.Gauge]:
        """Return the current values for `/metrics`."""
        yield from super().gauges()
        yield metrics.Gauge('requests_in_flight', self.requests_in_flight)

    def frame_received(self, link: links.Link) -> None:
        """Offer the configuration to a peer that has an older one."""
        configuration.offer(self, link)

    def update_member(self, member: messages.Member) -> None:
        """Merge a member into the view, dial it and broadcast changes."""
        if member.id == self.member.id:
            if self.correct_own_state(member):
                membership.broadcast(self, [self.member])
            return
        changed = self.view.merge([member])
        for newer in changed:
            self._update_dialer(newer)
        membership.broadcast(self, changed)

    def link_down(self, link: links.Link) -> None:
        """Fail the requests that are pending on a closed link."""
        super().link_down(link)
        if link.dialed:
            self.reachability.link_down(link)
        self.router.link_down(link)

    def check_ready(self) -> None:
        """Raise a refusal if jobs cannot be served."""
        if self.stopping.is_set():
            raise errors.refusal(
                errors.Code.stopping,
                'this entry is stopping',
                retry_after=1,
            )
        if not self.configuration.number:
            raise errors.refusal(
                errors.Code.no_configuration,
                'no configuration is known yet',
                retry_after=1,
            )
        if not self.joined:
            raise errors.refusal(
                errors.Code.unavailable,
                'the members of the system are not known yet',
                retry_after=1,
            )

    def linked_agents(self) -> list[messages.Member]:
        """Return the agents that this entry has links to."""
        return [
            link.member
            for link in self.links.values()
            if link.is_open
            and link.member.role is messages.Role.agent
            and link.member.state is not messages.MemberState.gone
        ]

    def was_recently_paused(self) -> bool:
        """Return whether this process is paused or was until recently.

        Requests that waited in its sockets during the pause may be older than
        resubmissions that went through other entries.
        """
        now = time.monotonic()
        return (
            now - self.last_tick_at > _PAUSE_THRESHOLD_S
            or now - self.resumed_at < _PAUSE_THRESHOLD_S
        )

    async def detect_pauses(self) -> None:
        """Record the time at which this process resumes after a pause."""
        while True:
            now = time.monotonic()
            if now - self.last_tick_at > _PAUSE_THRESHOLD_S:
                logger.warning(
                    'process was paused for %.1f s',
                    now - self.last_tick_at,
                )
                self.resumed_at = now
            self.last_tick_at = now
            await asyncio.sleep(_PAUSE_THRESHOLD_S / 4)

    async def readiness(self, request: web.Request) -> web.Response:
        """Handle the readiness probe of the load balancer."""
        try:
            self.check_ready()
        except errors.PoplardrumError as error:
            return web.Response(text=error.message, status=503)
        # Until an agent has reported its slots every job is refused.
        if not any(link.load for link in self.links.values()):
            return web.Response(text='no agent has reported', status=503)
        return web.Response(text='ok')

    async def drain(self) -> None:
        """Wait for the load balancer, then finish the requests in flight."""
        await asyncio.sleep(self.settings.limits.balancer)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.limits.drain):
                while self.requests_in_flight:
                    await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    def _update_dialer(self, member: messages.Member) -> None:
        link = self.link_to(member.id)
        if link and link.member.incarnation == member.incarnation:
            link.member = member
            if member.state is not messages.MemberState.gone:
                return
        self.stop_dialer(member.id)
        if member.state is not messages.MemberState.gone:
            self.ensure_dialer(member)


async def run(config: settings.Settings) -> None:
    """Run an entry until a stop signal, then drain it."""
    async with contextlib.AsyncExitStack() as stack:
        platform = consul.ConsulStore(
            config.platform.address,
            config.platform.timeout,
            config.platform.calls,
        )
        stack.push_async_callback(platform.close)
        process = Entry(config, stack, platform)
        process.platform_calls = platform.call_counts
        signals.install(process.stopping)
        await links.serve(process, stack)
        await serve_http(process, stack)
        start_tasks(process, platform)
        logger.info('entry %s is listening', process.member.id)
        await process.stopping.wait()
        await stop(process, platform)
        await process.cancel_tasks()


def start_tasks(process: Entry, platform: store.Store) -> None:
    """Spawn the background tasks."""
    process.spawn(register(process, platform), 'register')
    process.spawn(membership.watch(process, platform), 'members')
    process.spawn(membership.sweep(process, platform), 'sweep')
    process.spawn(configuration.watch(process, platform), 'config')
    process.spawn(process.detect_pauses(), 'pauses')
    process.spawn(node.bootstrap(process), 'bootstrap')


async def register(process: Entry, platform: store.Store) -> None:
    """Register once.

    Whether the registration replaced another one does not matter, as an
    entry keeps no state that a restart could lose.
    """
    await membership.register(process, platform)


async def stop(process: Entry, platform: store.Store) -> None:
    """Finish the requests in flight and close the links."""
    process.set_state(messages.MemberState.leaving)
    await process.drain()
    process.set_state(messages.MemberState.gone)
    await links.flush_and_close(process)
    await membership.unregister(process, platform)


async def serve_http(
    process: Entry,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Serve the HTTP routes for callers, operators, metrics and probes."""
    app = web.Application(
        client_max_size=process.settings.limits.body,
        middlewares=[error_replies.error_middleware],
    )
    app.add_routes(
        [
            *caller_routes.routes(process),
            *operator_routes.routes(process),
            web.get('/metrics', process.serve_metrics),
            web.get('/livez', node.liveness),
            web.get('/readyz', process.readiness),
        ]
    )
    await node.serve_application(process, app, stack)
