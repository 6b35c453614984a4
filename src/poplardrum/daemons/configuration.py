"""Spread of the configuration: entries watch the platform and tell peers."""

import asyncio
import logging
import time
import typing
import zlib

import msgspec

from poplardrum import errors
from poplardrum.operators import config_state, document, edits
from poplardrum.peers import handlers, links, messages
from poplardrum.platform import store

if typing.TYPE_CHECKING:
    from poplardrum.daemons import node

logger = logging.getLogger(__name__)

_WATCH_TIMEOUT_S: typing.Final = 55.0
_POLL_INTERVAL_S: typing.Final = 0.2
# Entries learn of a change from the platform; an agent tells them only if
# they have not heard of it by then. The spread lets the first of 700 agents
# spare the others the document.
_MAX_AGENT_OFFER_DELAY_S: typing.Final = 2.0
_OFFER_DELAY_PER_RANK_S: typing.Final = 0.1
_RETRY_INTERVAL_S: typing.Final = 0.5


class StoredDocument(msgspec.Struct, frozen=True):
    """The document in the platform and the index of its write."""

    document: document.Document
    index: int


def record_stored(process: 'node.Node', stored: document.Document) -> None:
    """Take note of a document that the platform holds."""
    outcome = _apply_logged(process.configuration.record_stored, stored)
    if outcome is config_state.ReceiveResult.adopted:
        _announce_number(process)


def _apply_logged(
    step: typing.Callable[[document.Document], config_state.ReceiveResult],
    received: document.Document,
) -> config_state.ReceiveResult:
    try:
        return step(received)
    except errors.PoplardrumError as error:
        logger.error('configuration %d: %s', received.number, error.message)
        return config_state.ReceiveResult.known


def _announce_number(process: 'node.Node') -> None:
    logger.info('configuration %d is in force', process.configuration.number)
    for link in process.all_links():
        if not offer(process, link):
            # Each frame carries the number now in force here.
            link.send(messages.Heartbeat())


def offer(process: 'node.Node', link: links.Link) -> bool:
    """Send the document soon to a peer that runs by a lower number.

    Without a pause every entry would send it to every agent, and every
    agent to every entry that learns of it a moment later. The peer's next
    frame tells that another process was faster.
    """
    number = process.configuration.number
    if link.config_number >= number or link.offered_config_number >= number:
        return False
    if messages.Role.entry not in {process.member.role, link.member.role}:
        return False
    pause = _offer_delay_s(process, link)
    link.offered_config_number = number
    if pause:
        loop = asyncio.get_running_loop()
        loop.call_later(pause, _send_if_behind, process, link)
        return False
    _send(process, link)
    return True


def _offer_delay_s(process: 'node.Node', link: links.Link) -> float:
    if process.member.role is messages.Role.agent:
        return process.random.uniform(
            _POLL_INTERVAL_S, _MAX_AGENT_OFFER_DELAY_S
        )
    if link.member.role is messages.Role.entry:
        return process.random.uniform(_POLL_INTERVAL_S, 1)
    agent = link.member.id
    own = _hash_weight(agent, process.member.id)
    ahead = sum(
        _hash_weight(agent, member.id) < own
        for member in process.known_members()
        if member.role is messages.Role.entry
        and member.state is not messages.MemberState.gone
    )
    return min(ahead * _OFFER_DELAY_PER_RANK_S, 1)


def _hash_weight(agent: str, entry: str) -> int:
    return zlib.crc32(f'{agent} {entry}'.encode())


def _send_if_behind(process: 'node.Node', link: links.Link) -> None:
    if link.config_number < process.configuration.number:
        _send(process, link)


def _send(process: 'node.Node', link: links.Link) -> None:
    held = process.configuration.document
    link.offered_config_number = held.number
    link.send(messages.ConfigUpdate(held.number, document.encode(held)))


@handlers.receive.register(messages.ConfigUpdate)
def _config_update(
    item: messages.ConfigUpdate,
    process: 'node.Node',
    link: links.Link,
) -> None:
    held = process.configuration
    if held.includes_edit(item.number):
        return
    received = document.decode(item.document)
    outcome = _apply_logged(held.receive, received)
    if outcome is config_state.ReceiveResult.adopted:
        _announce_number(process)
    if outcome is not config_state.ReceiveResult.fork:
        return
    logger.warning(
        'configuration %d of %s lacks edits of %d',
        item.number,
        link.member.id,
        held.number,
    )
    if process.member.role is messages.Role.entry:
        held.add_fork(received)
    else:
        # Only an entry can join two histories; it needs both.
        _send(process, link)


async def watch(process: 'node.Node', platform: store.Store) -> None:
    """Follow the document in the platform until cancelled.

    Edits that the platform lacks, as after a restore, are written back.
    """
    held = process.configuration
    held.settle_deadline = time.monotonic() + process.settings.peers.silence
    await asyncio.gather(
        _watch_store(process, platform), _write_back_missing(process, platform)
    )


async def _watch_store(process: 'node.Node', platform: store.Store) -> None:
    index = 0
    while True:
        try:
            index = await _read_change(process, platform, index)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration watch: %s', error)
            index = 0
            await _sleep_with_jitter(process, _RETRY_INTERVAL_S)


async def _read_change(
    process: 'node.Node',
    platform: store.Store,
    index: int,
) -> int:
    snapshot = await platform.read(
        store.CONFIG_KEY,
        after_index=index,
        wait_s=_WATCH_TIMEOUT_S,
    )
    record_stored(process, _stored(snapshot).document)
    # A restored service may start again from a lower index.
    return snapshot.index if snapshot.index >= index else 0


async def _write_back_missing(
    process: 'node.Node', platform: store.Store
) -> None:
    held = process.configuration
    while True:
        await _sleep_with_jitter(process, _POLL_INTERVAL_S)
        if not held.is_store_behind():
            continue
        try:
            await _write_back(process, platform)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration write back: %s', error)
            await _sleep_with_jitter(process, _RETRY_INTERVAL_S)


async def _write_back(process: 'node.Node', platform: store.Store) -> None:
    stored = await read(platform)
    record_stored(process, stored.document)
    target = process.configuration.target_document(stored.document)
    if target.number == stored.document.number:
        return
    logger.warning(
        'platform holds configuration %d, writing %d',
        stored.document.number,
        target.number,
    )
    lost = target.conflicts.keys() - stored.document.conflicts.keys()
    for name in sorted(lost):
        logger.error('configuration: two accepted versions of %s', name)
    if await platform.write(
        store.CONFIG_KEY,
        document.encode(target),
        expected_index=stored.index,
    ):
        record_stored(process, target)


async def read(platform: store.Store) -> StoredDocument:
    """Read the document; raise `platform` or `msgspec.DecodeError`."""
    return _stored(await platform.read(store.CONFIG_KEY))


def _stored(snapshot: store.Snapshot) -> StoredDocument:
    if not snapshot.values:
        return StoredDocument(document.Document(), 0)
    found = snapshot.values[0]
    return StoredDocument(document.decode(found.value), found.index)


async def _sleep_with_jitter(process: 'node.Node', seconds: float) -> None:
    await asyncio.sleep(seconds * process.random.uniform(0.5, 1))


async def edit(
    process: 'node.Node',
    platform: store.Store,
    request: edits.Edit,
) -> document.Document:
    """Apply an edit by compare-and-swap and return the new document.

    Raises the errors of `edits.plan` and `platform` when the write is not
    confirmed in time. The verdict is `may_have_run` as long as a write of
    this edit may still take effect; the same edit sent again settles it.
    """
    edits.check(request, process.configuration.bounds)
    await wait_for_peers(process)
    attempt = EditAttempt(process, platform, request)
    deadline = time.monotonic() + process.settings.platform.edit
    while True:
        done = await attempt.try_once()
        if done is not None:
            return done
        if time.monotonic() > deadline:
            raise attempt.unconfirmed_error(
                'the platform has not confirmed the edit'
            )
        await _sleep_with_jitter(process, _POLL_INTERVAL_S)


async def wait_for_peers(process: 'node.Node') -> None:
    """Wait until the peers cannot hold an edit that is unknown here.

    An entry that has just started may read a restored document from the
    platform before its peers have told it of later edits. Peers that cannot
    be reached within the silence limit are not waited for.
    """
    limit = time.monotonic() + process.settings.peers.silence
    while time.monotonic() < limit and not _is_in_sync(process):
        await asyncio.sleep(_POLL_INTERVAL_S / 4)


def _is_in_sync(process: 'node.Node') -> bool:
    held = process.configuration
    if not all(
        held.includes_edit(link.config_number) for link in process.all_links()
    ):
        return False
    if time.monotonic() > held.settle_deadline:
        return True
    agents = [
        member.id
        for member in process.known_members()
        if member.role is messages.Role.agent
        and member.state is not messages.MemberState.gone
    ]
    return bool(agents) and all(map(process.link_to, agents))


class EditAttempt:
    """One edit on its way into the platform."""

    def __init__(
        self,
        process: 'node.Node',
        platform: store.Store,
        request: edits.Edit,
    ) -> None:
        """Start without a write."""
        self.process = process
        self.platform = platform
        self.request = request
        self.unconfirmed_index: int | None = None

    async def try_once(self) -> document.Document | None:
        """Read, decide and write once; return the document if confirmed."""
        try:
            stored = await read(self.platform)
        except errors.PoplardrumError as error:
            held_back = error.retry_after is not None
            if self.unconfirmed_index is None and not held_back:
                raise
            logger.warning('configuration edit: %s', error.message)
            return None
        except msgspec.DecodeError as error:
            raise self.unconfirmed_error(
                f'the stored document is unreadable: {error}'
            )
        if stored.index != self.unconfirmed_index:
            # A write that expected another index can no longer take effect.
            self.unconfirmed_index = None
        return await self._write(stored)

    async def _write(self, stored: StoredDocument) -> document.Document | None:
        held = self.process.configuration
        try:
            plan = edits.plan_edit(
                stored.document,
                held,
                self.request,
                held.bounds,
            )
        except errors.PoplardrumError as error:
            if self.unconfirmed_index is not None:
                error.verdict = errors.Verdict.may_have_run
            raise
        if plan.needs_write and not await self._compare_and_swap(
            stored.index, plan.document
        ):
            return None
        record_stored(self.process, plan.document)
        return plan.document

    async def _compare_and_swap(
        self, index: int, changed: document.Document
    ) -> bool:
        try:
            return await self.platform.write(
                store.CONFIG_KEY,
                document.encode(changed),
                expected_index=index,
            )
        except errors.PoplardrumError as error:
            logger.warning('configuration edit: %s', error.message)
            if error.verdict is errors.Verdict.may_have_run:
                # The next read tells by the edit's id if it took effect.
                self.unconfirmed_index = index
            return False

    def unconfirmed_error(self, message: str) -> errors.PoplardrumError:
        """Return the error for an edit that is not confirmed."""
        if self.unconfirmed_index is None:
            return errors.refusal(errors.Code.platform, message, 1)
        return errors.uncertain_outcome(
            errors.Code.platform,
            f'{message}; send it again with the same edit id to settle it',
        )
