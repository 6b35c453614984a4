"""Identifier types shared by all modules."""

import hashlib
import secrets
import typing

MemberId = typing.NewType('MemberId', str)
Incarnation = typing.NewType('Incarnation', str)
TenantName = typing.NewType('TenantName', str)
JobClassName = typing.NewType('JobClassName', str)
TaskKindName = typing.NewType('TaskKindName', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
JobId = typing.NewType('JobId', str)
RequestId = typing.NewType('RequestId', int)
EditId = typing.NewType('EditId', str)
ConfigNumber = typing.NewType('ConfigNumber', int)

_RANDOM_BYTES: typing.Final = 8


class TaskId(typing.NamedTuple):
    """Name one task by its job and its position in the job."""

    job: JobId
    position: int


def new_incarnation() -> Incarnation:
    """Return a random incarnation for a process start."""
    return Incarnation(secrets.token_hex(_RANDOM_BYTES))


def new_idempotency_key() -> IdempotencyKey:
    """Return a random idempotency key for a caller that gave none."""
    return IdempotencyKey('auto-' + secrets.token_hex(_RANDOM_BYTES))


def new_edit_id() -> EditId:
    """Return a random id for one configuration edit."""
    return EditId(secrets.token_hex(_RANDOM_BYTES))


def new_job_id(tenant: TenantName, key: IdempotencyKey) -> JobId:
    """Return a job id; a reused key gets a new id after its window."""
    digest = hashlib.sha256(f'{tenant}\0{key}'.encode()).hexdigest()
    return JobId(f'{digest[:16]}-{secrets.token_hex(4)}')
