"""Conversion of submissions to jobs."""

import typing

from aiohttp import web_request

from poplardrum import ids
from poplardrum.dispatch import body_reading, jobs, messages, records
from poplardrum.platform import job_api

_MS_PER_S: typing.Final = 1000
# What a job, a step and a task take up here, rounded up.
_JOB_BYTES: typing.Final = 4096
_STEP_BYTES: typing.Final = 1024
_TASK_BYTES: typing.Final = 1024
# Of one predecessor of a step, in the submission and in the job.
_PREDECESSOR_BYTES: typing.Final = 16


async def receive(
    request: web_request.BaseRequest, default_timeout_s: float
) -> job_api.Submission:
    """Read and decode a job; its decoded form is charged until its end."""
    client_timeout = job_api.read_client_timeout(
        request.headers, default_timeout_s
    )
    submission = job_api.decode_submission(
        await body_reading.read(request, client_timeout)
    )
    body_reading.hold_job(request, estimate_bytes(submission))
    return submission


def make_steps(submission: job_api.Submission) -> list[jobs.Step]:
    """Return the steps of a submission, whose tasks are numbered in order."""
    steps = []
    first = 0
    for number, step in enumerate(submission.steps):
        steps.append(
            jobs.Step(
                number,
                first,
                step.count,
                messages.Resources(
                    step.cpu_millicores, step.memory_mb, step.gpus
                ),
                step.estimate_ms / _MS_PER_S,
                step.required_label,
                step.data_rack,
                step.spread_limit,
                tuple(step.predecessors),
            ),
        )
        first += step.count
    return steps


def estimate_bytes(submission: job_api.Submission) -> int:
    """Return the memory that a job takes up from its submission to its end."""
    tasks = sum(step.count for step in submission.steps)
    predecessors = sum(len(step.predecessors) for step in submission.steps)
    return (
        _JOB_BYTES
        + len(submission.specification)
        + len(submission.steps) * _STEP_BYTES
        + tasks * _TASK_BYTES
        + predecessors * _PREDECESSOR_BYTES
    )


def make_record(
    submission: job_api.Submission,
    route: job_api.Route,
    steps: list[jobs.Step],
    target_latency: float,
    owner: ids.Incarnation,
) -> records.Record:
    """Return the record of a new stored job of a route.

    `target_latency` is in seconds, `owner` the entry that accepts the job.
    """
    return records.Record(
        owner=owner,
        epoch=0,
        queue=route.name,
        service=route.service,
        urgency=route.urgency,
        max_attempts=max(route.max_attempts, 1),
        target_latency=target_latency,
        specification=submission.specification,
        steps=steps,
    )
