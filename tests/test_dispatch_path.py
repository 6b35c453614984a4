"""End-to-end tests of entry and agent processes with stand-ins."""

import asyncio
import signal
import time
import typing
import unittest

import aiohttp

from poplardrum.dispatch import metrics
from poplardrum.platform import job_api
from poplardrum.standins import kv, site, worker
from tests import dispatch_world

_HEADERS: typing.Final = {job_api.CLIENT_TIMEOUT_HEADER: '8000'}


class PathCase(unittest.IsolatedAsyncioTestCase):
    """Set-up: two entries and three agents."""

    kind = worker.EndpointProfile()
    first_host = 10

    async def asyncSetUp(self) -> None:
        """Start the site and wait until all entries are ready."""
        self.site = site.LocalSite(2, 3, self.kind, self.first_host)
        await self.enterAsyncContext(self.site)
        self.client = await self.enterAsyncContext(aiohttp.ClientSession())
        for entry in range(2):
            await self.wait_until_ready(entry)

    async def wait_until_ready(self, entry: int) -> None:
        """Wait until an entry is ready and serves a job."""
        async with asyncio.timeout(30):
            while await self.get_status(self.site.ready_url(entry)) != 200:
                await asyncio.sleep(0.05)
            number = 0
            while await self.submit_job(entry, number, 1) != 200:
                number += 1
                await asyncio.sleep(0.05)

    async def get_status(self, url: str) -> int:
        """Return the status of a GET request, 0 without a response."""
        try:
            async with self.client.get(
                url,
                headers=site.ROUTE_HEADERS,
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def submit_job(self, entry: int, number: int, tasks: int) -> int:
        """Submit a job and return the status, 0 without a response."""
        identity = f'{entry:04x}{number:012x}'
        try:
            async with self.client.post(
                self.site.url(entry, f'/jobs/{identity}'),
                json=site.submission(tasks, identity),
                headers={**site.ROUTE_HEADERS, **_HEADERS},
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    def count_running(self) -> int:
        """Return the number of active runs at all endpoints."""
        for each in self.site.workers:
            each.endpoint.advance(time.monotonic())
        return sum(len(each.endpoint.running) for each in self.site.workers)


class TestServing(PathCase):
    """Jobs, routes and the configuration."""

    kind = worker.EndpointProfile(cpu_millicores=32000)

    async def test_jobs_of_both_entries(self) -> None:
        """Guards against lost, duplicated or altered tasks."""
        before = sum(
            len(each.endpoint.started_runs) for each in self.site.workers
        )
        answers = await asyncio.gather(
            *(self.submit_job(place % 2, 100 + place, 4) for place in range(8)),
        )
        self.assertEqual(answers, [200] * 8)
        after = sum(
            len(each.endpoint.started_runs) for each in self.site.workers
        )
        self.assertEqual(after - before, 32)

    async def test_unknown_route(self) -> None:
        """Guards against accepting a job without a route."""
        url = self.site.url(0, '/other/5c0e7a21d94b36f8')
        self.assertEqual(await self.get_status(url), 404)

    async def test_unsupported_job_kinds(self) -> None:
        """Guards against wrong results of unsupported kinds of job."""
        body = site.submission(1, 'x')
        body['Repetitions'] = 2
        async with self.client.post(
            self.site.url(0, '/jobs/5c0e7a21d94b36f8'),
            json=body,
            headers=site.ROUTE_HEADERS,
        ) as response:
            self.assertEqual(response.status, 501)
        self.assertEqual(self.count_running(), 0)

    async def test_configuration_change_is_applied(self) -> None:
        """Guards against a configuration change that an entry misses."""
        self.site.configure('/moved/')
        url = self.site.url(0, '/moved/')
        async with asyncio.timeout(20):
            while await self.get_status(url) != 200:
                await asyncio.sleep(0.02)
        old = self.site.url(0, '/jobs/')
        self.assertEqual(await self.get_status(old), 404)

    async def test_silent_watch(self) -> None:
        """Guards against missing a change because a watch got no replies."""
        self.site.store.fault = kv.Fault.watch_stalled
        self.site.configure('/moved/')
        await asyncio.sleep(0.5)
        self.site.store.compact()
        self.site.store.fault = kv.Fault.none
        url = self.site.url(1, '/moved/')
        async with asyncio.timeout(20):
            while await self.get_status(url) != 200:
                await asyncio.sleep(0.02)

    async def test_store_outage(self) -> None:
        """Guards against requests that fail without the store."""
        for fault in (kv.Fault.busy, kv.Fault.reset):
            self.site.store.fault = fault
            await asyncio.sleep(0.5)
            self.assertEqual(await self.submit_job(0, 500, 2), 200)
            url = self.site.url(0, '/other/')
            async with asyncio.timeout(20):
                # The route may be new, so the entry must not return 404.
                while await self.get_status(url) != 503:
                    await asyncio.sleep(0.1)


class TestStopsAndFailures(PathCase):
    """Processes that are stopped, killed or paused."""

    kind = worker.EndpointProfile(run_duration_s=1.0)
    first_host = 30

    def busy_agent(self) -> site.Host:
        """Return the agent whose endpoint has the most active runs."""
        counts = [len(each.endpoint.running) for each in self.site.workers]
        return self.site.agents[counts.index(max(counts))]

    async def test_planned_stop_of_an_entry(self) -> None:
        """Guards against a request being cut off by a planned stop."""
        job = asyncio.ensure_future(self.submit_job(0, 200, 2))
        await dispatch_world.wait_until(lambda: self.count_running() == 2)
        self.site.entries[0].send_signal(signal.SIGTERM)
        self.assertEqual(await job, 200)
        await dispatch_world.wait_until(
            lambda: not self.site.entries[0].is_alive()
        )

    async def test_planned_stop_of_an_agent(self) -> None:
        """Guards against runs being ended by a planned stop of an agent."""
        job = asyncio.ensure_future(self.submit_job(0, 200, 12))
        await dispatch_world.wait_until(lambda: self.count_running() == 12)
        agent = self.busy_agent()
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(await job, 200)
        await dispatch_world.wait_until(lambda: not agent.is_alive())

    async def test_killed_entry(self) -> None:
        """Guards against runs that go on when their job is submitted again."""
        job = asyncio.ensure_future(self.submit_job(0, 200, 2))
        await dispatch_world.wait_until(lambda: self.count_running() == 2)
        self.site.entries[0].send_signal(signal.SIGKILL)
        self.assertEqual(await job, 0)
        await dispatch_world.wait_until(lambda: self.count_running() == 0)

    async def test_caller_disconnects(self) -> None:
        """Guards against runs for a caller that has disconnected."""
        job = asyncio.ensure_future(self.submit_job(0, 200, 2))
        await dispatch_world.wait_until(lambda: self.count_running() == 2)
        job.cancel()
        await dispatch_world.wait_until(lambda: self.count_running() == 0)

    async def test_killed_agent(self) -> None:
        """Guards against a second run while that of a killed agent is active."""
        job = asyncio.ensure_future(self.submit_job(0, 200, 12))
        await dispatch_world.wait_until(lambda: self.count_running() == 12)
        agent = self.busy_agent()
        agent.send_signal(signal.SIGKILL)
        await dispatch_world.wait_until(lambda: not agent.is_alive())
        agent.start(self.site.folder)
        most = 12
        while not job.done():
            most = max(most, self.count_running())
            await asyncio.sleep(0.005)
        self.assertEqual(await job, 200)
        self.assertEqual(most, 12)

    async def test_frozen_agent(self) -> None:
        """Guards against a second run while that of a paused agent is active."""
        job = asyncio.ensure_future(self.submit_job(0, 200, 12))
        await dispatch_world.wait_until(lambda: self.count_running() == 12)
        agent = self.busy_agent()
        agent.send_signal(signal.SIGSTOP)
        most = 12
        while not job.done():
            most = max(most, self.count_running())
            await asyncio.sleep(0.005)
        agent.send_signal(signal.SIGCONT)
        self.assertEqual(await job, 200)
        self.assertEqual(most, 12)


class TestObservability(PathCase):
    """Logs and metrics that explain what happened to a job."""

    first_host = 50

    async def test_log_and_metrics_of_a_job(self) -> None:
        """Guards against a job without log events and metrics of its placement."""
        self.assertEqual(await self.submit_job(0, 900, 2), 200)
        host = self.site.entries[0]
        job = f'{0:04x}{900:012x}'
        events = {
            line['event']
            for line in self.site.log_events(host)
            if line.get('job') == job
        }
        self.assertEqual(events, {'tasks sent', 'job answered'})
        address = host.settings['IpAddress']
        url = f'http://{address}:{metrics.PORT}{metrics.PATH}'
        async with self.client.get(url) as response:
            text = await response.text()
        self.assertIn('poplardrum_replies_total{kind="completed"}', text)
        self.assertIn('poplardrum_response_seconds{quantile="0.99"', text)
