"""Cuts of one entry from a part of the agents, and from the store."""

import asyncio
import random
import time
import typing

from tools.soak import faults, proxy

_PAUSE_RANGE_S: typing.Final = (1.0, 4.0)
# Longer and shorter than an owner may go without the store.
_DURATION_RANGE_S: typing.Final = (2.5, 6.0)
_STORE_SHARE: typing.Final = 0.8


class PartialCuts:
    """Cut an entry off while some of its agents still answer.

    It has a generator of its own, so that the seeds of the other faults stand
    for what they stood for.
    """

    def __init__(
        self,
        injector: faults.FaultInjector,
        store_proxies: list[proxy.Proxy],
        rng: random.Random,
    ) -> None:
        """Cut the links of `injector`, and the entries' ways to the store."""
        self.injector = injector
        self.store_proxies = store_proxies
        self.random = rng
        self.names = [
            agent.settings['NodeName'].encode()
            for agent in injector.site.agents
        ]

    async def run(self, stop_at: float) -> None:
        """Make one cut after another until `stop_at`."""
        while time.monotonic() < stop_at:
            await asyncio.sleep(self.random.uniform(*_PAUSE_RANGE_S))
            await self._cut(self.random.randrange(len(self.store_proxies)))

    async def _cut(self, entry: int) -> None:
        link_proxy = self.injector.proxies[entry]
        store_proxy = self.store_proxies[entry]
        count = self.random.randrange(1, len(self.names))
        link_proxy.cut_peers = frozenset(self.random.sample(self.names, count))
        if self.random.random() < _STORE_SHARE:
            store_proxy.mode = proxy.LinkMode.cut
        self.injector.record(
            f'{link_proxy.target} cut from {sorted(link_proxy.cut_peers)}, '
            f'store {store_proxy.mode.value}'
        )
        await asyncio.sleep(self.random.uniform(*_DURATION_RANGE_S))
        link_proxy.cut_peers = frozenset()
        store_proxy.mode = proxy.LinkMode.open
        self.injector.record(f'{link_proxy.target} is back')
