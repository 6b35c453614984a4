"""Parser for INI text with line numbers, and option value converters."""

import configparser
import dataclasses
import re
import typing

from poplardrum import errors, network_address

_SECTION_PATTERN = re.compile(r'^\[(?P<name>.+)\]')
_OPTION_PATTERN = re.compile(r'^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]')
_QUANTITY_PATTERN = re.compile(
    r'^(?P<number>\d+(?:\.\d+)?)\s*(?P<unit>[A-Za-z]*)$', re.ASCII
)
_NUMBER_PATTERN = re.compile(r'^\s*\d{1,15}(?:\.\d{1,15})?\s*$', re.ASCII)
_NAME_PATTERN = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z')
_SECONDS_PER_UNIT: typing.Final = {
    'ms': 0.001,
    's': 1.0,
    'min': 60.0,
    'h': 3600.0,
}
_BYTES_PER_UNIT: typing.Final = {'B': 1, 'KB': 1024, 'MB': 1048576}
_MAX_INTEGER_DIGITS: typing.Final = 15

Address = network_address.Address


@dataclasses.dataclass(frozen=True)
class Option:
    """Text of an option; `location` is its place for error messages."""

    text: str
    location: str


@dataclasses.dataclass(frozen=True)
class Section:
    """Section with its options by name; `location` is its place in a file."""

    name: str
    location: str
    options: dict[str, Option]


class SyntaxProblem(typing.NamedTuple):
    """One syntax error; `line` is 0 if it is not known."""

    line: int
    location: str
    message: str


def parse(text: str, source: str, code: errors.Code) -> dict[str, Section]:
    """Return the sections of INI text.

    A syntax error is raised as a refusal with `code` and the line number.
    """
    parser = _new_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        first = _describe_syntax_error(error, source)[0]
        raise errors.refusal(
            code, f'{first.location}: {first.message}'
        ) from None
    lines = _line_numbers(text)
    return {
        name: _build_section(parser, name, source, lines)
        for name in parser.sections()
    }


def find_syntax_errors(text: str, source: str) -> list[SyntaxProblem]:
    """Return what prevents a parse, empty if nothing does.

    The parser stops at some errors, so a text may have more of them.
    """
    try:
        _new_parser().read_string(text, source)
    except configparser.Error as error:
        return _describe_syntax_error(error, source)
    return []


def _new_parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(
        interpolation=None,
        default_section='',
        strict=True,
    )


def _describe_syntax_error(
    error: configparser.Error, source: str
) -> list[SyntaxProblem]:
    match error:
        case configparser.DuplicateSectionError():
            line = error.lineno or 0
            where = f'[{error.section}]'
            message = 'the section stands twice in this file'
        case configparser.DuplicateOptionError():
            line = error.lineno or 0
            where = f'[{error.section}] {error.option}'
            message = 'the option stands twice'
        # A subclass of ParsingError whose list of errors is empty.
        case configparser.MissingSectionHeaderError():
            location = f'{source}:{error.lineno}'
            return [
                SyntaxProblem(
                    error.lineno, location, 'a line before any section'
                )
            ]
        case configparser.ParsingError():
            return [
                SyntaxProblem(
                    line,
                    f'{source}:{line}',
                    f'neither section nor option: {text}',
                )
                for line, text in error.errors
            ]
        case _:
            return [SyntaxProblem(0, source, str(error))]
    return [SyntaxProblem(line, f'{source}:{line}: {where}', message)]


def _build_section(
    parser: configparser.ConfigParser,
    name: str,
    source: str,
    lines: dict[tuple[str, str], int],
) -> Section:
    options = {
        option: Option(
            parser.get(name, option) or '',
            f'{source}:{lines.get((name, option), 0)}: [{name}] {option}',
        )
        for option in parser.options(name)
    }
    location = f'{source}:{lines.get((name, ""), 0)}: [{name}]'
    return Section(name, location, options)


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Return the lines of sections and options, which may be indented.

    As in configparser, a line that is indented more than the option before it
    continues its value.
    """
    line_numbers: dict[tuple[str, str], int] = {}
    section = ''
    # Of the last option in the section, `None` without one.
    option_indent: int | None = None
    # configparser splits lines at newlines only, unlike `str.splitlines`.
    for number, line in enumerate(text.split('\n'), start=1):
        content = line.strip()
        indent = len(line) - len(line.lstrip())
        if option_indent is not None and indent > option_indent:
            continue
        header = _SECTION_PATTERN.match(content)
        if header:
            section = header.group('name')
            option_indent = None
            line_numbers.setdefault((section, ''), number)
            continue
        option = _OPTION_PATTERN.match(content)
        if option:
            option_indent = indent
            line_numbers.setdefault(
                (section, option.group('name').lower()), number
            )
    return line_numbers


def duration(text: str) -> float:
    """Convert `250 ms`, `2 s`, `5 min` or `1 h` to seconds."""
    return _parse_quantity(
        text, _SECONDS_PER_UNIT, 'a duration such as 250 ms, 2 s, 5 min'
    )


def size(text: str) -> int:
    """Convert `64 KB` or `1 MB` to bytes."""
    return int(
        _parse_quantity(
            text, _BYTES_PER_UNIT, 'a size such as 512 B, 64 KB, 1 MB'
        )
    )


def _parse_quantity(
    text: str,
    units: typing.Mapping[str, float],
    expected: str,
) -> float:
    match = _QUANTITY_PATTERN.match(text.strip())
    if match is None or match.group('unit') not in units:
        raise ValueError(f'expected {expected}, got {text!r}')
    return float(match.group('number')) * units[match.group('unit')]


def integer(text: str) -> int:
    """Convert a whole number of at least 0."""
    digits = text.strip()
    if not digits.isdecimal() or len(digits) > _MAX_INTEGER_DIGITS:
        raise ValueError(f'expected a whole number, got {text!r}')
    return int(digits)


def positive_number(text: str) -> float:
    """Convert a number above 0."""
    number = float(text) if _NUMBER_PATTERN.match(text) else 0
    if not 0 < number < float('inf'):
        raise ValueError(f'expected a number above 0, got {text!r}')
    return number


def name(text: str) -> str:
    """Check a name of letters, digits, dots, dashes and underscores."""
    if not _NAME_PATTERN.match(text):
        raise ValueError(f'expected a name of up to 64 letters, got {text!r}')
    return text


def non_empty(text: str) -> str:
    """Check that a text is not blank; strip surrounding whitespace."""
    if not text.strip():
        raise ValueError('expected a text, got none')
    return text.strip()


def address(text: str) -> Address:
    """Convert `127.0.0.1:7000` to an IP address and a port."""
    return network_address.parse(text)


def addresses(text: str) -> tuple[Address, ...]:
    """Convert a comma-separated list of addresses."""
    return tuple(address(part) for part in text.split(',') if part.strip())
