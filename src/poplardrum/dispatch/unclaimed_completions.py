"""Completions of stored jobs that this entry does not own, and acknowledgements."""

import asyncio
import collections
import logging
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import (
    completion_verdicts,
    fleet,
    messages,
    records,
)

logger = logging.getLogger(__name__)

# Jobs whose completions were received but that this entry does not own;
# their owners may be gone.
_MAX_JOBS: typing.Final = 2048

# A completion of an endpoint, by the node of its agent: the ids of two endpoints
# that started in the same millisecond may be equal.
CompletionKey = tuple[str, messages.CompletionId]
AgentCompletion = tuple[fleet.Agent, messages.CompletionId]
AgentMessage = tuple[fleet.Agent, messages.UnackedCompletion]


class UnclaimedCompletions:
    """Keep completions by job until their jobs are owned or known to be over."""

    def __init__(self) -> None:
        """Start without completions."""
        self.by_job: collections.OrderedDict[
            ids.JobId, dict[CompletionKey, AgentMessage]
        ] = collections.OrderedDict()
        # Jobs whose records have to be read.
        self.jobs_to_look_up: dict[ids.JobId, None] = {}
        self.has_jobs_to_look_up = asyncio.Event()

    def add(
        self, agent: fleet.Agent, message: messages.UnackedCompletion
    ) -> None:
        """Keep a completion; the oldest job is dropped beyond a limit."""
        unclaimed = self.by_job.setdefault(message.job, {})
        unclaimed[agent.node, message.completion_id] = (agent, message)
        while len(self.by_job) > _MAX_JOBS:
            self.by_job.popitem(last=False)

    def request_look_up(self, job: ids.JobId) -> None:
        """Have the record of a job read, unless too many wait for that."""
        if len(self.jobs_to_look_up) < _MAX_JOBS:
            self.jobs_to_look_up[job] = None
            self.has_jobs_to_look_up.set()

    def pop_jobs_to_look_up(self, limit: int) -> list[ids.JobId]:
        """Return up to `limit` jobs whose records have to be read."""
        popped = list(self.jobs_to_look_up)[:limit]
        for job in popped:
            self.jobs_to_look_up.pop(job)
        if not self.jobs_to_look_up:
            self.has_jobs_to_look_up.clear()
        return popped

    def pop(self, job: ids.JobId) -> list[AgentMessage]:
        """Remove and return the completions of a job."""
        return list(self.by_job.pop(job, {}).values())

    def acknowledge(self, job: ids.JobId) -> None:
        """Acknowledge the completions of a job that is not known."""
        acknowledge(
            [(agent, message.completion_id) for agent, message in self.pop(job)]
        )

    def settle(self, job: ids.JobId, record: records.Record) -> None:
        """Answer the completions of a job that is over."""
        for agent, message in self.pop(job):
            run = record.run_at(
                message.step, message.index_in_step, message.run_number
            )
            if run is None or (
                completion_verdicts.judge(record, run, message.outcome)
                is completion_verdicts.Verdict.settled
            ):
                acknowledge([(agent, message.completion_id)])
            else:
                reject(agent, message)


def reject(agent: fleet.Agent, message: messages.UnackedCompletion) -> None:
    """Tell an agent that a completion was overtaken by a later run."""
    log_events.emit(
        logger,
        'completion overtaken',
        job=message.job,
        agent=agent.node,
        step=message.step,
        task=message.index_in_step,
        run=message.run_number,
        outcome=message.outcome.name,
    )
    if agent.link is not None:
        agent.link.send(messages.CompletionsOvertaken([message.completion_id]))


def acknowledge(completions: typing.Iterable[AgentCompletion]) -> None:
    """Tell agents that their endpoints may drop completions."""
    by_agent: dict[fleet.Agent, list[messages.CompletionId]] = {}
    for agent, completion_id in completions:
        by_agent.setdefault(agent, []).append(completion_id)
    for agent, completion_ids in by_agent.items():
        if agent.link is not None:
            agent.link.send(messages.CompletionsAcknowledged(completion_ids))
