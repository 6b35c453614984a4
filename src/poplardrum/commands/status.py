"""Print the status of the system at an entry (`poplardrum status`)."""

import json
import typing

from poplardrum import errors
from poplardrum.commands import tables
from poplardrum.standins import http

JsonObject = dict[str, typing.Any]
_HTTP_OK: typing.Final = 200
_MEMBER_COLUMNS: typing.Final = (
    'id',
    'role',
    'zone',
    'state',
    'linked',
    'slots',
    'free',
    'queued',
    'speed',
    'silent_s',
    'config',
    'ejected_by',
)
_TENANT_COLUMNS: typing.Final = (
    'name',
    'region',
    'share',
    'backlog_s',
    'replies',
)
_LATENCY_COLUMNS: typing.Final = (
    'tenant',
    'class',
    'count',
    'p50',
    'p90',
    'p99',
)


def show(entry: str, token: str, *, as_json: bool = False) -> int:
    """Print the status; return 1 when a member needs attention."""
    status = fetch(entry, token)
    print(json.dumps(status) if as_json else as_text(status))
    return int(bool(warnings(status)))


def fetch(entry: str, token: str) -> JsonObject:
    """Return the status; raise `unavailable` if the entry does not reply 200."""
    try:
        code, reply = http.call(
            'GET',
            f'http://{entry}/v1/operator/status',
            headers={'Authorization': f'Bearer {token}'},
        )
    except OSError as error:
        raise errors.refusal(
            errors.Code.unavailable,
            f'{entry}: {error}',
        ) from None
    if code != _HTTP_OK:
        raise errors.refusal(
            errors.Code.unavailable,
            f'{entry}: {code} {reply}',
        )
    return typing.cast(JsonObject, reply)


def warnings(status: JsonObject) -> list[str]:
    """Return a line for each problem that needs an operator's attention."""
    lines = [
        f'{row["id"]}: {problem}'
        for row in status['members']
        for problem in _problems(row)
    ]
    if not status['config']:
        lines.append('no configuration is in force')
    newest = max((row['config'] for row in status['members']), default=0)
    for row in status['members']:
        if row['linked'] and row['config'] < newest:
            lines.append(f'{row["id"]}: configuration behind {newest}')
    return lines


def _problems(row: JsonObject) -> typing.Iterator[str]:
    if row['state'] == 'gone':
        return
    if row['role'] == 'agent' and not row['linked']:
        yield 'no link'
    elif row['role'] == 'agent' and not row['slots']:
        yield 'no endpoint'
    if row['state'] == 'leaving':
        yield 'leaving'
    if row['ejected_by']:
        yield f'ejected by {len(row["ejected_by"])} coordinators'


def as_text(status: JsonObject) -> str:
    """Return warnings and tables of members, tenants and response times."""
    headline = (
        f'entry {status["entry"]} {status["state"]}, configuration '
        f'{status["config"]}, {status["requests"]} requests in flight'
    )
    sections = [
        headline,
        *(f'ATTENTION {line}' for line in warnings(status)),
        '',
        _format_section(_MEMBER_COLUMNS, status['members']),
        '',
        _format_section(_TENANT_COLUMNS, status['tenants']),
    ]
    if status['latency']:
        sections += ['', _format_section(_LATENCY_COLUMNS, status['latency'])]
    return '\n'.join(sections)


def _format_section(columns: tuple[str, ...], rows: list[JsonObject]) -> str:
    return tables.format_table(
        columns,
        ([_format_cell(row[column]) for column in columns] for row in rows),
    )


def _format_cell(content: typing.Any) -> typing.Any:
    if isinstance(content, dict):
        return ' '.join(f'{key}={count}' for key, count in content.items())
    if isinstance(content, list):
        return ' '.join(content) or '-'
    return content
