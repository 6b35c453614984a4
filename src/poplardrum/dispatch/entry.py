"""The entry: takes jobs of callers and coordinates them."""

import asyncio
import contextlib
import logging
import typing

from poplardrum import errors, ids
from poplardrum.dispatch import (
    clocks,
    coordinator,
    intake,
    lifecycle,
    links,
    membership,
    metrics,
    record_writer,
    reloading,
    routes,
    stored_parts,
)
from poplardrum.platform import kv, store

logger = logging.getLogger(__name__)

_MEMBERS_WAIT: typing.Final = 10.0
_MEMBERS_RETRY: typing.Final = 0.5
_BALANCER_MISSES: typing.Final = 2.3
_EXIT_MARGIN: typing.Final = 0.3
_LAST_ANSWERS: typing.Final = _EXIT_MARGIN + lifecycle.LAST_ANSWERS
_POLL: typing.Final = 0.05


async def _follow_entries(
    linked: links.Links,
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
                prefix=True,
                after=index,
                wait=_MEMBERS_WAIT,
            )
        except errors.PoplardrumError:
            # `Routes` logs the outage of the store.
            index = 0
            await asyncio.sleep(_MEMBERS_RETRY)
            continue
        index = found.index
        members = membership.decode(found.values)
        kept.share(len(members))
        linked.tell([member.address() for member in members.values()])
        keys = {entry.key for entry in found.values}
        announcement.seen(announcement.key in keys)


async def _drain(desk: intake.Intake, grace: float) -> None:
    """Answer open requests; leave when the balancer sends no more."""
    began = clocks.now()
    desk.stop(began + grace - _EXIT_MARGIN)
    while clocks.now() < began + grace - _LAST_ANSWERS:
        left = clocks.now() - began
        if left > _BALANCER_MISSES and not desk.busy():
            return
        await asyncio.sleep(_POLL)


async def run(settings: reloading.Settings) -> None:
    """Run an entry until SIGTERM."""
    config = settings.config
    opened = settings.opened
    if config.callers is None or config.readiness is None:
        raise errors.refusal(
            errors.Code.settings,
            'an entry needs the addresses Front and Ready',
        )
    stopping = lifecycle.stop_event()
    async with contextlib.AsyncExitStack() as stack:
        stored = kv.KvStore(config.store, membership.TIMEOUT)
        stack.push_async_callback(stored.close)
        jobs = coordinator.Coordinator(config.zone, config.far_factor)
        announcement = membership.Announcement(
            stored,
            config.node,
            config.peers,
            ids.new_incarnation(),
        )
        kept = stored_parts.StoredJobParts(config, stored, jobs, announcement)
        stack.callback(kept.ownership.close)
        table = routes.Routes()
        desk = intake.Intake(settings, table, jobs, kept.jobs)
        linked = links.Links(config.node, announcement.member.incarnation, jobs)
        stack.callback(linked.close)
        await lifecycle.accept(stack, linked.serve, config.peers, opened)
        for work in (
            table.follow(stored),
            announcement.run(),
            _follow_entries(linked, stored, announcement, kept.writer),
            *kept.duties(),
            settings.follow(lifecycle.reload_event()),
        ):
            stack.callback(lifecycle.supervise(work).cancel)
        await lifecycle.serve(stack, desk.ready, config.readiness, opened)
        await lifecycle.serve(
            stack,
            desk.metrics.serve,
            (config.peers[0], metrics.PORT),
            opened,
        )
        await lifecycle.serve(stack, desk.handle, config.callers, opened)
        await stopping.wait()
        logger.info('stopping')
        await _drain(desk, settings.config.grace)
