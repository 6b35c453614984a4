"""Tests of the command line as operators and callers use it."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import typing
import unittest
import unittest.mock

from poplardrum import ids
from poplardrum.commands import status, tables
from poplardrum.operators import status as build
from poplardrum.peers import links, messages
from poplardrum.standins import data, fleet, ports

MEMBER: typing.Final = {
    'id': 'agent-0',
    'role': 'agent',
    'region': 'great-lakes',
    'zone': 'erie',
    'state': 'ready',
    'linked': True,
    'config': 4,
    'slots': 8,
    'free': 2,
    'queued': 0,
    'speed': 1.0,
    'silent_s': 0.1,
    'ejected_by': [],
}
STATUS: typing.Final[dict[str, typing.Any]] = {
    'entry': 'entry-0',
    'state': 'ready',
    'config': 4,
    'requests': 0,
    'members': [MEMBER],
    'tenants': [],
    'latency': [],
}
ATTENTION: typing.Final[tuple[tuple[dict[str, typing.Any], str], ...]] = (
    ({'linked': False}, 'agent-0: no link'),
    ({'slots': 0}, 'agent-0: no endpoint'),
    ({'state': 'leaving'}, 'agent-0: leaving'),
    ({'ejected_by': ['agent-1']}, 'agent-0: ejected by 1 coordinators'),
)
# Arguments, exit code and part of the output.
USAGE: typing.Final[tuple[tuple[list[str], int, str], ...]] = (
    (['version'], 0, ''),
    ([], 2, ''),
    (['nothing'], 2, ''),
    (['entry'], 2, '--settings'),
    (['entry', '--settings', '/nonexistent'], 2, '/nonexistent'),
    (['agent', '--settings', '/nonexistent'], 2, '/nonexistent'),
    (
        ['submit', '/nonexistent', '--entry', 'x', '--credential-file', 'y'],
        2,
        'y: cannot be read',
    ),
    (['status', '--entry', '127.0.0.1:1', '--token', 'x'], 1, '127.0.0.1:1'),
)


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program in a process of its own, on a wide terminal."""
    return subprocess.run(
        [sys.executable, '-m', 'poplardrum', *arguments],
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, 'COLUMNS': '200'},
    )


class UsageTest(unittest.TestCase):
    """Guards against invalid arguments that end in exit code 0 or a traceback."""

    def test_usage(self) -> None:
        """Guards against a wrong exit code, by which scripts decide."""
        for arguments, code, expected in USAGE:
            with self.subTest(arguments):
                done = run(*arguments)
                self.assertEqual(done.returncode, code, done.stderr)
                self.assertIn(expected, done.stderr + done.stdout)
                self.assertNotIn('Traceback', done.stderr)

    def test_settings_error(self) -> None:
        """Guards against a process that starts with invalid settings."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'agent.ini'
            path.write_text('[process]\nid = a b\n')
            done = run('agent', '--settings', str(path))
        self.assertEqual(done.returncode, 2)
        self.assertIn('agent.ini:2: [process] id', done.stderr)


class StatusTest(unittest.TestCase):
    """Guards against problems that the status does not show."""

    def test_healthy(self) -> None:
        """Guards against warnings about a healthy system."""
        self.assertEqual(status.warnings(STATUS), [])
        self.assertIn('agent-0', status.as_text(STATUS))

    def test_attention(self) -> None:
        """Guards against a member that runs no tasks without a warning."""
        for change, expected in ATTENTION:
            with self.subTest(expected):
                row = {**MEMBER, **change}
                found = status.warnings({**STATUS, 'members': [row]})
                self.assertEqual(found, [expected])

    def test_configuration_behind(self) -> None:
        """Guards against a process that uses an older configuration unnoticed."""
        rows = [MEMBER, {**MEMBER, 'id': 'agent-1', 'config': 3}]
        found = status.warnings({**STATUS, 'members': rows})
        self.assertEqual(found, ['agent-1: configuration behind 4'])

    def test_table(self) -> None:
        """Guards against columns that are not aligned."""
        text = tables.format_table(('name', 'n'), [('a', 12), ('long name', 3)])
        self.assertEqual(text, 'name       n\na          12\nlong name   3')


class SystemTest(unittest.TestCase):
    """Guards against commands that fail on a running system."""

    def test_submit_and_status(self) -> None:
        """Guards against a submission that fails as its first entry is down."""
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory()),
            )
            system = fleet.Fleet(
                fleet.Plan((fleet.WorkerPlan(),), entries=1),
                folder,
            )
            stack.callback(system.stop)
            system.start(data.rules())
            credential = folder / 'credential'
            credential.write_text('harbor-freight-demo\n')
            unused_port = ports.free_ports(1)[0]
            entry = system.entry_addresses[0]
            submit = [
                'submit',
                str(data.JOB),
                '--entry',
                f'127.0.0.1:{unused_port},{entry}',
                '--credential-file',
                str(credential),
            ]
            # An invalid key is refused, so nothing has run.
            refused = run(*submit[:3], entry, *submit[4:], '--key', 'a b')
            self.assertEqual(refused.returncode, 3, refused.stdout)
            done = run(*submit, '--key', 'k', '--json')
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            reply = json.loads(done.stdout)
            self.assertEqual(len(reply['tasks']), 40)
            table = run(*submit, '--key', 'k')
            self.assertIn('state complete, verdict ran', table.stdout)
            shown = run(
                'status', '--entry', entry, '--token', fleet.OPERATOR_TOKEN
            )
            self.assertEqual(shown.returncode, 0, shown.stdout)
            self.assertIn('harbor-freight', shown.stdout)
            wrong = run('status', '--entry', entry, '--token', 'wrong')
            self.assertEqual(wrong.returncode, 1)

    def test_demo(self) -> None:
        """Guards against a demo whose checks fail, as by a task run twice."""
        done = run('demo')
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn('starts per task', done.stdout)


class StatusBodyTest(unittest.TestCase):
    """Guards against an entry that reports a wrong status of a member."""

    def test_ejection(self) -> None:
        """Guards against an ejection that is reported but not listed."""
        members = {
            name: messages.Member(
                ids.MemberId(name),
                messages.Role.agent,
                ids.Incarnation('x'),
                '127.0.0.1',
                1,
                'great-lakes',
                'erie',
            )
            for name in ('agent-0', 'agent-1', 'agent-2')
        }
        process = unittest.mock.MagicMock()
        process.known_members.return_value = list(members.values())
        process.inbound = {}
        process.configuration.number = 3
        process.links = {}
        for member in members.values():
            link = links.Link(member, dialed=True)
            link.load = messages.Load(8, 8, 0)
            process.links[member.id] = link
        process.links['agent-0'].load = messages.Load(
            8,
            8,
            0,
            ejected=[ids.MemberId('agent-2')],
        )
        found = {row.id: row.ejected_by for row in build.list_members(process)}
        self.assertEqual(
            found,
            {'agent-0': [], 'agent-1': [], 'agent-2': ['agent-0']},
        )
