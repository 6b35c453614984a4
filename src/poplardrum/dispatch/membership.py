"""Entries announce themselves in the store under a lease."""

import asyncio
import contextlib
import logging
import math
import random
import typing

import msgspec

from poplardrum import errors, ids, ini, log_events
from poplardrum.dispatch import clocks, timing
from poplardrum.platform import store

logger = logging.getLogger(__name__)

PREFIX: typing.Final = 'poplardrum/entries/'
TIMEOUT: typing.Final = 0.7
_TTL: typing.Final = 6.0
_RENEW: typing.Final = 1.5
_RETRY: typing.Final = 0.5
_LEAST_PAUSE: typing.Final = 0.1
_LONGEST_RETRY: typing.Final = 2.0


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An announced entry: its address and the start of its process."""

    host: str
    port: int
    incarnation: ids.Incarnation = ids.Incarnation('')

    def address(self) -> ini.Address:
        """Return where agents connect to it."""
        return self.host, self.port


async def read_entries(stored: store.Store) -> list[ini.Address]:
    """Return the addresses of the announced entries."""
    snapshot = await stored.read(PREFIX, prefix=True)
    return [member.address() for member in decode(snapshot.values).values()]


def decode(values: list[store.StoredValue]) -> dict[str, Member]:
    """Return members by node; what another writer left there names none."""
    found = {}
    for entry in values:
        try:
            member = msgspec.json.decode(entry.value, type=Member)
        except ValueError:
            logger.warning('unreadable entry %s', entry.key)
            continue
        found[entry.key.removeprefix(PREFIX)] = member
    return found


class Announcement:
    """Keep an entry announced in the store."""

    def __init__(
        self,
        stored: store.Store,
        node: str,
        address: ini.Address,
        incarnation: ids.Incarnation,
    ) -> None:
        """Announce `address` under the name of the node."""
        self.stored = stored
        self.key = PREFIX + node
        self.member = Member(*address, incarnation)
        self.present_at = -math.inf
        self.lease: store.LeaseId | None = None
        self.missing = asyncio.Event()

    def seen(self, present: bool) -> None:
        """Take note of whether the store still has the announcement.

        A lease may be renewed well although its keys were removed.
        """
        if not present and self.lease is not None:
            self.missing.set()

    def in_force(self) -> bool:
        """Return whether nobody can take this entry for gone yet.

        Time in which the host was suspended counts.
        """
        return clocks.now() - self.present_at < timing.OWNED

    async def run(self) -> None:
        """Renew until cancelled."""
        pause = _RETRY
        while True:
            try:
                await self._renew()
                pause = _RENEW
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'announcement not renewed',
                    level=logging.WARNING,
                    why=error.message,
                )
                pause = _RETRY if pause == _RENEW else _LONGEST_RETRY
            await self._rest(pause * random.uniform(0.7, 1))

    async def _rest(self, pause: float) -> None:
        # Keys that are taken away again at once must not cost a call each
        # turn of the event loop.
        await asyncio.sleep(_LEAST_PAUSE)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self.missing.wait()

    async def _renew(self) -> None:
        kept = self.lease is not None and not self.missing.is_set()
        if kept and await self.stored.renew_lease(
            typing.cast(store.LeaseId, self.lease),
        ):
            await self._look()
            return
        self.missing.clear()
        self.lease = None
        lease = await self.stored.grant_lease(_TTL)
        await self.stored.write(
            self.key,
            msgspec.json.encode(self.member),
            lease=lease,
        )
        self.lease = lease
        await self._look()

    async def _look(self) -> None:
        """Read the announcement: its keys can go while the lease is kept."""
        asked_at = clocks.now()
        found = await self.stored.read(self.key)
        present = {
            member.incarnation for member in decode(found.values).values()
        }
        if self.member.incarnation in present:
            self.present_at = asked_at
        else:
            self.missing.set()
