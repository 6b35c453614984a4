"""The runs that an agent tracks at its endpoint."""

import dataclasses
import enum
import typing

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    connections,
    entry_sessions,
    messages,
    stragglers,
)
from poplardrum.platform import endpoints, job_api

_TASK_NAME_PARTS: typing.Final = 4

RunKey = tuple[ids.JobId, int]


class RunState(enum.Enum):
    """State of a run at the endpoint.

    It is `unanswered` if the start request got no reply, so that the run may
    or may not have started.
    """

    starting = 'starting'
    unanswered = 'unanswered'
    running = 'running'


@dataclasses.dataclass
class Run:
    """A run for which capacity of the endpoint is reserved.

    Reports that are requested at `listed_from` or later list the run if it is
    at the endpoint. `link` is the connection on which the command to start it
    came, `added_at` when it came. A run `is_isolated` if no other one was to start
    just before and after it. `fencing_token` is that of its last start request.
    `incarnation` is that of the endpoint which has accepted it, 0 if that is not
    known. `straggler_reported_at` is when its entry was last notified that the run is
    a straggler.
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
    link: connections.Link | None = None
    is_isolated: bool = False
    added_at: float = dataclasses.field(default_factory=clocks.now)
    state: RunState = RunState.starting
    stopping: bool = False
    fencing_token: int = 0
    started_at: float = 0.0
    listed_from: float | None = None
    incarnation: int = 0
    run_progress: stragglers.RunProgress | None = None
    straggler_reported_at: float = 0.0

    def observe(self, percent: int, requested_at: float, now: float) -> None:
        """Record the progress listed by a report.

        The report was requested at `requested_at`.
        """
        if self.state is not RunState.running:
            self.confirm_start(requested_at)
        if self.run_progress is None:
            self.run_progress = stragglers.RunProgress(self.started_at)
        self.run_progress.observe(percent, now)

    def confirm_start(self, listed_from: float) -> None:
        """Record that it has started; tell the owner of a stored job.

        Reports that are requested at `listed_from` or later list it.
        """
        self.state = RunState.running
        self.listed_from = listed_from
        if self.stored:
            self.session.notify(messages.RunStarted(self.job, self.id))

    def may_start(self) -> bool:
        """Return whether its entry still wants it to start."""
        now = clocks.now()
        if self.stored and not self.session.owner_lease.may_start(now):
            return False
        return not self.stopping and self.session.is_connected()

    def has_lost_owner(self, now: float) -> bool:
        """Return whether it may be active, and another entry may own its job."""
        return (
            self.stored
            and self.started_at > 0
            and not self.session.owner_lease.is_valid(now)
        )

    def key(self) -> RunKey:
        """Return the key by which the agent tracks the run."""
        return self.job, self.id.task_index

    def task_name(self) -> str:
        """Return the name of the task at the endpoint."""
        return job_api.task_name(
            self.job,
            self.step,
            self.id.task_index - self.first_index,
        )


def active_runs(runs: typing.Iterable[Run]) -> messages.ActiveRuns:
    """Return the notice of the active runs of an entry."""
    return messages.ActiveRuns([(run.job, run.id) for run in runs])


def start_notices(
    runs: typing.Iterable[Run],
) -> list[messages.RunStarted]:
    """Return the notices for the runs of stored jobs that have started."""
    return [
        messages.RunStarted(run.job, run.id)
        for run in runs
        if run.stored and run.state is RunState.running
    ]


def requested_run(
    session: entry_sessions.EntrySession,
    request: messages.StartTasks,
    run_id: messages.RunId,
) -> Run:
    """Return a run that an entry has just asked for."""
    return Run(
        session,
        request.job,
        run_id,
        request.demand,
        request.estimate,
        request.step,
        request.first_index,
        request.stored,
        request.checkpoints.get(run_id.task_index, ''),
        session.link,
        request.isolation is not messages.Isolation.none,
    )


def parse_task_name(name: str) -> tuple[ids.JobId, int, int] | None:
    """Return the job, the step and the index in the step of a task name.

    Names that this project did not make give `None`.
    """
    parts = name.split('.')
    if len(parts) != _TASK_NAME_PARTS or not all(map(str.isdigit, parts[1:])):
        return None
    return ids.JobId(parts[0]), int(parts[2]), int(parts[3])


def unknown_runs(
    listed_runs: typing.Iterable[endpoints.ActiveRun],
    runs_by_name: typing.Mapping[str, Run],
) -> list[endpoints.ActiveRun]:
    """Return the listed runs that are not those which the agent tracks."""
    return [
        listed_run
        for listed_run in listed_runs
        if listed_run.task not in runs_by_name
        or runs_by_name[listed_run.task].id.number != listed_run.run
    ]


OUTCOME_BY_RUN_OUTCOME: typing.Final = {
    endpoints.RunOutcome.done: messages.Outcome.done,
    endpoints.RunOutcome.failed: messages.Outcome.failed,
    endpoints.RunOutcome.stopped: messages.Outcome.stopped,
    endpoints.RunOutcome.lease_expired: messages.Outcome.lost,
    endpoints.RunOutcome.broken: messages.Outcome.lost,
    endpoints.RunOutcome.alone: messages.Outcome.lost,
}

REFUSAL_BY_RESULT: typing.Final = {
    endpoints.RequestResult.superseded: messages.Refusal.conflict,
    endpoints.RequestResult.no_capacity: messages.Refusal.no_room,
    endpoints.RequestResult.unhealthy: messages.Refusal.endpoint,
    endpoints.RequestResult.invalid: messages.Refusal.endpoint,
}
