"""Common set-up of the executor's tests."""

import unittest

from tests import dispatch_world


class ExecutorCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: an executor that knows its endpoint."""

    duration = 0.05

    async def asyncSetUp(self) -> None:
        """Start the executor."""
        self.world = dispatch_world.World(self.duration)
        await self.world.start()
        self.addAsyncCleanup(self.world.stop)

    async def wait_for_results(self, count: int) -> None:
        """Wait until `count` runs are completed or refused."""
        await dispatch_world.wait_until(
            lambda: len(self.world.outcomes()) + self.world.refused() >= count
        )
