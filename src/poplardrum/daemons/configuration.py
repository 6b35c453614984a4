"""Spread of the configuration: entries watch the platform and tell peers."""

import asyncio
import logging
import time
import typing
import zlib

import msgspec

from poplardrum import errors
from poplardrum.operators import config_state, document, edits
from poplardrum.peers import dispatch, links, messages
from poplardrum.platform import store

if typing.TYPE_CHECKING:
    from poplardrum.daemons import node

logger = logging.getLogger(__name__)

_WATCH_SECONDS: typing.Final = 55.0
_TICK_SECONDS: typing.Final = 0.2
# Entries learn of a change from the platform; an agent tells them only if
# they have not heard of it by then. The spread lets the first of 700 agents
# spare the others the document.
_AGENT_PAUSE: typing.Final = 2.0
_RANK_PAUSE: typing.Final = 0.1
_RETRY_SECONDS: typing.Final = 0.5


class Stored(msgspec.Struct, frozen=True):
    """The document in the platform and the index of its write."""

    document: document.Document
    index: int


def confirmed(process: 'node.Node', stored: document.Document) -> None:
    """Take note of a document that the platform holds."""
    outcome = _guarded(process.configuration.record_stored, stored)
    if outcome is config_state.ReceiveResult.adopted:
        _announce(process)


def _guarded(
    step: typing.Callable[[document.Document], config_state.ReceiveResult],
    received: document.Document,
) -> config_state.ReceiveResult:
    try:
        return step(received)
    except errors.PoplardrumError as error:
        logger.error('configuration %d: %s', received.number, error.message)
        return config_state.ReceiveResult.known


def _announce(process: 'node.Node') -> None:
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
    if link.config >= number or link.offered >= number:
        return False
    if messages.Role.entry not in {process.member.role, link.member.role}:
        return False
    pause = _offer_pause(process, link)
    link.offered = number
    if pause:
        loop = asyncio.get_running_loop()
        loop.call_later(pause, _send_if_behind, process, link)
        return False
    _send(process, link)
    return True


def _offer_pause(process: 'node.Node', link: links.Link) -> float:
    if process.member.role is messages.Role.agent:
        return process.random.uniform(_TICK_SECONDS, _AGENT_PAUSE)
    if link.member.role is messages.Role.entry:
        return process.random.uniform(_TICK_SECONDS, 1)
    agent = link.member.id
    own = _weight(agent, process.member.id)
    ahead = sum(
        _weight(agent, member.id) < own
        for member in process.known_members()
        if member.role is messages.Role.entry
        and member.state is not messages.MemberState.gone
    )
    return min(ahead * _RANK_PAUSE, 1)


def _weight(agent: str, entry: str) -> int:
    return zlib.crc32(f'{agent} {entry}'.encode())


def _send_if_behind(process: 'node.Node', link: links.Link) -> None:
    if link.config < process.configuration.number:
        _send(process, link)


def _send(process: 'node.Node', link: links.Link) -> None:
    held = process.configuration.document
    link.offered = held.number
    link.send(messages.ConfigUpdate(held.number, document.encode(held)))


@dispatch.receive.register(messages.ConfigUpdate)
def _config_update(
    item: messages.ConfigUpdate,
    process: 'node.Node',
    link: links.Link,
) -> None:
    held = process.configuration
    if held.includes_edit(item.number):
        return
    received = document.decode(item.document)
    outcome = _guarded(held.receive, received)
    if outcome is config_state.ReceiveResult.adopted:
        _announce(process)
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
        _follow(process, platform), _restore(process, platform)
    )


async def _follow(process: 'node.Node', platform: store.Store) -> None:
    index = 0
    while True:
        try:
            index = await _next(process, platform, index)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration watch: %s', error)
            index = 0
            await _pause(process, _RETRY_SECONDS)


async def _next(
    process: 'node.Node',
    platform: store.Store,
    index: int,
) -> int:
    snapshot = await platform.read(
        store.CONFIG_KEY,
        after_index=index,
        wait_s=_WATCH_SECONDS,
    )
    confirmed(process, _stored(snapshot).document)
    # A restored service may start again from a lower index.
    return snapshot.index if snapshot.index >= index else 0


async def _restore(process: 'node.Node', platform: store.Store) -> None:
    held = process.configuration
    while True:
        await _pause(process, _TICK_SECONDS)
        if not held.is_store_behind():
            continue
        try:
            await _write_back(process, platform)
        except (errors.PoplardrumError, msgspec.DecodeError) as error:
            logger.warning('configuration write back: %s', error)
            await _pause(process, _RETRY_SECONDS)


async def _write_back(process: 'node.Node', platform: store.Store) -> None:
    stored = await read(platform)
    confirmed(process, stored.document)
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
        confirmed(process, target)


async def read(platform: store.Store) -> Stored:
    """Read the document; raise `platform` or `msgspec.DecodeError`."""
    return _stored(await platform.read(store.CONFIG_KEY))


def _stored(snapshot: store.Snapshot) -> Stored:
    if not snapshot.values:
        return Stored(document.Document(), 0)
    found = snapshot.values[0]
    return Stored(document.decode(found.value), found.index)


async def _pause(process: 'node.Node', seconds: float) -> None:
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
    await settle(process)
    attempt = Attempt(process, platform, request)
    deadline = time.monotonic() + process.settings.platform.edit
    while True:
        done = await attempt.step()
        if done is not None:
            return done
        if time.monotonic() > deadline:
            raise attempt.failure('the platform has not confirmed the edit')
        await _pause(process, _TICK_SECONDS)


async def settle(process: 'node.Node') -> None:
    """Wait until the peers cannot hold an edit that is unknown here.

    An entry that has just started may read a restored document from the
    platform before its peers have told it of later edits. Peers that cannot
    be reached within the silence limit are not waited for.
    """
    limit = time.monotonic() + process.settings.peers.silence
    while time.monotonic() < limit and not _is_settled(process):
        await asyncio.sleep(_TICK_SECONDS / 4)


def _is_settled(process: 'node.Node') -> bool:
    held = process.configuration
    if not all(held.includes_edit(link.config) for link in process.all_links()):
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


class Attempt:
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
        self.unsettled: int | None = None

    async def step(self) -> document.Document | None:
        """Read, decide and write once; return the document if confirmed."""
        try:
            stored = await read(self.platform)
        except errors.PoplardrumError as error:
            held_back = error.retry_after is not None
            if self.unsettled is None and not held_back:
                raise
            logger.warning('configuration edit: %s', error.message)
            return None
        except msgspec.DecodeError as error:
            raise self.failure(f'the stored document is unreadable: {error}')
        if stored.index != self.unsettled:
            # A write that expected another index can no longer take effect.
            self.unsettled = None
        return await self._write(stored)

    async def _write(self, stored: Stored) -> document.Document | None:
        held = self.process.configuration
        try:
            plan = edits.plan_edit(
                stored.document,
                held,
                self.request,
                held.bounds,
            )
        except errors.PoplardrumError as error:
            if self.unsettled is not None:
                error.verdict = errors.Verdict.may_have_run
            raise
        if plan.needs_write and not await self._swap(
            stored.index, plan.document
        ):
            return None
        confirmed(self.process, plan.document)
        return plan.document

    async def _swap(self, index: int, changed: document.Document) -> bool:
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
                self.unsettled = index
            return False

    def failure(self, message: str) -> errors.PoplardrumError:
        """Return the error for an edit that is not confirmed."""
        if self.unsettled is None:
            return errors.refusal(errors.Code.platform, message, 1)
        return errors.uncertain_outcome(
            errors.Code.platform,
            f'{message}; send it again with the same edit id to settle it',
        )
