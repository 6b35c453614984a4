"""Tests of the stand-in that starts a whole system as processes."""

import pathlib
import signal
import tempfile
import threading
import typing
import unittest
from unittest import mock

from poplardrum.standins import fleet

_RULES: typing.Final = {'10.ini': fleet.tenant_rule('lakeshore', 'secret')}
_PAUSE_S: typing.Final = 6.0


class LatePlatformTest(unittest.TestCase):
    """Guards against rules applied before the platform listens.

    On a loaded machine (seen at a load of 16), agents link through their
    bootstrap peers while the platform is still starting; rules applied then
    are refused.
    """

    def test_rules_wait_for_the_platform(self) -> None:
        """The platform is paused for 6 s after its start; rules must wait."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        plan = fleet.Plan((fleet.WorkerPlan(),))
        system = fleet.Fleet(plan, pathlib.Path(directory))
        self.addCleanup(system.stop)
        start = system.platform.start

        def start_paused() -> None:
            start()
            process = system.platform.handle
            process.send_signal(signal.SIGSTOP)
            resume = threading.Timer(
                _PAUSE_S,
                process.send_signal,
                (signal.SIGCONT,),
            )
            resume.start()
            self.addCleanup(resume.join)

        with mock.patch.object(system.platform, 'start', start_paused):
            system.start(_RULES)
        self.assertTrue(system.is_ready())
