"""Tests of settings files; every error must state its location."""

import dataclasses
import pathlib
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import errors, settings
from tests import profiles

VALID: typing.Final = """[process]
id = agent-1
region = great-lakes
zone = toledo
[listen]
peers = 127.0.0.1:7001
http = 127.0.0.1:7002
[platform]
address = 127.0.0.1:8500
"""
# Appended lines, the first of which is line 10, and part of the error message.
INVALID_ADDITIONS: typing.Final[tuple[tuple[str, str], ...]] = (
    ('[nothing]\na = 1\n', 'x.ini:10: [nothing]: unknown section'),
    ('[peers]\nspeed = 1\n', 'x.ini:11: [peers] speed: unknown option'),
    ('[peers]\nheartbeat = 2\n', 'x.ini:11: [peers] heartbeat: expected'),
    ('[peers]\nheartbeat = 2 KB\n', 'x.ini:11: [peers] heartbeat: expected'),
    ('[peers]\nheartbeat = 0 s\n', 'x.ini:11: [peers] heartbeat: expected'),
    ('[peers]\nheartbeat = -1 s\n', 'x.ini:11: [peers] heartbeat: expected'),
    ('[peers]\nsilence = 2 s\n', 'x.ini:11: [peers] silence: silence (2 s)'),
    ('[peers]\nheartbeat = 9 s\n', 'x.ini:11: [peers] heartbeat: silence'),
    ('[peers]\nbootstrap = a:1\n', 'x.ini:11: [peers] bootstrap: expected'),
    (
        '[peers]\nbootstrap = 127.0.0.1:1, 127.0.0.1\n',
        'x.ini:11: [peers] bootstrap: expected',
    ),
    ('[logs]\nlevel = LOUD\n', 'x.ini:11: [logs] level: expected one of'),
    ('[logs]\nform = xml\n', 'x.ini:11: [logs] form: expected one of'),
    ('[limits]\nbody = 8\n', 'x.ini:11: [limits] body: expected a size'),
    ('[limits]\nbody = 0 B\n', 'x.ini:11: [limits] body: expected at least'),
    ('[limits]\ntasks = 0\n', 'x.ini:11: [limits] tasks: expected at least'),
    ('[limits]\ntasks = -1\n', 'x.ini:11: [limits] tasks: expected a whole'),
    ('[limits]\ntasks = 1.5\n', 'x.ini:11: [limits] tasks: expected a whole'),
    ('[limits]\nnesting = 2\n', 'x.ini:11: [limits] nesting: expected at'),
    ('[limits]\nheader = 1 B\n', 'x.ini:11: [limits] header: expected at'),
    ('[limits]\nkey =\n', 'x.ini:11: [limits] key: expected a whole'),
    ('[limits]\n\n# why\nkey = a\n', 'x.ini:13: [limits] key: expected'),
    ('[operators]\ntoken =\n', 'x.ini:11: [operators] token: expected'),
    (
        '[limits]\nkey = 1\nkey = 2\n',
        'x.ini:12: [limits] key: the option stands twice',
    ),
    ('[process]\nid = b\n', 'x.ini:10: [process]: the section stands twice'),
    ('[limits\nkey = 1\n', 'x.ini'),
    ('just words\n', 'x.ini'),
)
# Part of the valid text, its replacement and part of the error message.
INVALID_REPLACEMENTS: typing.Final[tuple[tuple[str, str, str], ...]] = (
    ('id = agent-1\n', '', 'x.ini: [process] id: missing option'),
    ('id = agent-1', 'id = a b', 'x.ini:2: [process] id: expected a name'),
    ('http = 127.0.0.1:7002\n', '', 'x.ini: [listen] http: missing option'),
    ('127.0.0.1:7001', 'localhost:7001', 'x.ini:6: [listen] peers: expected'),
    ('127.0.0.1:7001', '127.0.0.1', 'x.ini:6: [listen] peers: expected'),
    ('127.0.0.1:7001', '127.0.0.1:99999', 'x.ini:6: [listen] peers: expected'),
    (
        '[platform]\naddress = 127.0.0.1:8500\n',
        '',
        '[platform] address: missing',
    ),
)
DETERMINISTIC: typing.Final = profiles.settings()


class SettingsTest(unittest.TestCase):
    """Guards against a process that starts with invalid settings."""

    def error_message(self, text: str) -> str:
        """Return the error message for invalid settings."""
        with self.assertRaises(errors.PoplardrumError) as caught:
            settings.parse(text, 'x.ini')
        self.assertIs(caught.exception.code, errors.Code.settings)
        return caught.exception.message

    def test_defaults(self) -> None:
        """Guards against a default that its own converter rejects."""
        parsed = settings.parse(VALID, 'x.ini')
        self.assertEqual(parsed.listen.http, ('127.0.0.1', 7002))
        self.assertEqual(parsed.peers.silence, 5)
        self.assertEqual(parsed.limits.body, 8 * 1024 * 1024)

    def test_invalid_options(self) -> None:
        """Guards against an error without file, line, section and option."""
        for added, expected in INVALID_ADDITIONS:
            with self.subTest(added):
                self.assertIn(expected, self.error_message(VALID + added))

    def test_missing_and_malformed_options(self) -> None:
        """Guards against a start without id, region, zone or addresses."""
        for old, new, expected in INVALID_REPLACEMENTS:
            with self.subTest(old=old, new=new):
                text = VALID.replace(old, new)
                self.assertIn(expected, self.error_message(text))

    def test_unreadable_file(self) -> None:
        """Guards against an unhandled error for a file that cannot be read."""
        with self.assertRaises(errors.PoplardrumError) as caught:
            settings.load(pathlib.Path('/nonexistent/x.ini'))
        self.assertIn('/nonexistent/x.ini', caught.exception.message)

    def test_every_option_is_checked(self) -> None:
        """Guards against an option that accepts any text."""
        section_types = typing.get_type_hints(settings.Settings)
        for name, section_type in section_types.items():
            if name in {'process', 'listen', 'platform', 'operators'}:
                continue
            for option in dataclasses.fields(section_type):
                with self.subTest(f'[{name}] {option.name}'):
                    text = f'{VALID}[{name}]\n{option.name} = ?!\n'
                    expected = f'x.ini:11: [{name}] {option.name}: '
                    self.assertIn(expected, self.error_message(text))

    @DETERMINISTIC
    @hypothesis.given(strategies.text())
    def test_any_text(self, text: str) -> None:
        """Guards against an unhandled error for any invalid input."""
        with self.assertRaises(errors.PoplardrumError):
            settings.parse(text, 'x.ini')
