"""Tests of settings at the start of a process and of their reloading."""

import json
import pathlib
import socket
import tempfile
import typing
import unittest

from poplardrum.dispatch import reloading
from poplardrum.platform import listeners, settings_file
from poplardrum.standins import ports

_DOCUMENT: typing.Final = {
    'NodeName': 'front-1',
    'IpAddress': '127.0.0.1',
    'Zone': 'toledo',
    'InternalPorts': [7720, 7735],
    'platform': {'Address': '127.0.0.1:8169'},
    'Bounds': {'GraceS': 6, 'ConfigApplyMs': 2000},
}


class TestReloading(unittest.TestCase):
    """Reloading of a changed settings file."""

    def setUp(self) -> None:
        """Write and load a settings file."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / 'settings.json'
        self.write_settings()
        self.settings = reloading.Settings(
            self.path, settings_file.load(self.path), {}
        )

    def write_settings(self, **changes: typing.Any) -> None:
        """Write the settings file with changed fields."""
        self.path.write_text(json.dumps(_DOCUMENT | changes))

    def test_bounds_are_applied(self) -> None:
        """Guards against bounds that take effect only after a restart."""
        self.write_settings(Bounds={'GraceS': 9, 'ConfigApplyMs': 3000})
        with self.assertLogs('poplardrum', 'INFO'):
            self.settings.reload()
        self.assertEqual(self.settings.config.grace, 9)
        self.assertEqual(self.settings.config.config_bound, 3)

    def test_address_needs_a_restart(self) -> None:
        """Guards against applying a change partly."""
        self.write_settings(platform={'Address': '127.0.0.9:1'})
        with self.assertLogs('poplardrum', 'INFO') as logged:
            self.settings.reload()
        self.assertEqual(self.settings.config.store, ('127.0.0.1', 8169))
        details = logged.records[0].__dict__['details']
        self.assertEqual(details['after_restart'], ['store'])

    def test_unreadable_file(self) -> None:
        """Guards against a process that exits because of an incomplete file."""
        self.path.write_text('{"NodeName":')
        with self.assertLogs('poplardrum', 'ERROR'):
            self.settings.reload()
        self.assertEqual(self.settings.config.grace, 6)
        self.path.unlink()
        self.settings.reload()
        self.assertEqual(self.settings.config.grace, 6)


class TestListeners(unittest.TestCase):
    """Sockets that are opened before the libraries are imported."""

    def open_listeners(self, **changes: typing.Any) -> listeners.Listeners:
        """Open the listening sockets of a settings file."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(_DOCUMENT | changes))
        opened = listeners.open_all(str(path))
        for listener in opened.values():
            self.addCleanup(listener.close)
        return opened

    def test_connection_during_startup(self) -> None:
        """Guards against connections that are refused during the imports."""
        front, peers = ports.free_ports(2)
        self.open_listeners(
            ListenAddresses={'Front': f'127.0.0.1:{front}'},
            InternalPorts=[peers, peers],
        )
        for port in (front, peers):
            caller = socket.create_connection(('127.0.0.1', port), timeout=10)
            caller.close()

    def test_invalid_settings(self) -> None:
        """Guards against a start that fails before it can log the reason."""
        cases: tuple[typing.Any, ...] = (
            {'Front': 'x'},
            {'Front': 5},
            [],
            {'Front': 'x:y'},
        )
        for listen in cases:
            with self.subTest(listen=listen):
                self.assertEqual(
                    self.open_listeners(ListenAddresses=listen), {}
                )
        self.assertEqual(listeners.open_all('/nowhere/settings.json'), {})

    def test_address_in_use(self) -> None:
        """Guards against a start that fails because a port is still in use."""
        with socket.create_server(('127.0.0.1', 0)) as occupied:
            port = occupied.getsockname()[1]
            opened = self.open_listeners(
                ListenAddresses={'Control': f'127.0.0.1:{port}'}
            )
            self.assertEqual(opened, {})
