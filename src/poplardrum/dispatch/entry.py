"""The entry role: accepts jobs of callers and coordinates them."""

import asyncio
import contextlib
import functools
import logging
import typing

from poplardrum import errors, ids
from poplardrum.dispatch import (
    clocks,
    coordinator,
    entry_services,
    job_release,
    lifecycle,
    links,
    membership,
    record_writer,
    reloading,
    request_handler,
    routes,
    stored_job_services,
)
from poplardrum.platform import kv, store

logger = logging.getLogger(__name__)

_MEMBERS_WATCH_TIMEOUT_S: typing.Final = 10.0
_MEMBERS_RETRY_INTERVAL_S: typing.Final = 0.5
# Time until the load balancer has noticed that the entry is not ready.
_BALANCER_DETECTION_S: typing.Final = 2.3
# Part of the grace period that is left for the exit of the process.
_EXIT_MARGIN_S: typing.Final = 0.3
# Draining ends this long before the grace period does.
_SHUTDOWN_RESERVE_S: typing.Final = (
    _EXIT_MARGIN_S + lifecycle.SHUTDOWN_TIMEOUT_S
)
_DRAIN_POLL_INTERVAL_S: typing.Final = 0.05


async def _watch_members(
    agent_links: links.AgentLinks,
    kv_store: store.Store,
    announcement: membership.Announcement,
    writer: record_writer.RecordWriter,
) -> None:
    """Send changed entry addresses to agents; check the own announcement."""
    index = 0
    while True:
        try:
            found = await kv_store.read(
                membership.PREFIX,
                is_prefix=True,
                after_index=index,
                wait_s=_MEMBERS_WATCH_TIMEOUT_S,
            )
        except errors.PoplardrumError:
            # `RouteTable` logs that the store is unreachable.
            index = 0
            await asyncio.sleep(_MEMBERS_RETRY_INTERVAL_S)
            continue
        index = found.index
        members = membership.decode(found.values)
        writer.set_entry_count(len(members))
        agent_links.send_entries(membership.to_entries(found))
        keys = {entry.key for entry in found.values}
        announcement.observe(announcement.key in keys)


async def _drain(
    handler: request_handler.RequestHandler,
    release: job_release.JobRelease,
    grace_period: float,
) -> None:
    """Wait until open requests are done and the load balancer sends no more.

    Stored jobs that are not over before the end are released.
    """
    started_at = clocks.now()
    stop_at = started_at + grace_period - _SHUTDOWN_RESERVE_S
    handler.drain(started_at + grace_period - _EXIT_MARGIN_S)
    with contextlib.ExitStack() as stack:
        stack.callback(asyncio.ensure_future(release.run(stop_at)).cancel)
        while clocks.now() < stop_at:
            elapsed = clocks.now() - started_at
            if elapsed > _BALANCER_DETECTION_S and not handler.is_busy():
                return
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)


async def run(settings: reloading.Settings) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    config = settings.config
    if config.callers is None or config.readiness is None:
        raise errors.refusal(
            errors.Code.settings,
            'an entry needs the addresses Front and Ready',
        )
    stopping = lifecycle.stop_event()
    async with contextlib.AsyncExitStack() as stack:
        kv_store = kv.KvStore(config.store, membership.STORE_TIMEOUT_S)
        stack.push_async_callback(kv_store.close)
        job_coordinator = coordinator.Coordinator(
            config.zone,
            config.far_factor,
            looks_ahead=config.has_short_room,
            has_short_room=config.has_short_room,
        )
        announcement = membership.Announcement(
            kv_store,
            config.node,
            config.peers,
            ids.new_incarnation(),
            config.zone,
        )
        services = stored_job_services.StoredJobServices(
            config, kv_store, job_coordinator, announcement
        )
        stack.callback(services.ownership.close)
        route_table = routes.RouteTable()
        handler = request_handler.RequestHandler(
            settings, route_table, job_coordinator, services.stored_jobs
        )
        guard = lifecycle.guard_process(config, handler.metrics, is_entry=True)
        agent_links = links.AgentLinks(
            config.node, announcement.member.incarnation, job_coordinator, guard
        )
        agent_links.grant_owner_lease = services.grant_owner_lease
        stack.callback(agent_links.close)
        await lifecycle.serve_connections(
            stack, agent_links.serve, config.peers, settings.listeners
        )
        background_loops: list[tuple[str, lifecycle.BackgroundLoop]] = [
            ('configuration', functools.partial(route_table.watch, kv_store)),
            ('announcement', announcement.run),
            (
                'members',
                functools.partial(
                    _watch_members,
                    agent_links,
                    kv_store,
                    announcement,
                    services.writer,
                ),
            ),
            (
                'settings',
                functools.partial(settings.watch, lifecycle.reload_event()),
            ),
            ('keep-alive', agent_links.keep_alive.run),
            ('run audit', agent_links.run_audit.run),
            ('client limits', guard.run),
            *entry_services.background_loops(
                kv_store, handler, agent_links, announcement
            ),
            *services.background_loops(),
        ]
        lifecycle.supervise_all(stack, background_loops)
        await lifecycle.serve_http(
            stack,
            handler.handle_readiness,
            config.readiness,
            settings.listeners,
            guard.at('readiness'),
        )
        await lifecycle.serve_metrics(
            stack, handler.metrics, config.peers[0], settings.listeners, guard
        )
        await lifecycle.serve_http(
            stack,
            handler.handle_request,
            config.callers,
            settings.listeners,
            guard.at('callers'),
        )
        await stopping.wait()
        logger.info('stopping')
        await _drain(handler, services.release, settings.config.grace)
