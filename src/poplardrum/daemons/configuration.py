"""Distribution of the configuration document.

Entries watch the document in the platform's store and send changes to peers.
"""

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
# Entries receive a change from the store; an agent sends it to an entry only
# if that still has an older document after this delay. The delay is random,
# so that with 700 agents one of the first to send spares the others.
_MAX_AGENT_OFFER_DELAY_S: typing.Final = 2.0
_OFFER_DELAY_PER_RANK_S: typing.Final = 0.1
_RETRY_INTERVAL_S: typing.Final = 0.5


class StoredDocument(msgspec.Struct, frozen=True):
    """Document in the platform's store and the index of its write."""

    document: document.Document
    index: int


def record_stored(process: 'node.Node', stored: document.Document) -> None:
    """Record a document that the platform's store holds."""
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
        logger.error(
            'configuration %d was not applied: %s',
            received.number,
            error.message,
        )
        return config_state.ReceiveResult.known


def _announce_number(process: 'node.Node') -> None:
    logger.info('configuration %d is in force', process.configuration.number)
    for link in process.all_links():
        if not offer(process, link):
            # Each frame carries the number of the document in force here.
            link.send(messages.Heartbeat())


def offer(process: 'node.Node', link: links.Link) -> bool:
    """Send the document, after a delay, to a peer that has a lower number.

    Returns whether it was sent at once. Without the delay every entry would
    send it to every agent, and every agent to every entry that receives it
    from the store a moment later. It is not sent if a frame of the peer
    shows by then that another process was faster.
    """
    number = process.configuration.number
    if link.config_number >= number or link.offered_config_number >= number:
        return False
    if messages.Role.entry not in {process.member.role, link.member.role}:
        return False
    delay = _offer_delay_s(process, link)
    link.offered_config_number = number
    if delay:
        loop = asyncio.get_running_loop()
        loop.call_later(delay, _send_if_behind, process, link)
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
    own_weight = _hash_weight(agent, process.member.id)
    ahead = sum(
        _hash_weight(agent, member.id) < own_weight
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
    current = process.configuration.document
    link.offered_config_number = current.number
    link.send(messages.ConfigUpdate(current.number, document.encode(current)))


@handlers.receive.register(messages.ConfigUpdate)
def _config_update(
    item: messages.ConfigUpdate,
    process: 'node.Node',
    link: links.Link,
) -> None:
    state = process.configuration
    if state.includes_edit(item.number):
        return
    received = document.decode(item.document)
    outcome = _apply_logged(state.receive, received)
    if outcome is config_state.ReceiveResult.adopted:
        _announce_number(process)
    if outcome is not config_state.ReceiveResult.fork:
        return
    logger.warning(
        'configuration %d of %s lacks edits of configuration %d',
        item.number,
        link.member.id,
        state.number,
    )
    if process.member.role is messages.Role.entry:
        state.add_fork(received)
    else:
        # Only an entry can merge two histories; it needs both.
        _send(process, link)


async def watch(process: 'node.Node', platform: store.Store) -> None:
    """Watch the document in the platform's store until cancelled.

    Edits that the store lacks, as after a restore, are written back.
    """
    state = process.configuration
    state.settle_deadline = time.monotonic() + process.settings.peers.silence
    await asyncio.gather(
        _watch_store(process, platform), _write_back_missing(process, platform)
    )


async def _watch_store(process: 'node.Node', platform: store.Store) -> None:
    index = 0
    while True:
        try:
            index = await _read_change(process, platform, index)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration watch failed: %s', error)
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
    # A store that was restored may start again from a lower index.
    return snapshot.index if snapshot.index >= index else 0


async def _write_back_missing(
    process: 'node.Node', platform: store.Store
) -> None:
    state = process.configuration
    while True:
        await _sleep_with_jitter(process, _POLL_INTERVAL_S)
        if not state.is_store_behind():
            continue
        try:
            await _write_back(process, platform)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration write back failed: %s', error)
            await _sleep_with_jitter(process, _RETRY_INTERVAL_S)


async def _write_back(process: 'node.Node', platform: store.Store) -> None:
    stored = await read(platform)
    record_stored(process, stored.document)
    target = process.configuration.target_document(stored.document)
    if target.number == stored.document.number:
        return
    logger.warning(
        'platform store holds configuration %d, writing back %d',
        stored.document.number,
        target.number,
    )
    conflicts = target.conflicts.keys() - stored.document.conflicts.keys()
    for name in sorted(conflicts):
        logger.error('configuration has two accepted versions of %s', name)
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
    stored_value = snapshot.values[0]
    return StoredDocument(
        document.decode(stored_value.value), stored_value.index
    )


async def _sleep_with_jitter(process: 'node.Node', seconds: float) -> None:
    await asyncio.sleep(seconds * process.random.uniform(0.5, 1))


async def edit(
    process: 'node.Node',
    platform: store.Store,
    request: edits.Edit,
) -> document.Document:
    """Apply an edit by compare-and-swap and return the new document.

    Raises the errors of `edits.plan`, and `platform` if the write is not
    confirmed in time. The verdict is `may_have_run` as long as a write of
    this edit may still take effect; sending the same edit again resolves it.
    """
    edits.check(request, process.configuration.bounds)
    await wait_for_peers(process)
    attempt = EditAttempt(process, platform, request)
    deadline = time.monotonic() + process.settings.platform.edit
    while True:
        edited = await attempt.try_once()
        if edited is not None:
            return edited
        if time.monotonic() > deadline:
            raise attempt.unconfirmed_error(
                'the platform has not confirmed the edit'
            )
        await _sleep_with_jitter(process, _POLL_INTERVAL_S)


async def wait_for_peers(process: 'node.Node') -> None:
    """Wait until no peer can hold an edit that is unknown here.

    An entry that has just started may read a restored document from the
    store before its peers have sent it later edits. Peers that are
    unreachable for the silence limit are not waited for.
    """
    deadline = time.monotonic() + process.settings.peers.silence
    while time.monotonic() < deadline and not _is_in_sync(process):
        await asyncio.sleep(_POLL_INTERVAL_S / 4)


def _is_in_sync(process: 'node.Node') -> bool:
    state = process.configuration
    if not all(
        state.includes_edit(link.config_number) for link in process.all_links()
    ):
        return False
    if time.monotonic() > state.settle_deadline:
        return True
    agents = [
        member.id
        for member in process.known_members()
        if member.role is messages.Role.agent
        and member.state is not messages.MemberState.gone
    ]
    return bool(agents) and all(map(process.link_to, agents))


class EditAttempt:
    """Attempt to write one edit to the platform's store.

    `unconfirmed_index` is the index that a write without a confirmation
    expected; it may still take effect while the store has that index.
    """

    def __init__(
        self,
        process: 'node.Node',
        platform: store.Store,
        request: edits.Edit,
    ) -> None:
        """Create an attempt without a write."""
        self.process = process
        self.platform = platform
        self.request = request
        self.unconfirmed_index: int | None = None

    async def try_once(self) -> document.Document | None:
        """Read, plan and write once; return the document if confirmed."""
        try:
            stored = await read(self.platform)
        except errors.PoplardrumError as error:
            may_retry = error.retry_after is not None
            if self.unconfirmed_index is None and not may_retry:
                raise
            logger.warning('configuration edit failed: %s', error.message)
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
        state = self.process.configuration
        try:
            plan = edits.plan_edit(
                stored.document,
                state,
                self.request,
                state.bounds,
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
            logger.warning('configuration edit failed: %s', error.message)
            if error.verdict is errors.Verdict.may_have_run:
                # The next read shows by the id of the edit whether the write
                # took effect.
                self.unconfirmed_index = index
            return False

    def unconfirmed_error(self, message: str) -> errors.PoplardrumError:
        """Return the error for an edit that is not confirmed.

        Its verdict tells whether a write of the edit may still take effect.
        """
        if self.unconfirmed_index is None:
            return errors.refusal(errors.Code.platform, message, 1)
        return errors.uncertain_outcome(
            errors.Code.platform,
            f'{message}; send it again with the same edit id to settle it',
        )
