"""Files of the demo: a job and a folder of rules."""

import pathlib
import typing

FOLDER: typing.Final = pathlib.Path(__file__).parent
RULES: typing.Final = FOLDER / 'rules'
JOB: typing.Final = FOLDER / 'job.json'


def rules() -> dict[str, str]:
    """Return the rule files by name."""
    return {path.name: path.read_text() for path in RULES.glob('*.ini')}


def job() -> bytes:
    """Return the body of the demo's job."""
    return JOB.read_bytes()
