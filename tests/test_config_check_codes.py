"""Exit codes and output of `config check`."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from poplardrum.commands import config_check
from poplardrum.operators import document
from tests import test_config_check


class ExitCodeTest(unittest.TestCase):
    """Guards against a script that takes a wrong configuration for right."""

    def setUp(self) -> None:
        """Create a folder for the files."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name)

    def check(
        self, text: str, source: config_check.Source, *, as_json: bool = False
    ) -> tuple[int, str]:
        """Check one file; return the exit code and the output."""
        (self.path / 'a.ini').write_text(text)
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = config_check.check_folder(self.path, source, as_json=as_json)
        return code, output.getvalue()

    def test_codes(self) -> None:
        """Guards against a wrong code for each outcome."""
        saved = self.path / 'saved.json'
        saved.write_bytes(document.encode(document.Document()))
        against = config_check.Source(saved)
        missing = config_check.Source(self.path / 'missing')
        for text, source, expected in (
            (test_config_check.TENANT, config_check.Source(), 0),
            (test_config_check.TENANT, against, 0),
            ('', against, 1),
            ('[x]\n', against, 2),
            (test_config_check.TENANT, missing, 3),
            ('[x]\n', missing, 2),
        ):
            with self.subTest(text, source=source):
                code, output = self.check(text, source)
                self.assertEqual(code, expected, output)

    def test_document_codes(self) -> None:
        """Guards against a comparison with a file that is no document."""
        path = self.path / 'new.json'
        path.write_bytes(test_config_check.build({}))
        against = self.path / 'old.json'
        for content, expected in (
            (test_config_check.build({}, Version=7), 0),
            (test_config_check.build({}), 2),
            (b'{}', 3),
        ):
            against.write_bytes(content)
            with (
                self.subTest(content),
                contextlib.redirect_stdout(io.StringIO()),
                contextlib.redirect_stderr(io.StringIO()),
            ):
                code = config_check.check_document(path, against)
                self.assertEqual(code, expected)

    def test_json(self) -> None:
        """Guards against output that a script cannot read."""
        source = config_check.Source(self.path)
        code, output = self.check('[x]\n', source, as_json=True)
        self.assertEqual(code, 2)
        self.assertEqual(
            [json.loads(line) for line in output.splitlines()],
            [
                {
                    'severity': 'error',
                    'location': 'a.ini:1: [x]',
                    'message': 'unknown section',
                },
            ],
        )
