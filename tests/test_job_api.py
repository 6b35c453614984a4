"""Jobs as callers of the users' platform submit them."""

import json
import typing
import unittest

from poplardrum import errors, ids
from poplardrum.platform import job_api


class TestSubmissions(unittest.TestCase):
    """Jobs as clients submit them, and the routes that they match."""

    step: typing.ClassVar[dict[str, typing.Any]] = {'Count': 2, 'Cpu': 1600}

    def code(self, **changes: typing.Any) -> errors.Code | None:
        """Return the error code for a job with changes, `None` if valid."""
        body = {
            'Specification': 'x',
            'BestEffort': True,
            'Steps': [self.step],
        } | changes
        try:
            job_api.decode_submission(json.dumps(body).encode())
        except errors.PoplardrumError as error:
            self.assertIs(error.verdict, errors.Verdict.not_run)
            return error.code
        return None

    def test_served(self) -> None:
        """Guards against valid jobs that are refused."""
        after = {'After': [0], 'DataRack': 'r1-3', 'Requirements': 'a'}
        for changes in (
            {},
            {'BestEffort': False},
            {'Steps': [self.step, self.step | after]},
            {'Steps': [self.step | {'AntiAffinity': 1}]},
        ):
            with self.subTest(changes=changes):
                self.assertIsNone(self.code(**changes))

    def test_steps_without_tasks(self) -> None:
        """Guards against steps that cost time and memory without a limit."""
        empty = {'Count': 0}
        self.assertIsNone(self.code(Steps=[self.step] + [empty] * 1023))
        for count in (1024, 5000):
            self.assertIs(
                self.code(Steps=[self.step] + [empty] * count),
                errors.Code.too_many_tasks,
            )

    def test_predecessors(self) -> None:
        """Guards against steps that wait for themselves or none."""
        for after in ([1], [-1], [0, 5]):
            self.assertIs(
                self.code(Steps=[self.step, self.step | {'After': after}]),
                errors.Code.bad_request,
            )

    def test_not_served(self) -> None:
        """Guards against features that are ignored instead of refused."""
        for changes in (
            {'Steps': [self.step, self.step | {'Gang': True}]},
            {'Repetitions': 2},
            {'Steps': [self.step | {'Gang': True}]},
            {'Steps': [self.step | {'LongRunning': True}]},
            {'Steps': [self.step | {'Fills': True}]},
        ):
            with self.subTest(changes=changes):
                self.assertIs(self.code(**changes), errors.Code.unsupported)

    def test_malformed(self) -> None:
        """Guards against a malformed or oversized job that is accepted."""
        for changes, code in (
            ({'Steps': []}, errors.Code.bad_request),
            ({'Steps': [{'Count': 'x'}]}, errors.Code.bad_request),
            (
                {'Steps': [self.step, self.step | {'After': [1]}]},
                errors.Code.bad_request,
            ),
            ({'Specification': 'x' * 4001}, errors.Code.too_large),
            ({'Steps': [{'Count': 5000}]}, errors.Code.too_many_tasks),
        ):
            with self.subTest(changes=changes):
                self.assertIs(self.code(**changes), code)

    def test_longest_prefix(self) -> None:
        """Guards against a job that is assigned to the wrong route."""
        routes = [
            job_api.Route('a', 'h.example', '/x/'),
            job_api.Route('b', 'h.example', '/x/y/'),
            job_api.Route('c', 'other.example', '/x/y/z/'),
        ]
        found = job_api.Configuration(1, routes).find_route(
            'h.example', '/x/y/z/1'
        )
        self.assertIs(found, routes[1])

    def test_id(self) -> None:
        """Guards against job ids that do not form valid task names."""
        route = job_api.Route('a', 'h.example', '/x/')
        identity = ids.JobId('5c0e7a21d94b36f8')
        self.assertEqual(
            job_api.parse_job_id(route, f'/x/{identity}'), identity
        )
        for path in ('/x/', '/x/5c0e', '/x/5c0e7a21d94b36fz'):
            self.assertIsNone(job_api.parse_job_id(route, path))
