"""Evacuated availability zones on a whole site on loopback."""

import asyncio
import typing
from unittest import mock

from poplardrum.dispatch import metrics
from poplardrum.platform import evacuation_keys
from poplardrum.standins import kv, site, worker
from tests import test_dispatch_path

ZONES: typing.Final = ('toledo', 'toledo', 'erie')
SETTINGS: typing.Final = {'toledo': 'great-lakes', 'erie': 'great-lakes'}


def set_zones(local_site: site.LocalSite) -> None:
    """Put the agents into two zones that may be evacuated."""
    for host in (*local_site.entries, *local_site.agents):
        host.settings['Zones'] = SETTINGS
        host.settings['Bounds'] = {
            **host.settings['Bounds'],
            'EvacuationMs': 5000,
        }
    for host, zone in zip(local_site.agents, ZONES, strict=True):
        host.settings['Zone'] = zone


class TestEvacuatedPath(test_dispatch_path.PathCase):
    """Two entries, two agents in one zone and one in another."""

    first_host = 80

    async def asyncSetUp(self) -> None:
        """Start the site with two zones."""
        original = site.LocalSite.__aenter__

        async def enter(local_site: site.LocalSite) -> site.LocalSite:
            set_zones(local_site)
            return await original(local_site)

        with mock.patch.object(site.LocalSite, '__aenter__', enter):
            await super().asyncSetUp()

    async def wait_for_zones(self, *zones: str) -> None:
        """Wait until all processes have a set of evacuated zones."""
        hosts = (*self.site.entries, *self.site.agents)
        async with asyncio.timeout(20):
            while any(self.last_zones(host) != list(zones) for host in hosts):
                await asyncio.sleep(0.02)

    def last_zones(self, host: site.Host) -> list[str]:
        """Return the evacuated zones that a process has logged last."""
        changes = [
            event['zones']
            for event in self.site.log_events(host)
            if event['event'] == 'evacuated zones changed'
        ]
        return changes[-1] if changes else []

    def jobs_started(self, stand_in: worker.WorkerStandIn) -> set[str]:
        """Return the specifications of the jobs that an endpoint started."""
        return set(stand_in.specifications)

    async def test_zone_is_emptied_and_taken_back(self) -> None:
        """Guards against starts in an evacuated zone, whoever hears of it."""
        self.site.store.put(f'{evacuation_keys.PREFIX}toledo', 'eA==')
        await self.wait_for_zones('toledo')
        before = [self.jobs_started(each) for each in self.site.workers]
        for entry in range(2):
            self.assertEqual(await self.submit_job(entry, 700, 2), 200)
        after = [self.jobs_started(each) for each in self.site.workers]
        self.assertEqual(after[:2], before[:2])
        self.assertEqual(len(after[2] - before[2]), 2)

        self.site.store.put(f'{evacuation_keys.PREFIX}erie', 'eA==')
        await self.wait_for_zones('erie', 'toledo')
        async with self.client.post(
            self.site.url(0, '/jobs/5c0e7a21d94b36f8'),
            json=site.submission(2, 'refused'),
            headers=site.ROUTE_HEADERS,
        ) as response:
            self.assertEqual(response.status, 503)
            self.assertEqual(response.headers['Retry-After'], '5')
        self.assertEqual(await self.get_status(self.site.ready_url(0)), 200)

        self.site.store.remove(f'{evacuation_keys.PREFIX}toledo')
        await self.wait_for_zones('erie')
        self.assertEqual(await self.submit_job(1, 702, 2), 200)
        self.assertEqual(self.jobs_started(self.site.workers[2]), after[2])

    async def submit_stored(self, identity: str) -> int:
        """Submit a stored job to the second entry; return the status."""
        body = site.submission(1, 'stored')
        body.pop('BestEffort')
        async with self.client.post(
            self.site.url(1, f'/jobs/{identity}'),
            json=body,
            headers=site.ROUTE_HEADERS,
        ) as response:
            return response.status

    async def test_stored_job_comes_again(self) -> None:
        """Guards against a refusal of a job that was accepted before."""
        self.assertEqual(await self.submit_stored('a' * 16), 200)
        for zone in ('toledo', 'erie'):
            self.site.store.put(f'{evacuation_keys.PREFIX}{zone}', 'eA==')
        await self.wait_for_zones('erie', 'toledo')
        self.assertEqual(await self.submit_stored('a' * 16), 200)
        self.assertEqual(await self.submit_stored('b' * 16), 503)

    async def test_watches_hear_nothing_and_history_is_lost(self) -> None:
        """Guards against a change that only a watch would have told."""
        self.site.store.fault = kv.Fault.watch_stalled
        self.site.store.put(f'{evacuation_keys.PREFIX}erie', 'eA==')
        await self.wait_for_zones('erie')
        self.site.store.remove(f'{evacuation_keys.PREFIX}erie')
        self.site.store.compact()
        await self.wait_for_zones()
        self.site.store.fault = kv.Fault.none

    async def test_gauges(self) -> None:
        """Guards against an evacuation that no metric shows."""
        self.site.store.put(f'{evacuation_keys.PREFIX}erie', 'eA==')
        await self.wait_for_zones('erie')
        for host in (self.site.entries[0], self.site.agents[0]):
            ip = host.settings['IpAddress']
            url = f'http://{ip}:{metrics.PORT}{metrics.PATH}'
            async with self.client.get(url) as response:
                text = await response.text()
            self.assertIn('poplardrum_evacuated_zones 1.0', text)
            self.assertIn('poplardrum_evacuations_age_seconds', text)
