"""Tests of benchmark code whose faults would overstate performance."""

import random
import unittest

from bench import figures, process_system


class BenchTest(unittest.TestCase):
    """Guards against figures that overstate performance."""

    def test_schedule(self) -> None:
        """Guards against an ideal response time that is too long."""
        first = process_system.Job('a', 0, [1, 1, 2])
        self.assertEqual(
            process_system.ideal_response_times([first], [1, 2]), [1.5]
        )
        second = process_system.Job('a', 0, [1])
        self.assertEqual(
            process_system.ideal_response_times([first, second], [1, 2])[1], 2
        )

    def test_arrivals(self) -> None:
        """Guards against drawing less load than the benchmark reports."""
        jobs = process_system.draw_jobs(
            random.Random(1), offered_load=50, span=20
        )
        self.assertGreaterEqual(sum(job.slot_seconds for job in jobs), 1000)
        self.assertEqual(
            [job.tasks for job in jobs],
            [
                job.tasks
                for job in process_system.draw_jobs(
                    random.Random(1), offered_load=50, span=20
                )
            ],
        )
        self.assertTrue(all(0 <= job.arrival <= 20 for job in jobs))
        self.assertTrue(all(1 <= len(job.tasks) <= 200 for job in jobs))

    def test_lines(self) -> None:
        """Guards against a missed bound that is printed as ok."""
        expected_lines = (
            (figures.at_most('a', 2, 'ms', 1), 'a 2 ms 1 short'),
            (figures.at_most('a', 1, 'ms', 1), 'a 1 ms 1 ok'),
            (figures.at_least('a', 0.5, 'share', 1), 'a 0.5 share 1 short'),
            (figures.without_bound('a', 0.5, 's'), 'a 0.5 s - ok'),
            (figures.at_most('a', float('nan'), 's', 1), 'a nan s 1 short'),
        )
        for figure, line in expected_lines:
            self.assertEqual(figure.format_line(), line)

    def test_quantile(self) -> None:
        """Guards against a quantile below the requested one."""
        values = [float(number) for number in range(100)]
        self.assertEqual(figures.quantile(values, 0.5), 50)
        self.assertEqual(figures.quantile(values, 0.99), 99)
