"""Checks of callers' requests."""

import asyncio
import hashlib
import json
import re
import typing

import msgspec
from aiohttp import web

from poplardrum import errors, ids, settings
from poplardrum.operators import rules
from poplardrum.peers import messages

_KEY_PATTERN: typing.Final = re.compile(r'[!-~]+')
_NAME_PATTERN: typing.Final = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'
_JSON_STRING: typing.Final = re.compile(rb'"(?:[^"\\]|\\.)*"')
_JSON_BRACKET: typing.Final = re.compile(rb'[\[\]{}]')
_MAX_DURATION_MS: typing.Final = 3_600_000

Name = typing.Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
Milliseconds = typing.Annotated[float, msgspec.Meta(gt=0, le=_MAX_DURATION_MS)]


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task in the body of a submission."""

    kind: Name
    payload: str = ''
    declared_ms: Milliseconds | None = None
    idempotent: bool = False


class JobBody(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={'job_class': 'class'},
):
    """Body of `POST /v1/jobs`."""

    tasks: typing.Annotated[list[TaskBody], msgspec.Meta(min_length=1)]
    job_class: Name = 'default'
    deadline_ms: Milliseconds | None = None
    wait: bool = True


def authenticate(
    header: str | None,
    current: rules.Rules,
) -> ids.TenantName:
    """Return the tenant of a bearer credential; raise if it is unknown."""
    scheme, _, credential = (header or '').partition(' ')
    digest = hashlib.sha256(credential.strip().encode()).hexdigest()
    if scheme.lower() == 'bearer':
        for tenant, rule in current.tenants.items():
            if rule.credential_sha256 == digest:
                return tenant
    raise errors.refusal(
        errors.Code.unknown_credential,
        'the Authorization header names no known tenant',
    )


def check_key(text: str, limit: int) -> ids.IdempotencyKey:
    """Check an idempotency key of printable ASCII."""
    if len(text) > limit or not _KEY_PATTERN.fullmatch(text):
        raise errors.refusal(
            errors.Code.bad_request,
            f'Idempotency-Key: expected 1 to {limit} printable characters',
        )
    return ids.IdempotencyKey(text)


async def read_body(request: web.Request, seconds: float) -> bytes:
    """Read a body; raise a refusal when it does not arrive whole in time."""
    try:
        async with asyncio.timeout(seconds):
            return await request.read()
    except TimeoutError:
        problem = f'body: incomplete after {seconds:g} s'
    except (web.RequestPayloadError, OSError) as error:
        problem = f'body: broken off: {error}'
    raise errors.refusal(errors.Code.bad_request, problem)


def is_first_attempt(request: web.Request) -> bool:
    """Return whether a submission is a first attempt.

    Without a key of the caller's own no earlier attempt can exist.
    """
    attempt = request.headers.get('Poplardrum-Attempt', 'again')
    if attempt not in {'first', 'again'}:
        raise errors.refusal(
            errors.Code.bad_request,
            f'Poplardrum-Attempt: expected first or again, got {attempt!r}',
        )
    return attempt == 'first' or 'Idempotency-Key' not in request.headers


def read_key(request: web.Request, limit: int) -> ids.IdempotencyKey:
    """Return the caller's key, or a new one when none was given."""
    keys = request.headers.getall('Idempotency-Key', [])
    if len(keys) > 1:
        raise errors.refusal(
            errors.Code.bad_request,
            'Idempotency-Key: given more than once',
        )
    return check_key(keys[0], limit) if keys else ids.new_idempotency_key()


def read_wait(query: typing.Mapping[str, str]) -> bool:
    """Return whether a fetch waits for the end of its job."""
    wait = query.get('wait', '0')
    if wait not in {'0', '1'}:
        raise errors.refusal(
            errors.Code.bad_request,
            f'wait: expected 0 or 1, got {wait!r}',
        )
    return wait == '1'


def decode_job(body: bytes, limits: settings.Limits, tasks: int) -> JobBody:
    """Decode and check a submission; raise an error that names the field.

    `tasks` is the operators' limit beside that of the process.
    """
    _check_nesting(body, limits.nesting)
    try:
        job = msgspec.json.decode(body, type=JobBody)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.refusal(errors.Code.bad_request, str(error)) from None
    allowed = min(limits.tasks, tasks)
    if len(job.tasks) > allowed:
        raise errors.refusal(
            errors.Code.too_many_tasks,
            f'tasks: {len(job.tasks)} given, {allowed} allowed',
        )
    for index, task in enumerate(job.tasks):
        if len(task.payload.encode()) > limits.payload:
            raise errors.refusal(
                errors.Code.too_large,
                f'tasks[{index}].payload: over {limits.payload} bytes',
            )
    return job


def job_digest(body: bytes) -> bytes:
    """Return the digest that tells a resubmission from another job.

    Whether the caller waits does not change the job, so it is left out.
    """
    job = msgspec.json.decode(body, type=JobBody)
    fields = msgspec.json.encode(msgspec.structs.replace(job, wait=True))
    return hashlib.blake2b(fields, digest_size=16).digest()


def build_task_specs(
    job: JobBody, current: rules.Rules
) -> list[messages.TaskSpec]:
    """Return the tasks with the declared time of their kind filled in."""
    return [
        messages.TaskSpec(
            ids.TaskKindName(task.kind),
            task.payload,
            task.declared_ms or declared_ms(task.kind, current),
            task.idempotent,
        )
        for task in job.tasks
    ]


def declared_ms(kind: str, current: rules.Rules) -> float:
    """Return the usual time of a kind in milliseconds."""
    rule = current.kinds.get(ids.TaskKindName(kind), rules.KindRule())
    return rule.declared * 1000


def _check_nesting(body: bytes, limit: int) -> None:
    # Brackets inside strings do not nest.
    outside = _JSON_STRING.sub(b'', body)
    depth = 0
    for bracket in _JSON_BRACKET.findall(outside):
        depth += 1 if bracket in b'[{' else -1
        if depth > limit:
            raise errors.refusal(
                errors.Code.bad_request,
                f'body: nested more than {limit} deep',
            )


def decode_json(body: bytes, kind: type[typing.Any]) -> typing.Any:
    """Decode an operator's body; raise an error that names the field."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, json.JSONDecodeError) as error:
        raise errors.refusal(errors.Code.bad_request, str(error)) from None
