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
    entry_sessions,
    executor,
    lifecycle,
    membership,
    messages,
    metrics,
    polling,
    reloading,
    status_persistence,
    timing,
)
from poplardrum.platform import endpoints, kv, settings_file

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S: typing.Final = 0.8
# Entries that start with the agents are there within tenths of a second.
_MIN_BACKOFF_S: typing.Final = 0.06
_BACKOFF_FACTOR: typing.Final = 1.4
_MAX_BACKOFF_S: typing.Final = 1.0
_MAX_ENDPOINT_CONNECTIONS: typing.Final = 24
_EXIT_MARGIN_S: typing.Final = 0.6
_RESEND_POLL_INTERVAL_S: typing.Final = 0.25
_ENTRIES_POLL_INTERVAL_S: typing.Final = 2.0


class Agent:
    """Connections to all entries and the tasks that they asked for."""

    def __init__(
        self, config: settings_file.ProcessSettings, runs: executor.Executor
    ) -> None:
        """Start without connections."""
        self.config = config
        self.executor = runs
        self.incarnation = ids.new_incarnation()
        self.sessions: dict[ids.Incarnation, entry_sessions.EntrySession] = {}
        self.links: set[messages.Link] = set()
        self.connection_tasks: dict[ini.Address, asyncio.Task[None]] = {}
        self.reporter = polling.LoadReporter(runs, self.links, config.zone)
        runs.broadcast_completion = self._broadcast_completion

    def add_entries(self, addresses: typing.Iterable[ini.Address]) -> None:
        """Connect to entries that are new."""
        for address in map(_as_address, addresses):
            if address not in self.connection_tasks:
                self.connection_tasks[address] = asyncio.ensure_future(
                    self._maintain_link(address),
                )

    def close(self) -> None:
        """End all connections."""
        for peer in self.connection_tasks.values():
            peer.cancel()
        for link in list(self.links):
            link.abort()

    async def _maintain_link(self, address: ini.Address) -> None:
        pause = _MIN_BACKOFF_S
        while True:
            try:
                await self._connect(address)
                pause = _MIN_BACKOFF_S
            except (OSError, TimeoutError):
                pause = min(_BACKOFF_FACTOR * pause, _MAX_BACKOFF_S)
            await asyncio.sleep(pause * random.uniform(0.5, 1))

    async def _connect(self, address: ini.Address) -> None:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            streams = await asyncio.open_connection(*address)
        link = messages.Link(*streams)
        link.send(
            messages.AgentHello(
                self.config.node,
                self.config.zone,
                self.incarnation,
            ),
        )
        with lifecycle.keep_alive(link, timing.PING_INTERVAL_S):
            try:
                await self._receive_messages(link)
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger, 'entry link lost', entry=address, why=error.message
                )

    async def _receive_messages(self, link: messages.Link) -> None:
        owner = await self._handshake(link)
        try:
            while not link.closed:
                for message in await link.receive(timing.LINK_TIMEOUT_S):
                    self._handle_message(owner, message)
        finally:
            self.links.discard(link)
            if owner.detach(link):
                self._schedule_expiry(owner)

    async def _handshake(
        self, link: messages.Link
    ) -> entry_sessions.EntrySession:
        first, *rest = await link.receive(timing.LINK_TIMEOUT_S)
        if not isinstance(first, messages.EntryHello):
            raise errors.uncertain_outcome(errors.Code.link_lost, 'no hello')
        for other in list(self.sessions.values()):
            if other.node == first.node and (
                other.incarnation != first.incarnation
            ):
                self._remove_session(other)
        link.zone = first.zone
        owner = self.sessions.get(first.incarnation)
        if owner is None:
            owner = entry_sessions.EntrySession(first.node, first.incarnation)
            self.sessions[first.incarnation] = owner
        owner.attach(link)
        link.send(self.executor.active_runs(owner))
        # Ends come before the load: room lets the entry start tasks again.
        for held in self.executor.completions.unacknowledged.values():
            if held.owner is None or held.owner is owner:
                link.send(held.message)
        link.send(self.reporter.load(link))
        self.links.add(link)
        log_events.emit(logger, 'entry linked', entry=first.node)
        for message in rest:
            self._handle_message(owner, message)
        return owner

    def _handle_message(
        self, owner: entry_sessions.EntrySession, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.StartTasks():
                if owner.link is not None:
                    owner.link.starts_received += 1
                self.executor.start(owner, message)
            case messages.StopTasks():
                self.executor.stop(message.job, message.task_indexes)
            case messages.Entries():
                self.add_entries(message.addresses)
            case messages.CompletionsAcknowledged():
                if self.executor.completions.acknowledge(
                    message.completion_ids
                ):
                    self.executor.report_needed.set()
            case _:
                pass

    def _broadcast_completion(
        self, unacked: messages.UnackedCompletion
    ) -> None:
        for link in self.links:
            link.send(unacked)

    async def resend_completions(self) -> None:
        """Tell again of ends that were not noted, until cancelled."""
        while True:
            await asyncio.sleep(_RESEND_POLL_INTERVAL_S)
            for held in self.executor.completions.due_for_resend(clocks.now()):
                links: typing.Iterable[messages.Link] = self.links
                if held.owner is not None and held.owner.link is not None:
                    links = (held.owner.link,)
                for link in links:
                    link.send(held.message)

    def _schedule_expiry(self, owner: entry_sessions.EntrySession) -> None:
        asyncio.get_running_loop().call_later(
            timing.RECONNECT_TIMEOUT_S, self._expire, owner
        )

    def _expire(self, owner: entry_sessions.EntrySession) -> None:
        if owner.link is None:
            self._remove_session(owner)

    def _remove_session(self, owner: entry_sessions.EntrySession) -> None:
        self.sessions.pop(owner.incarnation, None)
        self.executor.stop_runs_of(owner)


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


async def _restore_status(
    runs: executor.Executor,
    stored: kv.KvStore,
    node: str,
) -> None:
    runs.restore_status(await status_persistence.load(stored, node))
    await status_persistence.save_changes(stored, node, runs.status)


async def _find_entries(
    agent: Agent,
    stored: kv.KvStore,
    config: settings_file.ProcessSettings,
) -> None:
    """Read the entries from the store until one is linked.

    Linked entries tell about the others, so that the fleet's agents need
    not watch the store.
    """
    agent.add_entries(config.seeds)
    known = False
    while True:
        if not known or not agent.links:
            try:
                agent.add_entries(await membership.read_entry_addresses(stored))
                known = True
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'entries not read',
                    level=logging.WARNING,
                    why=error.message,
                )
        await asyncio.sleep(_ENTRIES_POLL_INTERVAL_S * random.uniform(0.5, 1))


async def _drain(runs: executor.Executor, grace: float) -> None:
    """Let running tasks end; give up shortly before the grace is over."""
    runs.stopping = True
    runs.status_changed.set()
    deadline = clocks.now() + grace - _EXIT_MARGIN_S
    while runs.runs and clocks.now() < deadline:
        await asyncio.sleep(timing.PING_INTERVAL_S)


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
            config.endpoint, _MAX_ENDPOINT_CONNECTIONS
        )
        stack.push_async_callback(client.close)
        stored = kv.KvStore(config.store, membership.STORE_TIMEOUT_S)
        stack.push_async_callback(stored.close)
        runs = executor.Executor(
            client,
            min(config.max_lease, timing.LEASE_S),
            config.stop_time,
        )
        runs.metrics.gauges = functools.partial(polling.gauges, runs)
        agent = Agent(config, runs)
        stack.callback(agent.close)
        await lifecycle.serve_http(
            stack,
            registry_handler(runs),
            config.registry,
            settings.listeners,
        )
        metrics_address = (config.peers[0], metrics.PORT)
        await lifecycle.serve_http(
            stack,
            runs.metrics.serve,
            metrics_address,
            settings.listeners,
        )
        for work in (
            polling.EndpointPoller(runs).run(),
            agent.reporter.run(),
            agent.resend_completions(),
            settings.watch(lifecycle.reload_event()),
            _find_entries(agent, stored, config),
            _restore_status(runs, stored, config.node),
        ):
            stack.callback(lifecycle.supervise(work).cancel)
        await stopping.wait()
        logger.info('stopping')
        await _drain(runs, settings.config.grace)
