"""HTTP responses of an entry to callers, and their log lines."""

import asyncio
import logging
import math
import typing

from aiohttp import web_request, web_response

from poplardrum import errors, log_events
from poplardrum.callers import statuses
from poplardrum.dispatch import jobs
from poplardrum.platform import job_api

logger = logging.getLogger(__name__)

_MS_PER_S: typing.Final = 1000
_JSON_CONTENT_TYPE: typing.Final = 'application/json'

# The users' callers submit a job again after 504 and never after 503.
_HTTP_STATUS: typing.Final = {
    **statuses.STATUS_BY_CODE,
    errors.Code.unknown_job: 410,
    errors.Code.key_reused: 504,
    errors.Code.overload: 503,
}
_BODIES: typing.Final = {
    jobs.JobOutcome.completed: job_api.COMPLETED_BODY,
    jobs.JobOutcome.failed: job_api.FAILED_BODY,
}


def json_response(content: bytes) -> web_response.Response:
    """Return a response with status 200 and a JSON body."""
    return web_response.Response(body=content, content_type=_JSON_CONTENT_TYPE)


def outcome_response(outcome: jobs.JobOutcome) -> web_response.Response:
    """Return the response for a job that completed or failed."""
    return json_response(_BODIES[outcome])


def error_response(
    request: web_request.BaseRequest,
    error: errors.PoplardrumError,
    arrived_at: float,
) -> web_response.Response:
    """Log an error and return the response for it."""
    waited = asyncio.get_running_loop().time() - arrived_at
    log_events.emit(
        logger,
        'request refused',
        job=request.path.rpartition('/')[2],
        code=error.code.value,
        verdict=error.verdict.value,
        why=error.message,
        after_ms=_to_ms(waited),
        retry_after_s=error.retry_after,
        host=request.headers.get('Host', ''),
        path=request.path,
    )
    headers = {}
    if error.retry_after is not None:
        headers[job_api.RETRY_AFTER_HEADER] = str(math.ceil(error.retry_after))
    return web_response.Response(
        status=_HTTP_STATUS[error.code],
        headers=headers,
        body=b'{}',
        content_type=_JSON_CONTENT_TYPE,
    )


def log_job(job: jobs.Job, outcome: str, now: float) -> None:
    """Log the response for a job that is over."""
    log_events.emit(
        logger,
        'job answered',
        job=job.id,
        outcome=outcome,
        queue=job.queue,
        tasks=len(job.tasks),
        runs=sum(task.run_count for task in job.tasks),
        time_ms=_to_ms(now - job.arrived_at),
        aim_ms=_to_ms(job.target_latency),
        first_start_ms=_to_ms(job.started_at - job.arrived_at),
        last_start_ms=_to_ms(job.last_placed_at - job.arrived_at),
        patience_ms=_to_ms(job.client_timeout),
        estimate_ms=_to_ms(job.estimate),
        predicted_ms=_to_ms(job.predicted_duration),
    )


def log_disconnect(job: jobs.Job, now: float) -> None:
    """Log that the caller of a job has gone before the job was over."""
    log_events.emit(
        logger,
        'caller gone',
        job=job.id,
        after_ms=_to_ms(now - job.arrived_at),
        since_last_start_ms=_to_ms(now - job.last_placed_at)
        if job.started
        else None,
        stopped_at=sorted(
            task.agent.node
            for task in job.placed_tasks()
            if task.agent is not None
        ),
    )


def _to_ms(seconds: float) -> int:
    return int(seconds * _MS_PER_S)
