"""Jobs from caller to endpoint, with separate processes over TCP."""

import contextlib
import json
import pathlib
import tempfile
import typing
import unittest

from poplardrum.standins import fleet, http

CREDENTIAL: typing.Final = 'lakeshore-secret'
RULES: typing.Final = {
    '10-tenants.ini': fleet.tenant_rule('lakeshore', CREDENTIAL),
}
WRONG_INPUT: typing.Final[tuple[tuple[str, typing.Any, int, str], ...]] = (
    ('no tasks', {'tasks': []}, 400, 'bad_request'),
    ('unknown field', {'tasks': [{'kind': 'a'}], 'x': 1}, 400, 'bad_request'),
    ('bad kind', {'tasks': [{'kind': 'a b'}]}, 400, 'bad_request'),
    ('missing kind', {'tasks': [{}]}, 400, 'bad_request'),
    ('711 tasks', {'tasks': [{'kind': 'a'}] * 711}, 413, 'too_many_tasks'),
    (
        'large payload',
        {'tasks': [{'kind': 'a', 'payload': 'x' * 70_000}]},
        413,
        'too_large',
    ),
)


def job(count: int, seconds: float) -> dict[str, typing.Any]:
    """Return the body of a job."""
    payload = json.dumps({'seconds': seconds})
    return {'tasks': [{'kind': 'weigh-in', 'payload': payload}] * count}


class ThinPathTest(unittest.TestCase):
    """Guards against jobs that are lost, duplicated or wrongly refused."""

    stack: contextlib.ExitStack
    fleet: fleet.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start two entries and three agents of different speed."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        workers = tuple(fleet.WorkerPlan(speed=speed) for speed in (1, 2, 4))
        cls.fleet = fleet.Fleet(fleet.Plan(workers), pathlib.Path(directory))
        cls.stack.callback(cls.fleet.stop)
        cls.fleet.start(RULES)

    def submit(
        self,
        body: typing.Any,
        key: str,
        entry: int = 0,
        credential: str = CREDENTIAL,
    ) -> tuple[int, typing.Any]:
        """Submit a job as a first attempt."""
        return http.call(
            'POST',
            f'http://{self.fleet.entry_addresses[entry]}/v1/jobs',
            body,
            {
                'Authorization': f'Bearer {credential}',
                'Idempotency-Key': key,
                'Poplardrum-Attempt': 'first',
            },
        )

    def test_job_through_either_entry(self) -> None:
        """Guards against an entry that serves no jobs."""
        for entry in range(2):
            status, reply = self.submit(job(5, 0.05), f'either-{entry}', entry)
            self.assertEqual((status, reply['code']), (200, 'ok'))
            self.assertEqual(len(reply['tasks']), 5)

    def test_resubmission_starts_nothing(self) -> None:
        """Guards against a second start when a caller resubmits."""
        first = self.submit(job(10, 0.05), 'again')
        second = self.submit(job(10, 0.05), 'again', entry=1)
        self.assertEqual(first, second)
        starts = self.fleet.starts()
        mine = [starts[task] for task in starts if first[1]['job'] in task]
        self.assertEqual(mine, [1] * 10)

    def test_wrong_input(self) -> None:
        """Guards against a bad request that runs or has a wrong error code."""
        for name, body, status, code in WRONG_INPUT:
            with self.subTest(name):
                got, reply = self.submit(body, f'wrong-{status}')
                self.assertEqual((got, reply['code']), (status, code))
                self.assertEqual(reply['verdict'], 'not_run')

    def test_unknown_credential(self) -> None:
        """Guards against a credential that no tenant has."""
        got, reply = self.submit(job(1, 0.01), 'who', credential='wrong')
        self.assertEqual((got, reply['code']), (401, 'unknown_credential'))

    def test_key_reused(self) -> None:
        """Guards against the answer of another job under a reused key."""
        self.submit(job(1, 0.01), 'reused')
        got, reply = self.submit(job(2, 0.01), 'reused')
        self.assertEqual((got, reply['code']), (409, 'key_reused'))
