"""Callers of a soak test: they submit, resubmit and look up jobs."""

import asyncio
import random
import time
import typing

import aiohttp

from poplardrum.standins import site
from tools.soak import checks, crash_checks

_RESUBMIT_INTERVAL_S: typing.Final = 1.3
_CLIENT_TIMEOUT_MS: typing.Final = 4000
_MAX_ATTEMPTS: typing.Final = 4
_MAX_TASKS: typing.Final = 5
_STORED_SHARE: typing.Final = 0.3
# Of the stored jobs: those that need the one endpoint with a label, so that its
# tasks wait for room; of these, those whose tasks fail once; and of all stored
# jobs those that run longer than a link may be silent.
_LABELLED_SHARE: typing.Final = 0.25
_FAILING_SHARE: typing.Final = 0.5
_LONG_SHARE: typing.Final = 0.3
_LONG_RUN_S: typing.Final = 0.9
LABEL: typing.Final = 'b'
# Pause between two jobs that crash endpoints.
_DEADLY_INTERVAL_S: typing.Final = (1.0, 3.0)
_NO_REPLY: typing.Final = 0
_RETRIED_STATUSES: typing.Final = frozenset((_NO_REPLY, 502, 504))


class Caller:
    """A caller that submits jobs one after another."""

    def __init__(
        self,
        index: int,
        local_site: site.LocalSite,
        ledger: checks.Ledger,
        rng: random.Random,
    ) -> None:
        """Submit to the entries of `local_site`; `index` prefixes job ids."""
        self.index = index
        self.site = local_site
        self.ledger = ledger
        self.random = rng
        # Apart from `rng`, so that its seeds stand for what they stood for.
        self.traits = random.Random(index)
        self.labelled_jobs: set[str] = set()
        self.served_jobs = 0

    async def run(self, stop_at: float) -> None:
        """Submit jobs until `stop_at` over persistent connections."""
        timeout = aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_MS / 1000)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            number = 0
            while time.monotonic() < stop_at:
                number += 1
                await self._submit_with_retries(
                    client, f'{self.index:04x}{number:012x}'
                )
                await asyncio.sleep(self.random.uniform(0, 0.1))

    async def submit_probe(self, entry: int) -> bool:
        """Submit a job of one task; return whether the entry served it."""
        job = f'{self.index:04x}{self.random.getrandbits(48):012x}'
        self.ledger.submitted_jobs.add(job)
        async with aiohttp.ClientSession() as client:
            return await self._submit(client, entry, job, 1) == 200

    async def submit_deadly_jobs(self, stop_at: float) -> None:
        """Submit stored jobs of one task that crashes endpoints."""
        async with aiohttp.ClientSession() as client:
            number = 0
            while time.monotonic() < stop_at:
                await asyncio.sleep(self.random.uniform(*_DEADLY_INTERVAL_S))
                number += 1
                job = f'{crash_checks.DEADLY_PREFIX}{number:08x}'
                self.ledger.submitted_jobs.add(job)
                entry = self.random.randrange(len(self.site.entries))
                if await self._submit(client, entry, job, 1, True) == 200:
                    self.ledger.crash_ledger.deadly_jobs.add(job)

    async def state_at(self, entry: int, job: str) -> bytes:
        """Return the body with the state of a stored job at an entry."""
        async with (
            aiohttp.ClientSession() as client,
            client.get(
                self.site.url(entry, f'/jobs/{job}'),
                headers=site.ROUTE_HEADERS,
            ) as response,
        ):
            return await response.read()

    async def _submit_with_retries(
        self, client: aiohttp.ClientSession, job: str
    ) -> None:
        self.ledger.submitted_jobs.add(job)
        tasks = self.random.randint(1, _MAX_TASKS)
        stored = self.random.random() < _STORED_SHARE
        if stored:
            self._choose_traits(job)
        for _ in range(_MAX_ATTEMPTS):
            entry = self.random.randrange(len(self.site.entries))
            status = await self._submit(client, entry, job, tasks, stored)
            if stored and status == 200:
                self.ledger.stored_jobs[job] = tasks
            self.ledger.reply_statuses[job].append(status)
            if status == 200:
                self.served_jobs += 1
            if status not in _RETRIED_STATUSES:
                return
            await asyncio.sleep(_RESUBMIT_INTERVAL_S)

    def _choose_traits(self, job: str) -> None:
        self.ledger.kept_jobs.add(job)
        if self.traits.random() < _LONG_SHARE:
            self.ledger.run_durations[job] = _LONG_RUN_S
        if self.traits.random() >= _LABELLED_SHARE:
            return
        self.labelled_jobs.add(job)
        if self.traits.random() < _FAILING_SHARE:
            self.ledger.failing_jobs.add(job)

    async def _submit(
        self,
        client: aiohttp.ClientSession,
        entry: int,
        job: str,
        tasks: int,
        stored: bool = False,
    ) -> int:
        headers = {
            **site.ROUTE_HEADERS,
            'Poplardrum-Deadline-Milliseconds': str(_CLIENT_TIMEOUT_MS),
        }
        try:
            async with client.post(
                self.site.url(entry, f'/jobs/{job}'),
                json=self._body(job, tasks, stored),
                headers=headers,
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return _NO_REPLY

    def _body(self, job: str, tasks: int, stored: bool) -> dict[str, object]:
        body = site.submission(tasks, job)
        if job in self.labelled_jobs:
            body['Steps'][0]['Requirements'] = LABEL
        return body | {'BestEffort': not stored}
