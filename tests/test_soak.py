"""A short seeded soak, and the seeds that have failed before."""

import asyncio
import typing
import unittest

from tools.soak import __main__ as soak

# Seed 2: two runs at once around a restart of an endpoint. Orders on their
# way were taken for runs of its earlier life.
_SEEDS: typing.Final = (1, 2)
_DURATION_S: typing.Final = 8.0
_FIRST_HOST: typing.Final = 200


class TestSoak(unittest.TestCase):
    """Faults in series on real processes."""

    def test_seeds(self) -> None:
        """Guards against promises broken only when faults overlap."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                found = soak.Soak(seed, _FIRST_HOST)
                broken = asyncio.run(found.run(_DURATION_S, None))
                self.assertEqual(broken, 0, found.report())
