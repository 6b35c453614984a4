"""Faults at the moments at which a single lost or late message does harm.

Random faults seldom meet these moments. Each scenario brings one about, with random
times around it, and the three run beside each other, at an entry each.
"""

import asyncio
import random
import signal
import time
import typing

import aiohttp

from poplardrum.dispatch import membership, timing
from poplardrum.standins import site, worker
from tools.soak import checks, proxy

Record = typing.Callable[[str], None]

_ENTRY_COUNT: typing.Final = 3
_TIMEOUT_MS: typing.Final = 8000
# Longer than a link may be silent, and short enough to continue on the next one.
_FREEZE_S: typing.Final = 0.75
_JITTER_S: typing.Final = 0.15
_POLL_INTERVAL_S: typing.Final = 0.01
_ACCEPT_TIMEOUT_S: typing.Final = 10.0
# An entry that the store turns away until after others have taken its jobs over.
_STALE_JOBS: typing.Final = 4
_STALE_RUN_S: typing.Final = 16.0
_TURNED_AWAY_S: typing.Final = 11.0
_TAKEN_OVER_S: typing.Final = 4.0
# An entry that is cut off from the store while its jobs are cancelled.
_CANCELLED_JOBS: typing.Final = 3
_STEPS: typing.Final = 16
_STEP_RUN_S: typing.Final = 0.4
_CUT_S: typing.Final = 5.5
_AFTER_CUT_S: typing.Final = 3.0
# Jobs that are submitted again to the entry that had them.
_RESUBMITTED_JOBS: typing.Final = 8
_RESUBMITTED_TASKS: typing.Final = 2
_RESUBMITTED_RUN_S: typing.Final = 1.8
_LEAVE_AFTER_S: typing.Final = 0.5
_RESUBMIT_AFTER_S: typing.Final = 1.3
_RESUBMISSION_ROUNDS: typing.Final = 3
_FREEZE_SHARE: typing.Final = 0.3


class TargetedFaults:
    """Scenarios with their own jobs, at one entry each."""

    def __init__(
        self,
        local_site: site.LocalSite,
        link_proxies: list[proxy.Proxy],
        store_proxies: list[proxy.Proxy],
        ledger: checks.Ledger,
        record: Record,
        rng: random.Random,
    ) -> None:
        """Cut entries off by the proxies of each; `record` logs a fault."""
        self.site = local_site
        self.link_proxies = link_proxies
        self.store_proxies = store_proxies
        self.ledger = ledger
        self.record = record
        self.random = rng
        self.job_count = 0
        # Reads of an entry's own announcement, of which it knows that it owns.
        for host, store_proxy in zip(
            local_site.entries, store_proxies, strict=True
        ):
            name = host.settings['NodeName']
            store_proxy.watched = (b'/kv-range', name.encode())

    async def run(self) -> None:
        """Run all scenarios once, at entries in random order."""
        stale, cut, resubmitting = self.random.sample(
            range(_ENTRY_COUNT), _ENTRY_COUNT
        )
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_MS / 1000)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            await asyncio.gather(
                self.lose_stops(client, stale, resubmitting),
                self.cancel_beside_cut(client, cut, resubmitting),
                self.submit_again_in_rounds(client, resubmitting),
            )

    async def lose_stops(
        self, client: aiohttp.ClientSession, entry: int, other: int
    ) -> None:
        """Freeze an entry when it has to stop its jobs, as others take them over."""
        host = self.site.entries[entry]
        name = host.settings['NodeName']
        store_proxy = self.store_proxies[entry]
        accepted = [
            await self._submit_stored(client, entry, 1, _STALE_RUN_S)
            for _ in range(_STALE_JOBS)
        ]
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        store_proxy.mode = proxy.LinkMode.cut
        self.site.store.remove(membership.PREFIX + name)
        self.record(f'{name} turned away by the store')
        cut_at = time.monotonic()
        stops_at = store_proxy.watched_at + timing.OWNERSHIP_TIMEOUT_S
        jitter = self.random.uniform(-_JITTER_S, _JITTER_S)
        await _sleep_until(stops_at - _FREEZE_S / 2 + jitter)
        await self._freeze(host)
        await _sleep_until(cut_at + _TURNED_AWAY_S)
        store_proxy.mode = proxy.LinkMode.open
        self.record(f'{name} served again by the store')
        await asyncio.sleep(_TAKEN_OVER_S)
        for job in accepted:
            await self._cancel(client, other, job)

    async def cancel_beside_cut(
        self, client: aiohttp.ClientSession, entry: int, other: int
    ) -> None:
        """Cancel jobs elsewhere just after their owner was cut off."""
        accepted = [
            await self._submit_stored(client, entry, _STEPS, _STEP_RUN_S)
            for _ in range(_CANCELLED_JOBS)
        ]
        await asyncio.sleep(self.random.uniform(0.1, 0.4))
        store_proxy = self.store_proxies[entry]
        store_proxy.mode = proxy.LinkMode.cut
        self.record(f'{store_proxy.target} cut off from entry {entry}')
        for job in accepted:
            await self._cancel(client, other, job)
        await asyncio.sleep(_CUT_S)
        store_proxy.mode = proxy.LinkMode.open
        self.record(f'entry {entry} reaches the store again')
        await asyncio.sleep(_AFTER_CUT_S)

    async def submit_again_in_rounds(
        self, client: aiohttp.ClientSession, entry: int
    ) -> None:
        """Submit jobs again several times."""
        for _ in range(_RESUBMISSION_ROUNDS):
            await self.submit_again(client, entry)

    async def submit_again(
        self, client: aiohttp.ClientSession, entry: int
    ) -> None:
        """Submit jobs again to the entry that had them, and break a link then.

        An endpoint refuses the starts of the first attempt. The entry hears of
        that again when its agents link after a freeze or a cut.
        """
        unhealthy = self.random.choice(self.site.workers)
        unhealthy.is_unhealthy = True
        self.record(f'{unhealthy.name} refuses starts')
        jobs = [self._new_job() for _ in range(_RESUBMITTED_JOBS)]
        first = [
            asyncio.ensure_future(self._submit(client, entry, job))
            for job in jobs
        ]
        await asyncio.sleep(_LEAVE_AFTER_S)
        for attempt in first:
            attempt.cancel()
        self.record(f'callers of {len(jobs)} jobs leave entry {entry}')
        await asyncio.sleep(_RESUBMIT_AFTER_S)
        unhealthy.is_unhealthy = False
        second = asyncio.gather(
            *(self._submit(client, entry, job) for job in jobs)
        )
        await asyncio.sleep(self.random.uniform(0.2, 0.6))
        if self.random.random() < _FREEZE_SHARE:
            await self._freeze(self.site.entries[entry])
        else:
            await self._cut_link(entry, unhealthy)
        await second

    async def _cut_link(
        self, entry: int, stand_in: worker.WorkerStandIn
    ) -> None:
        """Cut an entry off from the agent of an endpoint."""
        agent = self.site.agents[self.site.workers.index(stand_in)]
        name = agent.settings['NodeName']
        self.record(f'entry {entry} cut off from {name}')
        link_proxy = self.link_proxies[entry]
        link_proxy.cut_peers = frozenset((name.encode(),))
        await asyncio.sleep(_FREEZE_S)
        link_proxy.cut_peers = frozenset()

    async def _freeze(self, host: site.Host) -> None:
        self.record(f'{host.settings["NodeName"]} frozen')
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        host.send_signal(signal.SIGCONT)

    def _new_job(self) -> str:
        self.job_count += 1
        job = f'7a7a{self.job_count:012x}'
        self.ledger.submitted_jobs.add(job)
        return job

    async def _submit(
        self, client: aiohttp.ClientSession, entry: int, job: str
    ) -> int:
        """Submit a job that is not stored; return the status."""
        self.ledger.run_durations[job] = _RESUBMITTED_RUN_S
        body = site.submission(_RESUBMITTED_TASKS, job)
        body['Steps'][0]['EstimatedMs'] = int(1000 * _RESUBMITTED_RUN_S)
        return await self._call(client, 'POST', entry, job, body)

    async def _submit_stored(
        self,
        client: aiohttp.ClientSession,
        entry: int,
        steps: int,
        run_s: float,
    ) -> str:
        """Submit a stored job of steps with one task each until accepted."""
        job = self._new_job()
        self.ledger.kept_jobs.add(job)
        self.ledger.run_durations[job] = run_s
        body = site.submission(1, job) | {'BestEffort': False}
        step = body['Steps'][0] | {'EstimatedMs': int(1000 * run_s)}
        body['Steps'] = [
            step | ({'After': [number - 1]} if number else {})
            for number in range(steps)
        ]
        async with asyncio.timeout(_ACCEPT_TIMEOUT_S):
            while await self._call(client, 'POST', entry, job, body) != 200:
                await asyncio.sleep(_POLL_INTERVAL_S)
        return job

    async def _cancel(
        self, client: aiohttp.ClientSession, entry: int, job: str
    ) -> None:
        if await self._call(client, 'DELETE', entry, job) in {200, 410}:
            self.ledger.record_cancel(job)

    async def _call(
        self,
        client: aiohttp.ClientSession,
        method: str,
        entry: int,
        job: str,
        body: dict[str, object] | None = None,
    ) -> int:
        """Return the status of a request, 0 without a response."""
        headers = {
            **site.ROUTE_HEADERS,
            'Poplardrum-Deadline-Milliseconds': str(_TIMEOUT_MS),
        }
        url = self.site.url(entry, f'/jobs/{job}')
        try:
            async with client.request(
                method, url, json=body, headers=headers
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(at - time.monotonic(), 0))
