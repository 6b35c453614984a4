"""Announcement of entries in the store, under a lease."""

import asyncio
import contextlib
import logging
import math
import random
import typing

import msgspec

from poplardrum import decoding, errors, ids, log_events, network_address
from poplardrum.dispatch import clocks, messages, reachability, timing
from poplardrum.platform import store

logger = logging.getLogger(__name__)

PREFIX: typing.Final = 'poplardrum/entries/'
STORE_TIMEOUT_S: typing.Final = 0.7
_LEASE_TTL_S: typing.Final = 6.0
_RENEW_INTERVAL_S: typing.Final = 1.5
_RETRY_INTERVAL_S: typing.Final = 0.5
_MIN_RENEW_INTERVAL_S: typing.Final = 0.1
_MAX_RETRY_INTERVAL_S: typing.Final = 2.0
_MAX_INCARNATION_LENGTH: typing.Final = 64
_MAX_LACKS: typing.Final = 256


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An announced entry: its address, incarnation and availability zone.

    It `lacks` agents of some services. All values are bounded: entries send
    them to their agents, and one that cannot be encoded or dialled would cost
    each of these links.
    """

    host: decoding.Name
    port: decoding.Port
    incarnation: typing.Annotated[
        ids.Incarnation, msgspec.Meta(max_length=_MAX_INCARNATION_LENGTH)
    ] = ids.Incarnation('')
    zone: decoding.Name = ''
    lacks: typing.Annotated[
        tuple[decoding.Name, ...], msgspec.Meta(max_length=_MAX_LACKS)
    ] = ()

    def entry_address(self) -> messages.EntryAddress:
        """Return what agents need to know of it."""
        return messages.EntryAddress(
            self.host, self.port, self.zone, self.lacks
        )


async def read_entries(kv_store: store.Store) -> messages.Entries:
    """Return the announced entries as of a revision of the store."""
    return to_entries(await kv_store.read(PREFIX, is_prefix=True))


def to_entries(snapshot: store.Snapshot) -> messages.Entries:
    """Return the entries that a snapshot of the announcements has."""
    return messages.Entries(
        snapshot.index,
        [member.entry_address() for member in decode(snapshot.values).values()],
    )


def decode(values: list[store.StoredValue]) -> dict[str, Member]:
    """Return members by node; skip values that are no members."""
    members = {}
    for stored_value in values:
        try:
            member = decoding.decode_json(stored_value.value, Member)
        except ValueError:
            logger.warning('cannot decode entry %s', stored_value.key)
            continue
        members[stored_value.key.removeprefix(PREFIX)] = member
    return members


class Announcement:
    """Keep an entry announced in the store."""

    def __init__(
        self,
        kv_store: store.Store,
        node: str,
        address: network_address.Address,
        incarnation: ids.Incarnation,
        zone: str = '',
    ) -> None:
        """Create an announcement of `address` under the name of the node."""
        self.store = kv_store
        self.key = PREFIX + node
        self.member = Member(*address, incarnation, zone)
        self.last_seen_at = -math.inf
        self.store_contact = reachability.StoreContact()
        self.lease: store.LeaseId | None = None
        self.missing = asyncio.Event()

    def observe(self, is_present: bool) -> None:
        """Announce again if the announcement is missing from the store.

        Its key may be removed while the lease is still renewed.
        """
        if not is_present and self.lease is not None:
            self.missing.set()

    def set_lacks(self, services: typing.Iterable[str]) -> None:
        """Announce which services have too few agents here."""
        lacks = tuple(sorted(services))
        if lacks != self.member.lacks:
            self.member = msgspec.structs.replace(self.member, lacks=lacks)
            if self.lease is not None:
                self.missing.set()

    def is_valid(self) -> bool:
        """Return whether no other entry can consider this one gone yet."""
        return self.time_left() > 0

    def time_left(self) -> float:
        """Return for how many seconds no other entry can consider this one gone.

        The clock includes time in which the host was suspended.
        """
        expires_at = self.last_seen_at + timing.OWNERSHIP_TIMEOUT_S
        return max(expires_at - clocks.now(), 0)

    async def run(self) -> None:
        """Renew the announcement until cancelled."""
        interval = _RETRY_INTERVAL_S
        while True:
            try:
                await self._renew()
                interval = _RENEW_INTERVAL_S
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'announcement not renewed',
                    level=logging.WARNING,
                    why=error.message,
                )
                interval = (
                    _RETRY_INTERVAL_S
                    if interval == _RENEW_INTERVAL_S
                    else _MAX_RETRY_INTERVAL_S
                )
            await self._wait_before_renewal(interval * random.uniform(0.7, 1))

    async def _wait_before_renewal(self, interval: float) -> None:
        # If the key is removed again each time, it must not cost a store call
        # in each iteration of the event loop.
        await asyncio.sleep(_MIN_RENEW_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval):
                await self.missing.wait()

    async def _renew(self) -> None:
        is_announced = self.lease is not None and not self.missing.is_set()
        if is_announced and await self.store.renew_lease(
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
        """Read the announcement back, since it can vanish before its lease."""
        requested_at = clocks.now()
        snapshot = await self.store.read(self.key)
        self.store_contact.record_answer(requested_at)
        announced = {
            member.incarnation for member in decode(snapshot.values).values()
        }
        if self.member.incarnation in announced:
            self.last_seen_at = requested_at
        else:
            self.missing.set()
