"""Findings of the checks of a configuration before it is sent."""

import enum
import re
import typing

import msgspec

_LINE_PATTERN: typing.Final = re.compile(r'^(?P<file>[^:]*):(?P<line>\d+)')


class Severity(enum.Enum):
    """What a finding means.

    Of an `error`, the configuration would be refused or ignored. A `warning`
    is accepted, but an entry has no effect or contradicts another one.
    """

    error = 'error'
    warning = 'warning'
    difference = 'difference'


class Finding(msgspec.Struct, frozen=True, omit_defaults=True):
    """One finding at a place; `old` and `new` belong to a difference."""

    severity: Severity
    location: str
    message: str
    old: str | None = None
    new: str | None = None


def error(location: str, message: str) -> Finding:
    """Return a finding for which the configuration would not be used."""
    return Finding(Severity.error, location, message)


def warning(location: str, message: str) -> Finding:
    """Return a finding on an entry without effect or a contradiction."""
    return Finding(Severity.warning, location, message)


def differences(
    old: typing.Mapping[str, str], new: typing.Mapping[str, str]
) -> list[Finding]:
    """Return additions, removals and changes, ordered by location."""
    return [
        _difference(location, old.get(location), new.get(location))
        for location in sorted({*old, *new})
        if old.get(location) != new.get(location)
    ]


def ordered(found: typing.Iterable[Finding]) -> list[Finding]:
    """Return each finding once: errors, warnings, differences, by line."""
    ranks = {severity: rank for rank, severity in enumerate(Severity)}
    # The sort is stable, so findings without a line keep their order.
    return sorted(
        dict.fromkeys(found),
        key=lambda each: (ranks[each.severity], _line_key(each.location)),
    )


def _difference(location: str, old: str | None, new: str | None) -> Finding:
    if old is None:
        message = f'added: {new}'
    elif new is None:
        message = f'removed: {old}'
    else:
        message = f'{old} -> {new}'
    return Finding(Severity.difference, location, message, old, new)


def _line_key(location: str) -> tuple[str, int]:
    match = _LINE_PATTERN.match(location)
    return (match['file'], int(match['line'])) if match else ('', 0)
