"""The agent: runs tasks of all entries at the endpoint on its host."""

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
# Short: entries that start together with the agents are reachable within
# tenths of a second.
_MIN_BACKOFF_S: typing.Final = 0.06
_BACKOFF_FACTOR: typing.Final = 1.4
_MAX_BACKOFF_S: typing.Final = 1.0
_MAX_ENDPOINT_CONNECTIONS: typing.Final = 24
# The agent stops waiting for runs this long before the grace period ends.
_EXIT_MARGIN_S: typing.Final = 0.6
_RESEND_POLL_INTERVAL_S: typing.Final = 0.25
_ENTRIES_POLL_INTERVAL_S: typing.Final = 2.0


class Agent:
    """Connections to all entries, and the entries' requests.

    Each entry has a session, which survives short connection losses.
    """

    def __init__(
        self,
        config: settings_file.ProcessSettings,
        task_executor: executor.Executor,
    ) -> None:
        """Create an agent without connections."""
        self.config = config
        self.executor = task_executor
        self.incarnation = ids.new_incarnation()
        self.sessions: dict[ids.Incarnation, entry_sessions.EntrySession] = {}
        self.links: set[messages.Link] = set()
        self.connection_tasks: dict[ini.Address, asyncio.Task[None]] = {}
        self.reporter = polling.LoadReporter(
            task_executor, self.links, config.zone
        )
        task_executor.broadcast_completion = self._broadcast_completion

    def add_entries(self, addresses: typing.Iterable[ini.Address]) -> None:
        """Connect to all entries that are not known yet."""
        for address in map(_as_address, addresses):
            if address not in self.connection_tasks:
                self.connection_tasks[address] = asyncio.ensure_future(
                    self._maintain_link(address),
                )

    def close(self) -> None:
        """Close all connections."""
        for task in self.connection_tasks.values():
            task.cancel()
        for link in list(self.links):
            link.abort()

    async def _maintain_link(self, address: ini.Address) -> None:
        delay = _MIN_BACKOFF_S
        while True:
            try:
                await self._connect(address)
                delay = _MIN_BACKOFF_S
            except (OSError, TimeoutError):
                delay = min(_BACKOFF_FACTOR * delay, _MAX_BACKOFF_S)
            except Exception:
                # One message must not cost the link to an entry for ever.
                self.executor.metrics.increment('errors', 'entry link')
                logger.exception('link to %s failed', address)
                delay = _MAX_BACKOFF_S
            await asyncio.sleep(delay * random.uniform(0.5, 1))

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
        session = await self._handshake(link)
        try:
            while not link.closed:
                for message in await link.receive(timing.LINK_TIMEOUT_S):
                    self._handle_message(session, message)
        finally:
            self.links.discard(link)
            if session.detach(link):
                self._schedule_expiry(session)

    async def _handshake(
        self, link: messages.Link
    ) -> entry_sessions.EntrySession:
        first, rest = await link.receive_hello(
            messages.EntryHello, timing.LINK_TIMEOUT_S
        )
        for other in list(self.sessions.values()):
            if other.node == first.node and (
                other.incarnation != first.incarnation
            ):
                self._remove_session(other)
        link.zone = first.zone
        session = self.sessions.get(first.incarnation)
        if session is None:
            session = entry_sessions.EntrySession(first.node, first.incarnation)
            self.sessions[first.incarnation] = session
        session.attach(link)
        link.send(self.executor.active_runs(session))
        # Completions precede the load: once it knows of free capacity, the
        # entry may start their tasks again.
        for retained in self.executor.completions.unacknowledged.values():
            if retained.session is None or retained.session is session:
                link.send(retained.message)
        link.send(self.reporter.load(link))
        self.links.add(link)
        log_events.emit(logger, 'entry linked', entry=first.node)
        for message in rest:
            self._handle_message(session, message)
        return session

    def _handle_message(
        self, session: entry_sessions.EntrySession, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.StartTasks():
                if session.link is not None:
                    session.link.starts_received += 1
                self.executor.start(session, message)
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
        self, message: messages.UnackedCompletion
    ) -> None:
        for link in self.links:
            link.send(message)

    async def resend_completions(self) -> None:
        """Resend unacknowledged completions until cancelled."""
        while True:
            await asyncio.sleep(_RESEND_POLL_INTERVAL_S)
            for retained in self.executor.completions.due_for_resend(
                clocks.now()
            ):
                links: typing.Iterable[messages.Link] = self.links
                if (
                    retained.session is not None
                    and retained.session.link is not None
                ):
                    links = (retained.session.link,)
                for link in links:
                    link.send(retained.message)

    def _schedule_expiry(self, session: entry_sessions.EntrySession) -> None:
        asyncio.get_running_loop().call_later(
            timing.RECONNECT_TIMEOUT_S, self._expire, session
        )

    def _expire(self, session: entry_sessions.EntrySession) -> None:
        if session.link is None:
            self._remove_session(session)

    def _remove_session(self, session: entry_sessions.EntrySession) -> None:
        self.sessions.pop(session.incarnation, None)
        self.executor.stop_runs_of(session)


def _as_address(address: typing.Sequence[typing.Any]) -> ini.Address:
    host, port = address
    return host, port


def registry_handler(
    task_executor: executor.Executor,
) -> typing.Callable[[web.BaseRequest], typing.Awaitable[web.Response]]:
    """Return the HTTP handler that receives the endpoint's heartbeats."""

    async def handle(request: web.BaseRequest) -> web.Response:
        instance = endpoints.parse_instance_id(request.path)
        if instance is None:
            return web.Response(status=404)
        if request.method == 'DELETE':
            return web.Response(body=b'{}', content_type='application/json')
        heartbeat = endpoints.decode_heartbeat(await request.read())
        if heartbeat is None:
            logger.warning('unreadable heartbeat')
            return web.Response(status=400)
        task_executor.observe_heartbeat(heartbeat)
        return web.Response(body=b'{}', content_type='application/json')

    return handle


async def _restore_status(
    task_executor: executor.Executor,
    kv_store: kv.KvStore,
    node: str,
) -> None:
    task_executor.restore_status(await status_persistence.load(kv_store, node))
    await status_persistence.save_changes(kv_store, node, task_executor.status)


async def _find_entries(
    agent: Agent,
    kv_store: kv.KvStore,
    config: settings_file.ProcessSettings,
) -> None:
    """Read the entries' addresses from the store while none is connected.

    Connected entries send the addresses of the others, so agents need not
    watch the store.
    """
    agent.add_entries(config.seeds)
    has_read = False
    while True:
        if not has_read or not agent.links:
            try:
                agent.add_entries(
                    await membership.read_entry_addresses(kv_store)
                )
                has_read = True
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'cannot read entries from the store',
                    level=logging.WARNING,
                    why=error.message,
                )
        await asyncio.sleep(_ENTRIES_POLL_INTERVAL_S * random.uniform(0.5, 1))


async def _drain(task_executor: executor.Executor, grace: float) -> None:
    """Wait for active runs, until shortly before the grace period ends."""
    task_executor.stopping = True
    task_executor.status_changed.set()
    deadline = clocks.now() + grace - _EXIT_MARGIN_S
    while task_executor.runs and clocks.now() < deadline:
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
        kv_store = kv.KvStore(config.store, membership.STORE_TIMEOUT_S)
        stack.push_async_callback(kv_store.close)
        task_executor = executor.Executor(
            client,
            min(config.max_lease, timing.LEASE_S),
            config.stop_time,
        )
        task_executor.metrics.gauges = functools.partial(
            polling.gauges, task_executor
        )
        agent = Agent(config, task_executor)
        stack.callback(agent.close)
        await lifecycle.serve_http(
            stack,
            registry_handler(task_executor),
            config.registry,
            settings.listeners,
        )
        metrics_address = (config.peers[0], metrics.PORT)
        await lifecycle.serve_http(
            stack,
            task_executor.metrics.serve,
            metrics_address,
            settings.listeners,
        )
        background_loops: list[tuple[str, lifecycle.BackgroundLoop]] = [
            ('endpoint reports', polling.EndpointPoller(task_executor).run),
            ('load reports', agent.reporter.run),
            ('completions', agent.resend_completions),
            (
                'settings',
                functools.partial(settings.watch, lifecycle.reload_event()),
            ),
            (
                'entries',
                functools.partial(_find_entries, agent, kv_store, config),
            ),
            (
                'endpoint status',
                functools.partial(
                    _restore_status, task_executor, kv_store, config.node
                ),
            ),
        ]
        lifecycle.supervise_all(stack, background_loops)

        await stopping.wait()
        logger.info('stopping')
        await _drain(task_executor, settings.config.grace)
