"""A fleet with callers, for tests of submissions and membership."""

import concurrent.futures
import contextlib
import hashlib
import json
import pathlib
import tempfile
import typing
import unittest

from poplardrum import ids
from poplardrum.coordination import views
from poplardrum.standins import fleet, http

CREDENTIAL: typing.Final = 'lakeshore-secret'
TENANT: typing.Final = 'lakeshore'
RULES: typing.Final = {
    '10-tenants.ini': fleet.tenant_rule(TENANT, CREDENTIAL),
}
Reply = tuple[int, typing.Any]


class FleetCase(unittest.TestCase):
    """Start one fleet for a class of tests and submit jobs to it."""

    plan: fleet.Plan = fleet.Plan(
        tuple(fleet.WorkerPlan() for _ in range(3)),
    )
    stack: contextlib.ExitStack
    fleet: fleet.Fleet
    pool: concurrent.futures.ThreadPoolExecutor

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        cls.fleet = fleet.Fleet(cls.plan, pathlib.Path(directory))
        cls.stack.callback(cls.fleet.stop)
        cls.pool = cls.stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(16),
        )
        cls.fleet.start(RULES)

    def setUp(self) -> None:
        """Wait until all processes run and know each other."""
        self.heal()

    def heal(self) -> None:
        """Start the processes that have ended and wait for all links."""
        self.fleet.call_platform('PUT', '/switch', {'outage': False})
        for process in self.fleet.all_processes():
            if process.handle.poll() is not None:
                process.start()
        fleet.wait_until(
            lambda: self.fleet.count_linked_agents() == len(self.fleet.agents),
            'all agents are linked',
        )
        fleet.wait_until(self.fleet.is_ready, 'all have the rules')

    def submit(
        self,
        key: str,
        seconds: float = 0.02,
        entry: int = 0,
        *,
        first: bool = True,
    ) -> Reply:
        """Submit a job of two tasks."""
        payload = json.dumps({'seconds': seconds})
        return http.call(
            'POST',
            f'http://{self.fleet.entry_addresses[entry]}/v1/jobs',
            {'tasks': [{'kind': 'weigh-in', 'payload': payload}] * 2},
            {
                'Authorization': f'Bearer {CREDENTIAL}',
                'Idempotency-Key': key,
                'Poplardrum-Attempt': 'first' if first else 'again',
            },
        )

    def start_job(
        self,
        key: str,
        seconds: float,
        entry: int = 0,
    ) -> 'concurrent.futures.Future[Reply]':
        """Submit a job in the background and wait until it runs."""
        future = self.pool.submit(self.submit, key, seconds, entry)
        fleet.wait_until(lambda: len(self.starts(key)) == 2, f'{key} runs')
        return future

    def call_job(self, method: str, key: str, entry: int = 0) -> Reply:
        """Fetch or cancel a job by its key."""
        return http.call(
            method,
            f'http://{self.fleet.entry_addresses[entry]}/v1/jobs/{key}',
            headers={'Authorization': f'Bearer {CREDENTIAL}'},
        )

    def owner(self, key: str, rank: int = 0) -> int:
        """Return the index of the agent at a rank for a key."""
        order = sorted(
            range(len(self.fleet.agents)),
            key=lambda index: views.score(
                ids.TenantName(TENANT),
                ids.IdempotencyKey(key),
                ids.MemberId(f'agent-{index}'),
            ),
            reverse=True,
        )
        return order[rank]

    def key_owned_by(self, agent: int, name: str) -> str:
        """Return a key for which an agent ranks first."""
        numbers = range(1000)
        keys = (f'{name}-{number}' for number in numbers)
        return next(key for key in keys if self.owner(key) == agent)

    def starts(self, key: str) -> dict[str, int]:
        """Return the starts of a key's tasks, over all its job ids."""
        digest = hashlib.sha256(f'{TENANT}\0{key}'.encode()).hexdigest()
        return {
            task: count
            for task, count in self.fleet.starts().items()
            if task.startswith(digest[:16])
        }

    def assert_started_once(self, key: str) -> None:
        """Check that each task of a key has started at most once."""
        starts = self.starts(key)
        positions = [task.rpartition('.')[2] for task in starts]
        self.assertEqual(len(positions), len(set(positions)), starts)
        self.assertLessEqual(max(starts.values(), default=0), 1, starts)

    def wait_unlinked(self, agent: int) -> None:
        """Wait until no entry has a link to an agent."""
        name = f'agent-{agent}'
        fleet.wait_until(
            lambda: (
                not any(
                    self.fleet.member_status(name, entry)['linked']
                    for entry, _ in enumerate(self.fleet.entries)
                )
            ),
            f'{name} is lost',
        )
