"""Choice of free ports by tests that run at the same time."""

import itertools
import os
import random
import typing
import unittest
from unittest import mock

from poplardrum.standins import ports

PORTS: typing.Final = range(10_000, 32_000)
DESCRIPTORS: typing.Final = 200


class TestFreePorts(unittest.TestCase):
    """Ports that were chosen, and that nothing listens on yet."""

    def test_port_that_was_chosen_before(self) -> None:
        """Guards against two fleets that are given the same port.

        The process that bound it second ended, and its test failed.
        """
        chosen = ports.free_ports(1)
        choices = itertools.chain(chosen, PORTS)
        with mock.patch.object(
            random.SystemRandom, 'randrange', side_effect=choices
        ):
            self.assertNotEqual(ports.free_ports(1), chosen)

    def test_many_calls(self) -> None:
        """Guards against a process that runs out of descriptors."""
        for _ in range(2 * DESCRIPTORS):
            ports.free_ports(1)
        self.assertLess(len(os.listdir('/proc/self/fd')), DESCRIPTORS)
