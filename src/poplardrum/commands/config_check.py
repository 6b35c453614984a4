"""Check a configuration before it is sent (`poplardrum config check`)."""

import asyncio
import enum
import pathlib
import sys
import typing

import aiohttp
import msgspec

from poplardrum import errors, findings
from poplardrum.operators import (
    client,
    document,
    fleet_checks,
    folder,
    rule_checks,
    status,
)
from poplardrum.platform import document_checks


class CheckExitCode(enum.IntEnum):
    """Exit codes of `config check`; differences alone are `clean`."""

    clean = 0
    warnings = 1
    errors = 2
    not_compared = 3


class Source(typing.NamedTuple):
    """What is compared with: a folder or file, or the entry at an address."""

    against: pathlib.Path | None = None
    entry: str = ''
    token: str = ''


class _InForce(typing.NamedTuple):
    files: dict[str, str]
    members: list[status.MemberStatus]


def check_folder(
    path: pathlib.Path, source: Source, *, as_json: bool = False
) -> int:
    """Check a folder of rule files, print the findings, return the code."""
    files = folder.load_files(path)
    found = rule_checks.check(files, document.Bounds())
    report = _Report(f'{len(files)} files are correct', as_json=as_json)
    try:
        in_force = _read_in_force(source)
    except errors.PoplardrumError as error:
        return report.fail(found, error)
    if in_force is not None:
        found.extend(rule_checks.compare(in_force.files, files))
        if source.entry:
            found.extend(fleet_checks.check(files, in_force.members))
    return report.finish(found)


def check_document(
    path: pathlib.Path, against: pathlib.Path | None, *, as_json: bool = False
) -> int:
    """Check a document of the platform, print findings, return the code."""
    content = _read_bytes(path)
    report = _Report(f'{path} is correct', as_json=as_json)
    if against is None:
        return report.finish(document_checks.check(content))
    try:
        in_force = _read_document(against)
    except errors.PoplardrumError as error:
        return report.fail(document_checks.check(content), error)
    found = document_checks.check(content, in_force)
    found.extend(document_checks.compare(in_force, content))
    return report.finish(found)


def _read_in_force(source: Source) -> _InForce | None:
    if source.entry:
        return asyncio.run(_fetch_in_force(source))
    if source.against is None:
        return None
    if source.against.is_dir():
        return _InForce(folder.load_files(source.against), [])
    try:
        saved = document.decode(_read_bytes(source.against))
    except msgspec.DecodeError as error:
        raise errors.refusal(
            errors.Code.rules, f'{source.against}: {error}'
        ) from None
    return _InForce(saved.texts(), [])


async def _fetch_in_force(source: Source) -> _InForce:
    async with aiohttp.ClientSession() as session:
        operator = client.OperatorClient(session, source.entry, source.token)
        stored = await operator.fetch_document()
        system = await operator.fetch_status()
    return _InForce(stored.texts(), system.members)


def _read_document(path: pathlib.Path) -> bytes:
    """Return a document; raise `rules` unless entries can decode it."""
    content = _read_bytes(path)
    for finding in document_checks.read(content).found:
        if finding.severity is findings.Severity.error:
            raise errors.refusal(
                errors.Code.rules,
                f'{path}: {finding.location}: {finding.message}',
            )
    return content


def _read_bytes(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.refusal(
            errors.Code.rules, f'{path}: cannot be read: {error}'
        ) from None


class _Report:
    """Prints findings and chooses the exit code."""

    def __init__(self, all_clear: str, *, as_json: bool) -> None:
        self.all_clear = all_clear
        self.as_json = as_json

    def finish(self, found: typing.Iterable[findings.Finding]) -> int:
        counts = dict.fromkeys(findings.Severity, 0)
        for finding in findings.ordered(found):
            counts[finding.severity] += 1
            self._print_finding(finding)
        error_count = counts[findings.Severity.error]
        warning_count = counts[findings.Severity.warning]
        if not self.as_json:
            summary = f'{error_count} errors, {warning_count} warnings'
            is_clear = not error_count and not warning_count
            print(self.all_clear if is_clear else summary)
        if error_count:
            return CheckExitCode.errors
        if warning_count:
            return CheckExitCode.warnings
        return CheckExitCode.clean

    def fail(
        self,
        found: typing.Iterable[findings.Finding],
        error: errors.PoplardrumError,
    ) -> int:
        """Print what was found although the comparison has failed."""
        code = self.finish(found)
        print(f'poplardrum: not compared: {error.message}', file=sys.stderr)
        is_wrong = code == CheckExitCode.errors
        return code if is_wrong else CheckExitCode.not_compared

    def _print_finding(self, finding: findings.Finding) -> None:
        if self.as_json:
            print(msgspec.json.encode(finding).decode())
        else:
            parts = (finding.severity.value, finding.location, finding.message)
            print(': '.join(filter(None, parts)))
