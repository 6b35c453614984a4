"""The entry: HTTP towards callers and operators, links to all agents."""

import asyncio
import contextlib
import logging
import typing

from aiohttp import web

from poplardrum import errors, metrics, settings
from poplardrum.callers import guard
from poplardrum.callers import routes as caller_routes
from poplardrum.daemons import (
    admission,
    configuration,
    membership,
    node,
    router,
    signals,
)
from poplardrum.operators import routes as operator_routes
from poplardrum.peers import links, messages
from poplardrum.platform import consul, store

logger = logging.getLogger(__name__)

_TICK_SECONDS: typing.Final = 0.05


class Entry(node.Node):
    """Accept jobs from callers and edits from operators."""

    def __init__(
        self,
        config: settings.Settings,
        stack: contextlib.AsyncExitStack,
        platform: store.Store,
    ) -> None:
        """Build the parts; nothing listens yet."""
        super().__init__(config, messages.Role.entry, stack)
        self.platform = platform
        self.router = router.Router(self)
        self.admission = admission.EntryAdmission(self)
        self.requests = 0

    def gauges(self) -> typing.Iterator[metrics.Gauge]:
        """Return present values for `/metrics`."""
        yield from super().gauges()
        yield metrics.Gauge('requests_in_flight', self.requests)

    def observe(self, link: links.Link) -> None:
        """Offer the configuration to a peer that runs by an older one."""
        configuration.offer(self, link)

    def member_seen(self, member: messages.Member) -> None:
        """Keep links to all processes and tell the peers about changes."""
        changed = self.view.merge([member])
        for newer in changed:
            self._follow(newer)
        membership.spread(self, changed)

    def link_down(self, link: links.Link) -> None:
        """Fail the requests that waited on a broken link."""
        super().link_down(link)
        self.router.link_down(link)

    def ready(self) -> None:
        """Check that jobs can be served; raise a refusal if not."""
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

    async def readiness(self, request: web.Request) -> web.Response:
        """Answer the readiness probe of the balancer."""
        try:
            self.ready()
        except errors.PoplardrumError as error:
            return web.Response(text=error.message, status=503)
        return web.Response(text='ok')

    async def drain(self) -> None:
        """Let the balancer notice, then finish the requests in flight."""
        await asyncio.sleep(self.settings.limits.balancer)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.limits.drain):
                while self.requests:
                    await asyncio.sleep(_TICK_SECONDS)

    def _follow(self, member: messages.Member) -> None:
        link = self.link_to(member.id)
        if link and link.member.incarnation == member.incarnation:
            link.member = member
            return
        self.drop_dialer(member.id)
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
        process.platform_calls = platform.calls
        signals.install(process.stopping)
        await links.serve(process, stack)
        await serve_http(process, stack)
        process.spawn(membership.register(process, platform), 'register')
        process.spawn(membership.watch(process, platform), 'members')
        process.spawn(configuration.watch(process, platform), 'config')
        process.spawn(node.bootstrap(process), 'bootstrap')
        logger.info('entry %s listens', process.member.id)
        await process.stopping.wait()
        await process.drain()
        await membership.unregister(process, platform)
        await process.cancel_tasks()


async def serve_http(
    process: Entry,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Listen for callers, operators and probes."""
    app = web.Application(
        client_max_size=process.settings.limits.body,
        middlewares=[guard.coded],
    )
    app.add_routes(
        [
            *caller_routes.routes(process),
            *operator_routes.routes(process),
            web.get('/metrics', process.serve_metrics),
            web.get('/livez', node.alive),
            web.get('/readyz', process.readiness),
        ]
    )
    await node.serve_application(process, app, stack)
