"""All syntax errors of a rule file, instead of the first one."""

import typing

from poplardrum import ini

# Each round parses the text again; a file with more errors shows the rest
# after these are mended.
_MAX_ROUNDS: typing.Final = 50


def repair(text: str, source: str) -> tuple[str, list[ini.SyntaxProblem]]:
    """Return a text without its malformed lines, and what was wrong.

    Lines become blank, so that the other ones keep their numbers. A section
    that stands twice is removed with its options, which would otherwise count
    as options of the section before it.
    """
    lines = text.split('\n')
    problems: list[ini.SyntaxProblem] = []
    for _ in range(_MAX_ROUNDS):
        found = ini.find_syntax_errors('\n'.join(lines), source)
        if not found:
            break
        problems.extend(found)
        for problem in found:
            _blank(lines, problem.line)
    return '\n'.join(lines), problems


def _blank(lines: list[str], number: int) -> None:
    if not 0 < number <= len(lines):
        return
    end = number
    if _is_header(lines[number - 1]):
        following = enumerate(lines[number:], start=number)
        headers = (at for at, line in following if _is_header(line))
        end = next(headers, len(lines))
    for index in range(number - 1, end):
        lines[index] = ''


def _is_header(line: str) -> bool:
    return line.lstrip().startswith('[')
