"""Apply and show the configuration (`poplardrum config`)."""

import asyncio
import difflib
import enum
import pathlib
import sys
import time
import typing

import aiohttp
import msgspec

from poplardrum import errors, ids
from poplardrum.operators import client, document, edits, folder
from poplardrum.operators import status as system_status

_POLL_INTERVAL_S: typing.Final = 0.2
_GONE_STATE: typing.Final = 'gone'
_UNREACHABLE_CODES: typing.Final = frozenset(
    (errors.Code.unavailable, errors.Code.platform),
)


class ExitCode(enum.IntEnum):
    """Exit codes of the commands under `config` except `check`."""

    done = 0
    refused = 1
    wrong_input = 2
    not_everywhere = 3
    conflict = 4
    unknown = 5


class Target(typing.NamedTuple):
    """Address of the entry to call, the operators' token and the timeout."""

    entry: str
    token: str
    timeout_s: float = 30.0


def show(target: Target) -> int:
    """Print the stored files with their configuration numbers."""
    return asyncio.run(_run_with_client(target, _show))


def status(target: Target) -> int:
    """Print the number of the configuration that each process uses."""
    return asyncio.run(_run_with_client(target, _status))


def apply(path: pathlib.Path, target: Target, base: int | None) -> int:
    """Store the files of a folder and wait until they are in force everywhere.

    `base` is the stored number that `--base` names; without it, each file is
    compared with the number it had when the folder was last applied.
    """

    async def run(operator: client.OperatorClient) -> int:
        return await ApplyOperation(path, operator, target.timeout_s).run(base)

    return asyncio.run(_run_with_client(target, run))


async def _run_with_client(
    target: Target,
    action: typing.Callable[[client.OperatorClient], typing.Awaitable[int]],
) -> int:
    async with aiohttp.ClientSession() as session:
        operator = client.OperatorClient(session, target.entry, target.token)
        try:
            return await action(operator)
        except edits.ConflictError as conflict:
            _print_conflicts(conflict.conflicts)
            return ExitCode.conflict
        except errors.PoplardrumError as error:
            print(f'poplardrum: {error.message}', file=sys.stderr)
            return _exit_code(error)


def _exit_code(error: errors.PoplardrumError) -> int:
    if error.verdict is not errors.Verdict.not_run:
        return ExitCode.unknown
    if error.code is errors.Code.conflict:
        return ExitCode.conflict
    input_errors = {
        errors.Code.rules,
        errors.Code.settings,
        errors.Code.too_large,
    }
    return (
        ExitCode.wrong_input if error.code in input_errors else ExitCode.refused
    )


async def _show(operator: client.OperatorClient) -> int:
    stored = await operator.fetch_document()
    print(f'# number {stored.number}')
    for name, file in sorted(stored.files.items()):
        print(f'# file {name}, changed by {file.number}\n{file.text}')
    for name, versions in sorted(stored.conflicts.items()):
        for version in versions:
            print(f'# NOT in force: {name}, changed by {version.number}')
            print(version.text)
    return ExitCode.done


async def _status(operator: client.OperatorClient) -> int:
    system = await operator.fetch_status()
    print(f'{system.entry} runs by {system.config}')
    _print_members(system.members)
    return ExitCode.done


def _is_behind(
    member: system_status.MemberStatus, number: ids.ConfigNumber
) -> bool:
    return not member.linked or member.config < number


def _print_members(members: list[system_status.MemberStatus]) -> None:
    for member in sorted(members, key=lambda each: each.id):
        number = str(member.config) if member.linked else 'not linked'
        print(f'{member.id:24} {member.role:6} {member.state:8} {number}')


def _print_conflicts(conflicts: list[edits.Conflict]) -> None:
    for conflict in conflicts:
        print(f'conflict: {conflict.name} has changed since it was read')
        print(f'  read at number {conflict.base}, now {conflict.number}')
        lines = difflib.unified_diff(
            _split_lines(conflict.theirs),
            _split_lines(conflict.yours),
            f'{conflict.name} (stored)',
            f'{conflict.name} (yours)',
            n=1_000_000,
            lineterm='',
        )
        print('\n'.join(lines))


def _split_lines(text: str | None) -> list[str]:
    return ['(no such file)'] if text is None else text.split('\n')


class ApplyOperation:
    """One call of `config apply`."""

    def __init__(
        self,
        path: pathlib.Path,
        operator: client.OperatorClient,
        timeout_s: float,
    ) -> None:
        """Read and check the folder; raise `rules` for invalid files."""
        self.path = path
        self.operator = operator
        self.deadline = time.monotonic() + timeout_s
        self.files = folder.read_files(path, document.Bounds())
        self.base = folder.read_base(path)

    async def run(self, base_number: int | None) -> int:
        """Send the changes as one edit, wait and return the exit code."""
        await self._resolve_pending()
        stored = await self.operator.fetch_document()
        base_numbers = dict(self.base.files)
        if base_number is not None:
            base_numbers = _numbers_at(stored, base_number)
        comparison = folder.compare(self.files, stored, base_numbers)
        if comparison.conflicts:
            _print_conflicts(comparison.conflicts)
            print(f'after a merge, apply with --base {stored.number}')
            return ExitCode.conflict
        if comparison.changes:
            _print_changes(comparison.changes)
            edit = edits.Edit(
                ids.new_edit_id(), comparison.changes, stored.number
            )
            stored = await self._send(edit)
        else:
            print('nothing to change')
        self._save_base(folder.Base(folder.base_numbers(self.files, stored)))
        return await self._wait_until_in_force(stored.number)

    async def _resolve_pending(self) -> None:
        """Resend an edit of an earlier call whose outcome is unknown."""
        pending = self.base.pending
        if pending is None:
            return
        print(f'edit {pending.edit} of an earlier run is sent again')
        try:
            stored = await self._send(pending)
        except errors.PoplardrumError as error:
            if error.code in _UNREACHABLE_CODES:
                raise
            # The files are compared anew, so the outcome does not matter.
            return
        numbers = dict(self.base.files)
        for change in pending.files:
            numbers.pop(change.name, None)
            file = stored.files.get(change.name)
            if file and file.text == change.text:
                numbers[change.name] = file.number
        self._save_base(folder.Base(numbers))

    async def _send(self, edit: edits.Edit) -> document.Document:
        # A pending edit of an earlier call may still take effect; a later
        # refusal does not rule that out.
        uncertain = self.base.pending is not None
        self._save_base(msgspec.structs.replace(self.base, pending=edit))
        while True:
            try:
                return await self.operator.send_edit(edit)
            except errors.PoplardrumError as error:
                uncertain = self._raise_if_final(error, uncertain=uncertain)
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _raise_if_final(
        self,
        error: errors.PoplardrumError,
        *,
        uncertain: bool,
    ) -> bool:
        """Raise an error that ends the edit; return `True` to retry.

        The outcome is uncertain once a try may have reached the entry. Such
        an edit is retried until the deadline and stays pending after it.
        """
        if error.code not in _UNREACHABLE_CODES:
            self._save_base(msgspec.structs.replace(self.base, pending=None))
            raise error
        if not uncertain and error.verdict is errors.Verdict.not_run:
            self._save_base(msgspec.structs.replace(self.base, pending=None))
            raise error
        if time.monotonic() < self.deadline:
            return True
        error.verdict = errors.Verdict.may_have_run
        raise error

    def _save_base(self, base: folder.Base) -> None:
        self.base = base
        folder.write_base(self.path, base)

    async def _wait_until_in_force(self, number: ids.ConfigNumber) -> int:
        """Wait until all processes use the number, and print their numbers."""
        while True:
            system = await self.operator.fetch_status()
            members = [
                member
                for member in system.members
                if member.state != _GONE_STATE
            ]
            behind = [
                member
                for member in members
                if not member.linked or member.config < number
            ]
            if not behind or time.monotonic() > self.deadline:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        _print_members(members)
        if behind:
            print(f'{number} is accepted, {len(behind)} processes lack it')
            return ExitCode.not_everywhere
        print(f'{number} is in force at {len(members)} processes')
        return ExitCode.done


def _numbers_at(
    stored: document.Document,
    base_number: int,
) -> dict[str, ids.ConfigNumber]:
    if stored.number != base_number:
        raise errors.refusal(
            errors.Code.conflict,
            f'--base {base_number}: the number is {stored.number} now',
        )
    return {name: file.number for name, file in stored.files.items()}


def _print_changes(changes: list[edits.FileEdit]) -> None:
    for change in changes:
        verb = 'change' if change.base else 'add'
        print(f'{"remove" if change.text is None else verb} {change.name}')
