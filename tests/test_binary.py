"""Tests of the binary as it runs on a host."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import typing
import unittest

from poplardrum import VERSION
from poplardrum.standins import fleet, http, ports
from tools import build_binary

_MAX_BYTES: typing.Final = 32 * 1024 * 1024


class BinaryTest(unittest.TestCase):
    """Guards against a binary that lacks a part or violates host rules."""

    folder: pathlib.Path
    binary: pathlib.Path
    environment: dict[str, str]
    stack: contextlib.ExitStack

    @classmethod
    def setUpClass(cls) -> None:
        """Build the binary once for all tests, into a temporary folder."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        cls.folder = pathlib.Path(
            cls.stack.enter_context(tempfile.TemporaryDirectory()),
        )
        cls.binary = cls.folder / 'poplardrum'
        # Only packages in the binary can be imported: there is no PYTHONPATH,
        # and the interpreter is the one below the virtual environment.
        cls.environment = {
            'PATH': os.pathsep.join(
                [str(pathlib.Path(sys.base_prefix) / 'bin'), os.defpath],
            ),
            'SHIV_ROOT': str(cls.folder / 'unpacked'),
        }
        build_binary.build(cls.binary)

    def test_version(self) -> None:
        """Guards against a binary that does not start or is too large."""
        done = subprocess.run(
            [str(self.binary), 'version'],
            env=self.environment,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(done.stdout.strip(), f'poplardrum {VERSION}')
        self.assertTrue(list((self.folder / 'unpacked').iterdir()))
        self.assertLess(self.binary.stat().st_size, _MAX_BYTES)

    def test_no_development_tools(self) -> None:
        """Guards against test and lint tools in the binary."""
        listed = subprocess.run(
            [sys.executable, '-m', 'zipfile', '-l', str(self.binary)],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for name in ('hypothesis', 'mypy', 'flake8', 'shiv', 'ruff'):
            self.assertNotIn(f'site-packages/{name}/', listed)

    def test_one_process(self) -> None:
        """Guards against child processes and an unclean stop."""
        with contextlib.ExitStack() as stack:
            process = self.start_entry(stack)
            proc_folder = pathlib.Path('/proc') / str(process.pid)
            children = proc_folder / 'task' / str(process.pid) / 'children'
            self.assertEqual(children.read_text(), '')
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(60), 0)

    def test_no_io_uring(self) -> None:
        """Guards against io_uring, which hosts do not allow."""
        with contextlib.ExitStack() as stack:
            process = self.start_entry(stack)
            targets = open_files(pathlib.Path('/proc') / str(process.pid))
        self.assertEqual([link for link in targets if 'io_uring' in link], [])

    def start_entry(
        self,
        stack: contextlib.ExitStack,
    ) -> subprocess.Popen[bytes]:
        """Start an entry, wait until it replies and let `stack` end it."""
        port_numbers = ports.free_ports(3)
        peers, web, platform = (f'127.0.0.1:{port}' for port in port_numbers)
        settings = self.folder / f'{port_numbers[0]}.ini'
        settings.write_text(
            '[process]\nid = e\nregion = r\nzone = z\n[listen]\n'
            f'peers = {peers}\nhttp = {web}\n'
            f'[platform]\naddress = {platform}\n'
            '[limits]\nbalancer = 10 ms\n',
        )
        process = subprocess.Popen(
            [str(self.binary), 'entry', '--settings', str(settings)],
            env=self.environment,
            stderr=subprocess.DEVNULL,
        )
        stack.callback(stop, process)
        fleet.wait_until(lambda: is_alive(web), 'the entry answers')
        return process


def stop(process: subprocess.Popen[bytes]) -> None:
    """Kill a process that a failed test left running."""
    if process.poll() is None:
        process.kill()
        process.wait()


def is_alive(address: str) -> bool:
    """Return whether a process passes its liveness probe."""
    try:
        status, _ = http.call('GET', f'http://{address}/livez')
    except OSError:
        return False
    return status == 200


def open_files(proc_folder: pathlib.Path) -> list[str]:
    """Return the targets of a process's file descriptors."""
    targets = []
    for entry in (proc_folder / 'fd').iterdir():
        # The process may have closed the file since it was listed.
        with contextlib.suppress(FileNotFoundError):
            targets.append(str(entry.readlink()))
    return targets
