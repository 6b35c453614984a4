"""Quotas and load shedding of an entry, with separate processes."""

import concurrent.futures
import contextlib
import json
import pathlib
import tempfile
import typing
import unittest

from poplardrum.standins import fleet, http

CREDENTIAL: typing.Final = 'lakeshore-secret'
QUOTA: typing.Final = 'max_tasks = 4\n'
RULES: typing.Final = {
    '10-tenants.ini': fleet.tenant_rule('lakeshore', CREDENTIAL) + QUOTA,
}
Reply = tuple[int, typing.Any]


class AdmissionTest(unittest.TestCase):
    """Guards against refused known keys and quotas that leak."""

    stack: contextlib.ExitStack
    fleet: fleet.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start an entry and two agents."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        plan = fleet.Plan((fleet.WorkerPlan(), fleet.WorkerPlan()))
        cls.fleet = fleet.Fleet(plan, pathlib.Path(directory))
        cls.stack.callback(cls.fleet.stop)
        cls.fleet.start(RULES)

    def submit(self, key: str, count: int, *, first: bool = True) -> Reply:
        """Submit a job of tasks of two seconds."""
        payload = json.dumps({'seconds': 2})
        task = {'kind': 'weigh-in', 'payload': payload}
        headers = {
            'Authorization': f'Bearer {CREDENTIAL}',
            'Idempotency-Key': key,
            'Poplardrum-Attempt': 'first' if first else 'again',
        }
        url = f'http://{self.fleet.entry_addresses[0]}/v1/jobs'
        return http.call('POST', url, {'tasks': [task] * count}, headers)

    def known(self, key: str) -> bool:
        """Return whether the coordinator has a record of the key."""
        url = f'http://{self.fleet.entry_addresses[0]}/v1/jobs/{key}'
        headers = {'Authorization': f'Bearer {CREDENTIAL}'}
        return http.call('GET', url, headers=headers)[0] != 404

    def test_job_over_quota(self) -> None:
        """Fails if a job of five tasks is admitted under a quota of four."""
        status, reply = self.submit('large', 5)
        self.assertEqual((status, reply['code']), (429, 'quota'))
        self.assertEqual(reply['verdict'], 'not_run')
        self.assertGreater(reply['retry_after_ms'], 0)
        self.assertFalse(self.known('large'))

    def test_known_key_is_attached_at_the_quota(self) -> None:
        """Fails if a resubmission is refused, or a new job admitted as one."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            running = pool.submit(self.submit, 'known', 4)
            fleet.wait_until(lambda: self.known('known'), 'the job is known')
            status, reply = self.submit('new', 1, first=False)
            self.assertEqual((status, reply['code']), (429, 'overload'))
            self.assertEqual(reply['verdict'], 'not_run')
            again = self.submit('known', 4, first=False)
            self.assertEqual(again, running.result())
            self.assertEqual(again[0], 200)
        self.assertFalse(self.known('new'))
        self.assertEqual(self.submit('after', 4)[0], 200)
