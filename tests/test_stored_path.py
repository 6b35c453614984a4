"""Stored jobs through real processes and a simulated platform."""

import asyncio
import typing

import aiohttp

from poplardrum.platform import job_api
from poplardrum.standins import kv, site, worker
from tests import test_dispatch_path

JOB_ID: typing.Final = '5c0e7a21d94b36f8'


class StoredCase(test_dispatch_path.PathCase):
    """Common requests about stored jobs."""

    kind = worker.EndpointProfile(run_duration_s=0.4)
    first_host = 60

    async def post(self, entry: int, tasks: int, job: str = JOB_ID) -> int:
        """Submit a stored job; return the status, 0 without a response."""
        body = site.submission(tasks, job) | {'BestEffort': False}
        return await self.call('POST', entry, job, body)

    async def call(
        self,
        method: str,
        entry: int,
        job: str = JOB_ID,
        body: dict[str, typing.Any] | None = None,
    ) -> int:
        """Make a request about a job; return the status."""
        headers = {job_api.CLIENT_TIMEOUT_HEADER: '3000', **site.ROUTE_HEADERS}
        url = self.site.url(entry, f'/jobs/{job}')
        try:
            async with self.client.request(
                method,
                url,
                json=body,
                headers=headers,
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def get_state(self, entry: int, job: str = JOB_ID) -> str:
        """Return the state of a job, or an error status as text."""
        url = self.site.url(entry, f'/jobs/{job}')
        try:
            async with self.client.get(
                url,
                headers=site.ROUTE_HEADERS,
            ) as response:
                if response.status != 200:
                    return str(response.status)
                return str((await response.json())['State'])
        except aiohttp.ClientError:
            return '0'

    async def wait_for_state(
        self, wanted: str, entry: int, job: str = JOB_ID
    ) -> None:
        """Wait until an entry returns a state."""
        async with asyncio.timeout(40):
            while await self.get_state(entry, job) != wanted:
                await asyncio.sleep(0.05)

    async def submit_until_accepted(
        self, entry: int, tasks: int, job: str = JOB_ID
    ) -> None:
        """Submit until the job is accepted."""
        async with asyncio.timeout(20):
            while await self.post(entry, tasks, job) != 200:
                await asyncio.sleep(0.1)

    def started_runs(self, job: str = JOB_ID) -> list[tuple[str, int]]:
        """Return task name and run number of all started runs of a job."""
        return [
            (name.task, name.run)
            for each in self.site.workers
            for name in each.endpoint.started_runs
            if name.task.startswith(job)
        ]

    def done_tasks(self, job: str = JOB_ID) -> list[str]:
        """Return the task name of each done run of a job, with repeats."""
        return [
            task
            for each in self.site.workers
            for task in each.endpoint.done_tasks
            if task.startswith(job)
        ]


class TestStoredJobs(StoredCase):
    """Submissions, queries and repetitions through any entry."""

    async def test_runs_once_and_is_known_everywhere(self) -> None:
        """Guards against a job that runs twice or that one entry ignores."""
        self.assertEqual(await self.post(0, 3), 200)
        self.assertEqual(await self.post(1, 3), 200)
        self.assertIn(
            await self.get_state(1), {'queued', 'running', 'completed'}
        )
        await self.wait_for_state('completed', 1)
        await self.wait_for_state('completed', 0)
        self.assertEqual(await self.post(1, 3), 200)
        self.assertEqual(len(self.started_runs()), 3)

    async def test_unknown_job(self) -> None:
        """Guards against a state of a job that was never submitted."""
        self.assertEqual(await self.get_state(0), '410')
        self.assertEqual(await self.call('DELETE', 1), 410)

    async def test_not_accepted_while_the_store_is_unavailable(self) -> None:
        """Guards against accepting a job that is not stored."""
        self.site.store.fault = kv.Fault.busy
        self.assertEqual(await self.post(0, 1), 503)
        self.site.store.fault = kv.Fault.none
        await asyncio.sleep(0.5)
        self.assertEqual(await self.get_state(1), '410')
        self.assertEqual(self.started_runs(), [])

    async def test_reply_of_the_store_is_lost(self) -> None:
        """Guards against refusing a job that is stored."""
        self.site.store.fault = kv.Fault.reply_lost
        status = await self.post(0, 2)
        self.site.store.fault = kv.Fault.none
        self.assertIn(status, {200, 504})
        await self.submit_until_accepted(1, 2)
        await self.wait_for_state('completed', 1)
        self.assertEqual(len(self.started_runs()), 2)


class TestCancels(StoredCase):
    """Jobs that run long enough to be cancelled."""

    kind = worker.EndpointProfile(run_duration_s=4.0)

    async def test_cancelled_through_another_entry(self) -> None:
        """Guards against a cancelled job that keeps running."""
        await self.submit_until_accepted(0, 3)
        self.assertEqual(await self.call('DELETE', 1), 200)
        await self.wait_for_state('cancelled', 0)
        await self.wait_for_state('cancelled', 1)
        async with asyncio.timeout(10):
            while self.count_running():
                await asyncio.sleep(0.02)


class TestOwners(StoredCase):
    """Entries and agents that are killed with jobs unfinished."""

    async def test_owner_killed(self) -> None:
        """Guards against a job that is lost with its entry, or runs twice."""
        await self.submit_until_accepted(0, 3)
        await self.site.entries[0].kill()
        self.site.entries[0].start(self.site.folder)
        await self.wait_for_state('completed', 1)
        self.assertEqual(
            sorted(self.done_tasks()), sorted(set(self.done_tasks()))
        )
        self.assertEqual(len(self.done_tasks()), 3)

    async def test_agent_killed_before_completions_are_acknowledged(
        self,
    ) -> None:
        """Guards against a start of a task whose completion is retained."""
        await self.submit_until_accepted(0, 3)
        async with asyncio.timeout(20):
            while not self.done_tasks():
                await asyncio.sleep(0.005)
        for agent in self.site.agents:
            await agent.kill()
            agent.start(self.site.folder)
        await self.wait_for_state('completed', 0)
        self.assertEqual(len(self.done_tasks()), 3)

    async def test_all_processes_killed(self) -> None:
        """Guards against accepted jobs that are lost when all processes are."""
        await self.submit_until_accepted(0, 3)
        for host in (*self.site.entries, *self.site.agents):
            await host.kill()
        for host in (*self.site.entries, *self.site.agents):
            host.start(self.site.folder)
        await self.wait_for_state('completed', 1)
        self.assertEqual(len(self.done_tasks()), 3)
