"""Typed rules that operators write as small INI files."""

import typing

import msgspec

from poplardrum import errors, ids, ini


class TenantRule(msgspec.Struct, frozen=True):
    """A tenant: credential, share of the fleet, home region and quotas."""

    credential_sha256: str = ''
    share: float = 1.0
    region: str = ''
    max_jobs: int = 1000
    max_tasks: int = 20000


class ClassRule(msgspec.Struct, frozen=True):
    """A class of work: a lower urgency number goes first; seconds."""

    urgency: int = 5
    deadline: float = 60.0


class KindRule(msgspec.Struct, frozen=True):
    """A kind of task with its usual time in seconds."""

    declared: float = 0.2


class WorkerRule(msgspec.Struct, frozen=True):
    """State of a worker as its operator wants it."""

    state: str = 'ready'


class LimitsRule(msgspec.Struct, frozen=True):
    """Limits of the whole system; times in seconds."""

    max_tasks_per_job: int = 710
    max_wait: float = 30.0


class PlacementRule(msgspec.Struct, frozen=True):
    """Choice and settings of the placement policy."""

    policy: str = 'late_binding'


class Rules(msgspec.Struct, frozen=True):
    """All rules in force."""

    tenants: dict[ids.TenantName, TenantRule] = {}
    classes: dict[ids.ClassName, ClassRule] = {}
    kinds: dict[ids.KindName, KindRule] = {}
    workers: dict[ids.MemberId, WorkerRule] = {}
    limits: LimitsRule = LimitsRule()
    placement: PlacementRule = PlacementRule()


Converter = typing.Callable[[str], typing.Any]
Converters = dict[str, Converter]

_DIGEST_DIGITS: typing.Final = 64


def _digest(text: str) -> str:
    if len(text) != _DIGEST_DIGITS or set(text) - set('0123456789abcdef'):
        raise ValueError('expected a SHA-256 digest in lower-case hexadecimal')
    return text


def _state(text: str) -> str:
    if text not in {'ready', 'leaving'}:
        raise ValueError(f'expected ready or leaving, got {text!r}')
    return text


def _policy(text: str) -> str:
    if text not in {'late_binding', 'expected_finish', 'random_two'}:
        raise ValueError(f'unknown placement policy {text!r}')
    return text


_TENANT: typing.Final[Converters] = {
    'credential_sha256': _digest,
    'share': ini.positive,
    'region': ini.name,
    'max_jobs': ini.integer,
    'max_tasks': ini.integer,
}
_CLASS: typing.Final[Converters] = {
    'urgency': ini.integer,
    'deadline': ini.duration,
}
_KIND: typing.Final[Converters] = {'declared': ini.duration}
_WORKER: typing.Final[Converters] = {'state': _state}
_LIMITS: typing.Final[Converters] = {
    'max_tasks_per_job': ini.integer,
    'max_wait': ini.duration,
}
_PLACEMENT: typing.Final[Converters] = {'policy': _policy}
_NAMED: typing.Final[dict[str, tuple[type, Converters]]] = {
    'tenant': (TenantRule, _TENANT),
    'class': (ClassRule, _CLASS),
    'kind': (KindRule, _KIND),
    'worker': (WorkerRule, _WORKER),
}
_SINGLE: typing.Final[dict[str, tuple[type, Converters]]] = {
    'limits': (LimitsRule, _LIMITS),
    'placement': (PlacementRule, _PLACEMENT),
}


def merge(files: typing.Mapping[str, str]) -> Rules:
    """Merge files in the order of their names; raise with file and line."""
    values: dict[tuple[str, str], dict[str, typing.Any]] = {}
    for file_name in sorted(files):
        _merge_file(files[file_name], file_name, values)
    return _build(values)


def _merge_file(
    text: str,
    file_name: str,
    values: dict[tuple[str, str], dict[str, typing.Any]],
) -> None:
    sections = ini.parse(text, file_name, errors.Code.rules)
    for section in sections.values():
        group, _, name = section.name.partition(' ')
        converters = _converters(group, name, section)
        merged = values.setdefault((group, name), {})
        for option_name, option in section.options.items():
            merged[option_name] = _convert(converters, option_name, option)


def _converters(
    group: str,
    name: str,
    section: ini.Section,
) -> Converters:
    if group in _SINGLE and not name:
        return _SINGLE[group][1]
    if group in _NAMED:
        try:
            ini.name(name)
        except ValueError as error:
            raise _error(section.where, str(error)) from None
        return _NAMED[group][1]
    raise _error(section.where, 'unknown section')


def _convert(
    converters: Converters,
    option_name: str,
    option: ini.Option,
) -> typing.Any:
    converter = converters.get(option_name)
    if converter is None:
        raise _error(option.where, 'unknown option')
    try:
        return converter(option.text)
    except ValueError as error:
        raise _error(option.where, str(error)) from None


def _build(values: dict[tuple[str, str], dict[str, typing.Any]]) -> Rules:
    named: dict[str, dict[typing.Any, typing.Any]] = {
        group: {} for group in _NAMED
    }
    single: dict[str, typing.Any] = {
        group: kind() for group, (kind, _) in _SINGLE.items()
    }
    for (group, name), options in values.items():
        if group in _SINGLE:
            single[group] = _SINGLE[group][0](**options)
        else:
            named[group][name] = _NAMED[group][0](**options)
    return Rules(
        tenants=named['tenant'],
        classes=named['class'],
        kinds=named['kind'],
        workers=named['worker'],
        limits=single['limits'],
        placement=single['placement'],
    )


def _error(where: str, message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.rules, f'{where}: {message}')
