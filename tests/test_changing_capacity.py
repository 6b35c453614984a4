"""Endpoints whose capacity shrinks and grows while tasks run."""

import asyncio
import typing
import unittest

from poplardrum import ids
from poplardrum.dispatch import messages
from tests import dispatch_world

FULL_CPU: typing.Final = 4000
SHRUNK_CPU: typing.Final = 2000
OTHER_JOB: typing.Final = ids.JobId('00000000000000aa')


class TestChangingCapacity(unittest.IsolatedAsyncioTestCase):
    """An endpoint that does not refuse tasks beyond its capacity."""

    async def asyncSetUp(self) -> None:
        """Start an executor for an endpoint of four tasks."""
        self.world = dispatch_world.World(duration=0.3, cpu=FULL_CPU)
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)

    def announce(self, cpu_millicores: int) -> None:
        """Send a heartbeat with another capacity."""
        self.world.cpu_millicores = cpu_millicores
        self.world.send_heartbeat('ready')

    def running(self) -> int:
        """Return the number of active runs at the endpoint."""
        return len(self.world.endpoint.leased.running)

    async def test_shrinks_under_load(self) -> None:
        """Guards against starts beyond a capacity that has shrunk (LIMIT)."""
        self.world.start_tasks(4)
        await dispatch_world.wait_until(lambda: self.running() == 4)
        self.announce(SHRUNK_CPU)
        free = self.world.executor.free_capacity()
        self.assertEqual(free.cpu_millicores, SHRUNK_CPU - FULL_CPU)
        self.world.start_tasks(1, run=2, job=OTHER_JOB)
        self.assertEqual(self.world.refused(), 1)
        await dispatch_world.wait_until(lambda: len(self.world.outcomes()) == 4)
        self.world.start_tasks(4, run=2)
        await dispatch_world.wait_until(lambda: self.running() == 2)
        self.assertEqual(self.world.refused(), 3)

    async def test_grows_again(self) -> None:
        """Guards against a capacity that is not used after it has grown."""
        self.announce(SHRUNK_CPU)
        self.announce(FULL_CPU)
        self.world.start_tasks(4)
        await dispatch_world.wait_until(lambda: self.running() == 4)
        self.assertEqual(self.world.refused(), 0)

    async def test_what_is_being_stopped_counts(self) -> None:
        """Guards against starts in the place of runs that are not over (LIMIT)."""
        self.world.start_tasks(4)
        await dispatch_world.wait_until(lambda: self.running() == 4)
        self.world.endpoint.default_faults['stop'] = 'lost'
        self.announce(SHRUNK_CPU)
        self.world.stop_tasks(range(4))
        await asyncio.sleep(0.05)
        self.world.start_tasks(1, run=2, job=OTHER_JOB)
        self.assertEqual(
            self.world.link.sent_of(messages.Refused)[-1].reason,
            messages.Refusal.no_room,
        )
        self.assertLessEqual(self.world.endpoint.leased.most_running, 4)
