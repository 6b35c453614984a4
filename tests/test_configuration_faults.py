"""Configuration of a running fleet while the store fails."""

import base64
import concurrent.futures
import contextlib
import json
import pathlib
import tempfile
import typing
import unittest

from poplardrum.standins import fleet, http

TENANT: typing.Final = fleet.tenant_rule('lakeshore', 'secret')
PLAN: typing.Final = fleet.Plan(
    (fleet.WorkerPlan(), fleet.WorkerPlan()),
    settings={'platform': 'edit = 4 s\n'},
)
Reply = tuple[int, typing.Any]


class ConfigurationFaultsTest(unittest.TestCase):
    """Guards against edits that store faults lose or apply twice."""

    stack: contextlib.ExitStack
    fleet: fleet.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start two entries and two agents."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        cls.fleet = fleet.Fleet(PLAN, pathlib.Path(directory))
        cls.stack.callback(cls.fleet.stop)
        cls.fleet.start({'10-tenants.ini': TENANT})
        cls.counter = 0

    counter: int

    def setUp(self) -> None:
        """End the faults of the previous test and wait until all recover."""
        self.end_faults()
        self.addCleanup(self.end_faults)

    def end_faults(self) -> None:
        """End all faults; wait until one number is in force everywhere."""
        self.switch(outage=False, delay=0, lose_answers=0)
        self.wait_all()

    def switch(self, **switches: typing.Any) -> None:
        """Set the faults of the store."""
        http.call(
            'PUT',
            f'http://{self.fleet.platform_address}/switch',
            switches,
        )

    def edit(self, *names: str) -> dict[str, typing.Any]:
        """Return a new edit that adds files."""
        type(self).counter += 1
        return {
            'edit': f'edit-{self.counter}',
            'files': [
                {'name': name, 'base': 0, 'text': f'[class c{self.counter}]\n'}
                for name in names
            ],
        }

    def send(self, edit: typing.Any, entry: int = 0) -> Reply:
        """Send an edit to an entry."""
        return self.fleet.call_operator_api(
            'POST',
            '/v1/operator/config',
            edit,
            entry=entry,
        )

    def document(self, entry: int = 0) -> typing.Any:
        """Return the document in force at an entry."""
        return self.fleet.call_operator_api(
            'GET', '/v1/operator/config', entry=entry
        )[1]

    def numbers(self) -> list[int]:
        """Return the numbers of all members as seen by both entries."""
        return [
            row['config']
            for entry in range(2)
            for row in self.fleet.status(entry)['members']
        ]

    def wait_all(self, number: int = 1) -> None:
        """Wait until all members report the same number, at least this."""

        def is_in_force() -> bool:
            numbers = set(self.numbers())
            return len(numbers) == 1 and numbers.pop() >= number

        fleet.wait_until(is_in_force, f'{number} is in force everywhere')

    def check_once(self, edit: typing.Any, name: str) -> None:
        """Check that an edit is in force at all members, once."""
        document = self.document()
        self.wait_all(document['number'])
        edits = [row['edit'] for row in document['history'].values()]
        self.assertEqual(edits.count(edit['edit']), 1)
        self.assertEqual(
            document['files'][name]['text'],
            edit['files'][0]['text'],
        )

    def test_lost_answer(self) -> None:
        """Guards against an edit applied twice after a lost reply."""
        self.switch(lose_answers=1)
        edit = self.edit('lost.ini')
        status, _ = self.send(edit)
        self.assertEqual(status, 200)
        self.check_once(edit, 'lost.ini')

    def test_outage_after_write(self) -> None:
        """Guards against `not_run` for an edit that took effect."""
        edit = self.edit('outage.ini')
        before = self.document()['number']
        self.switch(delay=0.5, lose_answers=1)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            reply = pool.submit(self.send, edit)
            fleet.wait_until(
                lambda: self.document(1)['number'] > before,
                'the write took effect',
            )
            self.switch(outage=True, delay=0)
            status, body = reply.result()
        self.assertEqual((status, body['code']), (503, 'platform'))
        self.assertEqual(body['verdict'], 'may_have_run')
        self.end_faults()
        for entry in range(2):
            self.assertEqual(self.send(edit, entry)[0], 200)
        self.check_once(edit, 'outage.ini')

    def test_outage(self) -> None:
        """Guards against a refused edit that takes effect."""
        self.switch(outage=True)
        edit = self.edit('refused.ini')
        status, body = self.send(edit)
        self.assertEqual((status, body['verdict']), (503, 'not_run'))
        self.end_faults()
        self.assertNotIn('refused.ini', self.document()['files'])

    def test_edit_after_outage(self) -> None:
        """Guards against an edit refused by a circuit still open."""
        self.switch(outage=True)
        calls = self.calls()
        fleet.wait_until(
            lambda: self.calls() > calls + 8,
            'calls have failed in the outage',
        )
        self.switch(outage=False)
        edit = self.edit('returned.ini')
        status, body = self.send(edit)
        self.assertEqual(status, 200, body)
        self.check_once(edit, 'returned.ini')

    def calls(self) -> int:
        """Return the number of calls that the store has received."""
        url = f'http://{self.fleet.platform_address}/calls'
        return sum(http.call('GET', url)[1].values())

    def test_slow_store(self) -> None:
        """Guards against an edit that is lost if each call is slow."""
        self.switch(delay=0.7)
        edit = self.edit('slow.ini')
        status, body = self.send(edit)
        self.assertEqual(status, 200, body)
        self.check_once(edit, 'slow.ini')

    def test_racing_edits(self) -> None:
        """Guards against concurrent edits of which one is lost."""
        shared = [self.edit('same.ini'), self.edit('same.ini')]
        single = [self.edit('one.ini'), self.edit('two.ini')]
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            replies = list(
                pool.map(self.send, [*shared, *single], [0, 1, 0, 1]),
            )
        self.assertEqual([reply[0] for reply in replies[2:]], [200, 200])
        self.assertEqual(sorted(reply[0] for reply in replies[:2]), [200, 409])
        second = 0 if replies[0][0] == 409 else 1
        body = replies[second][1]
        self.assertEqual(body['verdict'], 'not_run')
        conflict = body['conflicts'][0]
        self.assertEqual(
            (conflict['yours'], conflict['theirs']),
            tuple(
                edit['files'][0]['text']
                for edit in (shared[second], shared[1 - second])
            ),
        )
        self.check_once(shared[1 - second], 'same.ini')
        for edit in single:
            self.check_once(edit, edit['files'][0]['name'])

    def test_restore(self) -> None:
        """Guards against edits that a restore of the store reverts."""
        platform = f'http://{self.fleet.platform_address}'
        http.call('PUT', f'{platform}/backup')
        edit = self.edit('restored.ini')
        number = self.send(edit)[1]['number']
        self.wait_all(number)
        http.call('PUT', f'{platform}/restore')
        fleet.wait_until(
            lambda: 'restored.ini' in self.stored_files(),
            'the edit is written back',
        )
        http.call('PUT', f'{platform}/restore')
        later = self.edit('later.ini')
        self.assertEqual(self.send(later, 1)[0], 200)
        self.assertGreaterEqual(min(self.numbers()), number)
        fleet.wait_until(
            lambda: self.stored_files() >= {'restored.ini', 'later.ini'},
            'the platform holds both edits',
        )
        self.check_once(edit, 'restored.ini')

    def stored_files(self) -> set[str]:
        """Return the names of the files in the store."""
        _, rows = http.call(
            'GET',
            f'http://{self.fleet.platform_address}/v1/kv/poplardrum/config',
        )
        return set(json.loads(base64.b64decode(rows[0]['Value']))['files'])

    def test_restart_in_outage(self) -> None:
        """Guards against a restart that loses the configuration."""
        number = self.document()['number']
        self.switch(outage=True)
        for process in (*self.fleet.entries, self.fleet.agents[0]):
            process.kill()
            process.start()
        fleet.wait_until(
            lambda: self.least_number() >= number,
            'restarted processes run by the number of their peers',
        )

    def test_entries_restart_and_restore(self) -> None:
        """Guards against entries that ignore edits only agents have."""
        platform = f'http://{self.fleet.platform_address}'
        http.call('PUT', f'{platform}/backup')
        edit = self.edit('agents.ini')
        number = self.send(edit)[1]['number']
        self.wait_all(number)
        for process in self.fleet.entries:
            process.kill()
        http.call('PUT', f'{platform}/restore')
        for process in self.fleet.entries:
            process.start()
        fleet.wait_until(self.answers, 'the entry answers operators')
        later = self.edit('after.ini')
        status, body = self.send(later)
        self.assertEqual(status, 200, body)
        self.assertGreater(body['number'], number)
        self.check_once(edit, 'agents.ini')
        self.check_once(later, 'after.ini')

    def answers(self) -> bool:
        """Return whether the first entry serves operators."""
        return self.least_number() >= 0

    def least_number(self) -> int:
        """Return the lowest number in force, -1 without a reply."""
        try:
            return min(self.numbers())
        except OSError:
            return -1


class StartInOutageTest(unittest.TestCase):
    """Guards against jobs that run without a configuration."""

    def test_refusal(self) -> None:
        """Guards against a new fleet that accepts jobs without rules."""
        with contextlib.ExitStack() as stack:
            directory = stack.enter_context(tempfile.TemporaryDirectory())
            system = fleet.Fleet(
                fleet.Plan((fleet.WorkerPlan(),), entries=1),
                pathlib.Path(directory),
            )
            stack.callback(system.stop)
            for process in (*system.entries, *system.agents):
                process.start()
            url = f'http://{system.entry_addresses[0]}'
            fleet.wait_until(lambda: is_alive(url), 'the entry listens')
            status, body = http.call('POST', f'{url}/v1/jobs', {'tasks': []})
            self.assertEqual(status, 503)
            self.assertEqual(
                (body['code'], body['verdict']),
                ('no_configuration', 'not_run'),
            )
            self.assertEqual(http.call('GET', f'{url}/readyz')[0], 503)


def is_alive(url: str) -> bool:
    """Return whether a process replies to its liveness probe."""
    try:
        return http.call('GET', f'{url}/livez')[0] == 200
    except OSError:
        return False
