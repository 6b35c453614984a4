"""Spread of the configuration: entries watch the platform and tell peers."""

import asyncio
import logging
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.operators import document
from poplardrum.peers import dispatch, links, messages
from poplardrum.platform import store

if typing.TYPE_CHECKING:
    from poplardrum.daemons import node

logger = logging.getLogger(__name__)

_WATCH_SECONDS: typing.Final = 55.0
_RETRY_SECONDS: typing.Final = 0.5


def adopt(process: 'node.Node', received: document.Document) -> bool:
    """Put a document in force if it is newer; tell the peers then."""
    try:
        adopted = process.configuration.adopt(received)
    except errors.PoplardrumError as error:
        logger.error('configuration %d: %s', received.number, error.message)
        return False
    if adopted:
        logger.info('configuration %d is in force', received.number)
        for link in process.all_links():
            offer(process, link)
    return adopted


def offer(process: 'node.Node', link: links.Link) -> None:
    """Send the document to a peer that runs by a lower number."""
    number = process.configuration.number
    if link.config >= number or link.offered >= number:
        return
    if messages.Role.entry not in {process.member.role, link.member.role}:
        return
    link.offered = number
    data = document.encode(process.configuration.document)
    link.send(messages.ConfigUpdate(number, data))


@dispatch.receive.register(messages.ConfigUpdate)
def _config_update(
    item: messages.ConfigUpdate,
    process: 'node.Node',
    link: links.Link,
) -> None:
    if item.number > process.configuration.number:
        adopt(process, document.decode(item.document))


async def watch(process: 'node.Node', platform: store.Store) -> None:
    """Follow the document in the platform until cancelled."""
    index = 0
    while True:
        try:
            snapshot = await platform.read(
                store.CONFIG_KEY,
                after=index,
                wait=_WATCH_SECONDS,
            )
            await _take(process, platform, snapshot)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration watch: %s', error)
            index = 0
            await asyncio.sleep(_RETRY_SECONDS)
            continue
        index = snapshot.index


async def _take(
    process: 'node.Node',
    platform: store.Store,
    snapshot: store.Snapshot,
) -> None:
    stored = document.Document()
    index = 0
    if snapshot.values:
        stored = document.decode(snapshot.values[0].value)
        index = snapshot.values[0].index
    if adopt(process, stored):
        return
    held = process.configuration.document
    if stored.number < held.number:
        # The platform came back with an older document, as after a restore.
        logger.warning('platform holds configuration %d', stored.number)
        await platform.write(
            store.CONFIG_KEY,
            document.encode(held),
            expected=index,
        )


async def edit(
    process: 'node.Node',
    platform: store.Store,
    request: document.Edit,
) -> document.Document:
    """Apply an edit by compare-and-swap and return the new document.

    Raises `rules` for bad content, `conflict` when a file has changed since
    the operator read it, `platform` when the write is not confirmed.
    """
    while True:
        snapshot = await platform.read(store.CONFIG_KEY)
        stored = document.Document()
        index = 0
        if snapshot.values:
            stored = document.decode(snapshot.values[0].value)
            index = snapshot.values[0].index
        if request.edit in stored.edits:
            adopt(process, stored)
            return stored
        changed = document.apply(
            max(stored, process.configuration.document, key=_number),
            request,
        )
        if await _write(platform, changed, index):
            adopt(process, changed)
            return changed


def _number(item: document.Document) -> ids.ConfigNumber:
    return item.number


async def _write(
    platform: store.Store,
    changed: document.Document,
    index: int,
) -> bool:
    try:
        return await platform.write(
            store.CONFIG_KEY,
            document.encode(changed),
            expected=index,
        )
    except errors.PoplardrumError as error:
        if error.verdict is errors.Verdict.may_have_run:
            # The next read settles by the edit's id whether it took effect.
            logger.warning('configuration write: %s', error)
            return False
        raise
