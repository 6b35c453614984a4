"""State of jobs at the entry that accepted them."""

import typing
import unittest

from poplardrum.dispatch import jobs, messages

DEMAND: typing.Final = messages.Resources(1000, 64, 0)


class TestCriticalPath(unittest.TestCase):
    """The duration of the longest chain of steps."""

    def test_parallel_branches(self) -> None:
        """Guards against adding up the durations of parallel steps."""
        steps = [
            jobs.Step(0, 0, 1, DEMAND, 1.0),
            jobs.Step(1, 1, 4, DEMAND, 2.0, after=(0,)),
            jobs.Step(2, 5, 1, DEMAND, 0.5, after=(0,)),
            jobs.Step(3, 6, 1, DEMAND, 1.0, after=(1, 2)),
        ]
        self.assertEqual(jobs.critical_path_duration(steps), 4.0)
