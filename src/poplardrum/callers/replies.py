"""HTTP replies to callers; each has an error code and a verdict."""

import math
import typing

import msgspec
from aiohttp import web

from poplardrum import errors, ids
from poplardrum.callers import bodies, statuses
from poplardrum.peers import messages

_HTTP_BAD_GATEWAY: typing.Final = 502


def from_answer(
    answer: messages.Answer,
    key: ids.IdempotencyKey,
    idempotent: list[bool],
) -> web.Response:
    """Build the reply for a coordinator's answer.

    `idempotent` has a flag for each task; if empty, none is idempotent.
    """
    flags = idempotent or [False for _ in answer.tasks]
    body = bodies.JobReplyBody(
        key=key,
        job=answer.job,
        state=_job_state(answer.code),
        code=answer.code.value,
        verdict=answer.verdict.value,
        message=answer.message,
        retry_after_ms=_to_ms(answer.retry_after),
        tasks=[
            _task_reply(outcome, flag)
            for outcome, flag in zip(answer.tasks, flags, strict=True)
        ],
    )
    return _response(answer.code, body, answer.retry_after)


def from_error(
    error: errors.PoplardrumError,
    key: str = '',
    status: int | None = None,
) -> web.Response:
    """Build the reply for a request that was refused or has failed.

    `status` overrides the HTTP status of the error's code.
    """
    body = bodies.JobReplyBody(
        key=key,
        job='',
        state='failed',
        code=error.code.value,
        verdict=error.verdict.value,
        message=error.message,
        retry_after_ms=_to_ms(error.retry_after),
        tasks=[],
    )
    response = _response(error.code, body, error.retry_after)
    if status is not None:
        response.set_status(status)
    return response


def _response(
    code: errors.Code,
    body: bodies.JobReplyBody,
    retry_after: float | None,
) -> web.Response:
    headers = {}
    if retry_after is not None:
        headers['Retry-After'] = str(max(1, math.ceil(retry_after)))
    return web.Response(
        body=msgspec.json.encode(body),
        status=statuses.STATUS_BY_CODE.get(code, _HTTP_BAD_GATEWAY),
        content_type='application/json',
        headers=headers,
    )


def _task_reply(
    outcome: messages.TaskOutcome, idempotent: bool
) -> bodies.TaskReply:
    return bodies.TaskReply(
        code=outcome.code.value,
        verdict=outcome.verdict.value,
        output=outcome.output,
        worker=outcome.worker,
        seconds=round(outcome.seconds, 4),
        safe_to_resubmit=(
            idempotent or outcome.verdict is errors.Verdict.not_run
        ),
    )


def _job_state(code: errors.Code) -> str:
    if code is errors.Code.ok:
        return 'complete'
    return 'running' if code is errors.Code.accepted else 'failed'


def _to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else math.ceil(seconds * 1000)
