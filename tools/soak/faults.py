"""Fault injection of a soak test."""

import asyncio
import random
import signal
import time
import typing

from poplardrum.standins import kv, site, worker
from tools.soak import checks, proxy

Fault = typing.Callable[[], typing.Awaitable[None]]


class FaultInjector:
    """Injects random faults into a site from outside its processes."""

    def __init__(
        self,
        local_site: site.LocalSite,
        proxies: list[proxy.Proxy],
        ledger: checks.Ledger,
        rng: random.Random,
    ) -> None:
        """Take all random choices from `rng`."""
        self.site = local_site
        self.proxies = proxies
        self.ledger = ledger
        self.random = rng
        self.log: list[str] = []
        self.crashes: set[asyncio.Task[None]] = set()
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
        """Log a fault with the time since the start."""
        at = time.monotonic() - self.ledger.started_at
        self.log.append(f'{at:.3f} s {text}')

    async def kill_process(self) -> None:
        """Kill a process with SIGKILL and start it again."""
        host = self._choose_host()
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL)
        await self._restart_process(host)

    async def terminate_process(self) -> None:
        """Shut a process down with SIGTERM and start it again."""
        host = self._choose_host()
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGTERM)
        await self._restart_process(host)

    async def pause_process(self) -> None:
        """Pause a process for 0.2 to 3 s."""
        host = self._choose_host()
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3))
        host.send_signal(signal.SIGCONT)

    async def impair_network(self) -> None:
        """Delay or cut the links of an entry, in one or both directions."""
        link_proxy = self.random.choice(self.proxies)
        link_proxy.mode = self.random.choice(list(proxy.LinkMode))
        self.record(f'{link_proxy.target} {link_proxy.mode.value}')
        await asyncio.sleep(self.random.uniform(0.2, 3))
        link_proxy.mode = proxy.LinkMode.open

    async def reset_links(self) -> None:
        """Reset the connections of an entry's links."""
        self.random.choice(self.proxies).reset()

    async def impair_store(self) -> None:
        """Make the store fail in one way for 0.3 to 4 s."""
        self.site.store.fault = self.random.choice(list(kv.Fault))
        self.record(self.site.store.fault.value)
        await asyncio.sleep(self.random.uniform(0.3, 4))
        self.site.store.fault = kv.Fault.none

    async def compact_store(self) -> None:
        """Discard the store's history, as a compaction does."""
        self.site.store.compact()

    async def revoke_leases(self) -> None:
        """Revoke all leases of the store."""
        self.site.store.leases.clear()

    async def restart_endpoint(self) -> None:
        """Crash an endpoint and restart it under the same name."""
        await self._replace_endpoint(self.random.choice(self.site.workers))

    async def drain_endpoint(self) -> None:
        """Drain an endpoint, then restart it as a new incarnation."""
        stand_in = self.random.choice(self.site.workers)
        watched = typing.cast(checks.WatchedEndpoint, stand_in.endpoint)
        stand_in.state = 'draining'
        # Long enough for the agent to acknowledge a heartbeat with this state;
        # the drain timeout counts from there.
        await asyncio.sleep(_HEARTBEAT_ACK_S)
        if stand_in.endpoint is watched and self._agent_of(stand_in).is_alive():
            watched.drain(time.monotonic())
        await asyncio.sleep(_DRAIN_DURATION_S)
        stand_in.state = 'ready'
        await self._replace_endpoint(stand_in)

    async def lose_and_delay_messages(self) -> None:
        """Make an endpoint lose replies and execute requests late."""
        stand_in = self.random.choice(self.site.workers)
        stand_in.lost_share = self.random.uniform(0, 0.3)
        stand_in.late_share = self.random.uniform(0, 0.3)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        stand_in.lost_share = 0.0
        stand_in.late_share = 0.0

    def crash_by_task(self, stand_in: worker.WorkerStandIn) -> None:
        """Crash an endpoint by a task that it has started."""
        task = asyncio.ensure_future(self._replace_endpoint(stand_in))
        self.crashes.add(task)
        task.add_done_callback(self.crashes.discard)

    def _choose_host(self) -> site.Host:
        host = self.random.choice([*self.site.entries, *self.site.agents])
        self.record(host.settings['NodeName'])
        return host

    def _agent_of(self, stand_in: worker.WorkerStandIn) -> site.Host:
        return self.site.agents[self.site.workers.index(stand_in)]

    async def _replace_endpoint(self, stand_in: worker.WorkerStandIn) -> None:
        if stand_in.is_crashed:
            return
        stand_in.crash()
        previous = typing.cast(checks.WatchedEndpoint, stand_in.endpoint)
        self.ledger.crash_ledger.crashes.update(
            run_id.task for run_id in previous.running
        )
        previous.running.clear()
        self.ledger.endpoints.remove(previous)
        await asyncio.sleep(
            max(self.random.uniform(*_RESTART_DELAY_RANGE_S), 0)
        )
        stand_in.restart()
        stand_in.endpoint = checks.WatchedEndpoint(
            self.ledger,
            previous.capacity_tasks,
            previous.max_lease_s,
        )
        stand_in.is_crashed = False

    async def _restart_process(self, host: site.Host) -> None:
        while host.is_alive():
            await asyncio.sleep(_POLL_INTERVAL_S)
        await asyncio.sleep(self.random.uniform(0.1, 1))
        # Another fault may have restarted the process in the meantime.
        if not host.is_alive():
            host.start(self.site.folder)


class LongFaultInjector:
    """Inject faults that last as long as it takes to replace an owner.

    It has a generator of its own, so that the seeds of the other faults stand
    for what they stood for.
    """

    def __init__(self, injector: FaultInjector, rng: random.Random) -> None:
        """Inject into the site of another injector, and log there."""
        self.injector = injector
        self.site = injector.site
        self.random = rng
        self.kinds: list[Fault] = [
            self.pause_agent,
            self.pause_entry,
            self.lose_replies_to_takeovers,
            self.stop_store,
        ]

    async def run(self, stop_at: float) -> None:
        """Inject one fault after another until `stop_at`."""
        while time.monotonic() < stop_at:
            await asyncio.sleep(self.random.uniform(0.5, 2))
            fault = self.random.choice(self.kinds)
            self.injector.record(fault.__name__)
            await fault()

    async def pause_agent(self) -> None:
        """Pause the agent of the endpoint with a label, or another one."""
        await self._pause(self.random.choice(self.site.agents[:2]))

    async def pause_entry(self) -> None:
        """Pause an entry."""
        await self._pause(self.random.choice(self.site.entries))

    async def lose_replies_to_takeovers(self) -> None:
        """Kill an entry, and lose replies when others take its jobs over."""
        host = self.random.choice(self.site.entries)
        self.injector.record(host.settings['NodeName'])
        host.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        if not host.is_alive():
            host.start(self.site.folder)
        await asyncio.sleep(self.random.uniform(1.5, 3))
        await self._break_store(kv.Fault.reply_lost)

    async def stop_store(self) -> None:
        """Let the store stand still for as long as completions need."""
        await self._break_store(kv.Fault.no_reply)

    async def _break_store(self, fault: kv.Fault) -> None:
        self.site.store.fault = fault
        await asyncio.sleep(self.random.uniform(2, 4.5))
        self.site.store.fault = kv.Fault.none

    async def _pause(self, host: site.Host) -> None:
        self.injector.record(host.settings['NodeName'])
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(2, 4))
        host.send_signal(signal.SIGCONT)


async def _inject(fault: Fault) -> None:
    await fault()


_POLL_INTERVAL_S: typing.Final = 0.02
_HEARTBEAT_ACK_S: typing.Final = 1.5
# Negative values are cut to 0, so that some endpoints restart at once.
_RESTART_DELAY_RANGE_S: typing.Final = (-0.5, 1.0)
_DRAIN_DURATION_S: typing.Final = 3.0
