"""Decoding and validation of requests."""

import asyncio
import hashlib
import json
import re
import typing

import msgspec
from aiohttp import web

from poplardrum import decoding, errors, ids, settings
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
    """Return the tenant of a bearer credential.

    Raises `unknown_credential` if no tenant has it.
    """
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


def check_key(text: str, max_length: int) -> ids.IdempotencyKey:
    """Validate an idempotency key of printable ASCII."""
    if len(text) > max_length or not _KEY_PATTERN.fullmatch(text):
        raise errors.refusal(
            errors.Code.bad_request,
            f'Idempotency-Key: expected 1 to {max_length} printable characters',
        )
    return ids.IdempotencyKey(text)


async def read_body(request: web.Request, timeout_s: float) -> bytes:
    """Read a body; raise `bad_request` if it is incomplete or too slow."""
    try:
        async with asyncio.timeout(timeout_s):
            return await request.read()
    except TimeoutError:
        message = f'body: incomplete after {timeout_s:g} s'
    except (web.RequestPayloadError, OSError) as error:
        message = f'body: broken off: {error}'
    raise errors.refusal(errors.Code.bad_request, message)


def is_first_attempt(request: web.Request) -> bool:
    """Return whether no attempt to submit the job was made before.

    A request without an idempotency key is always a first attempt.
    """
    attempt = request.headers.get('Poplardrum-Attempt', 'again')
    if attempt not in {'first', 'again'}:
        raise errors.refusal(
            errors.Code.bad_request,
            f'Poplardrum-Attempt: expected first or again, got {attempt!r}',
        )
    return attempt == 'first' or 'Idempotency-Key' not in request.headers


def read_key(request: web.Request, max_length: int) -> ids.IdempotencyKey:
    """Return the idempotency key, or a new one if the caller sent none."""
    keys = request.headers.getall('Idempotency-Key', [])
    if len(keys) > 1:
        raise errors.refusal(
            errors.Code.bad_request,
            'Idempotency-Key: given more than once',
        )
    return check_key(keys[0], max_length) if keys else ids.new_idempotency_key()


def read_wait(query: typing.Mapping[str, str]) -> bool:
    """Return whether a fetch waits until its job has ended."""
    wait = query.get('wait', '0')
    if wait not in {'0', '1'}:
        raise errors.refusal(
            errors.Code.bad_request,
            f'wait: expected 0 or 1, got {wait!r}',
        )
    return wait == '1'


def decode_job(body: bytes, limits: settings.Limits, max_tasks: int) -> JobBody:
    """Decode and validate a submission; raise an error with the field.

    `max_tasks` is the operators' limit; that of the process applies as well.
    """
    _check_nesting(body, limits.nesting)
    try:
        job = decoding.decode_json(body, JobBody)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.refusal(errors.Code.bad_request, str(error)) from None
    allowed = min(limits.tasks, max_tasks)
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
    """Return a digest that differs for different jobs under one key.

    `wait` does not count: a resubmission may change it.
    """
    job = decoding.decode_json(body, JobBody)
    fields = msgspec.json.encode(msgspec.structs.replace(job, wait=True))
    return hashlib.blake2b(fields, digest_size=16).digest()


def build_task_specs(
    job: JobBody, current: rules.Rules
) -> list[messages.TaskSpec]:
    """Return the tasks; without a declared time they get that of their kind."""
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
    """Return the declared time of a task kind."""
    rule = current.kinds.get(ids.TaskKindName(kind), rules.KindRule())
    return rule.declared * 1000


def _check_nesting(body: bytes, max_depth: int) -> None:
    # Brackets inside strings do not nest.
    without_strings = _JSON_STRING.sub(b'', body)
    depth = 0
    for bracket in _JSON_BRACKET.findall(without_strings):
        depth += 1 if bracket in b'[{' else -1
        if depth > max_depth:
            raise errors.refusal(
                errors.Code.bad_request,
                f'body: nested more than {max_depth} deep',
            )


def decode_json(body: bytes, kind: type[typing.Any]) -> typing.Any:
    """Decode an operator's request; raise `bad_request` with the field."""
    try:
        return decoding.decode_json(body, kind)
    except (msgspec.DecodeError, json.JSONDecodeError) as error:
        raise errors.refusal(errors.Code.bad_request, str(error)) from None
