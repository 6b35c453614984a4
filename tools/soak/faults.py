"""Faults of a soak, chosen by its seed."""

import asyncio
import random
import signal
import time
import typing

from poplardrum.standins import kv, site, worker
from tools.soak import checks, proxy

Fault = typing.Callable[[], typing.Awaitable[None]]


class FaultInjector:
    """Inject faults into a site from outside its processes."""

    def __init__(
        self,
        running: site.LocalSite,
        proxies: list[proxy.Proxy],
        ledger: checks.Ledger,
        source: random.Random,
    ) -> None:
        """Use `source` for all choices."""
        self.site = running
        self.proxies = proxies
        self.ledger = ledger
        self.random = source
        self.log: list[str] = []
        self.pending: set[asyncio.Task[None]] = set()
        self.fault_kinds: list[Fault] = [
            self.kill_process,
            self.terminate_process,
            self.pause_process,
            self.impair_network,
            self.reset_links,
            self.impair_store,
            self.compact_store,
            self.revoke_leases,
            self.restart_endpoint,
            self.drain_endpoint,
            self.lose_and_delay_messages,
        ]

    async def run(self, stop_at: float) -> None:
        """Inject faults until `stop_at`, some of them overlapping."""
        while time.monotonic() < stop_at:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            fault = self.random.choice(self.fault_kinds)
            self.record(fault.__name__)
            task = asyncio.ensure_future(_inject(fault))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        if self.pending:
            await asyncio.wait(self.pending)

    def record(self, text: str) -> None:
        """Take note of a fault and its time."""
        at = time.monotonic() - self.ledger.started_at
        self.log.append(f'{at:.3f} s {text}')

    async def kill_process(self) -> None:
        """Kill a process and start it again."""
        host = self._choose_host()
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGKILL)
        await self._restart_process(host)

    async def terminate_process(self) -> None:
        """Stop a process as planned and start it again."""
        host = self._choose_host()
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGTERM)
        await self._restart_process(host)

    async def pause_process(self) -> None:
        """Pause a process."""
        host = self._choose_host()
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3))
        host.signal(signal.SIGCONT)

    async def impair_network(self) -> None:
        """Delay or cut the links of an entry, both ways or one."""
        found = self.random.choice(self.proxies)
        found.mode = self.random.choice(list(proxy.LinkMode))
        self.record(f'{found.target} {found.mode.value}')
        await asyncio.sleep(self.random.uniform(0.2, 3))
        found.mode = proxy.LinkMode.open

    async def reset_links(self) -> None:
        """Reset the links of an entry."""
        self.random.choice(self.proxies).reset()

    async def impair_store(self) -> None:
        """Trouble the store."""
        self.site.store.trouble = self.random.choice(list(kv.Trouble))
        self.record(self.site.store.trouble.value)
        await asyncio.sleep(self.random.uniform(0.3, 4))
        self.site.store.trouble = kv.Trouble.none

    async def compact_store(self) -> None:
        """Let the store forget its history."""
        self.site.store.compact()

    async def revoke_leases(self) -> None:
        """End all leases of the store."""
        self.site.store.leases.clear()

    async def restart_endpoint(self) -> None:
        """Crash an endpoint; it comes back under its name."""
        await self._replace_endpoint(self.random.choice(self.site.workers))

    async def drain_endpoint(self) -> None:
        """Let an endpoint leave, then come back in a new life."""
        found = self.random.choice(self.site.workers)
        watched = typing.cast(checks.WatchedEndpoint, found.world)
        found.state = 'draining'
        # Counted from a heartbeat that its agent has surely acknowledged.
        await asyncio.sleep(_HEARTBEAT_ACK_S)
        if found.world is watched and self._agent_of(found).alive():
            watched.drain(time.monotonic())
        await asyncio.sleep(_DRAIN_DURATION_S)
        found.state = 'ready'
        await self._replace_endpoint(found)

    async def lose_and_delay_messages(self) -> None:
        """Let an endpoint lose answers and carry orders out late."""
        found = self.random.choice(self.site.workers)
        found.lost_share = self.random.uniform(0, 0.3)
        found.late_share = self.random.uniform(0, 0.3)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        found.lost_share = 0.0
        found.late_share = 0.0

    def _choose_host(self) -> site.Host:
        found = self.random.choice([*self.site.entries, *self.site.agents])
        self.record(found.settings['NodeName'])
        return found

    def _agent_of(self, found: worker.WorkerStandIn) -> site.Host:
        return self.site.agents[self.site.workers.index(found)]

    async def _replace_endpoint(self, found: worker.WorkerStandIn) -> None:
        if found.away:
            return
        found.away = True
        old = typing.cast(checks.WatchedEndpoint, found.world)
        old.running.clear()
        self.ledger.endpoints.remove(old)
        await asyncio.sleep(
            max(self.random.uniform(*_RESTART_DELAY_RANGE_S), 0)
        )
        found.restart()
        found.world = checks.WatchedEndpoint(
            self.ledger,
            old.capacity_tasks,
            old.longest_lease,
        )
        found.away = False

    async def _restart_process(self, host: site.Host) -> None:
        while host.alive():
            await asyncio.sleep(_POLL_INTERVAL_S)
        await asyncio.sleep(self.random.uniform(0.1, 1))
        # Two faults may have hit the same process.
        if not host.alive():
            host.start(self.site.folder)


async def _inject(fault: Fault) -> None:
    await fault()


_POLL_INTERVAL_S: typing.Final = 0.02
_HEARTBEAT_ACK_S: typing.Final = 1.5
# Below 0 for endpoints that come back within an instant.
_RESTART_DELAY_RANGE_S: typing.Final = (-0.5, 1.0)
_DRAIN_DURATION_S: typing.Final = 3.0
