"""Conversion of submissions to jobs."""

import typing

from poplardrum import ids
from poplardrum.dispatch import jobs, messages, records
from poplardrum.platform import job_api

_MS_PER_S: typing.Final = 1000


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
