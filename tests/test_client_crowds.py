"""Crowds of clients against one entry and one agent with lowered limits.

The bounds are those of the settings. The module takes a turn of its own: its
crowds would disturb other tests, and those the memory that it measures.
"""

import asyncio
import fcntl
import pathlib
import tempfile
import typing
import unittest

import aiohttp

from poplardrum import ini
from poplardrum.dispatch import metrics
from poplardrum.platform import job_api
from poplardrum.standins import site, worker
from tests import client_crowds

# Half of the memory of the smallest machine that runs an entry.
_MEMORY_MB: typing.Final = 80
_BYTES_PER_MB: typing.Final = 1_000_000
# Of the descriptors of a process, this many are reserved for files.
_RESERVED_DESCRIPTORS: typing.Final = 200
_MANY_DESCRIPTORS: typing.Final = 4100
_FEW_DESCRIPTORS: typing.Final = 400
_CROWD: typing.Final = 210
_PEERS: typing.Final = 30
_CROWD_BEYOND_DESCRIPTORS: typing.Final = 260
_SERVED_TIMEOUT_S: typing.Final = 60.0
_LOCK_NAME: typing.Final = 'poplardrum-client-crowds.lock'


def setUpModule() -> None:
    """Wait for the turn of this module on the machine."""
    path = pathlib.Path(tempfile.gettempdir(), _LOCK_NAME)
    lock = unittest.enterModuleContext(path.open('w'))
    fcntl.flock(lock, fcntl.LOCK_EX)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Set-up: one entry and one agent with limits of memory."""

    descriptors = _MANY_DESCRIPTORS

    async def asyncSetUp(self) -> None:
        """Start the site and wait until it serves."""
        self.site = site.LocalSite(1, 1, worker.EndpointProfile(), 150)
        self.entry = self.site.entries[0]
        self.agent = self.site.agents[0]
        for host in (self.entry, self.agent):
            host.settings['Limits'] = {
                'MemoryMb': _MEMORY_MB,
                'FileDescriptors': self.descriptors,
            }
        await self.enterAsyncContext(self.site)
        self.number = 0
        await self.check_served()

    def address(self, port: int, host: site.Host | None = None) -> ini.Address:
        """Return an address of a host, by default of the entry."""
        return ((host or self.entry).settings['IpAddress'], port)

    async def check_served(self) -> None:
        """Submit an ordinary job until one is completed."""
        async with asyncio.timeout(_SERVED_TIMEOUT_S):
            while await self.submit() != 200:
                await asyncio.sleep(0.1)

    async def submit(self) -> int:
        """Submit an ordinary job; return the status, 0 without a response."""
        self.number += 1
        identity = f'{self.number:016x}'
        try:
            async with aiohttp.ClientSession() as client:
                async with client.post(
                    self.site.url(0, f'/jobs/{identity}'),
                    json=site.submission(1, identity),
                    headers={
                        **site.ROUTE_HEADERS,
                        job_api.CLIENT_TIMEOUT_HEADER: '8000',
                    },
                ) as response:
                    return response.status
        except aiohttp.ClientError:
            return 0

    async def check_crowd(
        self,
        address: ini.Address,
        forms: typing.Sequence[client_crowds.Form],
        count: int = _CROWD,
        host: site.Host | None = None,
    ) -> None:
        """Let a crowd come; check the process while all of it is there."""
        host = host or self.entry
        watch = client_crowds.Watch(host)
        async with client_crowds.Crowd(address) as crowd:
            for form in forms:
                crowd.add(form, count // len(forms))
            await watch.settle(crowd)
            await self.check_served()
            watch.count_descriptors()
            self.assertTrue(host.is_alive())
            self.assertLess(watch.peak_bytes(), _MEMORY_MB * _BYTES_PER_MB)
            self.assertLessEqual(
                watch.most_descriptors,
                self.descriptors - _RESERVED_DESCRIPTORS,
            )


class TestCallers(CrowdCase):
    """Crowds at the listener for callers."""

    async def check(self, *forms: client_crowds.Form) -> None:
        """Check a crowd of these forms."""
        await self.check_crowd(self.address(self.site.front_port), forms)

    async def test_short_by_a_byte(self) -> None:
        """Guards against memory that bodies without their end fill."""
        await self.check(client_crowds.short_by_a_byte)

    async def test_without_last_piece(self) -> None:
        """Guards against memory that bodies of unknown length fill."""
        await self.check(client_crowds.without_last_piece)

    async def test_whole(self) -> None:
        """Guards against bodies that are kept while their jobs wait."""
        await self.check(client_crowds.whole)

    async def test_empty_steps(self) -> None:
        """Guards against small bodies that cost much time to check."""
        await self.check(client_crowds.empty_steps)

    async def test_wide_jobs(self) -> None:
        """Guards against memory that the tasks of waiting jobs fill."""
        await self.check(client_crowds.wide_job)

    async def test_endless_headers(self) -> None:
        """Guards against memory that headers without an end fill."""
        await self.check(client_crowds.endless_header)

    async def test_trickle(self) -> None:
        """Guards against bodies that hold memory and come byte by byte."""
        await self.check(client_crowds.trickle)

    async def test_silent(self) -> None:
        """Guards against connections that send nothing."""
        await self.check(client_crowds.silent)

    async def test_all_forms(self) -> None:
        """Guards against limits that hold only one by one."""
        await self.check(
            client_crowds.short_by_a_byte,
            client_crowds.without_last_piece,
            client_crowds.whole,
            client_crowds.wide_job,
            client_crowds.endless_header,
            client_crowds.trickle,
            client_crowds.silent,
        )


class TestOtherListeners(CrowdCase):
    """Crowds at the listeners that are not for callers."""

    async def test_readiness(self) -> None:
        """Guards against memory that requests at the readiness port fill."""
        await self.check_crowd(
            self.address(self.site.ready_port),
            (client_crowds.short_by_a_byte, client_crowds.endless_header),
        )

    async def test_metrics(self) -> None:
        """Guards against memory that requests at the metrics port fill."""
        await self.check_crowd(
            self.address(metrics.PORT),
            (client_crowds.short_by_a_byte, client_crowds.endless_header),
        )

    async def test_peers(self) -> None:
        """Guards against memory that frames of strangers fill."""
        await self.check_crowd(
            self.address(self.site.peers_port),
            (client_crowds.unfinished_frame,),
            _PEERS,
        )

    async def test_heartbeats(self) -> None:
        """Guards against memory of an agent that heartbeats fill."""
        await self.check_crowd(
            self.address(self.site.control_port, self.agent),
            (client_crowds.short_by_a_byte, client_crowds.endless_header),
            host=self.agent,
        )


class TestDescriptors(CrowdCase):
    """Crowds beyond the number of descriptors of the process."""

    descriptors = _FEW_DESCRIPTORS

    async def check(self, address: ini.Address, host: site.Host) -> None:
        """Check a crowd beyond the descriptors."""
        await self.check_crowd(
            address,
            (client_crowds.silent,),
            _CROWD_BEYOND_DESCRIPTORS,
            host,
        )

    async def test_callers(self) -> None:
        """Guards against callers that use up the descriptors."""
        await self.check(self.address(self.site.front_port), self.entry)

    async def test_readiness(self) -> None:
        """Guards against health checks that use up the descriptors."""
        await self.check(self.address(self.site.ready_port), self.entry)

    async def test_metrics(self) -> None:
        """Guards against scrapes that use up the descriptors."""
        await self.check(self.address(metrics.PORT), self.entry)

    async def test_peers(self) -> None:
        """Guards against strangers at the peers' port."""
        await self.check(self.address(self.site.peers_port), self.entry)

    async def test_heartbeats(self) -> None:
        """Guards against strangers at the port for heartbeats."""
        await self.check(
            self.address(self.site.control_port, self.agent), self.agent
        )
