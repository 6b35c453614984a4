"""Runs of tasks at an endpoint as its agent tracks them."""

import dataclasses
import enum
import typing

from poplardrum import ids
from poplardrum.dispatch import entry_sessions, messages, stragglers
from poplardrum.platform import endpoints, job_api

_TASK_NAME_PARTS: typing.Final = 4

RunKey = tuple[ids.JobId, int]


class RunState(enum.Enum):
    """State of a run at the endpoint."""

    starting = 'starting'
    unanswered = 'unanswered'
    running = 'running'


@dataclasses.dataclass
class Run:
    """One run that takes room at the endpoint.

    `listed_from`: reports asked for from this time on list the run if it
    is there. `token` is that of its last start order. Its entry was told
    last at `told_at` that it lags behind.
    """

    session: entry_sessions.EntrySession
    job: ids.JobId
    id: messages.RunId
    demand: messages.Resources
    estimate: float
    step: int = 0
    first_index: int = 0
    stored: bool = False
    checkpoint: str = ''
    state: RunState = RunState.starting
    stopping: bool = False
    fencing_token: int = 0
    started_at: float = 0.0
    listed_from: float | None = None
    run_progress: stragglers.RunProgress | None = None
    straggler_reported_at: float = 0.0

    def observe(self, progress: int, asked_at: float, now: float) -> None:
        """Take over the progress, in percent, that a report lists.

        The report was asked for at `asked_at`.
        """
        if self.state is not RunState.running:
            self.state = RunState.running
            self.listed_from = asked_at
        if self.run_progress is None:
            self.run_progress = stragglers.RunProgress(self.started_at)
        self.run_progress.observe(progress, now)

    def key(self) -> RunKey:
        """Return the key of the task table."""
        return self.job, self.id.task_index

    def task_name(self) -> str:
        """Return the endpoint's name for the task."""
        return job_api.task_name(
            self.job,
            self.step,
            self.id.task_index - self.first_index,
        )


def parse_task_name(name: str) -> tuple[ids.JobId, int, int] | None:
    """Return job, step and place of an endpoint's name for a task."""
    parts = name.split('.')
    if len(parts) != _TASK_NAME_PARTS or not all(map(str.isdigit, parts[1:])):
        return None
    return ids.JobId(parts[0]), int(parts[2]), int(parts[3])


OUTCOME_BY_END: typing.Final = {
    endpoints.RunOutcome.done: messages.Outcome.done,
    endpoints.RunOutcome.failed: messages.Outcome.failed,
    endpoints.RunOutcome.stopped: messages.Outcome.stopped,
    endpoints.RunOutcome.lease_expired: messages.Outcome.lost,
    endpoints.RunOutcome.broken: messages.Outcome.lost,
    endpoints.RunOutcome.alone: messages.Outcome.lost,
}

REFUSAL_BY_ANSWER: typing.Final = {
    endpoints.RequestResult.superseded: messages.Refusal.conflict,
    endpoints.RequestResult.no_capacity: messages.Refusal.no_room,
    endpoints.RequestResult.unhealthy: messages.Refusal.endpoint,
    endpoints.RequestResult.invalid: messages.Refusal.endpoint,
}
