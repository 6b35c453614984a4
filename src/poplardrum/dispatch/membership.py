"""Entries announce themselves in the store under a lease."""

import asyncio
import contextlib
import json
import logging
import random
import typing

import msgspec

from poplardrum import errors, ini, lines
from poplardrum.platform import store

logger = logging.getLogger(__name__)

PREFIX: typing.Final = 'poplardrum/entries/'
TIMEOUT: typing.Final = 0.7
_TTL: typing.Final = 10.0
_RENEW: typing.Final = 3.0
_RETRY: typing.Final = 0.5
_LONGEST_RETRY: typing.Final = 2.0


async def read_entries(stored: store.Store) -> list[ini.Address]:
    """Return the addresses of the announced entries."""
    snapshot = await stored.read(PREFIX, prefix=True)
    return decode(snapshot.values)


def decode(values: list[store.StoredValue]) -> list[ini.Address]:
    """Return the addresses; what another writer left there names none."""
    found = []
    for entry in values:
        try:
            found.append(
                msgspec.json.decode(entry.value, type=tuple[str, int]),
            )
        except ValueError:
            logger.warning('unreadable entry %s', entry.key)
    return found


class Announcement:
    """Keep an entry announced in the store."""

    def __init__(
        self,
        stored: store.Store,
        node: str,
        address: ini.Address,
    ) -> None:
        """Announce `address` under the name of the node."""
        self.stored = stored
        self.key = PREFIX + node
        self.address = address
        self.lease: store.LeaseId | None = None
        self.missing = asyncio.Event()

    def seen(self, present: bool) -> None:
        """Take note of whether the store still has the announcement.

        A lease may be renewed well although its keys were removed.
        """
        if not present and self.lease is not None:
            self.missing.set()

    async def run(self) -> None:
        """Renew until cancelled."""
        pause = _RETRY
        while True:
            try:
                await self._renew()
                pause = _RENEW
            except errors.PoplardrumError as error:
                lines.note(
                    logger,
                    'announcement not renewed',
                    level=logging.WARNING,
                    why=error.message,
                )
                pause = _RETRY if pause == _RENEW else _LONGEST_RETRY
            await self._rest(pause * random.uniform(0.7, 1))

    async def _rest(self, pause: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self.missing.wait()

    async def _renew(self) -> None:
        kept = self.lease is not None and not self.missing.is_set()
        if kept and await self.stored.renew_lease(
            typing.cast(store.LeaseId, self.lease),
        ):
            return
        self.missing.clear()
        self.lease = None
        lease = await self.stored.grant_lease(_TTL)
        await self.stored.write(
            self.key,
            json.dumps(self.address).encode(),
            lease=lease,
        )
        self.lease = lease
