"""Submit a job from a file and print its outcome (`poplardrum submit`)."""

import asyncio
import pathlib
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.callers import bodies, client
from poplardrum.commands import tables

COMPLETE_EXIT_CODE: typing.Final = 0
FAILED_EXIT_CODE: typing.Final = 1
REFUSED_EXIT_CODE: typing.Final = 3
_TASK_COLUMNS: typing.Final = (
    'code',
    'verdict',
    'worker',
    'seconds',
    'safe_to_resubmit',
    'output',
)
_MAX_OUTPUT_CHARS: typing.Final = 40


def read_file(path: pathlib.Path) -> bytes:
    """Return the content of a file; raise `settings` if missing or empty."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.refusal(
            errors.Code.settings,
            f'{path}: cannot be read: {error.strerror}',
        ) from None
    if not content.strip():
        raise errors.refusal(errors.Code.settings, f'{path}: is empty')
    return content


def read_entries(text: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated list."""
    addresses = tuple(part.strip() for part in text.split(',') if part.strip())
    if not addresses:
        raise errors.refusal(errors.Code.settings, '--entry: no address')
    return addresses


def submit(
    job_path: pathlib.Path,
    addresses: str,
    credential_path: pathlib.Path,
    key: str,
    *,
    as_json: bool = False,
) -> int:
    """Submit a job file, print its outcome and return the exit code.

    `addresses` is a comma-separated list of entries. A random key is used if
    `key` is empty.
    """
    target = client.Target(
        entries=read_entries(addresses),
        credential=read_file(credential_path).decode().strip(),
        key=ids.IdempotencyKey(key or ids.new_idempotency_key()),
    )
    attempts = run_submit(target, read_file(job_path))
    print(as_text(target.key, attempts) if not as_json else encode(attempts))
    return exit_code(attempts)


def run_submit(target: client.Target, job_body: bytes) -> list[client.Attempt]:
    """Submit a job on a new event loop; return all attempts in order."""
    return asyncio.run(client.submit(target, job_body))


def exit_code(attempts: list[client.Attempt]) -> int:
    """Return 0 for a complete job, 3 if nothing has run, else 1.

    An attempt that was sent and got no reply may have run; a refusal of a
    later attempt does not rule that out.
    """
    body = attempts[-1].body
    if body is None:
        sent = any(attempt.sent for attempt in attempts)
        return FAILED_EXIT_CODE if sent else REFUSED_EXIT_CODE
    if body.state != 'failed':
        return COMPLETE_EXIT_CODE
    refused = body.verdict == errors.Verdict.not_run.value and not body.tasks
    certain = all(attempt.body or not attempt.sent for attempt in attempts)
    return REFUSED_EXIT_CODE if refused and certain else FAILED_EXIT_CODE


def encode(attempts: list[client.Attempt]) -> str:
    """Return the last reply as JSON, or the reason why there is none."""
    last = attempts[-1]
    reply = last.body or {'state': 'unknown', 'message': last.error}
    return msgspec.json.encode(reply).decode()


def as_text(key: str, attempts: list[client.Attempt]) -> str:
    """Return the attempts, one a line, and the tasks as a table."""
    lines = [
        _attempt_line(number, attempt)
        for number, attempt in enumerate(attempts, 1)
    ]
    body = attempts[-1].body
    if body and body.tasks:
        lines.append(tables.format_table(('task', *_TASK_COLUMNS), _rows(body)))
    return '\n'.join([f'key {key}', *lines])


def _attempt_line(number: int, attempt: client.Attempt) -> str:
    body = attempt.body
    if body is None:
        return f'try {number} at {attempt.entry}: {attempt.error}'
    line = (
        f'try {number} at {attempt.entry}: {attempt.status} {body.code}, '
        f'state {body.state}, verdict {body.verdict}'
    )
    return f'{line}: {body.message}' if body.message else line


def _rows(body: bodies.JobReplyBody) -> typing.Iterator[tables.Row]:
    for index, task in enumerate(body.tasks):
        cells = [getattr(task, column) for column in _TASK_COLUMNS]
        yield index, *cells[:-1], task.output[:_MAX_OUTPUT_CHARS]
