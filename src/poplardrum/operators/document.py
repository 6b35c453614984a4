"""The configuration document: its files, its number and its history."""

import hashlib
import typing

import msgspec

from poplardrum import decoding, errors, ids, settings
from poplardrum.operators import rules

# The low bits of a number are a digest of the edit or join that created the
# document. After a restore of the store, two entries may each create a
# successor of the same document; the digest makes their numbers differ.
NUMBER_DIGEST_BITS: typing.Final = 24
_NUMBER_DIGEST_BYTES: typing.Final = 3


class RuleFile(msgspec.Struct, frozen=True):
    """One rule file; `number` is that of the edit that last changed it."""

    text: str
    number: ids.ConfigNumber


class AppliedEdit(msgspec.Struct, frozen=True):
    """An edit in the history; `digest` detects a reuse of its id."""

    edit: ids.EditId
    digest: str


class Document(msgspec.Struct, frozen=True):
    """All rule files, under one number that only increases.

    `history` has the latest edits by the number that each of them created.
    It shows whether an edit whose reply was lost was applied, and which other
    documents this one includes. `floor` is the highest number dropped from
    the history. `conflicts` has the versions of a file that are not in force
    after two histories were joined, until the file is edited.
    """

    number: ids.ConfigNumber = ids.ConfigNumber(0)
    files: dict[str, RuleFile] = {}
    history: dict[ids.ConfigNumber, AppliedEdit] = {}
    floor: ids.ConfigNumber = ids.ConfigNumber(0)
    conflicts: dict[str, list[RuleFile]] = {}

    def texts(self) -> dict[str, str]:
        """Return the text of each file by its name."""
        return {name: file.text for name, file in self.files.items()}


class Bounds(msgspec.Struct, frozen=True):
    """Limits on a document.

    The store accepts values of up to 1 MB; `max_document_bytes` leaves a
    margin.
    """

    max_files: int = 1024
    max_file_bytes: int = 65536
    max_document_bytes: int = 921600
    max_history_edits: int = 512


def bounds_from_settings(limits: settings.Limits) -> Bounds:
    """Return the limits that the settings of a process define."""
    return Bounds(
        max_files=limits.config_files,
        max_file_bytes=limits.config_file,
        max_document_bytes=limits.config_document,
        max_history_edits=max(limits.config_history, 1),
    )


def encode(document: Document) -> bytes:
    """Return the form that is stored and sent to peers and operators."""
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """Decode the stored form; raise `msgspec.DecodeError` if it is invalid."""
    return decoding.decode_json(data, Document)


def next_number(
    parent: ids.ConfigNumber,
    *parts: typing.Any,
) -> ids.ConfigNumber:
    """Return a number above `parent` that is derived from `parts`."""
    text = '\0'.join(str(part) for part in (parent, *parts))
    digest = hashlib.sha256(text.encode()).digest()[:_NUMBER_DIGEST_BYTES]
    counter = (parent >> NUMBER_DIGEST_BITS) + 1
    return ids.ConfigNumber(
        counter << NUMBER_DIGEST_BITS | int.from_bytes(digest, 'big'),
    )


def includes(newer: Document, older: Document) -> bool:
    """Return whether `newer` includes all edits of `older`.

    A number up to the floor of the history counts as included.
    """
    return older.number in newer.history or older.number <= newer.floor


def includes_edit(document: Document, number: ids.ConfigNumber) -> bool:
    """Return whether a document includes the edit that created `number`."""
    return number in document.history or number <= document.floor


def with_history(
    document: Document,
    history: dict[ids.ConfigNumber, AppliedEdit],
    floor: ids.ConfigNumber,
    max_edits: int,
) -> Document:
    """Return the document with the latest `max_edits` edits of a history.

    The floor rises to the highest number that is dropped.
    """
    numbers = sorted(history)
    dropped = numbers[:-max_edits]
    return msgspec.structs.replace(
        document,
        history={number: history[number] for number in numbers[-max_edits:]},
        floor=max([floor, *dropped]),
    )


def join(first: Document, second: Document, bounds: Bounds) -> Document:
    """Return a document that includes both.

    That is one of them, unless each has edits that the other lacks, as can
    happen after a restore of the store. A version of a file is kept unless
    the other document has replaced it. If several versions of a file are
    kept, the one with the highest number is in force and the others are in
    `conflicts`. The same two documents always give the same result, in
    either order.
    """
    if includes(first, second):
        return first
    if includes(second, first):
        return second
    low, high = sorted((first, second), key=lambda item: item.number)
    number = next_number(high.number, low.number)
    history = {**low.history, **high.history}
    history[number] = AppliedEdit(ids.EditId('join'), '')
    floor = max(low.floor, high.floor)
    for files, conflicts in _candidates(low, high):
        joined = with_history(
            Document(number, files, {}, floor, conflicts),
            history,
            floor,
            bounds.max_history_edits,
        )
        if _is_valid(joined, bounds):
            break
    return joined


FilesByName = dict[str, RuleFile]
ConflictsByName = dict[str, list[RuleFile]]


def _candidates(
    low: Document,
    high: Document,
) -> typing.Iterator[tuple[FilesByName, ConflictsByName]]:
    """Yield files and conflicts of a join, the preferred ones first."""
    names = sorted(
        {*low.files, *high.files, *low.conflicts, *high.conflicts},
    )
    remaining = {name: _remaining_versions(low, high, name) for name in names}
    newest = {name: found[0] for name, found in remaining.items() if found}
    yield newest, _conflicting_versions(remaining, newest)
    # For the case that the joined files are invalid or too large together.
    yield high.files, _conflicting_versions(remaining, high.files)
    yield high.files, {}


def _remaining_versions(
    low: Document, high: Document, name: str
) -> list[RuleFile]:
    """Return the versions that neither side has replaced, newest first."""
    in_high, in_low = versions(high, name), versions(low, name)
    found = [file for file in in_high if file in in_low]
    found += [file for file in in_high if not includes_edit(low, file.number)]
    found += [file for file in in_low if not includes_edit(high, file.number)]
    by_text = {file.text: file for file in sorted(found, key=_version_number)}
    return sorted(by_text.values(), key=_version_number, reverse=True)


def versions(document: Document, name: str) -> list[RuleFile]:
    """Return the version of a file that is in force, then its conflicts."""
    file = document.files.get(name)
    return [*([file] if file else []), *document.conflicts.get(name, [])]


def _conflicting_versions(
    remaining: typing.Mapping[str, list[RuleFile]],
    files: FilesByName,
) -> ConflictsByName:
    others = {
        name: [file for file in found if file != files.get(name)]
        for name, found in remaining.items()
    }
    return {name: found for name, found in others.items() if found}


def _version_number(file: RuleFile) -> ids.ConfigNumber:
    return file.number


def _is_valid(joined: Document, bounds: Bounds) -> bool:
    try:
        rules.merge(joined.texts())
    except errors.PoplardrumError:
        return False
    return len(encode(joined)) <= bounds.max_document_bytes
