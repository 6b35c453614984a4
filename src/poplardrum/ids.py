"""Identifier types shared by all modules."""

import hashlib
import secrets
import typing

# Id of an entry or agent in the fleet's membership. The worker and the
# coordinator of an agent have the id of the agent.
MemberId = typing.NewType('MemberId', str)
# Random id of one start of a process. An incarnation of an endpoint, in
# `poplardrum.dispatch`, is another thing: a start time in milliseconds.
Incarnation = typing.NewType('Incarnation', str)
TenantName = typing.NewType('TenantName', str)
JobClassName = typing.NewType('JobClassName', str)
TaskKindName = typing.NewType('TaskKindName', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
JobId = typing.NewType('JobId', str)
RequestId = typing.NewType('RequestId', int)
EditId = typing.NewType('EditId', str)
# The loss of one incarnation of an endpoint.
CrashId = typing.NewType('CrashId', str)
# Number of a configuration document. A later document has a higher number, but
# numbers are not consecutive: the low bits are a digest.
ConfigNumber = typing.NewType('ConfigNumber', int)

_RANDOM_BYTES: typing.Final = 8


class TaskId(typing.NamedTuple):
    """Id of a task: its job and its position in the job."""

    job: JobId
    position: int


def crash_id(node: str, incarnation: int) -> CrashId:
    """Return the id of the loss of an endpoint's incarnation at a node."""
    return CrashId(f'{node}/{incarnation}')


def new_incarnation() -> Incarnation:
    """Return a random id for a new incarnation of a process."""
    return Incarnation(secrets.token_hex(_RANDOM_BYTES))


def new_idempotency_key() -> IdempotencyKey:
    """Return a random idempotency key for a submission without one."""
    return IdempotencyKey('auto-' + secrets.token_hex(_RANDOM_BYTES))


def new_edit_id() -> EditId:
    """Return a random id for a configuration edit."""
    return EditId(secrets.token_hex(_RANDOM_BYTES))


def new_job_id(tenant: TenantName, key: IdempotencyKey) -> JobId:
    """Return a job id: a hash of tenant and key with a random suffix.

    The hash has 16 hexadecimal digits, the suffix has 4 random bytes. A key
    that is reused after its resubmission window gets a new id.
    """
    digest = hashlib.sha256(f'{tenant}\0{key}'.encode()).hexdigest()
    return JobId(f'{digest[:16]}-{secrets.token_hex(4)}')
