"""Tasks that crash the endpoints which start them, with real processes."""

import asyncio
import typing

from poplardrum.platform import job_api
from poplardrum.standins import site, worker
from tests import dispatch_world, test_stored_path

MARKER: typing.Final = 'deadly'
DEADLY_JOB: typing.Final = 'd0d0d0d0d0d0d0d0'
# Crashes that show which of the tasks that ran at an endpoint it was.
MAX_STARTS: typing.Final = 2
RESTART_DELAY_S: typing.Final = 1.0


class CrashCase(test_stored_path.StoredCase):
    """Common parts: endpoints that a marked task crashes."""

    kind = worker.EndpointProfile(run_duration_s=0.3)
    first_host = 100

    async def asyncSetUp(self) -> None:
        """Start the site."""
        await super().asyncSetUp()
        for stand_in in self.site.workers:
            stand_in.crashing_tasks.marker = MARKER
            stand_in.crashing_tasks.restart_delay_s = RESTART_DELAY_S

    def deadly_starts(self) -> int:
        """Return how often a task that crashes its endpoint was started."""
        return sum(
            len(each.crashing_tasks.starts) for each in self.site.workers
        )

    def submission(self, tasks: int, *, stored: bool) -> dict[str, typing.Any]:
        """Return a job whose tasks crash their endpoints."""
        return site.submission(tasks, MARKER) | {'BestEffort': not stored}


class TestStoredJobs(CrashCase):
    """Stored jobs, which run until they have a final state."""

    async def test_job_that_crashes_its_endpoints(self) -> None:
        """Guards against a task that crashes one endpoint after another (BUDGET)."""
        body = self.submission(1, stored=True)
        self.assertEqual(await self.call('POST', 0, DEADLY_JOB, body), 200)
        await self.wait_for_state('failed', 1, DEADLY_JOB)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)

    async def test_neighbours_are_not_given_up(self) -> None:
        """Guards against the end of jobs that ran beside such a task."""
        neighbours = [f'{number:016x}' for number in range(1, 9)]
        for job in neighbours:
            self.assertEqual(await self.post(0, 2, job), 200)
        body = self.submission(1, stored=True)
        self.assertEqual(await self.call('POST', 1, DEADLY_JOB, body), 200)
        await self.wait_for_state('failed', 0, DEADLY_JOB)
        for job in neighbours:
            await self.wait_for_state('completed', 0, job)
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)


class TestBestEffortJobs(CrashCase):
    """Jobs whose callers wait for the end."""

    async def submit(self, entry: int) -> tuple[int, str]:
        """Submit the deadly job; return status and state, if there is one."""
        async with self.client.post(
            self.site.url(entry, f'/jobs/{DEADLY_JOB}'),
            json=self.submission(1, stored=False),
            headers={
                job_api.CLIENT_TIMEOUT_HEADER: '20000',
                **site.ROUTE_HEADERS,
            },
        ) as response:
            body = await response.json()
            return response.status, body.get('State', '')

    async def test_failed_and_known_to_other_entries(self) -> None:
        """Guards against crashes that start anew when a caller submits again."""
        self.assertEqual(await self.submit(0), (200, 'failed'))
        self.assertEqual(await self.submit(1), (200, 'failed'))
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)

    async def test_entry_is_killed(self) -> None:
        """Guards against crashes that start anew at another entry."""
        first = asyncio.ensure_future(self.submit(0))
        await dispatch_world.wait_until(self.deadly_starts)
        await asyncio.sleep(RESTART_DELAY_S / 2)
        await self.site.entries[0].kill()
        await asyncio.gather(first, return_exceptions=True)
        await asyncio.sleep(1.3)
        self.assertEqual(await self.submit(1), (200, 'failed'))
        self.assertLessEqual(self.deadly_starts(), MAX_STARTS)
