"""HTTP statuses of replies to callers, by error code."""

import typing

from poplardrum import errors

STATUS_BY_CODE: typing.Final[typing.Mapping[errors.Code, int]] = {
    errors.Code.ok: 200,
    errors.Code.accepted: 202,
    errors.Code.bad_request: 400,
    errors.Code.rules: 400,
    errors.Code.unknown_credential: 401,
    errors.Code.unknown_job: 404,
    errors.Code.unknown_route: 404,
    errors.Code.key_reused: 409,
    errors.Code.conflict: 409,
    errors.Code.too_large: 413,
    errors.Code.too_many_tasks: 413,
    errors.Code.quota: 429,
    errors.Code.overload: 429,
    errors.Code.internal: 500,
    errors.Code.unsupported: 501,
    errors.Code.unavailable: 503,
    errors.Code.no_configuration: 503,
    errors.Code.stopping: 503,
    errors.Code.records_full: 503,
    errors.Code.platform: 503,
    errors.Code.deadline: 504,
}
