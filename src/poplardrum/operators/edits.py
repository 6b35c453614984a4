"""Edits of the configuration document."""

import hashlib
import re
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.operators import config_state, rules
from poplardrum.operators import document as documents

_FILE_NAME_PATTERN: typing.Final = re.compile(
    r'[A-Za-z0-9][A-Za-z0-9._-]{0,58}\.ini'
)
_EDIT_ID_PATTERN: typing.Final = re.compile(r'[A-Za-z0-9._-]{1,64}')
_DIGEST_HEX_DIGITS: typing.Final = 16


class FileEdit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change of one file; `text` is `None` to remove it.

    `base` is the file's number when the operator read it, 0 for a new file.
    """

    name: str
    base: ids.ConfigNumber
    text: str | None


class Edit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of one or more files under one edit id.

    `read` is the number of the document that the operator has read.
    """

    edit: ids.EditId
    files: list[FileEdit]
    read: ids.ConfigNumber = ids.ConfigNumber(0)


class Conflict(msgspec.Struct, frozen=True):
    """Both versions of a file that another edit has changed or removed.

    `number` is that of the stored version, 0 if the file is not stored.
    """

    name: str
    base: ids.ConfigNumber
    number: ids.ConfigNumber
    yours: str | None
    theirs: str | None


class ConflictError(errors.PoplardrumError):
    """Refusal of an edit of files that have changed since they were read."""

    def __init__(self, conflicts: list[Conflict]) -> None:
        """Build the message from the names of the files."""
        names = ', '.join(conflict.name for conflict in conflicts)
        super().__init__(
            errors.Code.conflict,
            errors.Verdict.not_run,
            f'{names}: changed by another edit since it was read',
        )
        self.conflicts = conflicts


class Plan(msgspec.Struct, frozen=True):
    """The document with an edit, and whether it must be written."""

    document: documents.Document
    needs_write: bool


def plan_edit(
    stored: documents.Document,
    state: config_state.ConfigState,
    edit: Edit,
    bounds: documents.Bounds,
) -> Plan:
    """Plan the write for an edit if the store has the document `stored`.

    An edit that the document includes already is not applied again; the
    document is then written only if the store lacks it. Raises the errors of
    `apply`, and `key_reused` if the id belongs to a different edit.
    """
    target = state.target_document(stored)
    for applied in target.history.values():
        if applied.edit == edit.edit:
            _check_reuse(applied, edit)
            return Plan(target, target.number != stored.number)
    return Plan(apply(target, edit, bounds), needs_write=True)


def apply(
    document: documents.Document,
    edit: Edit,
    bounds: documents.Bounds,
) -> documents.Document:
    """Return the document after an edit.

    Raises `bad_request` for a malformed edit, `too_large` beyond the limits,
    `rules` for invalid content and `conflict` if a file has changed since it
    was read or if the history no longer tells whether the edit was applied.
    """
    check(edit, bounds)
    _check_read_number(document, edit)
    _check_bases(document, edit)
    digest = _digest(edit)
    number = documents.next_number(document.number, edit.edit, digest)
    files = dict(document.files)
    for change in edit.files:
        files.pop(change.name, None)
        if change.text is not None:
            files[change.name] = documents.RuleFile(change.text, number)
    changed_names = {change.name for change in edit.files}
    changed = documents.Document(
        number,
        files,
        conflicts={
            name: versions
            for name, versions in document.conflicts.items()
            if name not in changed_names
        },
    )
    history = dict(document.history)
    history[number] = documents.AppliedEdit(edit.edit, digest)
    changed = documents.with_history(
        changed,
        history,
        document.floor,
        bounds.max_history_edits,
    )
    _check_result(changed, bounds)
    return changed


def check(edit: Edit, bounds: documents.Bounds) -> None:
    """Validate an edit by itself; raise `bad_request` or `too_large`."""
    if not _EDIT_ID_PATTERN.fullmatch(edit.edit):
        raise _bad_request('edit: expected an id of 1 to 64 letters')
    names = [change.name for change in edit.files]
    if not names or len(set(names)) < len(names):
        raise _bad_request('files: expected each file once, and at least one')
    for change in edit.files:
        _check_change(change, bounds)


def _check_change(change: FileEdit, bounds: documents.Bounds) -> None:
    if not _FILE_NAME_PATTERN.fullmatch(change.name):
        raise _bad_request(
            f'{change.name!r}: expected a file name like 10-a.ini'
        )
    if change.text is None:
        if not change.base:
            raise _bad_request(
                f'{change.name}: a removal needs its base number'
            )
    elif len(change.text.encode()) > bounds.max_file_bytes:
        raise errors.refusal(
            errors.Code.too_large,
            f'{change.name}: over {bounds.max_file_bytes} bytes',
        )


def _check_read_number(document: documents.Document, edit: Edit) -> None:
    if document.floor > edit.read:
        # The edit may have been applied and then dropped from the history.
        raise errors.uncertain_outcome(
            errors.Code.conflict,
            'the document was read too long ago to tell whether this edit '
            'was applied; read it again and use a new edit id',
        )


def _check_bases(document: documents.Document, edit: Edit) -> None:
    conflicts = []
    for change in edit.files:
        file = document.files.get(change.name)
        number = file.number if file else ids.ConfigNumber(0)
        if number != change.base:
            conflicts.append(
                Conflict(
                    change.name,
                    change.base,
                    number,
                    change.text,
                    file.text if file else None,
                ),
            )
    if conflicts:
        raise ConflictError(conflicts)


def _check_result(
    changed: documents.Document,
    bounds: documents.Bounds,
) -> None:
    if len(changed.files) > bounds.max_files:
        raise errors.refusal(
            errors.Code.too_large,
            f'{len(changed.files)} files, {bounds.max_files} allowed',
        )
    rules.merge(changed.texts())
    size = len(documents.encode(changed))
    if size > bounds.max_document_bytes:
        raise errors.refusal(
            errors.Code.too_large,
            f'the document has {size} bytes, '
            f'{bounds.max_document_bytes} allowed',
        )


def _check_reuse(applied: documents.AppliedEdit, edit: Edit) -> None:
    if applied.digest != _digest(edit):
        raise errors.refusal(
            errors.Code.key_reused,
            'the edit id was used with another content',
        )


def _digest(edit: Edit) -> str:
    ordered = sorted(edit.files, key=lambda change: change.name)
    content = msgspec.json.encode(ordered)
    return hashlib.sha256(content).hexdigest()[:_DIGEST_HEX_DIGITS]


def _bad_request(message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.bad_request, message)
