"""Rule files: merge order, and the file and line of each invalid input."""

import hashlib
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import errors
from poplardrum.operators import rules
from tests import profiles

DIGEST: typing.Final = hashlib.sha256(b'a').hexdigest()
OTHER: typing.Final = hashlib.sha256(b'b').hexdigest()

# Name of the case, text of the file `a.ini`, start of the message.
WRONG: typing.Final[tuple[tuple[str, str, str], ...]] = (
    ('section', '\n[tenants]\n', 'a.ini:2: [tenants]: unknown section'),
    ('named single', '[limits x]\n', 'a.ini:1: [limits x]: unknown section'),
    ('bare tenant', '[tenant]\n', 'a.ini:1: [tenant]: expected a name'),
    ('name', '[kind a b]\n', 'a.ini:1: [kind a b]: expected a name'),
    ('long name', f'[kind {"x" * 65}]\n', 'a.ini:1: [kind xxx'),
    ('default', '[DEFAULT]\nx = 1\n', 'a.ini:1: [DEFAULT]: unknown section'),
    (
        'option',
        '# note\n[limits]\n\nmax_job = 1\n',
        'a.ini:4: [limits] max_job: unknown option',
    ),
    (
        'unit',
        '[class gate]\ndeadline = 5 m\n',
        'a.ini:2: [class gate] deadline: expected a duration',
    ),
    (
        'no unit',
        '[kind k]\ndeclared = 200\n',
        'a.ini:2: [kind k] declared: expected a duration',
    ),
    (
        'zero time',
        '[kind k]\ndeclared = 0 s\n',
        'a.ini:2: [kind k] declared: expected 1 ms to 1 h',
    ),
    (
        'count',
        '[class c]\nurgency = -1\n',
        'a.ini:2: [class c] urgency: expected a whole number',
    ),
    (
        'range',
        '[class c]\nurgency = 101\n',
        'a.ini:2: [class c] urgency: expected 0 to 100',
    ),
    (
        'digits',
        f'[class c]\nurgency = {"9" * 5000}\n',
        'a.ini:2: [class c] urgency: expected a whole number',
    ),
    (
        'share',
        '[tenant t]\nshare = nan\n',
        'a.ini:2: [tenant t] share: expected a number above 0',
    ),
    (
        'state',
        '[worker w]\nstate = gone\n',
        'a.ini:2: [worker w] state: expected ready or leaving',
    ),
    (
        'policy',
        '[placement]\npolicy = best\n',
        'a.ini:2: [placement] policy: expected late_binding',
    ),
    (
        'digest',
        '[tenant t]\ncredential_sha256 = secret\n',
        'a.ini:2: [tenant t] credential_sha256: expected a SHA-256',
    ),
    (
        'no credential',
        '[limits]\n[tenant t]\nshare = 1\n',
        'a.ini:2: [tenant t]: missing credential_sha256',
    ),
    (
        'one credential for two',
        f'[tenant t]\ncredential_sha256 = {DIGEST}\n'
        f'[tenant u]\ncredential_sha256 = {DIGEST}\n',
        'a.ini:4: [tenant u] credential_sha256: the credential is already',
    ),
    ('no section', '\nx = 1\n', 'a.ini:2: a line before any section'),
    ('no value', '[limits]\nmax_wait\n', 'a.ini:2: neither section nor'),
    (
        'twice',
        '[limits]\nmax_wait = 1 s\nmax_wait = 2 s\n',
        'a.ini:3: [limits] max_wait: the option stands twice',
    ),
    (
        'section twice',
        '[limits]\n[limits]\n',
        'a.ini:2: [limits]: the section stands twice',
    ),
    (
        'other line ends',
        '[limits]\n# \u2028 \x0b\nx = 1\n',
        'a.ini:3: [limits] x: unknown option',
    ),
)


class RulesTest(unittest.TestCase):
    """Guards against rules that are misread or accepted though invalid."""

    def problem(self, files: dict[str, str]) -> str:
        """Return the message of the error for invalid files."""
        with self.assertRaises(errors.PoplardrumError) as raised:
            rules.merge(files)
        self.assertIs(raised.exception.code, errors.Code.rules)
        self.assertIs(raised.exception.verdict, errors.Verdict.not_run)
        return raised.exception.message

    def test_wrong_input(self) -> None:
        """Guards against an invalid line that is accepted or not located."""
        for name, text, expected in WRONG:
            with self.subTest(name):
                message = self.problem({'a.ini': text})
                self.assertEqual(message[: len(expected)], expected)

    def test_all_problems(self) -> None:
        """Guards against a check that stops at the first problem."""
        message = self.problem({'b.ini': '[x]\n[limits]\ny = 1\n', 'a': 'z'})
        self.assertEqual(
            [line.partition(': ')[0] for line in message.split('\n')],
            ['a:1', 'b.ini:1', 'b.ini:3'],
        )

    def test_later_file_overrides(self) -> None:
        """Guards against a merge that does not follow the file names."""
        merged = rules.merge(
            {
                '20.ini': '[class c]\nurgency = 2\n',
                '10.ini': '[class c]\nurgency = 1\ndeadline = 3 s\n',
            }
        )
        self.assertEqual(
            merged.classes,
            {'c': rules.ClassRule(urgency=2, deadline=3)},
        )

    def test_override_resolves_credential(self) -> None:
        """Guards against a conflict that a later file resolves."""
        first = (
            f'[tenant t]\ncredential_sha256 = {DIGEST}\n'
            f'[tenant u]\ncredential_sha256 = {DIGEST}\n'
        )
        second = f'[tenant u]\ncredential_sha256 = {OTHER}\n'
        merged = rules.merge({'1.ini': first, '2.ini': second})
        self.assertEqual(sorted(merged.tenants), ['t', 'u'])
        self.assertIn(
            '2.ini:2: [tenant u]',
            self.problem(
                {'1.ini': first, '2.ini': second.replace(OTHER, DIGEST)},
            ),
        )

    @profiles.settings()
    @hypothesis.given(
        strategies.text(
            strategies.sampled_from('[]=:#; \t\r\n\x0b\x00azAZ019.\u2028'),
            max_size=60,
        ),
    )
    @hypothesis.example(' [0]')
    def test_any_text(self, text: str) -> None:
        """Guards against text that fails without file and line."""
        try:
            rules.merge({'a.ini': text})
        except errors.PoplardrumError as error:
            for line in error.message.split('\n'):
                self.assertRegex(line, r'(?s)^a\.ini:[1-9]\d*: ')
