"""The entry: takes jobs of callers and coordinates them."""

import asyncio
import contextlib
import logging
import typing

from poplardrum import errors, ids
from poplardrum.dispatch import (
    clocks,
    coordinator,
    lifecycle,
    links,
    membership,
    metrics,
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
_BALANCER_DETECTION_S: typing.Final = 2.3
_EXIT_MARGIN_S: typing.Final = 0.3
_SHUTDOWN_RESERVE_S: typing.Final = (
    _EXIT_MARGIN_S + lifecycle.SHUTDOWN_TIMEOUT_S
)
_DRAIN_POLL_INTERVAL_S: typing.Final = 0.05


async def _watch_members(
    linked: links.AgentLinks,
    stored: store.Store,
    announcement: membership.Announcement,
    kept: record_writer.RecordWriter,
) -> None:
    """Tell agents about all entries; keep this one announced."""
    index = 0
    while True:
        try:
            found = await stored.read(
                membership.PREFIX,
                is_prefix=True,
                after_index=index,
                wait_s=_MEMBERS_WATCH_TIMEOUT_S,
            )
        except errors.PoplardrumError:
            # `Routes` logs the outage of the store.
            index = 0
            await asyncio.sleep(_MEMBERS_RETRY_INTERVAL_S)
            continue
        index = found.index
        members = membership.decode(found.values)
        kept.set_entry_count(len(members))
        linked.send_entries([member.address() for member in members.values()])
        keys = {entry.key for entry in found.values}
        announcement.observe(announcement.key in keys)


async def _drain(desk: request_handler.RequestHandler, grace: float) -> None:
    """Answer open requests; leave when the balancer sends no more."""
    began = clocks.now()
    desk.drain(began + grace - _EXIT_MARGIN_S)
    while clocks.now() < began + grace - _SHUTDOWN_RESERVE_S:
        left = clocks.now() - began
        if left > _BALANCER_DETECTION_S and not desk.is_busy():
            return
        await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)


async def run(settings: reloading.Settings) -> None:
    """Run an entry until SIGTERM."""
    config = settings.config
    opened = settings.listeners
    if config.callers is None or config.readiness is None:
        raise errors.refusal(
            errors.Code.settings,
            'an entry needs the addresses Front and Ready',
        )
    stopping = lifecycle.stop_event()
    async with contextlib.AsyncExitStack() as stack:
        stored = kv.KvStore(config.store, membership.STORE_TIMEOUT_S)
        stack.push_async_callback(stored.close)
        jobs = coordinator.Coordinator(config.zone, config.far_factor)
        announcement = membership.Announcement(
            stored,
            config.node,
            config.peers,
            ids.new_incarnation(),
        )
        kept = stored_job_services.StoredJobServices(
            config, stored, jobs, announcement
        )
        stack.callback(kept.ownership.close)
        table = routes.RouteTable()
        desk = request_handler.RequestHandler(
            settings, table, jobs, kept.stored_jobs
        )
        linked = links.AgentLinks(
            config.node, announcement.member.incarnation, jobs
        )
        stack.callback(linked.close)
        await lifecycle.serve_connections(
            stack, linked.serve, config.peers, opened
        )
        for work in (
            table.watch(stored),
            announcement.run(),
            _watch_members(linked, stored, announcement, kept.writer),
            *kept.background_loops(),
            settings.watch(lifecycle.reload_event()),
        ):
            stack.callback(lifecycle.supervise(work).cancel)
        await lifecycle.serve_http(
            stack, desk.handle_readiness, config.readiness, opened
        )
        await lifecycle.serve_http(
            stack,
            desk.metrics.serve,
            (config.peers[0], metrics.PORT),
            opened,
        )
        await lifecycle.serve_http(
            stack, desk.handle_request, config.callers, opened
        )
        await stopping.wait()
        logger.info('stopping')
        await _drain(desk, settings.config.grace)
