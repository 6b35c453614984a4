"""Checks of the operator's configuration document before it is sent."""

import difflib
import json
import string
import typing

import msgspec

from poplardrum import findings
from poplardrum.platform import job_api

Findings = typing.Iterator[findings.Finding]
_Object = dict[str, typing.Any]

_ROUTE_FIELDS: typing.Final = {
    field.encode_name: field for field in msgspec.structs.fields(job_api.Route)
}
# Fields of the document that entries do not use.
_OTHER_FIELDS: typing.Final = ('Kind', 'RatePerS')
_LIMIT_FIELDS: typing.Final = (
    'MaxBodyBytes',
    'MaxHeaderBytes',
    'HeaderTimeoutMs',
    'IdleTimeoutMs',
)
_Version = typing.Annotated[int, msgspec.Meta(ge=1)]
_Limit = typing.Annotated[float, msgspec.Meta(ge=0)]
_JOB_ID_LENGTH: typing.Final = 16
_SIMILARITY: typing.Final = 0.8


class Document(typing.NamedTuple):
    """A decoded document; `routes` have the path of each usable one."""

    content: _Object
    routes: dict[str, job_api.Route]
    found: list[findings.Finding]


def check(data: bytes, in_force: bytes | None = None) -> list[findings.Finding]:
    """Return errors, entries without effect and contradictions.

    The version is compared with that of the document `in_force`.
    """
    document = read(data)
    found = [
        *document.found,
        *_check_route_pairs(document.routes),
        *_check_services(document),
        *_check_limits(document.content.get('Limits')),
    ]
    for path, route in document.routes.items():
        found.extend(_check_address(path, route))
        found.extend(_check_times(path, route))
    if in_force is not None:
        found.extend(_check_version(document.content, read(in_force).content))
    is_wrong = any(
        each.severity is findings.Severity.error for each in document.found
    )
    if not is_wrong and job_api.decode_configuration(data) is None:
        found.append(findings.error('', 'entries cannot decode the document'))
    return found


def compare(old: bytes, new: bytes) -> list[findings.Finding]:
    """Return what differs; routes and services are matched by their names."""
    return findings.differences(
        dict(_flatten('', read(old).content)),
        dict(_flatten('', read(new).content)),
    )


def read(data: bytes) -> Document:
    """Decode a document as far as possible."""
    document = Document({}, {}, [])

    def build(pairs: list[tuple[str, typing.Any]]) -> _Object:
        built = dict(pairs)
        names = [name for name, _ in pairs]
        document.found.extend(
            findings.warning(name, 'stands twice in an object, the last counts')
            for name in built
            if names.count(name) > 1
        )
        return built

    try:
        content = json.loads(data.decode(), object_pairs_hook=build)
    except json.JSONDecodeError as error:
        place = f'line {error.lineno}, column {error.colno}'
        document.found.append(findings.error(place, error.msg))
        return document
    except (ValueError, RecursionError) as error:
        document.found.append(findings.error('', str(error)))
        return document
    if not isinstance(content, dict):
        document.found.append(findings.error('', 'expected an object'))
        return document
    document.content.update(content)
    document.found.extend(_read_version(content))
    document.found.extend(_read_routes(document))
    return document


def _read_version(content: _Object) -> Findings:
    problem = _type_problem(content.get('Version'), _Version)
    if problem:
        yield findings.error('Version', problem)


def _read_routes(document: Document) -> Findings:
    routes = document.content.get('Routes')
    if not isinstance(routes, list):
        yield findings.error('Routes', 'expected a list')
        return
    if not routes:
        yield findings.warning('Routes', 'no route, so that no job is accepted')
    for index, route in enumerate(routes):
        path = f'Routes[{index}]'
        if not isinstance(route, dict):
            yield findings.error(path, 'expected an object')
            continue
        wrong = list(_check_fields(path, route))
        yield from wrong
        yield from _misspelt_fields(path, route)
        if not wrong:
            document.routes[path] = msgspec.convert(route, job_api.Route)


def _check_fields(path: str, route: _Object) -> Findings:
    for name, field in _ROUTE_FIELDS.items():
        if name not in route:
            if field.required:
                yield findings.error(f'{path}.{name}', 'missing')
            continue
        problem = _type_problem(route[name], field.type)
        if problem:
            yield findings.error(f'{path}.{name}', problem)


def _type_problem(value: typing.Any, expected: typing.Any) -> str:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        return str(error)
    return ''


def _misspelt_fields(path: str, route: _Object) -> Findings:
    known = [*_ROUTE_FIELDS, *_OTHER_FIELDS]
    for name in route.keys() - set(known):
        for close in difflib.get_close_matches(name, known, 1, _SIMILARITY):
            yield findings.warning(
                f'{path}.{name}', f'has no effect, perhaps {close} is meant'
            )


def _check_address(path: str, route: job_api.Route) -> Findings:
    if not route.host or ':' in route.host:
        yield findings.warning(
            f'{path}.Host', 'never matches: expected a host without a port'
        )
    elif route.host != route.host.lower():
        yield findings.warning(
            f'{path}.Host', 'matches only requests in the same letter case'
        )
    if not route.prefix.startswith('/'):
        yield findings.warning(
            f'{path}.Prefix', 'never matches a job: expected a leading /'
        )


def _check_route_pairs(routes: typing.Mapping[str, job_api.Route]) -> Findings:
    addresses: dict[tuple[str, str], str] = {}
    names: dict[str, str] = {}
    for path, route in routes.items():
        first = addresses.setdefault((route.host, route.prefix), path)
        if first != path:
            yield findings.warning(
                path, f'never matches: {first} has the same Host and Prefix'
            )
        first = names.setdefault(route.name, path)
        if first != path:
            yield findings.warning(f'{path}.Name', f'{first} has the same name')
    for path, route in routes.items():
        yield from _hidden_jobs(path, route, addresses)


def _hidden_jobs(
    path: str,
    route: job_api.Route,
    addresses: typing.Mapping[tuple[str, str], str],
) -> Findings:
    """Find longer prefixes that take some of a route's jobs by their ids."""
    for (host, prefix), other in addresses.items():
        digits = prefix.removeprefix(route.prefix)
        if (
            host == route.host
            and prefix.startswith(route.prefix)
            and 0 < len(digits) <= _JOB_ID_LENGTH
            and set(digits) <= set(string.hexdigits)
        ):
            yield findings.warning(
                f'{path}.Prefix',
                f'{other} takes the jobs whose ids begin with {digits}',
            )


def _check_times(path: str, route: job_api.Route) -> Findings:
    for name, value, least, effect in (
        ('MaxAttempts', route.max_attempts, 1, 'counts as 1'),
        ('Stretch', route.stretch, 1, 'targets less time than the work takes'),
        ('TimeoutMs', route.timeout_ms, 0, 'is below 0'),
        ('TargetLatencyMs', route.base_latency_ms, 0, 'is below 0'),
        ('Priority', route.urgency, 0, 'is below 0'),
    ):
        if value < least:
            yield findings.warning(f'{path}.{name}', f'{value:g} {effect}')
    if 0 < route.timeout_ms < route.base_latency_ms:
        yield findings.warning(
            f'{path}.TimeoutMs',
            f'{route.timeout_ms:g} is below TargetLatencyMs, '
            f'{route.base_latency_ms:g}: callers leave before the target',
        )


def _check_services(document: Document) -> Findings:
    services = document.content.get('Services')
    if services is None:
        return
    problem = _type_problem(services, list[_Object])
    if problem:
        yield findings.error('Services', problem)
        return
    used = _used_services(document)
    known: set[typing.Any] = set()
    for index, service in enumerate(services):
        path = f'Services[{index}]'
        name = service.get('Name')
        problem = _type_problem(name, str)
        if problem:
            yield findings.error(f'{path}.Name', problem)
            continue
        if name in known:
            yield findings.warning(path, f'{name} stands twice')
        if used is not None and name not in used and not service.get('Spare'):
            yield findings.warning(path, f'no route uses {name}')
        known.add(name)
    yield from _unknown_services(document.routes, known)


def _used_services(document: Document) -> set[str] | None:
    """Return the services of the routes, `None` if a route is malformed."""
    if _type_problem(document.content.get('Routes'), list[job_api.Route]):
        return None
    return {route.service for route in document.routes.values()}


def _unknown_services(
    routes: typing.Mapping[str, job_api.Route], known: set[typing.Any]
) -> Findings:
    for path, route in routes.items():
        if route.service not in known:
            yield findings.warning(
                f'{path}.Service', f'Services has no {route.service!r}'
            )


def _check_limits(limits: typing.Any) -> Findings:
    if limits is None:
        return
    if not isinstance(limits, dict):
        yield findings.error('Limits', 'expected an object')
        return
    numbers: dict[str, float] = {}
    for name in _LIMIT_FIELDS:
        problem = _type_problem(limits.get(name, 0), _Limit)
        if problem:
            yield findings.error(f'Limits.{name}', problem)
        else:
            numbers[name] = limits.get(name, 0)
    yield from _contradicting_limits(numbers)


def _contradicting_limits(numbers: typing.Mapping[str, float]) -> Findings:
    longest = job_api.MAX_SPECIFICATION_BYTES
    if 0 < numbers.get('MaxBodyBytes', 0) < longest:
        yield findings.warning(
            'Limits.MaxBodyBytes',
            f'{numbers["MaxBodyBytes"]:g} is below the {longest} bytes that a '
            'Specification may have',
        )
    if 0 < numbers.get('IdleTimeoutMs', 0) < numbers.get('HeaderTimeoutMs', 0):
        yield findings.warning(
            'Limits.HeaderTimeoutMs',
            f'{numbers["HeaderTimeoutMs"]:g} is above IdleTimeoutMs, '
            f'{numbers["IdleTimeoutMs"]:g}',
        )


def _check_version(new: _Object, in_force: _Object) -> Findings:
    versions = [new.get('Version'), in_force.get('Version')]
    if _type_problem(versions, list[_Version]):
        return
    version, current = msgspec.convert(versions, list[_Version])
    if version <= current:
        yield findings.error(
            'Version', f'{version} is not above {current}, so it is ignored'
        )


def _flatten(path: str, value: typing.Any) -> typing.Iterator[tuple[str, str]]:
    parts: dict[str, typing.Any] = {}
    if isinstance(value, dict):
        prefix = f'{path}.' if path else ''
        parts = {f'{prefix}{name}': part for name, part in value.items()}
    elif isinstance(value, list):
        keys = _item_keys(value)
        parts = {f'{path}[{key}]': part for key, part in zip(keys, value)}
    if not parts:
        yield path, json.dumps(value, ensure_ascii=False)
    for place, part in parts.items():
        yield from _flatten(place, part)


def _item_keys(items: list[typing.Any]) -> list[str]:
    """Return the names of all items if they differ, else their indexes."""
    names = [
        item.get('Name') if isinstance(item, dict) else None for item in items
    ]
    are_names = all(isinstance(name, str) for name in names)
    if are_names and len(set(names)) == len(names):
        return [str(name) for name in names]
    return [str(index) for index in range(len(items))]
