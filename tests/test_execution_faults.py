"""Faults of workers and endpoints in a running system of processes."""

import concurrent.futures
import contextlib
import json
import pathlib
import signal
import tempfile
import time
import typing
import unittest

from poplardrum import ids
from poplardrum.coordination import views
from poplardrum.peers import messages
from poplardrum.standins import fleet, http, processes

CREDENTIAL: typing.Final = 'lakeshore-secret'
TENANT: typing.Final = ids.TenantName('lakeshore')
SLOTS: typing.Final = 2
WORKERS: typing.Final = 3
HANG_PAYLOAD: typing.Final = json.dumps({'hang': True})

Reply = tuple[int, typing.Any]


def member(name: str) -> messages.Member:
    """Return a member by its name, for the ranking of coordinators."""
    return messages.Member(
        ids.MemberId(name),
        messages.Role.agent,
        ids.Incarnation(''),
        '',
        0,
        'great-lakes',
        'toledo',
    )


def key_for(agent: int, purpose: str) -> str:
    """Return a key whose first coordinator is the given agent."""
    members = [member(f'agent-{index}') for index in range(WORKERS)]
    for number in range(1000):
        key = ids.IdempotencyKey(f'{purpose}-{number}')
        if views.rank(TENANT, key, members)[0].id == f'agent-{agent}':
            return key
    raise AssertionError('no key found')


class FaultTest(unittest.TestCase):
    """Guards against second starts and false verdicts when processes fail."""

    stack: contextlib.ExitStack
    system: fleet.Fleet
    pool: concurrent.futures.ThreadPoolExecutor

    @classmethod
    def setUpClass(cls) -> None:
        """Start one entry and three agents with two slots each."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        workers = (fleet.WorkerPlan(slots=SLOTS),) * WORKERS
        cls.system = fleet.Fleet(
            fleet.Plan(workers, entries=1),
            pathlib.Path(directory),
        )
        cls.pool = cls.stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(8),
        )
        for process in cls.system.all_processes():
            cls.stack.callback(cls.kill, process)
        cls.system.start({'10.ini': fleet.tenant_rule(TENANT, CREDENTIAL)})

    @classmethod
    def kill(cls, process: processes.Process) -> None:
        """Kill a process if it was started."""
        if process.popen is not None:
            process.kill()

    def tearDown(self) -> None:
        """Check that no task started twice and no endpoint had too many."""
        duplicates = {
            task: count
            for task, count in self.system.starts().items()
            if count > 1
        }
        self.assertEqual(duplicates, {})
        for index in range(WORKERS):
            self.assertLessEqual(self.endpoint(index)['most_running'], SLOTS)
        fleet.wait_until(self.is_idle, 'all slots are free again')

    def is_idle(self) -> bool:
        """Return whether the entry reports all agents linked, no backlog.

        The entry admits the next test's jobs by the load that it knows.
        """
        if self.system.count_linked_agents() != WORKERS:
            return False
        tenants = self.system.status()['tenants']
        return not any(tenant['backlog_s'] for tenant in tenants)

    def endpoint(self, index: int) -> dict[str, typing.Any]:
        """Return the counts of an endpoint."""
        address = self.system.endpoint_addresses[index]
        _, reply = http.call('GET', f'http://{address}/starts')
        return typing.cast(dict[str, typing.Any], reply)

    def switch(self, index: int, **changes: typing.Any) -> None:
        """Change the behaviour of an endpoint."""
        address = self.system.endpoint_addresses[index]
        http.call('PUT', f'http://{address}/switch', changes)

    def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        key: str = '',
    ) -> Reply:
        """Call the entry as the tenant."""
        return http.call(
            method,
            f'http://{self.system.entry_addresses[0]}{path}',
            body,
            {
                'Authorization': f'Bearer {CREDENTIAL}',
                'Idempotency-Key': key,
                'Poplardrum-Attempt': 'first',
            },
        )

    def submit(
        self,
        key: str,
        count: int,
        payload: str,
        deadline: float = 60,
    ) -> concurrent.futures.Future[Reply]:
        """Submit a job in the background."""
        body = {
            'deadline_ms': int(1000 * deadline),
            'tasks': [{'kind': 'weigh-in', 'payload': payload}] * count,
        }
        return self.pool.submit(self.call, 'POST', '/v1/jobs', body, key)

    def started(self, index: int) -> set[str]:
        """Return the tasks that an endpoint has started."""
        return set(self.endpoint(index)['starts'])

    def wait_running(self, index: int, before: set[str]) -> set[str]:
        """Wait until an endpoint has filled its slots; return its tasks.

        `before` has the tasks that it had started before the submission.
        """
        fleet.wait_until(
            lambda: len(self.started(index)) >= len(before) + SLOTS,
            f'endpoint {index} runs tasks',
        )
        return self.started(index) - before

    def check_verdicts(
        self,
        reply: typing.Any,
        starts: dict[str, int],
    ) -> list[str]:
        """Compare verdicts with starts; return the verdicts in order."""
        verdicts = [task['verdict'] for task in reply['tasks']]
        for position, verdict in enumerate(verdicts):
            started = starts.get(f'{reply["job"]}.{position}', 0)
            if verdict == 'not_run':
                self.assertEqual(started, 0)
            if verdict == 'ran':
                self.assertEqual(started, 1)
        return verdicts

    def test_agent_killed(self) -> None:
        """Guards against a second start of what a killed agent ran."""
        payload = json.dumps({'seconds': 1.5})
        before_submission = self.started(1)
        job = self.submit(key_for(0, 'killed'), 12, payload)
        lost = self.wait_running(1, before_submission)
        self.system.agents[1].kill()
        self.system.agents[1].start()
        _, reply = job.result()
        verdicts = self.check_verdicts(reply, self.system.starts())
        self.assertEqual(len(verdicts), 12)
        self.assertEqual(verdicts.count('may_have_run'), len(lost))

    def test_agent_paused_briefly(self) -> None:
        """Guards against the loss of tasks that end while a link is down."""
        payload = json.dumps({'seconds': 9})
        before_submission = self.started(1)
        job = self.submit(key_for(0, 'brief'), 6, payload)
        self.wait_running(1, before_submission)
        self.system.agents[1].send_signal(signal.SIGSTOP)
        fleet.wait_until(
            lambda: self.system.count_linked_agents() == WORKERS - 1,
            'the silent link is closed',
        )
        self.system.agents[1].send_signal(signal.SIGCONT)
        _, reply = job.result()
        verdicts = self.check_verdicts(reply, self.system.starts())
        self.assertEqual(verdicts, ['ran'] * 6)

    def test_agent_paused_past_leases(self) -> None:
        """Guards against starts on a lapsed lease after a pause."""
        payload = json.dumps({'seconds': 1})
        self.system.agents[2].send_signal(signal.SIGSTOP)
        jobs = [
            self.submit(key_for(0, f'paused-{number}'), 6, payload)
            for number in range(3)
        ]
        replies = [job.result()[1] for job in jobs]
        self.assertTrue(all(len(reply['tasks']) == 6 for reply in replies))
        self.system.agents[2].send_signal(signal.SIGCONT)
        fleet.wait_until(self.is_idle, 'the resumed agent is linked')
        time.sleep(1)
        starts = self.system.starts()
        for reply in replies:
            verdicts = self.check_verdicts(reply, starts)
            for position, verdict in enumerate(verdicts):
                task = f'{reply["job"]}.{position}'
                if verdict == 'may_have_run':
                    self.assertNotIn(task, starts)

    def test_endpoint_killed(self) -> None:
        """Guards against a second start of what a killed endpoint ran."""
        payload = json.dumps({'seconds': 3})
        before_submission = self.started(1)
        job = self.submit(key_for(0, 'endpoint'), 12, payload)
        lost = self.wait_running(1, before_submission)
        before = self.system.starts()
        self.system.endpoints[1].kill()
        try:
            _, reply = job.result()
        finally:
            self.system.endpoints[1].start()
            fleet.wait_until(self.is_idle, 'the endpoint is back')
        starts = {**self.system.starts(), **dict.fromkeys(lost, 1)}
        verdicts = self.check_verdicts(reply, {**before, **starts})
        uncertain = {
            f'{reply["job"]}.{position}'
            for position, verdict in enumerate(verdicts)
            if verdict == 'may_have_run'
        }
        self.assertEqual(uncertain, lost)
        self.assertEqual(verdicts.count('ran'), 12 - len(lost))

    def test_endpoint_leaves(self) -> None:
        """Guards against new work at a leaving endpoint after 2 s."""
        payload = json.dumps({'seconds': 0.5})
        before_submission = self.started(1)
        job = self.submit(key_for(1, 'leaving'), 40, payload)
        self.wait_running(1, before_submission)
        self.switch(1, state='leaving')
        time.sleep(2)
        at_limit = len(self.endpoint(1)['starts'])
        _, reply = job.result()
        self.assertEqual(len(self.endpoint(1)['starts']), at_limit)
        self.switch(1, state='ready')
        verdicts = self.check_verdicts(reply, self.system.starts())
        self.assertEqual(verdicts, ['ran'] * 40)

    def test_cancellation_wave(self) -> None:
        """Guards against cancelled tasks that run on and false verdicts."""
        payload = json.dumps({'seconds': 30})
        keys = [key_for(number % 3, f'wave-{number}') for number in range(6)]
        before_submission = self.started(1)
        jobs = [self.submit(key, 10, payload) for key in keys]
        self.wait_running(1, before_submission)
        for key in keys:
            self.pool.submit(self.call, 'DELETE', f'/v1/jobs/{key}')
        replies = [job.result()[1] for job in jobs]
        starts = self.system.starts()
        for reply in replies:
            verdicts = self.check_verdicts(reply, starts)
            self.assertEqual(len(verdicts), 10)
            self.assertNotIn('may_have_run', verdicts)
            self.assertEqual(reply['code'], 'cancelled')

    def test_cancel_one_job(self) -> None:
        """Guards against starts of queued tasks after a cancellation."""
        key = key_for(0, 'cancel')
        before_submission = self.started(1)
        job = self.submit(key, 60, json.dumps({'seconds': 30}))
        self.wait_running(1, before_submission)
        self.call('DELETE', f'/v1/jobs/{key}')
        _, reply = job.result()
        verdicts = self.check_verdicts(reply, self.system.starts())
        self.assertEqual(verdicts.count('ran'), SLOTS * WORKERS)
        self.assertEqual(verdicts.count('not_run'), 60 - SLOTS * WORKERS)

    def test_endpoint_never_answers(self) -> None:
        """Guards against a hung task that blocks a slot or a job for ever."""
        job = self.submit(key_for(0, 'hang'), 8, HANG_PAYLOAD, deadline=2)
        _, reply = job.result()
        verdicts = self.check_verdicts(reply, self.system.starts())
        self.assertEqual(verdicts.count('may_have_run'), SLOTS * WORKERS)
        self.assertEqual(verdicts.count('not_run'), 2)
        payload = json.dumps({'seconds': 0.01})
        _, reply = self.submit(key_for(0, 'after'), 6, payload).result()
        self.assertEqual(reply['code'], 'ok')
