"""Converters that parse and validate the options of rule files."""

import typing

from poplardrum import ini

Converter = typing.Callable[[str], typing.Any]
Converters = typing.Mapping[str, Converter]

_SHA256_HEX_DIGITS: typing.Final = 64
_MAX_COUNT: typing.Final = 1_000_000
_MAX_SHARE: typing.Final = 1_000_000.0
_MAX_URGENCY: typing.Final = 100
# The wire format and a caller's deadline are limited to one hour.
_MAX_DURATION_S: typing.Final = 3600.0
_MIN_DURATION_S: typing.Final = 0.001


def _digest(text: str) -> str:
    if len(text) != _SHA256_HEX_DIGITS or set(text) - set('0123456789abcdef'):
        raise ValueError('expected a SHA-256 digest in lower-case hexadecimal')
    return text


def _choice(*allowed: str) -> Converter:
    def convert(text: str) -> str:
        if text not in allowed:
            raise ValueError(f'expected {" or ".join(allowed)}, got {text!r}')
        return text

    return convert


def _count(low: int, high: int) -> Converter:
    def convert(text: str) -> int:
        number = ini.integer(text)
        if not low <= number <= high:
            raise ValueError(f'expected {low} to {high}, got {text!r}')
        return number

    return convert


def _share(text: str) -> float:
    share = ini.positive_number(text)
    if share > _MAX_SHARE:
        raise ValueError(f'expected at most {_MAX_SHARE:.0f}, got {text!r}')
    return share


def _duration(text: str) -> float:
    seconds = ini.duration(text)
    if not _MIN_DURATION_S <= seconds <= _MAX_DURATION_S:
        raise ValueError(f'expected 1 ms to 1 h, got {text!r}')
    return seconds


CONVERTERS: typing.Final[typing.Mapping[str, Converters]] = {
    'tenant': {
        'credential_sha256': _digest,
        'share': _share,
        'region': ini.name,
        'max_jobs': _count(0, _MAX_COUNT),
        'max_tasks': _count(0, _MAX_COUNT),
    },
    'class': {
        'urgency': _count(0, _MAX_URGENCY),
        'deadline': _duration,
    },
    'kind': {'declared': _duration},
    'worker': {'state': _choice('ready', 'leaving')},
    'limits': {
        'max_tasks_per_job': _count(1, _MAX_COUNT),
        'max_wait': _duration,
    },
    'placement': {
        'policy': _choice('late_binding', 'expected_finish', 'random_two'),
    },
}
