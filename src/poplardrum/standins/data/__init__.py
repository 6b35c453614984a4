"""Files of the demo: the body of a job and a folder of rule files."""

import pathlib
import typing

DATA_FOLDER: typing.Final = pathlib.Path(__file__).parent
RULES_FOLDER: typing.Final = DATA_FOLDER / 'rules'
JOB: typing.Final = DATA_FOLDER / 'job.json'


def rules() -> dict[str, str]:
    """Return the texts of the rule files by file name."""
    return {path.name: path.read_text() for path in RULES_FOLDER.glob('*.ini')}


def job() -> bytes:
    """Return the body of the demo's job as JSON."""
    return JOB.read_bytes()
