"""The `config` commands against a running fleet."""

import contextlib
import pathlib
import re
import subprocess
import sys
import tempfile
import typing
import unittest

from poplardrum import ids
from poplardrum.operators import document, edits, folder
from poplardrum.standins import fleet, http

TENANT: typing.Final = fleet.tenant_rule('lakeshore', 'secret')


class ApplyTest(unittest.TestCase):
    """Guards against stored files that differ from the applied folder."""

    stack: contextlib.ExitStack
    fleet: fleet.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start two entries and one agent."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        plan = fleet.Plan((fleet.WorkerPlan(),))
        cls.fleet = fleet.Fleet(plan, pathlib.Path(directory))
        cls.stack.callback(cls.fleet.stop)
        cls.fleet.start({'10-tenants.ini': TENANT})

    def setUp(self) -> None:
        """Apply a folder with one file, so that only this file is stored."""
        self.folder = self.new_folder()
        self.write(self.folder, '10-tenants.ini', TENANT)
        code, output = self.apply(self.folder, '--base', str(self.number()))
        self.assertEqual(code, 0, output)

    def new_folder(self) -> pathlib.Path:
        """Return an empty folder."""
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        return pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory()),
        )

    def write(self, path: pathlib.Path, name: str, text: str) -> None:
        """Write one rule file."""
        (path / name).write_text(text)

    def number(self) -> int:
        """Return the configuration number in force."""
        found = self.fleet.call_operator_api('GET', '/v1/operator/config')[1]
        return int(found['number'])

    def texts(self) -> dict[str, str]:
        """Return the texts of the stored files by name."""
        found = self.fleet.call_operator_api('GET', '/v1/operator/config')[1]
        return {name: row['text'] for name, row in found['files'].items()}

    def run_config(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit code and output."""
        process = subprocess.run(
            [sys.executable, '-m', 'poplardrum', 'config', *arguments],
            capture_output=True,
            text=True,
        )
        return process.returncode, process.stdout + process.stderr

    def call(self, *arguments: str, entry: int = 0) -> tuple[int, str]:
        """Run a command that calls an entry."""
        address = self.fleet.entry_addresses[entry]
        return self.run_config(
            *arguments,
            '--entry',
            address,
            '--token',
            fleet.OPERATOR_TOKEN,
        )

    def apply(self, path: pathlib.Path, *more: str) -> tuple[int, str]:
        """Run `config apply` for a folder."""
        return self.call('apply', str(path), *more)

    def test_adds_changes_and_removes(self) -> None:
        """Guards against a file that is not added, changed or removed."""
        self.write(self.folder, '20.ini', '[class a]\n')
        code, output = self.apply(self.folder)
        self.assertEqual(code, 0, output)
        self.assertIn('add 20.ini', output)
        self.assertIn('is in force at 3 processes', output)
        self.write(self.folder, '20.ini', '[class b]\n')
        self.write(self.folder, '30.ini', '[class c]\n')
        self.assertIn('change 20.ini', self.apply(self.folder)[1])
        (self.folder / '20.ini').unlink()
        code, output = self.apply(self.folder)
        self.assertEqual(code, 0, output)
        self.assertIn('remove 20.ini', output)
        self.assertEqual(sorted(self.texts()), ['10-tenants.ini', '30.ini'])
        self.assertIn('nothing to change', self.apply(self.folder)[1])
        code, output = self.call('status', entry=1)
        numbers = re.findall(rf'{self.number()}$', output, re.MULTILINE)
        self.assertEqual((code, len(numbers)), (0, 4), output)
        self.assertIn('[class c]', self.call('show')[1])

    def test_changed_by_another_operator(self) -> None:
        """Guards against an apply that overwrites another operator's edit."""
        self.write(self.folder, '20.ini', '[class a]\n')
        self.apply(self.folder)
        self.fleet.apply({'20.ini': '[class theirs]\n'})
        self.write(self.folder, '20.ini', '[class yours]\n')
        code, output = self.apply(self.folder)
        self.assertEqual(code, 4)
        self.assertIn('+[class yours]', output)
        self.assertIn('-[class theirs]', output)
        self.assertEqual(self.texts()['20.ini'], '[class theirs]\n')
        code, output = self.apply(self.folder, '--base', '1')
        self.assertEqual(code, 4, output)
        code, output = self.apply(self.folder, '--base', str(self.number()))
        self.assertEqual((code, self.texts()['20.ini']), (0, '[class yours]\n'))

    def test_added_by_another_operator(self) -> None:
        """Guards against the removal of a file that another operator added."""
        self.fleet.apply({'40.ini': '[class other]\n'})
        code, output = self.apply(self.folder)
        self.assertEqual(code, 4, output)
        self.assertIn('40.ini', self.texts())

    def test_unconfirmed_edit(self) -> None:
        """Guards against an edit whose outcome is unknown after a crash."""
        pending = edits.Edit(
            ids.EditId('before-the-crash'),
            [edits.FileEdit('50.ini', ids.ConfigNumber(0), '[class a]\n')],
            ids.ConfigNumber(self.number()),
        )
        base = folder.read_base(self.folder)
        folder.write_base(self.folder, folder.Base(base.files, pending))
        self.write(self.folder, '50.ini', '[class b]\n')
        code, output = self.apply(self.folder)
        self.assertEqual(code, 0, output)
        self.assertIn('before-the-crash of an earlier run', output)
        self.assertIn('change 50.ini', output)
        self.assertIsNone(folder.read_base(self.folder).pending)

    def test_store_outage(self) -> None:
        """Guards against an apply that reports success in an outage."""
        url = f'http://{self.fleet.platform_address}/switch'
        self.addCleanup(http.call, 'PUT', url, {'outage': False})
        http.call('PUT', url, {'outage': True})
        self.write(self.folder, '60.ini', '[class a]\n')
        self.assertEqual(self.apply(self.folder)[0], 1)
        http.call('PUT', url, {'outage': False})
        self.assertNotIn('60.ini', self.texts())

    def test_check_against_entry(self) -> None:
        """Guards against a check that compares with something else."""
        self.write(self.folder, '70.ini', '[worker nobody]\nstate = leaving\n')
        before = self.number()
        code, output = self.call('check', str(self.folder))
        self.assertEqual(code, 1, output)
        self.assertEqual(
            output.splitlines(),
            [
                'warning: 70.ini:1: [worker nobody]: never matches: '
                'the fleet has no such worker',
                'difference: [worker nobody] state: added: leaving',
                '0 errors, 1 warnings',
            ],
        )
        self.assertEqual(self.number(), before)

    def test_wrong_input(self) -> None:
        """Guards against invalid input that is sent to an entry."""
        self.write(self.folder, '20.ini', '[limits]\nmax_wait = 3\n')
        before = self.number()
        for arguments in (
            ('check',),
            ('apply', '--entry', '127.0.0.1:1', '--token', 'y'),
        ):
            code, output = self.run_config(*arguments, str(self.folder))
            self.assertEqual(code, 2, output)
            self.assertIn('20.ini:2: [limits] max_wait: expected', output)
        self.assertEqual(self.number(), before)
        address = self.fleet.entry_addresses[0]
        code, _ = self.run_config('show', '--entry', address, '--token', 'no')
        self.assertEqual(code, 1)


class FolderTest(unittest.TestCase):
    """Guards against wrong differences between folder and document."""

    def test_compare(self) -> None:
        """Guards against conflicts that are missed or reported wrongly."""
        stored = document.Document(
            files={
                name: document.RuleFile(text, ids.ConfigNumber(7))
                for name, text in (('a', 'x'), ('b', 'x'))
            },
        )
        bases = {'a': ids.ConfigNumber(7), 'c': ids.ConfigNumber(5)}
        cases: tuple[tuple[dict[str, str], list[str], list[str]], ...] = (
            ({'a': 'x', 'b': 'x'}, [], []),
            ({'a': 'y', 'b': 'x'}, ['a'], []),
            ({'b': 'x'}, ['a'], []),
            ({'a': 'x'}, [], ['b']),
            ({'a': 'x', 'b': 'y'}, [], ['b']),
            ({'a': 'x', 'b': 'x', 'c': 'z'}, [], ['c']),
            ({'a': 'x', 'b': 'x', 'd': 'z'}, ['d'], []),
        )
        for files, changed, conflicting in cases:
            with self.subTest(files):
                found = folder.compare(files, stored, bases)
                self.assertEqual([row.name for row in found.changes], changed)
                self.assertEqual(
                    [row.name for row in found.conflicts],
                    conflicting,
                )

    def test_bases(self) -> None:
        """Guards against a base number for a file that differs."""
        stored = document.Document(
            files={
                name: document.RuleFile('x', ids.ConfigNumber(7))
                for name in ('a', 'b', 'c')
            },
        )
        self.assertEqual(
            folder.base_numbers({'a': 'x', 'b': 'y'}, stored), {'a': 7}
        )
