"""Membership: joining, leaving, loss and rolling restarts of processes."""

import asyncio
import threading
import time
import types
import typing
import unittest

from poplardrum.daemons import entry
from poplardrum.peers import messages, outbox
from poplardrum.standins import fleet, http
from tests import submission_fleet


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an entry that is ready but must refuse all jobs.

    An entry that has just started and is ready before any agent has reported
    its slots refuses jobs with 'no worker has a slot'. This failed one of the
    1,192 requests of a run of test_rolling_restart.
    """

    async def status(self, **linked: types.SimpleNamespace) -> int:
        """Return the status of the probe with these links."""
        process = types.SimpleNamespace(check_ready=lambda: None, links=linked)
        response = await entry.Entry.readiness(
            typing.cast(entry.Entry, process),
            typing.cast(typing.Any, None),
        )
        return response.status

    async def test_waits_for_the_first_load(self) -> None:
        """An entry is ready when one of its agents has reported its load."""
        silent = types.SimpleNamespace(load=None)
        loaded = types.SimpleNamespace(load=messages.Load)
        self.assertEqual(await self.status(), 503)
        self.assertEqual(await self.status(one=silent), 503)
        self.assertEqual(await self.status(one=silent, two=loaded), 200)


class MembershipTest(submission_fleet.FleetCase):
    """Guards against members that are unknown or have a wrong state."""

    def state(self, agent: int, entry: int) -> str:
        """Return the state of an agent at an entry."""
        return str(self.fleet.member_status(f'agent-{agent}', entry)['state'])

    def wait_state(self, agent: int, state: str) -> float:
        """Return the time until both entries know a state, in seconds."""
        started = time.monotonic()
        fleet.wait_until(
            lambda: all(self.state(agent, entry) == state for entry in (0, 1)),
            f'agent {agent} is {state}',
        )
        return time.monotonic() - started

    def test_dead_agent(self) -> None:
        """Guards against waiting for the silence limit after a break."""
        self.fleet.agents[0].kill()
        self.wait_unlinked(0)
        self.assertNotIn('is silent', self.entry_logs())

    def test_slow_agent(self) -> None:
        """Guards against treating a slow agent as dead."""
        link_count = self.entry_logs().count('link to agent-1 is up')
        self.fleet.agents[1].pause()
        self.addCleanup(self.fleet.agents[1].resume)
        time.sleep(2.5)
        self.fleet.agents[1].resume()
        self.submit(self.key_owned_by(1, 'slow'))
        self.assertEqual(
            self.entry_logs().count('link to agent-1 is up'),
            link_count,
        )

    def test_leaving_endpoint(self) -> None:
        """Guards against new work to a leaving endpoint."""
        address = self.fleet.endpoint_addresses[2]
        http.call('PUT', f'http://{address}/switch', {'state': 'leaving'})
        self.wait_state(2, 'leaving')
        before = self.fleet.endpoint_starts(2)
        for number in range(10):
            self.assertEqual(self.submit(f'left-{number}')[0], 200)
        self.assertEqual(self.fleet.endpoint_starts(2), before)
        http.call('PUT', f'http://{address}/switch', {'state': 'ready'})
        self.wait_state(2, 'ready')

    def test_leaving_by_rule(self) -> None:
        """Guards against an operator's rule that has no effect."""
        rule = '[worker agent-2]\nstate = {0}\n'
        # An edit names the configuration that its entry has applied.
        self.fleet.apply_everywhere({'50-leave.ini': rule.format('leaving')})
        self.wait_state(2, 'leaving')
        before = self.fleet.endpoint_starts(2)
        for number in range(10):
            self.assertEqual(self.submit(f'ruled-{number}')[0], 200)
        self.assertEqual(self.fleet.endpoint_starts(2), before)
        self.fleet.apply({'50-leave.ini': rule.format('ready')}, entry=1)
        self.wait_state(2, 'ready')

    def test_joins_in_outage(self) -> None:
        """Guards against a process that needs the platform to join."""
        self.fleet.agents[0].stop()
        self.fleet.entries[0].stop()
        self.fleet.call_platform('PUT', '/switch', {'outage': True})
        self.fleet.agents[0].start()
        self.fleet.entries[0].start()
        fleet.wait_until(
            lambda: self.fleet.count_linked_agents() == len(self.fleet.agents),
            'all agents are linked',
        )
        fleet.wait_until(self.fleet.is_ready, 'all have the rules')
        key = self.key_owned_by(0, 'outage')
        self.assertEqual(self.submit(key)[0], 200)

    def entry_logs(self) -> str:
        """Return the logs of the entries."""
        return '\n'.join(
            entry.log.read_text(encoding='utf-8')
            for entry in self.fleet.entries
        )


class RemovalTest(submission_fleet.FleetCase):
    """Guards against registrations of dead agents that stay for ever."""

    plan = fleet.Plan(
        (fleet.WorkerPlan(), fleet.WorkerPlan()),
        settings={'limits': 'window = 1 s\ndeadline = 1 s\n'},
    )

    def registered(self, name: str) -> bool:
        """Return whether the platform's store has a registration."""
        path = f'/v1/kv/poplardrum/members/{name}'
        return self.fleet.call_platform('GET', path)[0] == 200

    def test_removed_after_window(self) -> None:
        """Guards against a dead agent that keeps keys indeterminate."""
        self.assertTrue(self.registered('agent-0'))
        self.fleet.agents[0].kill()
        fleet.wait_until(lambda: not self.registered('agent-0'), 'removal')
        self.assertTrue(self.registered('agent-1'))
        self.heal()
        fleet.wait_until(lambda: self.registered('agent-0'), 'return')

    def test_returns_after_removal(self) -> None:
        """Guards against a live agent that stays recorded as gone."""
        self.fleet.agents[1].pause()
        self.addCleanup(self.fleet.agents[1].resume)
        fleet.wait_until(lambda: not self.registered('agent-1'), 'removal')
        self.fleet.agents[1].resume()
        self.heal()
        key = self.key_owned_by(1, 'returned')
        self.assertEqual(self.submit(key)[0], 200)
        self.assertEqual(self.fleet.member_status('agent-1')['state'], 'ready')


class OutboxTest(unittest.IsolatedAsyncioTestCase):
    """Guards against links that outlive their cancellation."""

    async def test_cancelled_with_item(self) -> None:
        """Guards against a cancellation that is lost when an item arrives."""
        subject = outbox.Outbox()
        take_task = asyncio.ensure_future(subject.take(60))
        await asyncio.sleep(0)
        subject.put(messages.Heartbeat())
        take_task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await take_task


class LoadGenerator:
    """Callers that submit jobs without pause, as with a load balancer."""

    def __init__(self, case: submission_fleet.FleetCase) -> None:
        """Prepare to call the entries of a fleet."""
        self.case = case
        self.ended = threading.Event()
        self.replies: list[submission_fleet.Reply] = []
        self.keys: list[str] = []

    def run(self, caller: int) -> None:
        """Submit until ended, each key until it is not refused."""
        number = 0
        while not self.ended.is_set():
            number += 1
            key = f'rolling-{caller}-{number}'
            self.keys.append(key)
            self.replies.append(self.submit(key, caller))

    def submit(self, key: str, caller: int) -> submission_fleet.Reply:
        """Submit through the entries that are ready."""
        entry = caller % 2
        while True:
            entry = 1 - entry
            if self.is_ready(entry):
                status, reply = self.attempt(key, entry)
                if reply['code'] not in {'refused', 'stopping'}:
                    return status, reply

    def attempt(self, key: str, entry: int) -> submission_fleet.Reply:
        """Submit once; a broken connection counts as a bad reply."""
        try:
            return self.case.submit(key, 0.02, entry)
        except OSError as error:
            refused = 'Connection refused' in str(error)
            return 0, {'code': 'refused' if refused else repr(error)}

    def is_ready(self, entry: int) -> bool:
        """Query the readiness probe, as a load balancer does."""
        address = self.case.fleet.entry_addresses[entry]
        try:
            status, _ = http.call('GET', f'http://{address}/readyz')
        except OSError:
            return False
        return status == 200


class RollingRestartTest(submission_fleet.FleetCase):
    """Guards against requests that fail or break off at a planned restart."""

    def test_rolling_restart(self) -> None:
        """Restart every process, one by one, under load."""
        load = LoadGenerator(self)
        callers = [self.pool.submit(load.run, caller) for caller in range(4)]
        codes: list[int] = []
        for process in (*self.fleet.agents, *self.fleet.entries):
            codes.append(process.stop())
            self.heal()
        load.ended.set()
        for caller in callers:
            caller.result()
        self.assertEqual(codes, [0] * len(codes))
        bad = [reply for reply in load.replies if reply[0] != 200]
        self.assertEqual(bad, [], f'of {len(load.replies)}')
        starts: typing.Final = self.fleet.starts()
        self.assertEqual(set(starts.values()), {1})
        self.assertEqual(len(starts), 2 * len(load.replies))
