"""The configuration document: its form, its numbers and their history."""

import hashlib
import typing

import msgspec

from poplardrum import errors, ids, settings
from poplardrum.operators import rules

# The low bits of a number are a digest of what made the document. After a
# restore two entries may each make a successor of the same document; the
# digest keeps their numbers apart.
NUMBER_DIGEST_BITS: typing.Final = 24
_NUMBER_DIGEST_BYTES: typing.Final = 3


class RuleFile(msgspec.Struct, frozen=True):
    """One operator file and the number of the edit that last changed it."""

    text: str
    number: ids.ConfigNumber


class AppliedEdit(msgspec.Struct, frozen=True):
    """An edit in the history; `digest` tells a reuse of its id."""

    edit: ids.EditId
    digest: str


class Document(msgspec.Struct, frozen=True):
    """All files under one number that only grows.

    `history` holds the latest edits by the number each has made, so that an
    edit whose answer was lost is settled by reading, and so that a document
    tells which others it includes. `floor` is the highest number dropped
    from the history. `conflicts` holds the versions of a file that lost to
    another one when two histories were joined, until the file is edited.
    """

    number: ids.ConfigNumber = ids.ConfigNumber(0)
    files: dict[str, RuleFile] = {}
    history: dict[ids.ConfigNumber, AppliedEdit] = {}
    floor: ids.ConfigNumber = ids.ConfigNumber(0)
    conflicts: dict[str, list[RuleFile]] = {}

    def texts(self) -> dict[str, str]:
        """Return the text of each file."""
        return {name: kept.text for name, kept in self.files.items()}


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of a document; sizes in bytes.

    The platform takes values of up to 1 MB; `document` leaves a margin.
    """

    max_files: int = 1024
    max_file_bytes: int = 65536
    max_document_bytes: int = 921600
    max_history_edits: int = 512


def bounds_from_settings(limits: settings.Limits) -> Bounds:
    """Return the bounds that the settings of a process give."""
    return Bounds(
        max_files=limits.config_files,
        max_file_bytes=limits.config_file,
        max_document_bytes=limits.config_document,
        max_history_edits=max(limits.config_history, 1),
    )


def encode(document: Document) -> bytes:
    """Return the stored form."""
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """Read the stored form; raise `msgspec.DecodeError` on bad data."""
    return msgspec.json.decode(data, type=Document)


def next_number(
    parent: ids.ConfigNumber,
    *parts: typing.Any,
) -> ids.ConfigNumber:
    """Return a number above `parent` that only `parts` lead to."""
    text = '\0'.join(str(part) for part in (parent, *parts))
    digest = hashlib.sha256(text.encode()).digest()[:_NUMBER_DIGEST_BYTES]
    counter = (parent >> NUMBER_DIGEST_BITS) + 1
    return ids.ConfigNumber(
        counter << NUMBER_DIGEST_BITS | int.from_bytes(digest, 'big'),
    )


def includes(newer: Document, older: Document) -> bool:
    """Tell whether all edits of `older` went into `newer`.

    Beyond the history a lower number counts as included.
    """
    return older.number in newer.history or older.number <= newer.floor


def includes_edit(document: Document, number: ids.ConfigNumber) -> bool:
    """Tell whether the edit that made `number` went into a document."""
    return number in document.history or number <= document.floor


def with_history(
    document: Document,
    history: dict[ids.ConfigNumber, AppliedEdit],
    floor: ids.ConfigNumber,
    limit: int,
) -> Document:
    """Return the document with the latest `limit` edits of a history."""
    numbers = sorted(history)
    dropped = numbers[:-limit]
    return msgspec.structs.replace(
        document,
        history={number: history[number] for number in numbers[-limit:]},
        floor=max([floor, *dropped]),
    )


def join(one: Document, two: Document, limits: Bounds) -> Document:
    """Return a document that includes both.

    That is one of them, unless each has edits that the other lacks, as
    after a restore of the platform. A version of a file stays unless the
    other side has replaced it. Of several that stay, the one with the
    highest number is in force and the others are kept in `conflicts`. The
    same two documents always give the same result.
    """
    if includes(one, two):
        return one
    if includes(two, one):
        return two
    low, high = sorted((one, two), key=lambda item: item.number)
    number = next_number(high.number, low.number)
    history = {**low.history, **high.history}
    history[number] = AppliedEdit(ids.EditId('join'), '')
    floor = max(low.floor, high.floor)
    for files, conflicts in _candidates(low, high):
        joined = with_history(
            Document(number, files, {}, floor, conflicts),
            history,
            floor,
            limits.max_history_edits,
        )
        if _is_valid(joined, limits):
            break
    return joined


FilesByName = dict[str, RuleFile]
ConflictsByName = dict[str, list[RuleFile]]


def _candidates(
    low: Document,
    high: Document,
) -> typing.Iterator[tuple[FilesByName, ConflictsByName]]:
    names = sorted(
        {*low.files, *high.files, *low.conflicts, *high.conflicts},
    )
    remaining = {name: _remaining_versions(low, high, name) for name in names}
    newest = {name: kept[0] for name, kept in remaining.items() if kept}
    yield newest, _replaced_versions(remaining, newest)
    # The joined files contradict each other or are too large together.
    yield high.files, _replaced_versions(remaining, high.files)
    yield high.files, {}


def _remaining_versions(
    low: Document, high: Document, name: str
) -> list[RuleFile]:
    ours, theirs = versions(high, name), versions(low, name)
    found = [kept for kept in ours if kept in theirs]
    found += [kept for kept in ours if not includes_edit(low, kept.number)]
    found += [kept for kept in theirs if not includes_edit(high, kept.number)]
    by_text = {kept.text: kept for kept in sorted(found, key=_version_number)}
    return sorted(by_text.values(), key=_version_number, reverse=True)


def versions(document: Document, name: str) -> list[RuleFile]:
    """Return the version in force of a file and those in conflict."""
    kept = document.files.get(name)
    return [*([kept] if kept else []), *document.conflicts.get(name, [])]


def _replaced_versions(
    remaining: typing.Mapping[str, list[RuleFile]],
    files: FilesByName,
) -> ConflictsByName:
    lost = {
        name: [kept for kept in found if kept != files.get(name)]
        for name, found in remaining.items()
    }
    return {name: found for name, found in lost.items() if found}


def _version_number(kept: RuleFile) -> ids.ConfigNumber:
    return kept.number


def _is_valid(joined: Document, limits: Bounds) -> bool:
    try:
        rules.merge(joined.texts())
    except errors.PoplardrumError:
        return False
    return len(encode(joined)) <= limits.max_document_bytes
