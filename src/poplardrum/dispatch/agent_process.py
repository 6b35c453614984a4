"""The agent role: serves the endpoint on its host and links to entries."""

import asyncio
import contextlib
import functools
import logging
import random
import typing

from aiohttp import web_request, web_response

from poplardrum import errors, log_events
from poplardrum.dispatch import (
    agent,
    agent_evacuations,
    body_reading,
    clocks,
    executor,
    lifecycle,
    membership,
    owner_lease_keeper,
    polling,
    reloading,
    status_persistence,
    timing,
)
from poplardrum.platform import endpoints, kv, settings_file

logger = logging.getLogger(__name__)

_MAX_ENDPOINT_CONNECTIONS: typing.Final = 24
# The agent stops waiting for runs this long before the grace period ends.
_EXIT_MARGIN_S: typing.Final = 0.6
_ENTRIES_POLL_INTERVAL_S: typing.Final = 2.0


def registry_handler(
    task_executor: executor.Executor,
) -> typing.Callable[
    [web_request.BaseRequest], typing.Awaitable[web_response.Response]
]:
    """Return the HTTP handler that receives the endpoint's heartbeats."""

    async def handle(request: web_request.BaseRequest) -> web_response.Response:
        instance = endpoints.parse_instance_id(request.path)
        if instance is None:
            return web_response.Response(status=404)
        if request.method == 'DELETE':
            return web_response.Response(
                body=b'{}', content_type='application/json'
            )
        heartbeat = endpoints.decode_heartbeat(await body_reading.read(request))
        if heartbeat is None:
            logger.warning('unreadable heartbeat')
            return web_response.Response(status=400)
        task_executor.observe_heartbeat(heartbeat)
        return web_response.Response(
            body=b'{}', content_type='application/json'
        )

    return handle


async def _restore_status(
    task_executor: executor.Executor,
    kv_store: kv.KvStore,
    node: str,
) -> None:
    task_executor.restore_status(await status_persistence.load(kv_store, node))
    await status_persistence.save_changes(kv_store, node, task_executor.status)


async def _find_entries(
    agent_links: agent.Agent,
    kv_store: kv.KvStore,
    config: settings_file.ProcessSettings,
) -> None:
    """Read the entries' addresses from the store while none is connected.

    Connected entries send the addresses of the others, so agents need not
    watch the store.
    """
    agent_links.entry_links.add_seeds(config.seeds)
    has_read = False
    while True:
        if not has_read or not agent_links.links:
            try:
                agent_links.update_entries(
                    await membership.read_entries(kv_store)
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
        guard = lifecycle.guard_process(
            config, task_executor.metrics, is_entry=False
        )
        agent_links = agent.Agent(config, task_executor)
        stack.callback(agent_links.close)
        await lifecycle.serve_http(
            stack,
            registry_handler(task_executor),
            config.registry,
            settings.listeners,
            guard.at('heartbeats'),
        )
        await lifecycle.serve_metrics(
            stack,
            task_executor.metrics,
            config.peers[0],
            settings.listeners,
            guard,
        )
        background_loops: list[tuple[str, lifecycle.BackgroundLoop]] = [
            ('endpoint reports', polling.EndpointPoller(task_executor).run),
            (
                'lease clock',
                functools.partial(
                    task_executor.lease.watch_clock, task_executor.runs.values
                ),
            ),
            ('load reports', agent_links.reporter.run),
            (
                'owner leases',
                owner_lease_keeper.OwnerLeaseKeeper(task_executor).run,
            ),
            ('completions', agent_links.resend_completions),
            ('keep-alive', agent_links.keep_alive.run),
            ('entry links', agent_links.entry_links.run),
            ('client limits', guard.run),
            (
                'settings',
                functools.partial(settings.watch, lifecycle.reload_event()),
            ),
            (
                'entries',
                functools.partial(_find_entries, agent_links, kv_store, config),
            ),
            (
                'endpoint status',
                functools.partial(
                    _restore_status, task_executor, kv_store, config.node
                ),
            ),
            *agent_evacuations.background_loops(
                config, kv_store, task_executor
            ),
        ]
        lifecycle.supervise_all(stack, background_loops)

        await stopping.wait()
        logger.info('stopping')
        await _drain(task_executor, settings.config.grace)
