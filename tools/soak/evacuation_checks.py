"""Evacuations of one availability zone, and starts there that come too late."""

import asyncio
import random
import time
import typing

from poplardrum.platform import evacuation_keys
from poplardrum.standins import kv, leased_endpoint, site

_ZONE: typing.Final = 'erie'
_REGION: typing.Final = 'great-lakes'
_FIRST_AGENT: typing.Final = 3
_BOUND_S: typing.Final = 2.5
_MS_PER_S: typing.Final = 1000
_VALUE_BASE64: typing.Final = 'eA=='
_PAUSE_RANGE_S: typing.Final = (0.3, 1.5)
_DURATION_RANGE_S: typing.Final = (4.0, 9.0)
_SAMPLE_INTERVAL_S: typing.Final = 0.01
# Endpoints carry out late orders up to this long after they were sent.
_MAX_LATE_S: typing.Final = 6.5
# Faults under which the store cannot be read.
_UNREADABLE: typing.Final = frozenset(
    (kv.Fault.no_reply, kv.Fault.busy, kv.Fault.reset)
)
_NEVER: typing.Final = float('-inf')


class Evacuations:
    """Evacuate a zone again and again; know since when it must be quiet."""

    def __init__(self, local_site: site.LocalSite, rng: random.Random) -> None:
        """Give the site two zones, of which one is evacuated."""
        self.site = local_site
        self.random = rng
        self.evacuated_at: float | None = None
        self.store_failed_at = _NEVER
        self.late_at = [_NEVER for _ in local_site.workers]
        hosts = (*local_site.entries, *local_site.agents)
        zones = {host.settings['Zone']: _REGION for host in hosts}
        for host in hosts:
            host.settings['Zones'] = {**zones, _ZONE: _REGION}
            host.settings['Bounds'] = {
                **host.settings['Bounds'],
                'EvacuationMs': _BOUND_S * _MS_PER_S,
            }
        for agent in local_site.agents[_FIRST_AGENT:]:
            agent.settings['Zone'] = _ZONE

    async def run(self, stop_at: float) -> None:
        """Evacuate the zone and take it back until `stop_at`."""
        sampling = asyncio.ensure_future(self._sample())
        key = f'{evacuation_keys.PREFIX}{_ZONE}'
        while time.monotonic() < stop_at:
            await asyncio.sleep(self.random.uniform(*_PAUSE_RANGE_S))
            self.site.store.put(key, _VALUE_BASE64)
            self.evacuated_at = time.monotonic()
            duration = self.random.uniform(*_DURATION_RANGE_S)
            await asyncio.sleep(min(duration, stop_at - self.evacuated_at))
            self.evacuated_at = None
            self.site.store.remove(key)
        sampling.cancel()

    def is_too_late(
        self, endpoint: leased_endpoint.LeasedEndpoint, now: float
    ) -> bool:
        """Return whether a start at an endpoint breaks the bound.

        The bound counts from the end of faults of the store, and not for
        orders that the endpoint may have received long before.
        """
        if self.evacuated_at is None:
            return False
        quiet_since = max(self.evacuated_at, self.store_failed_at) + _BOUND_S
        return any(
            stand_in.endpoint is endpoint
            and now > max(quiet_since, late_at + _MAX_LATE_S)
            for stand_in, late_at in zip(
                self.site.workers[_FIRST_AGENT:],
                self.late_at[_FIRST_AGENT:],
                strict=True,
            )
        )

    async def _sample(self) -> None:
        """Record when the store fails, and when endpoints delay orders."""
        while True:
            now = time.monotonic()
            if self.site.store.fault in _UNREADABLE:
                self.store_failed_at = now
            for index, stand_in in enumerate(self.site.workers):
                if stand_in.late_share:
                    self.late_at[index] = now
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
