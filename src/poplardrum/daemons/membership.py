"""Registration in the platform's store and distribution of the view."""

import asyncio
import logging
import time
import typing

import msgspec

from poplardrum import decoding, errors, ids
from poplardrum.peers import handlers, links, messages
from poplardrum.platform import store

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry, node

logger = logging.getLogger(__name__)

_WATCH_TIMEOUT_S: typing.Final = 55.0
_RETRY_INTERVAL_S: typing.Final = 1.0
_MAX_SWEEP_INTERVAL_S: typing.Final = 15.0


async def register(process: 'node.Node', platform: store.Store) -> bool:
    """Write the registration of this process, with retries until it succeeds.

    Returns whether no other incarnation was registered, so that none has
    ended without handing over its records. This incarnation may already be
    registered by an entry with a link to it; entries write only where no
    registration exists.
    """
    key = store.MEMBERS_PREFIX + process.member.id
    is_free: bool | None = None
    while True:
        try:
            if is_free is None:
                snapshot = await platform.read(key)
                is_free = all(
                    _stored_incarnation(stored) == process.member.incarnation
                    for stored in snapshot.values
                )
            await platform.write(key, msgspec.json.encode(process.member))
        except errors.PoplardrumError as error:
            logger.warning('registration failed: %s', error.message)
            await asyncio.sleep(_RETRY_INTERVAL_S)
            continue
        return is_free


def _stored_incarnation(stored: store.StoredValue) -> ids.Incarnation | None:
    try:
        member = decoding.decode_json(stored.value, messages.Member)
    except msgspec.DecodeError:
        return None
    return member.incarnation


async def sweep(process: 'entry.Entry', platform: store.Store) -> None:
    """Remove members that `expired_members` returns, until cancelled."""
    interval = min(_MAX_SWEEP_INTERVAL_S, process.settings.limits.window / 4)
    while True:
        await asyncio.sleep(interval)
        for member in process.reachability.expired_members(time.monotonic()):
            if await remove_registration(platform, member):
                logger.info(
                    'removed member %s, unreachable for a whole window',
                    member.id,
                )
                gone_member = msgspec.structs.replace(
                    member,
                    state=messages.MemberState.gone,
                    version=member.version + 1,
                )
                process.update_member(gone_member)


async def remove_registration(
    platform: store.Store, member: messages.Member
) -> bool:
    """Remove the registration of one incarnation; return `False` on errors."""
    key = store.MEMBERS_PREFIX + member.id
    try:
        snapshot = await platform.read(key)
        for stored in snapshot.values:
            registered = decoding.decode_json(stored.value, messages.Member)
            if registered.incarnation == member.incarnation:
                await platform.delete(key)
    except (errors.PoplardrumError, msgspec.DecodeError) as error:
        logger.warning('removal of member %s failed: %s', member.id, error)
        return False
    return True


async def restore_registrations(
    process: 'entry.Entry',
    platform: store.Store,
    stored: set[ids.MemberId],
) -> None:
    """Write the registrations of linked agents that the store has lost."""
    for member in process.linked_agents():
        if member.id in stored:
            continue
        try:
            await platform.write(
                store.MEMBERS_PREFIX + member.id,
                msgspec.json.encode(member),
                expected_index=0,
            )
        except errors.PoplardrumError as error:
            logger.warning(
                'registration of member %s failed: %s',
                member.id,
                error.message,
            )


async def unregister(process: 'node.Node', platform: store.Store) -> None:
    """Remove the registration of this process at a planned stop, once."""
    try:
        await platform.delete(store.MEMBERS_PREFIX + process.member.id)
    except errors.PoplardrumError as error:
        logger.warning('removal of registration failed: %s', error.message)


async def watch(process: 'entry.Entry', platform: store.Store) -> None:
    """Watch the registrations in the platform's store until cancelled."""
    index = 0
    while True:
        try:
            snapshot = await platform.read(
                store.MEMBERS_PREFIX,
                is_prefix=True,
                after_index=index,
                wait_s=_WATCH_TIMEOUT_S,
            )
        except errors.PoplardrumError as error:
            logger.warning('membership watch failed: %s', error.message)
            index = 0
            await asyncio.sleep(_RETRY_INTERVAL_S)
            continue
        index = snapshot.index
        for stored in snapshot.values:
            _merge_registration(process, stored)
        process.joined = True
        await _restore_missing(process, platform, snapshot)


async def _restore_missing(
    process: 'entry.Entry',
    platform: store.Store,
    snapshot: store.Snapshot,
) -> None:
    prefix = len(store.MEMBERS_PREFIX)
    stored = {ids.MemberId(value.key[prefix:]) for value in snapshot.values}
    await restore_registrations(process, platform, stored)


def _merge_registration(
    process: 'node.Node', stored: store.StoredValue
) -> None:
    try:
        member = decoding.decode_json(stored.value, messages.Member)
    except msgspec.DecodeError as error:
        logger.error('registration %s is malformed: %s', stored.key, error)
        return
    process.update_member(member)


def broadcast(
    process: 'node.Node',
    members: list[messages.Member],
) -> None:
    """Send changed members to all peers."""
    if not members:
        return
    for link in process.all_links():
        link.send(messages.View(members))


@handlers.receive.register(messages.Hello)
def _hello(
    item: messages.Hello,
    process: 'node.Node',
    link: links.Link,
) -> None:
    for member in item.known_members:
        process.update_member(member)


@handlers.receive.register(messages.View)
def _view(
    item: messages.View,
    process: 'node.Node',
    link: links.Link,
) -> None:
    for member in item.members:
        process.update_member(member)


@handlers.receive.register(messages.Leaving)
def _leaving(
    item: messages.Leaving,
    process: 'node.Node',
    link: links.Link,
) -> None:
    link.member = item.member
    process.update_member(item.member)
