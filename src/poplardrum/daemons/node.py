"""Base class of the processes entry and agent."""

import asyncio
import collections
import contextlib
import logging
import random
import time
import typing

import msgspec
from aiohttp import web

from poplardrum import ids, ini, metrics, settings
from poplardrum.callers import error_replies
from poplardrum.coordination import views
from poplardrum.operators import config_state, document
from poplardrum.peers import frames, handlers, links, messages

logger = logging.getLogger(__name__)


class FailedDial(typing.NamedTuple):
    """Latest failure to dial a member; `failed_at` is monotonic seconds."""

    incarnation: ids.Incarnation
    failed_at: float
    refused: bool
    timed_out: bool


class Node:
    """Process of the system: its identity, links and membership view."""

    def __init__(
        self,
        config: settings.Settings,
        role: messages.Role,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Create the process; `stack` closes everything that it opens."""
        self.settings = config
        self.stack = stack
        self.random = random.Random()
        self.metrics = metrics.Metrics(self)
        self.platform_calls: collections.Counter[str] = collections.Counter()
        self.stopping = asyncio.Event()
        host, port = config.listen.peers
        self.member = messages.Member(
            id=config.process.id,
            role=role,
            incarnation=ids.new_incarnation(),
            host=host,
            port=port,
            region=config.process.region,
            zone=config.process.zone,
            version=time.time_ns(),
        )
        self.view = views.MembershipView(self.member)
        self.links: dict[ids.MemberId, links.Link] = {}
        self.inbound: dict[ids.MemberId, links.Link] = {}
        self.dialers: dict[ids.MemberId, asyncio.Task[None]] = {}
        self.configuration = config_state.ConfigState(
            document.bounds_from_settings(config.limits)
        )
        self.failed_dials: dict[ids.MemberId, FailedDial] = {}
        self.joined = False
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        stack.push_async_callback(self.cancel_tasks)

    def spawn(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, None],
        name: str,
    ) -> asyncio.Task[None]:
        """Run `work` in a task that the process owns and cancels."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)
        return task

    def task_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Remove a finished task and log its exception, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.error(
                'task %s failed',
                task.get_name(),
                exc_info=task.exception(),
            )

    async def cancel_tasks(self) -> None:
        """Cancel all tasks of the process and wait until they have ended."""
        pending = list(self.tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    def build_frame(
        self,
        items: list[frames.AnyItem],
        echo: float = 0,
    ) -> frames.Frame:
        """Return a frame with items for one peer and the current state.

        `echo` is the send time of the peer's latest frame.
        """
        self.metrics.count_frame(items)
        return frames.Frame(
            sent_at=time.monotonic(),
            config_number=self.configuration.number,
            items=items,
            load=self.load(),
            echo=echo,
        )

    def load(self) -> messages.Load | None:
        """Return the load to put on a frame; `None` if there is none."""
        return None

    def frame_received(self, link: links.Link) -> None:
        """Handle the fields of a received frame other than its items."""

    def is_isolated(self) -> bool:
        """Return whether this process must join at its bootstrap peers."""
        return not self.joined

    def known_members(self) -> list[messages.Member]:
        """Return this process and all members of its view."""
        return self.view.members()

    def update_member(self, member: messages.Member) -> None:
        """Merge a member that a peer or the store reported into the view."""
        self.view.merge([member])

    def correct_own_state(self, member: messages.Member) -> bool:
        """Overrule a wrong state of this process in a peer's view.

        Returns whether there was one: a process that was paused for long may
        have been recorded as gone.
        """
        own = self.member
        if member.incarnation != own.incarnation:
            return False
        if member.state is own.state or member.version < own.version:
            return False
        self.member = msgspec.structs.replace(own, version=member.version + 1)
        self.view.replace_own(self.member)
        return True

    def all_links(self) -> list[links.Link]:
        """Return all links, dialed or accepted."""
        return [*self.links.values(), *self.inbound.values()]

    def link_to(self, member: ids.MemberId) -> links.Link | None:
        """Return the open link on which requests to `member` are sent."""
        link = self.links.get(member)
        return link if link and link.is_open else None

    def link_up(self, link: links.Link) -> None:
        """Register a new link and merge its member into the view."""
        table = self.links if link.dialed else self.inbound
        table[link.member.id] = link
        self.failed_dials.pop(link.member.id, None)
        self.joined = True
        self.update_member(link.member)
        logger.info('link to %s is up', link.member.id)

    def link_down(self, link: links.Link) -> None:
        """Remove a link that has closed and report its unsent items."""
        table = self.links if link.dialed else self.inbound
        if table.get(link.member.id) is link:
            table.pop(link.member.id)
        for item in link.outbox.close():
            handlers.handle_unsent(item, self)
        logger.info('link to %s is down', link.member.id)

    def gauges(self) -> typing.Iterator[metrics.Gauge]:
        """Return the current values for `/metrics`."""
        yield metrics.Gauge('config_number', self.configuration.number)
        yield metrics.Gauge('stopping', int(self.stopping.is_set()))
        load = self.load()
        if load is not None:
            yield metrics.Gauge('slots', load.slots)
            yield metrics.Gauge('free_slots', load.free_slots)
            yield metrics.Gauge('queued_tasks', load.queued_tasks)
        for member in self.known_members():
            linked = member.id in self.links or member.id in self.inbound
            labels = {'member': member.id, 'state': member.state.value}
            yield metrics.Gauge('link_up', int(linked), labels)
        for call, count in self.platform_calls.items():
            labels = {'call': call}
            yield metrics.Gauge('platform_calls', count, labels)

    def dial_failed(self, member: messages.Member, error: Exception) -> None:
        """Record that dialing `member` failed or that its link broke."""
        self.failed_dials[member.id] = FailedDial(
            member.incarnation,
            time.monotonic(),
            refused=isinstance(error, ConnectionRefusedError),
            timed_out=isinstance(error, TimeoutError),
        )

    def set_state(self, state: messages.MemberState) -> None:
        """Change the state of this process and announce it on all links."""
        if state is self.member.state:
            return
        self.member = msgspec.structs.replace(
            self.member,
            state=state,
            version=self.member.version + 1,
        )
        self.view.replace_own(self.member)
        for link in self.all_links():
            link.send(messages.Leaving(self.member))

    async def serve_metrics(self, request: web.Request) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        return web.Response(
            body=self.metrics.render(), content_type='text/plain'
        )

    def ensure_dialer(self, member: messages.Member) -> None:
        """Start a task that keeps a link to `member`, unless there is one."""
        if member.id in self.dialers or member.id == self.member.id:
            return
        self.dialers[member.id] = self.spawn(
            links.dial(self, member),
            f'dial {member.id}',
        )

    def stop_dialer(self, member: ids.MemberId) -> None:
        """Cancel the task that keeps a link to a member, if there is one."""
        task = self.dialers.pop(member, None)
        if task:
            task.cancel()


async def liveness(request: web.Request) -> web.Response:
    """Handle the liveness probe."""
    return web.Response(text='ok')


async def serve_application(
    process: Node,
    app: web.Application,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Serve HTTP on the address of the settings until the stack closes."""
    limits = process.settings.limits
    runner = web.AppRunner(app, shutdown_timeout=limits.drain)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    listener = await error_replies.listen(
        runner,
        *process.settings.listen.http,
        max_header_bytes=limits.header,
    )
    stack.callback(listener.close)


async def bootstrap(process: Node) -> None:
    """Join once at each bootstrap peer, and again when isolated."""
    own = process.settings.listen.peers
    peers = [peer for peer in process.settings.peers.bootstrap if peer != own]
    joined: set[ini.Address] = set()
    while True:
        if process.is_isolated():
            joined.clear()
        for address in peers:
            if address not in joined and await _join(process, address):
                joined.add(address)
        await asyncio.sleep(process.settings.peers.heartbeat)


async def _join(process: Node, address: ini.Address) -> bool:
    try:
        members = await links.join(process, address)
    except (OSError, EOFError, TimeoutError, *links.RPC_ERRORS):
        return False
    process.joined = True
    for member in members:
        process.update_member(member)
    return True
