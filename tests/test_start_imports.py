"""Tests of what a process imports before it serves."""

import os
import subprocess
import sys
import unittest

# Each costs every start after a loss of power CPU time, and nothing that a
# process does before it is ready needs it.
_LATER = frozenset(
    (
        'configparser',
        'ctypes',
        'hdrh',
        'prometheus_client',
        'grpclib',
        'rich',
        'cappa',
        'aiohttp.web',
        'aiohttp.web_app',
        'aiohttp.web_runner',
        'poplardrum.ini',
        'poplardrum.settings',
        'poplardrum.dispatch.exposition',
    )
)
_ENTRY_ONLY = frozenset(
    (
        'poplardrum.dispatch.coordinator',
        'poplardrum.dispatch.stored_jobs',
        'poplardrum.dispatch.takeover',
    )
)
_AGENT_ONLY = frozenset(
    (
        'poplardrum.dispatch.executor',
        'poplardrum.platform.endpoints',
    )
)


def _imported_by(module: str) -> set[str]:
    """Return the modules that a process has after the import of a role."""
    completed = subprocess.run(
        [
            sys.executable,
            '-S',
            '-c',
            f'import sys, poplardrum.dispatch.{module}; print(*sys.modules)',
        ],
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return set(completed.stdout.split())


class StartImportsTest(unittest.TestCase):
    """What both roles leave for later."""

    def test_entry(self) -> None:
        """Guards against an entry that imports before it serves what can wait."""
        imported = _imported_by('entry')
        self.assertIn('poplardrum.dispatch.coordinator', imported)
        self.assertEqual(imported & (_LATER | _AGENT_ONLY), set())

    def test_agent(self) -> None:
        """Guards against an agent that imports what can wait or entries need."""
        imported = _imported_by('agent_process')
        self.assertIn('poplardrum.dispatch.executor', imported)
        self.assertEqual(imported & (_LATER | _ENTRY_ONLY), set())
