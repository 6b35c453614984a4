"""Registration in the platform and the spread of the membership view."""

import asyncio
import logging
import typing

import msgspec

from poplardrum import errors
from poplardrum.peers import dispatch, links, messages
from poplardrum.platform import store

if typing.TYPE_CHECKING:
    from poplardrum.daemons import node

logger = logging.getLogger(__name__)

_WATCH_SECONDS: typing.Final = 55.0
_RETRY_SECONDS: typing.Final = 1.0


async def register(process: 'node.Node', platform: store.Store) -> None:
    """Write this process's entry, trying until the platform takes it."""
    key = store.MEMBERS_PREFIX + process.member.id
    while True:
        try:
            await platform.write(key, msgspec.json.encode(process.member))
        except errors.PoplardrumError as error:
            logger.warning('registration: %s', error.message)
            await asyncio.sleep(_RETRY_SECONDS)
            continue
        return


async def unregister(process: 'node.Node', platform: store.Store) -> None:
    """Remove this process's entry at a planned stop, if possible."""
    try:
        await platform.delete(store.MEMBERS_PREFIX + process.member.id)
    except errors.PoplardrumError as error:
        logger.warning('removal of the registration: %s', error.message)


async def watch(process: 'node.Node', platform: store.Store) -> None:
    """Follow the registrations in the platform until cancelled."""
    index = 0
    while True:
        try:
            snapshot = await platform.read(
                store.MEMBERS_PREFIX,
                prefix=True,
                after=index,
                wait=_WATCH_SECONDS,
            )
        except errors.PoplardrumError as error:
            logger.warning('membership watch: %s', error.message)
            index = 0
            await asyncio.sleep(_RETRY_SECONDS)
            continue
        index = snapshot.index
        for stored in snapshot.values:
            _take(process, stored)


def _take(process: 'node.Node', stored: store.StoredValue) -> None:
    try:
        member = msgspec.json.decode(stored.value, type=messages.Member)
    except msgspec.DecodeError as error:
        logger.error('registration %s: %s', stored.key, error)
        return
    process.member_seen(member)


def spread(
    process: 'node.Node',
    members: list[messages.Member],
) -> None:
    """Push changed members to all peers."""
    if not members:
        return
    for link in process.all_links():
        link.send(messages.View(members))


@dispatch.receive.register(messages.Hello)
def _hello(
    item: messages.Hello,
    process: 'node.Node',
    link: links.Link,
) -> None:
    for member in item.view:
        process.member_seen(member)


@dispatch.receive.register(messages.View)
def _view(
    item: messages.View,
    process: 'node.Node',
    link: links.Link,
) -> None:
    for member in item.members:
        process.member_seen(member)


@dispatch.receive.register(messages.Leaving)
def _leaving(
    item: messages.Leaving,
    process: 'node.Node',
    link: links.Link,
) -> None:
    link.member = item.member
    process.member_seen(item.member)
