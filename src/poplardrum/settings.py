"""Settings of a process, read from an INI file and checked at start-up."""

import dataclasses
import pathlib
import typing

from poplardrum import errors, ids, ini

Converter = typing.Callable[[str], typing.Any]


def _option(convert: Converter, default: str | None = None) -> typing.Any:
    return dataclasses.field(
        metadata={'convert': convert, 'default': default},
    )


def _at_least(lowest: float, convert: Converter) -> Converter:
    def check(text: str) -> typing.Any:
        converted = convert(text)
        if converted < lowest:
            raise ValueError(f'expected at least {lowest:g}, got {text!r}')
        return converted

    return check


def _one_of(*choices: str) -> Converter:
    def check(text: str) -> str:
        if text not in choices:
            expected = ', '.join(choices)
            raise ValueError(f'expected one of {expected}, got {text!r}')
        return text

    return check


# A time of 0 would turn a wait into a busy loop or refuse all requests.
_positive_duration = _at_least(0.001, ini.duration)
_positive_integer = _at_least(1, ini.integer)
_positive_size = _at_least(1, ini.size)


@dataclasses.dataclass(frozen=True)
class Process:
    """Id of the process, and its region and availability zone."""

    id: ids.MemberId = _option(ini.name)
    region: str = _option(ini.name)
    zone: str = _option(ini.name)


@dataclasses.dataclass(frozen=True)
class Listen:
    """Addresses on which the process listens."""

    peers: ini.Address = _option(ini.address)
    http: ini.Address = _option(ini.address)


@dataclasses.dataclass(frozen=True)
class Platform:
    """Access to the store; timeouts in seconds, `calls` per second."""

    address: ini.Address = _option(ini.address)
    timeout: float = _option(_positive_duration, '2 s')
    edit: float = _option(_positive_duration, '10 s')
    calls: float = _option(ini.positive_number, '50')


@dataclasses.dataclass(frozen=True)
class Peers:
    """Links to other processes; times are in seconds."""

    bootstrap: tuple[ini.Address, ...] = _option(ini.addresses, '')
    heartbeat: float = _option(_positive_duration, '2 s')
    silence: float = _option(_positive_duration, '5 s')


@dataclasses.dataclass(frozen=True)
class Operators:
    """Credential for the operators' interface."""

    token: str = _option(ini.non_empty, 'operator')


@dataclasses.dataclass(frozen=True)
class Logs:
    """Level and format of the log."""

    level: str = _option(
        _one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'),
        'INFO',
    )
    form: str = _option(_one_of('text', 'json'), 'text')


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of requests and tables; sizes in bytes, times in seconds."""

    body: int = _option(_positive_size, '8 MB')
    body_time: float = _option(_positive_duration, '10 s')
    tasks: int = _option(_positive_integer, '710')
    payload: int = _option(_positive_size, '64 KB')
    key: int = _option(_positive_integer, '128')
    nesting: int = _option(_at_least(3, ini.integer), '16')
    header: int = _option(_at_least(512, ini.size), '8 KB')
    records: int = _option(_positive_integer, '20000')
    answers: int = _option(_positive_size, '16 MB')
    queue: int = _option(_positive_integer, '20000')
    connections: int = _option(_positive_integer, '60')
    window: float = _option(_positive_duration, '5 min')
    deadline: float = _option(_positive_duration, '60 s')
    drain: float = _option(ini.duration, '30 s')
    balancer: float = _option(ini.duration, '1 s')
    config_files: int = _option(ini.integer, '1024')
    config_file: int = _option(ini.size, '64 KB')
    config_document: int = _option(ini.size, '900 KB')
    config_history: int = _option(ini.integer, '512')


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one process."""

    process: Process
    listen: Listen
    platform: Platform
    peers: Peers
    operators: Operators
    logs: Logs
    limits: Limits


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    An error is raised as a refusal that states file and line.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.refusal(
            errors.Code.settings,
            f'{path}: cannot be read: {error}',
        ) from None
    return parse(text, str(path))


def parse(text: str, source: str) -> Settings:
    """Parse and check settings text; `source` is the file name in errors."""
    sections = ini.parse(text, source, errors.Code.settings)
    section_types = typing.get_type_hints(Settings)
    for name, section in sections.items():
        if name not in section_types:
            raise _error(section.location, 'unknown section')
    parsed = Settings(
        **{
            name: _build_section(section_type, name, sections.get(name), source)
            for name, section_type in section_types.items()
        }
    )
    _check_consistency(parsed, sections, source)
    return parsed


def _check_consistency(
    parsed: Settings,
    sections: dict[str, ini.Section],
    source: str,
) -> None:
    peers = parsed.peers
    if peers.silence > peers.heartbeat:
        return
    options = sections['peers'].options
    option = options.get('silence') or options['heartbeat']
    raise _error(
        option.location,
        f'silence ({peers.silence:g} s) must be longer than heartbeat '
        f'({peers.heartbeat:g} s)',
    )


def _build_section(
    section_type: type[typing.Any],
    name: str,
    section: ini.Section | None,
    source: str,
) -> typing.Any:
    options = section.options if section else {}
    fields = {field.name: field for field in dataclasses.fields(section_type)}
    for option_name, option in options.items():
        if option_name not in fields:
            raise _error(option.location, 'unknown option')
    location = f'{source}: [{name}]'
    return section_type(
        **{
            field_name: _convert(
                field, options.get(field_name), f'{location} {field_name}'
            )
            for field_name, field in fields.items()
        }
    )


def _convert(
    field: dataclasses.Field[typing.Any],
    option: ini.Option | None,
    default_location: str,
) -> typing.Any:
    text = option.text if option else field.metadata['default']
    if text is None:
        raise _error(default_location, 'missing option')
    try:
        return field.metadata['convert'](text)
    except ValueError as error:
        raise _error(
            option.location if option else default_location, str(error)
        ) from None


def _error(location: str, message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.settings, f'{location}: {message}')
