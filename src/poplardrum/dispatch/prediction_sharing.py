"""Exchange of learned durations between entries, through the store.

The more entries there are, the fewer jobs of a kind each of them sees, so a
single entry of a large fleet would need a minute to learn what all of them know
after seconds. What an entry has learned also outlives its process.
"""

import asyncio
import contextlib
import logging
import random
import typing

import msgspec

from poplardrum import decoding, errors, log_events
from poplardrum.dispatch import estimates
from poplardrum.platform import store

logger = logging.getLogger(__name__)

PREFIX: typing.Final = 'poplardrum/predictions/'
_INTERVAL_S: typing.Final = 5.0
# Longer than a host is down when it loses power; the key of a host that was
# removed for good goes with the lease.
_LEASE_TTL_S: typing.Final = 60.0
# Until the store has been read once.
_RETRY_INTERVAL_S: typing.Final = 0.5

_Statistics = dict[str, estimates.QueueStatistics]


class PredictionSharing:
    """Publish what this entry learns, and use what others have learned."""

    def __init__(
        self,
        kv_store: store.Store,
        node: str,
        table: estimates.PredictorTable,
    ) -> None:
        """Share the predictors of the entry on a node."""
        self.store = kv_store
        self.node = node
        self.table = table
        self.has_read = False
        self.published = b''
        self.lease: store.LeaseId | None = None

    async def run(self) -> None:
        """Exchange what was learned until cancelled."""
        while True:
            # `RouteTable` logs that the store is unreachable.
            with contextlib.suppress(errors.PoplardrumError):
                await self.exchange()
            interval = _INTERVAL_S if self.has_read else _RETRY_INTERVAL_S
            await asyncio.sleep(interval * random.uniform(0.8, 1.2))

    async def exchange(self) -> None:
        """Read what others have learned, and write what this entry has.

        The first read also returns what an earlier process of the node learned.
        """
        found = await self.store.read(PREFIX, is_prefix=True)
        statistics = _decode(found.values)
        earlier = statistics.pop(self.node, {})
        if not self.has_read:
            self.has_read = True
            self.table.restore(earlier)
        self.table.use_shared(_added(statistics.values()))
        await self._publish()

    async def _publish(self) -> None:
        content = msgspec.json.encode(self.table.own_statistics())
        if self.lease is None or not await self.store.renew_lease(self.lease):
            self.lease = await self.store.grant_lease(_LEASE_TTL_S)
        elif content == self.published:
            return
        await self.store.write(PREFIX + self.node, content, lease=self.lease)
        self.published = content


def _decode(values: list[store.StoredValue]) -> dict[str, _Statistics]:
    """Return the statistics by node; skip values that are none."""
    statistics = {}
    for entry in values:
        try:
            statistics[entry.key.removeprefix(PREFIX)] = decoding.decode_json(
                entry.value, _Statistics
            )
        except ValueError:
            log_events.emit(
                logger, 'cannot decode learned durations', key=entry.key
            )
    return statistics


def _added(statistics: typing.Iterable[_Statistics]) -> _Statistics:
    """Return the sums of the statistics of several entries, by queue."""
    sums: _Statistics = {}
    for each in statistics:
        for queue, learned in each.items():
            known = sums.get(queue)
            sums[queue] = learned if known is None else known.plus(learned)
    return sums
