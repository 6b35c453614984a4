"""Submit a job from a file and print its answer."""

import asyncio
import pathlib
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.callers import bodies, client
from poplardrum.commands import tables

COMPLETE_EXIT: typing.Final = 0
FAILED_EXIT: typing.Final = 1
REFUSED_EXIT: typing.Final = 3
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
    """Return the content of a file; raise `settings` when it has none."""
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
    """Return the addresses of a list separated by commas."""
    entries = tuple(part.strip() for part in text.split(',') if part.strip())
    if not entries:
        raise errors.refusal(errors.Code.settings, '--entry: no address')
    return entries


def submit(
    job: pathlib.Path,
    entry: str,
    credential: pathlib.Path,
    key: str,
    *,
    as_json: bool = False,
) -> int:
    """Submit a job file, print the answer and return the exit code."""
    target = client.Target(
        entries=read_entries(entry),
        credential=read_file(credential).decode().strip(),
        key=ids.IdempotencyKey(key or ids.new_idempotency_key()),
    )
    tries = run_submit(target, read_file(job))
    print(as_text(target.key, tries) if not as_json else encode(tries))
    return exit_code(tries)


def run_submit(target: client.Target, content: bytes) -> list[client.Attempt]:
    """Submit on an event loop of its own."""
    return asyncio.run(client.submit(target, content))


def exit_code(tries: list[client.Attempt]) -> int:
    """Return 0 for a complete answer, 3 if nothing has run, else 1.

    A try that was sent and got no reply may have run, so a later refusal
    says nothing about it.
    """
    body = tries[-1].body
    if body is None:
        sent = any(attempt.sent for attempt in tries)
        return FAILED_EXIT if sent else REFUSED_EXIT
    if body.state != 'failed':
        return COMPLETE_EXIT
    refused = body.verdict == errors.Verdict.not_run.value and not body.tasks
    certain = all(attempt.body or not attempt.sent for attempt in tries)
    return REFUSED_EXIT if refused and certain else FAILED_EXIT


def encode(tries: list[client.Attempt]) -> str:
    """Return the last reply as JSON, or the problem that left none."""
    last = tries[-1]
    answer = last.body or {'state': 'unknown', 'message': last.error}
    return msgspec.json.encode(answer).decode()


def as_text(key: str, tries: list[client.Attempt]) -> str:
    """Return tries and answer as lines for a reader."""
    lines = [
        _attempt_line(number, item) for number, item in enumerate(tries, 1)
    ]
    body = tries[-1].body
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
