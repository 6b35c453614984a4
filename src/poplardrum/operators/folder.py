"""A folder of rule files and its differences from the stored document."""

import os
import pathlib
import typing

import msgspec

from poplardrum import decoding, errors, ids
from poplardrum.operators import document as documents
from poplardrum.operators import edits, rules

BASE_FILE: typing.Final = '.poplardrum-base.json'


class Base(msgspec.Struct, frozen=True):
    """State of the last apply, stored in the folder.

    `files` has the number of each file as of that apply. `pending` is an
    edit that was sent and whose outcome is unknown.
    """

    files: dict[str, ids.ConfigNumber] = {}
    pending: edits.Edit | None = None


class Comparison(msgspec.Struct, frozen=True):
    """Changes that an apply makes, and the conflicts that prevent it."""

    changes: list[edits.FileEdit]
    conflicts: list[edits.Conflict]


def load_files(path: pathlib.Path) -> dict[str, str]:
    """Return the `*.ini` files of a folder as they are.

    Raises `rules` if they cannot be read.
    """
    try:
        return {
            file.name: file.read_text(encoding='utf-8')
            for file in sorted(path.iterdir())
            if file.suffix == '.ini' and file.is_file()
        }
    except (OSError, UnicodeDecodeError) as error:
        raise _rules_error(f'{path}: cannot be read: {error}') from None


def read_files(path: pathlib.Path, bounds: documents.Bounds) -> dict[str, str]:
    """Return the `*.ini` files of a folder, validated as an entry does.

    Raises as `load_files` and `validate` do.
    """
    files = load_files(path)
    validate(files, bounds)
    return files


def validate(files: typing.Mapping[str, str], bounds: documents.Bounds) -> None:
    """Validate files as an entry does that stores them as the first ones.

    Raises `rules` for invalid content, `bad_request` for a malformed name and
    `too_large` beyond the limits.
    """
    if files:
        changes = [
            edits.FileEdit(name, ids.ConfigNumber(0), text)
            for name, text in files.items()
        ]
        edit = edits.Edit(ids.new_edit_id(), changes)
        edits.apply(documents.Document(), edit, bounds)
    rules.merge(files)


def read_base(path: pathlib.Path) -> Base:
    """Return the state of the last apply; raise `rules` if it is invalid."""
    try:
        data = (path / BASE_FILE).read_bytes()
    except FileNotFoundError:
        return Base()
    try:
        return decoding.decode_json(data, Base)
    except msgspec.DecodeError as error:
        raise _rules_error(f'{path / BASE_FILE}: {error}') from None


def write_base(path: pathlib.Path, base: Base) -> None:
    """Replace the base file atomically, so that a crash cannot truncate it."""
    temporary = path / f'{BASE_FILE}.tmp'
    with temporary.open('wb') as output:
        output.write(msgspec.json.format(msgspec.json.encode(base), indent=1))
        output.flush()
        os.fsync(output.fileno())
    temporary.replace(path / BASE_FILE)


def base_numbers(
    files: typing.Mapping[str, str],
    stored: documents.Document,
) -> dict[str, ids.ConfigNumber]:
    """Return the numbers of the stored files that equal those in the folder.

    A file that is not in the folder gets no number: another operator has
    added it, and the next apply reports it instead of removing it.
    """
    return {
        name: file.number
        for name, file in stored.files.items()
        if files.get(name) == file.text
    }


def compare(
    files: typing.Mapping[str, str],
    stored: documents.Document,
    bases: typing.Mapping[str, ids.ConfigNumber],
) -> Comparison:
    """Return the changes from the stored document to the folder.

    A file whose number is not its base number was changed by another
    operator. It is a conflict unless the texts are the same.
    """
    comparison = Comparison([], [])
    for name in sorted({*files, *stored.files}):
        file = stored.files.get(name)
        yours = files.get(name)
        theirs = file.text if file else None
        if yours == theirs:
            continue
        base = bases.get(name, ids.ConfigNumber(0))
        number = file.number if file else ids.ConfigNumber(0)
        if number == base:
            comparison.changes.append(edits.FileEdit(name, base, yours))
        else:
            comparison.conflicts.append(
                edits.Conflict(name, base, number, yours, theirs),
            )
    return comparison


def _rules_error(message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.rules, message)
