"""A folder of rule files and what an apply of it has to change."""

import os
import pathlib
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.operators import document as documents
from poplardrum.operators import edits, rules

BASE_FILE: typing.Final = '.poplardrum-base.json'


class Base(msgspec.Struct, frozen=True):
    """What the folder was last applied on, kept in the folder.

    `files` holds the number of each file as it was applied; `pending` is an
    edit that was sent and whose outcome is not known.
    """

    files: dict[str, ids.ConfigNumber] = {}
    pending: edits.Edit | None = None


class Comparison(msgspec.Struct, frozen=True):
    """Changes that make the folder the truth, and what stands in the way."""

    changes: list[edits.FileEdit]
    conflicts: list[edits.Conflict]


def read_files(path: pathlib.Path, bounds: documents.Bounds) -> dict[str, str]:
    """Return the files `*.ini` of a folder, checked as an entry would.

    Raises `rules` for wrong content and `too_large` beyond the bounds.
    """
    try:
        files = {
            found.name: found.read_text(encoding='utf-8')
            for found in sorted(path.iterdir())
            if found.suffix == '.ini' and found.is_file()
        }
    except (OSError, UnicodeDecodeError) as error:
        raise _rules_error(f'{path}: cannot be read: {error}') from None
    if files:
        changes = [
            edits.FileEdit(name, ids.ConfigNumber(0), text)
            for name, text in files.items()
        ]
        whole = edits.Edit(ids.new_edit_id(), changes)
        edits.apply(documents.Document(), whole, bounds)
    rules.merge(files)
    return files


def read_base(path: pathlib.Path) -> Base:
    """Return what the folder was last applied on; raise `rules`."""
    try:
        data = (path / BASE_FILE).read_bytes()
    except FileNotFoundError:
        return Base()
    try:
        return msgspec.json.decode(data, type=Base)
    except msgspec.DecodeError as error:
        raise _rules_error(f'{path / BASE_FILE}: {error}') from None


def write_base(path: pathlib.Path, base: Base) -> None:
    """Replace the base file at once, so that a crash leaves a whole one."""
    unfinished = path / f'{BASE_FILE}.tmp'
    with unfinished.open('wb') as output:
        output.write(msgspec.json.format(msgspec.json.encode(base), indent=1))
        output.flush()
        os.fsync(output.fileno())
    unfinished.replace(path / BASE_FILE)


def base_numbers(
    files: typing.Mapping[str, str],
    stored: documents.Document,
) -> dict[str, ids.ConfigNumber]:
    """Return the numbers of the stored files that are as in the folder.

    A file that the folder lacks has no base: it is another operator's, and
    the next apply reports it instead of removing it.
    """
    return {
        name: kept.number
        for name, kept in stored.files.items()
        if files.get(name) == kept.text
    }


def compare(
    files: typing.Mapping[str, str],
    stored: documents.Document,
    known: typing.Mapping[str, ids.ConfigNumber],
) -> Comparison:
    """Return the changes from what is stored to the folder.

    A file whose stored number is not the known one was changed by somebody
    else and is a conflict, unless both now have the same text.
    """
    comparison = Comparison([], [])
    for name in sorted({*files, *stored.files}):
        kept = stored.files.get(name)
        yours = files.get(name)
        theirs = kept.text if kept else None
        if yours == theirs:
            continue
        base = known.get(name, ids.ConfigNumber(0))
        number = kept.number if kept else ids.ConfigNumber(0)
        if number == base:
            comparison.changes.append(edits.FileEdit(name, base, yours))
        else:
            comparison.conflicts.append(
                edits.Conflict(name, base, number, yours, theirs),
            )
    return comparison


def _rules_error(message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.rules, message)
