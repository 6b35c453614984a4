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
STORE_TIMEOUT_S: typing.Final = 0.7
_LEASE_TTL_S: typing.Final = 6.0
_RENEW_INTERVAL_S: typing.Final = 1.5
_RETRY_INTERVAL_S: typing.Final = 0.5
_MIN_RENEW_INTERVAL_S: typing.Final = 0.1
_MAX_RETRY_INTERVAL_S: typing.Final = 2.0


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An announced entry: its address and the start of its process."""

    host: str
    port: int
    incarnation: ids.Incarnation = ids.Incarnation('')

    def address(self) -> ini.Address:
        """Return where agents connect to it."""
        return self.host, self.port


async def read_entry_addresses(stored: store.Store) -> list[ini.Address]:
    """Return the addresses of the announced entries."""
    snapshot = await stored.read(PREFIX, is_prefix=True)
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
        self.store = stored
        self.key = PREFIX + node
        self.member = Member(*address, incarnation)
        self.last_seen_at = -math.inf
        self.lease: store.LeaseId | None = None
        self.missing = asyncio.Event()

    def observe(self, present: bool) -> None:
        """Take note of whether the store still has the announcement.

        A lease may be renewed well although its keys were removed.
        """
        if not present and self.lease is not None:
            self.missing.set()

    def is_valid(self) -> bool:
        """Return whether nobody can take this entry for gone yet.

        Time in which the host was suspended counts.
        """
        return clocks.now() - self.last_seen_at < timing.OWNERSHIP_TIMEOUT_S

    async def run(self) -> None:
        """Renew until cancelled."""
        pause = _RETRY_INTERVAL_S
        while True:
            try:
                await self._renew()
                pause = _RENEW_INTERVAL_S
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'announcement not renewed',
                    level=logging.WARNING,
                    why=error.message,
                )
                pause = (
                    _RETRY_INTERVAL_S
                    if pause == _RENEW_INTERVAL_S
                    else _MAX_RETRY_INTERVAL_S
                )
            await self._wait_before_renewal(pause * random.uniform(0.7, 1))

    async def _wait_before_renewal(self, pause: float) -> None:
        # Keys that are taken away again at once must not cost a call each
        # turn of the event loop.
        await asyncio.sleep(_MIN_RENEW_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self.missing.wait()

    async def _renew(self) -> None:
        kept = self.lease is not None and not self.missing.is_set()
        if kept and await self.store.renew_lease(
            typing.cast(store.LeaseId, self.lease),
        ):
            await self._verify()
            return
        self.missing.clear()
        self.lease = None
        lease = await self.store.grant_lease(_LEASE_TTL_S)
        await self.store.write(
            self.key,
            msgspec.json.encode(self.member),
            lease=lease,
        )
        self.lease = lease
        await self._verify()

    async def _verify(self) -> None:
        """Read the announcement: its keys can go while the lease is kept."""
        asked_at = clocks.now()
        found = await self.store.read(self.key)
        present = {
            member.incarnation for member in decode(found.values).values()
        }
        if self.member.incarnation in present:
            self.last_seen_at = asked_at
        else:
            self.missing.set()
