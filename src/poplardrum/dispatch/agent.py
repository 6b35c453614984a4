"""The agent: runs tasks at the endpoint beside it for all entries."""

import asyncio
import contextlib
import functools
import logging
import random
import typing

from aiohttp import web

from poplardrum import errors, ids, ini, log_events
from poplardrum.dispatch import (
    clocks,
    executor,
    facts,
    lifecycle,
    membership,
    messages,
    metrics,
    owners,
    reloading,
    timing,
    watching,
)
from poplardrum.platform import endpoints, kv, site

logger = logging.getLogger(__name__)

_CONNECT: typing.Final = 0.8
# Entries that start with the agents are there within tenths of a second.
_FIRST_PAUSE: typing.Final = 0.06
_GROWTH: typing.Final = 1.4
_LONGEST_PAUSE: typing.Final = 1.0
_ENDPOINT_CONNECTIONS: typing.Final = 24
_EXIT_MARGIN: typing.Final = 0.6
_REMIND: typing.Final = 0.25
_ENTRIES_READ: typing.Final = 2.0


class Agent:
    """Connections to all entries and the tasks that they asked for."""

    def __init__(self, config: site.Site, runs: executor.Executor) -> None:
        """Start without connections."""
        self.config = config
        self.runs = runs
        self.incarnation = ids.new_incarnation()
        self.owners: dict[ids.Incarnation, owners.Owner] = {}
        self.links: set[messages.Link] = set()
        self.peers: dict[ini.Address, asyncio.Task[None]] = {}
        self.reporter = watching.Reporter(runs, self.links, config.zone)
        runs.tell_unacked = self._tell_unacked

    def know(self, addresses: typing.Iterable[ini.Address]) -> None:
        """Connect to entries that are new."""
        for address in map(_as_address, addresses):
            if address not in self.peers:
                self.peers[address] = asyncio.ensure_future(
                    self._keep_link(address),
                )

    def close(self) -> None:
        """End all connections."""
        for peer in self.peers.values():
            peer.cancel()
        for link in list(self.links):
            link.abort()

    async def _keep_link(self, address: ini.Address) -> None:
        pause = _FIRST_PAUSE
        while True:
            try:
                await self._connect(address)
                pause = _FIRST_PAUSE
            except (OSError, TimeoutError):
                pause = min(_GROWTH * pause, _LONGEST_PAUSE)
            await asyncio.sleep(pause * random.uniform(0.5, 1))

    async def _connect(self, address: ini.Address) -> None:
        async with asyncio.timeout(_CONNECT):
            streams = await asyncio.open_connection(*address)
        link = messages.Link(*streams)
        link.send(
            messages.AgentHello(
                self.config.node,
                self.config.zone,
                self.incarnation,
            ),
        )
        with lifecycle.keep_alive(link, timing.PING):
            try:
                await self._converse(link)
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger, 'entry link lost', entry=address, why=error.message
                )

    async def _converse(self, link: messages.Link) -> None:
        owner = await self._greet(link)
        try:
            while not link.closed:
                for message in await link.receive(timing.SILENCE):
                    self._take(owner, message)
        finally:
            self.links.discard(link)
            if owner.detach(link):
                self._expire_later(owner)

    async def _greet(self, link: messages.Link) -> owners.Owner:
        first, *rest = await link.receive(timing.SILENCE)
        if not isinstance(first, messages.EntryHello):
            raise errors.uncertain(errors.Code.link_lost, 'no hello')
        for other in list(self.owners.values()):
            if other.node == first.node and (
                other.incarnation != first.incarnation
            ):
                self._forget(other)
        link.zone = first.zone
        owner = self.owners.get(first.incarnation)
        if owner is None:
            owner = owners.Owner(first.node, first.incarnation)
            self.owners[first.incarnation] = owner
        owner.attach(link)
        link.send(self.runs.holding(owner))
        # Ends come before the load: room lets the entry start tasks again.
        for held in self.runs.ends.unacknowledged.values():
            if held.owner is None or held.owner is owner:
                link.send(held.message)
        link.send(self.reporter.load(link))
        self.links.add(link)
        log_events.emit(logger, 'entry linked', entry=first.node)
        for message in rest:
            self._take(owner, message)
        return owner

    def _take(self, owner: owners.Owner, message: messages.AnyMessage) -> None:
        match message:
            case messages.StartTasks():
                if owner.link is not None:
                    owner.link.starts_received += 1
                self.runs.start(owner, message)
            case messages.StopTasks():
                self.runs.stop(message.job, message.task_indexes)
            case messages.Entries():
                self.know(message.addresses)
            case messages.CompletionsAcknowledged():
                if self.runs.ends.acknowledge(message.completion_ids):
                    self.runs.work.set()
            case _:
                pass

    def _tell_unacked(self, unacked: messages.UnackedCompletion) -> None:
        for link in self.links:
            link.send(unacked)

    async def remind(self) -> None:
        """Tell again of ends that were not noted, until cancelled."""
        while True:
            await asyncio.sleep(_REMIND)
            for held in self.runs.ends.due_for_resend(clocks.now()):
                links: typing.Iterable[messages.Link] = self.links
                if held.owner is not None and held.owner.link is not None:
                    links = (held.owner.link,)
                for link in links:
                    link.send(held.message)

    def _expire_later(self, owner: owners.Owner) -> None:
        asyncio.get_running_loop().call_later(
            timing.RESUME, self._expire, owner
        )

    def _expire(self, owner: owners.Owner) -> None:
        if owner.link is None:
            self._forget(owner)

    def _forget(self, owner: owners.Owner) -> None:
        self.owners.pop(owner.incarnation, None)
        self.runs.drop(owner)


def _as_address(address: typing.Sequence[typing.Any]) -> ini.Address:
    host, port = address
    return host, port


def registry_handler(
    runs: executor.Executor,
) -> typing.Callable[[web.BaseRequest], typing.Awaitable[web.Response]]:
    """Return the HTTP handler for the endpoint's heartbeats."""

    async def handle(request: web.BaseRequest) -> web.Response:
        instance = endpoints.parse_instance_id(request.path)
        if instance is None:
            return web.Response(status=404)
        if request.method == 'DELETE':
            return web.Response(body=b'{}', content_type='application/json')
        beat = endpoints.decode_heartbeat(await request.read())
        if beat is None:
            logger.warning('unreadable heartbeat')
            return web.Response(status=400)
        runs.observe_heartbeat(beat)
        return web.Response(body=b'{}', content_type='application/json')

    return handle


async def _recall(
    runs: executor.Executor,
    stored: kv.KvStore,
    node: str,
) -> None:
    runs.recall(await facts.recall(stored, node))
    await facts.keep(stored, node, runs.vitals)


async def _find_entries(
    agent: Agent,
    stored: kv.KvStore,
    config: site.Site,
) -> None:
    """Read the entries from the store until one is linked.

    Linked entries tell about the others, so that the fleet's agents need
    not watch the store.
    """
    agent.know(config.seeds)
    known = False
    while True:
        if not known or not agent.links:
            try:
                agent.know(await membership.read_entries(stored))
                known = True
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'entries not read',
                    level=logging.WARNING,
                    why=error.message,
                )
        await asyncio.sleep(_ENTRIES_READ * random.uniform(0.5, 1))


async def _drain(runs: executor.Executor, grace: float) -> None:
    """Let running tasks end; give up shortly before the grace is over."""
    runs.stopping = True
    runs.changed.set()
    deadline = clocks.now() + grace - _EXIT_MARGIN
    while runs.tasks and clocks.now() < deadline:
        await asyncio.sleep(timing.PING)


async def run(settings: reloading.Settings) -> None:
    """Run an agent until SIGTERM."""
    config = settings.config
    if config.endpoint is None or config.registry is None:
        raise errors.refusal(
            errors.Code.settings,
            'an agent needs the addresses app and Control',
        )
    stopping = lifecycle.stop_event()
    async with contextlib.AsyncExitStack() as stack:
        client = endpoints.EndpointClient(
            config.endpoint, _ENDPOINT_CONNECTIONS
        )
        stack.push_async_callback(client.close)
        stored = kv.KvStore(config.store, membership.TIMEOUT)
        stack.push_async_callback(stored.close)
        runs = executor.Executor(
            client,
            min(config.max_lease, timing.LEASE),
            config.stop_time,
        )
        runs.metrics.gauges = functools.partial(watching.gauges, runs)
        agent = Agent(config, runs)
        stack.callback(agent.close)
        await lifecycle.serve(
            stack,
            registry_handler(runs),
            config.registry,
            settings.opened,
        )
        metrics_address = (config.peers[0], metrics.PORT)
        await lifecycle.serve(
            stack,
            runs.metrics.serve,
            metrics_address,
            settings.opened,
        )
        for work in (
            watching.Watch(runs).run(),
            agent.reporter.run(),
            agent.remind(),
            settings.follow(lifecycle.reload_event()),
            _find_entries(agent, stored, config),
            _recall(runs, stored, config.node),
        ):
            stack.callback(lifecycle.supervise(work).cancel)
        await stopping.wait()
        logger.info('stopping')
        await _drain(runs, settings.config.grace)
