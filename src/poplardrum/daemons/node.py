"""What an entry and an agent have in common."""

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
    """Latest failure to reach a member; `at` is monotonic seconds."""

    incarnation: ids.Incarnation
    failed_at: float
    refused: bool
    timed_out: bool


class Node:
    """One process of the system: its identity, links and view."""

    def __init__(
        self,
        config: settings.Settings,
        role: messages.Role,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Build the process; `stack` owns all that it opens."""
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
        """Forget a finished task and log its fault, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.error(
                'task %s failed',
                task.get_name(),
                exc_info=task.exception(),
            )

    async def cancel_tasks(self) -> None:
        """Cancel all tasks of the process and wait for their ends."""
        pending = list(self.tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    def build_frame(
        self,
        items: list[frames.AnyItem],
        echo: float = 0,
    ) -> frames.Frame:
        """Wrap items for one peer with the state that every frame carries.

        `echo` is the peer's time on its latest frame.
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
        """Use what the last frame of a link said besides its items."""

    def is_isolated(self) -> bool:
        """Tell whether this process must look for its peers again."""
        return not self.joined

    def known_members(self) -> list[messages.Member]:
        """Return this process and all members of its view."""
        return self.view.members()

    def update_member(self, member: messages.Member) -> None:
        """Take note of a member that a peer or the platform named."""
        self.view.merge([member])

    def correct_own_state(self, member: messages.Member) -> bool:
        """Overrule a peer that holds an untrue state of this process.

        A process that was paused for long may have been taken for gone.
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
        """Return all live links, dialed or accepted."""
        return [*self.links.values(), *self.inbound.values()]

    def link_to(self, member: ids.MemberId) -> links.Link | None:
        """Return a live link on which requests to `member` can go out."""
        link = self.links.get(member)
        return link if link and link.is_open else None

    def link_up(self, link: links.Link) -> None:
        """Register a new link."""
        table = self.links if link.dialed else self.inbound
        table[link.member.id] = link
        self.failed_dials.pop(link.member.id, None)
        self.joined = True
        self.update_member(link.member)
        logger.info('link to %s is up', link.member.id)

    def link_down(self, link: links.Link) -> None:
        """Forget a link that has ended."""
        table = self.links if link.dialed else self.inbound
        if table.get(link.member.id) is link:
            table.pop(link.member.id)
        for item in link.outbox.close():
            handlers.handle_unsent(item, self)
        logger.info('link to %s is down', link.member.id)

    def gauges(self) -> typing.Iterator[metrics.Gauge]:
        """Return present values for `/metrics`."""
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
        """Note that `member` could not be reached, or broke its link."""
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
        """Return all figures in the Prometheus text form."""
        return web.Response(
            body=self.metrics.render(), content_type='text/plain'
        )

    def ensure_dialer(self, member: messages.Member) -> None:
        """Keep a link to `member` from now on."""
        if member.id in self.dialers or member.id == self.member.id:
            return
        self.dialers[member.id] = self.spawn(
            links.dial(self, member),
            f'dial {member.id}',
        )

    def stop_dialer(self, member: ids.MemberId) -> None:
        """Stop dialing a member that is gone or has moved."""
        task = self.dialers.pop(member, None)
        if task:
            task.cancel()


async def liveness(request: web.Request) -> web.Response:
    """Answer the liveness probe."""
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
    """Join once at each peer of the settings, and again when cut off."""
    own = process.settings.listen.peers
    peers = [peer for peer in process.settings.peers.bootstrap if peer != own]
    done: set[ini.Address] = set()
    while True:
        if process.is_isolated():
            done.clear()
        for address in peers:
            if address not in done and await _join(process, address):
                done.add(address)
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
