"""The configuration document and the copy that a process runs by."""

import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.operators import rules


MAX_EDITS: typing.Final = 256


class RuleFile(msgspec.Struct, frozen=True):
    """One operator file and the number of the edit that last changed it."""

    text: str
    number: ids.ConfigNumber


class FileEdit(msgspec.Struct, frozen=True):
    """Change of one file; `base` is its number as the operator read it.

    `base` is 0 for a new file; `text` is `None` for a removal.
    """

    name: str
    base: ids.ConfigNumber
    text: str | None


class Edit(msgspec.Struct, frozen=True):
    """One edit of any number of files under its own id."""

    edit: ids.EditId
    files: list[FileEdit]


class Document(msgspec.Struct, frozen=True):
    """All files under one number that only grows.

    `edits` holds the ids of the latest edits with their numbers, so that an
    edit whose answer was lost can be settled by reading.
    """

    number: ids.ConfigNumber = ids.ConfigNumber(0)
    files: dict[str, RuleFile] = {}
    edits: dict[ids.EditId, ids.ConfigNumber] = {}


def encode(document: Document) -> bytes:
    """Return the stored form."""
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """Read the stored form; raise `msgspec.DecodeError` on bad data."""
    return msgspec.json.decode(data, type=Document)


def apply(document: Document, edit: Edit) -> Document:
    """Return the document after an edit; raise `conflict` or `rules`."""
    files = dict(document.files)
    number = ids.ConfigNumber(document.number + 1)
    for change in edit.files:
        known = files.get(change.name)
        if (known.number if known else 0) != change.base:
            raise errors.refusal(
                errors.Code.conflict,
                f'{change.name}: changed by another edit since it was read',
            )
        files.pop(change.name, None)
        if change.text is not None:
            files[change.name] = RuleFile(change.text, number)
    rules.merge({name: kept.text for name, kept in files.items()})
    edits = dict(list(document.edits.items())[1 - MAX_EDITS :])
    return Document(number, files, {**edits, edit.edit: number})


class Holder:
    """Hold the document in force; it never goes to a lower number."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.document = Document()
        self.rules = rules.Rules()

    @property
    def number(self) -> ids.ConfigNumber:
        """Return the number in force; 0 before the first document."""
        return self.document.number

    def adopt(self, document: Document) -> bool:
        """Put a newer document in force; return whether it was newer."""
        if document.number <= self.number:
            return False
        merged = rules.merge(
            {name: kept.text for name, kept in document.files.items()}
        )
        self.document = document
        self.rules = merged
        return True
