"""Model of an endpoint that runs tasks under a lease.

It has no network and no clock; each call passes the present time in seconds.
"""

import dataclasses
import enum
import typing

_MAX_REPORTED_COMPLETIONS: typing.Final = 500
_FULL_PERCENT: typing.Final = 100
_MIN_DURATION_S: typing.Final = 0.001


class StartResult(enum.Enum):
    """Result of a start request; the values are the reasons on the wire."""

    accepted = 'accepted'
    fenced = 'fence'
    superseded = 'old'
    expired = 'late'


class RunId(typing.NamedTuple):
    """Task and number of a run."""

    task: str
    run: int


@dataclasses.dataclass
class Run:
    """One run; times are in seconds of the endpoint's clock.

    A run that `hangs` makes no progress and never ends by itself.
    """

    specification: str
    ends_at: float
    succeeds: bool = True
    hangs: bool = False
    started_at: float = 0.0

    def progress(self, now: float) -> int:
        """Return the progress in percent, 99 at most."""
        if self.hangs:
            return 0
        fraction = (now - self.started_at) / max(
            self.ends_at - self.started_at, _MIN_DURATION_S
        )
        return min(max(int(_FULL_PERCENT * fraction), 0), _FULL_PERCENT - 1)


@dataclasses.dataclass
class Completion:
    """Outcome of a run that is over, under an id of its own."""

    completion_id: int
    run_id: RunId
    outcome: str


class LeasedEndpoint:
    """Runs under one lease, their completions and the highest token."""

    def __init__(self, max_lease_s: float = 1.0) -> None:
        """Create an endpoint without runs; lease times are in seconds."""
        self.max_lease_s = max_lease_s
        self.fencing_token = 0
        self.lease_expires_at = 0.0
        self.running: dict[RunId, Run] = {}
        self.latest_run: dict[str, int] = {}
        self.completions: list[Completion] = []
        self.acknowledged_id = 0
        self.last_completion_id = 0
        self.started_runs: list[RunId] = []
        self.done_tasks: list[str] = []
        self.most_running = 0

    def advance(self, now: float) -> None:
        """Complete the runs that are over; all if the lease has expired."""
        if self.running and now >= self.lease_expires_at:
            for run_id in list(self.running):
                self.complete_run(run_id, 'lapsed')
        for run_id, run in list(self.running.items()):
            if run.ends_at <= now and not run.hangs:
                self.complete_run(run_id, 'done' if run.succeeds else 'failed')

    def start(
        self,
        run_id: RunId,
        run: Run,
        *,
        now: float,
        lease_until: float,
        token: int,
    ) -> StartResult:
        """Start a run and extend the lease, or return why not.

        A repeated request for a run in progress is accepted again.
        """
        self.advance(now)
        if not self._accept_token(token):
            return StartResult.fenced
        self.extend_lease(now, lease_until)
        if run_id in self.running:
            return StartResult.accepted
        if run_id.run <= self.latest_run.get(run_id.task, 0):
            return StartResult.superseded
        if lease_until <= now:
            return StartResult.expired
        run.started_at = now
        self.running[run_id] = run
        self.started_runs.append(run_id)
        self.most_running = max(self.most_running, len(self.running))
        return StartResult.accepted

    def stop(self, run_id: RunId, *, now: float, token: int) -> bool:
        """Stop a run and refuse later requests to start it.

        Returns `False` if the token is fenced.
        """
        self.advance(now)
        if not self._accept_token(token):
            return False
        latest = self.latest_run.get(run_id.task, 0)
        self.latest_run[run_id.task] = max(latest, run_id.run)
        if run_id in self.running:
            self.complete_run(run_id, 'stopped')
        return True

    def renew_and_acknowledge(
        self,
        *,
        now: float,
        token: int,
        acknowledged_id: int,
        lease_until: float | None,
    ) -> bool:
        """Extend the lease and acknowledge completions up to an id.

        Returns `False` if the token is fenced.
        """
        self.advance(now)
        if not self._accept_token(token):
            return False
        if lease_until is not None:
            self.extend_lease(now, lease_until)
        self.acknowledged_id = max(self.acknowledged_id, acknowledged_id)
        return True

    def unacknowledged(self) -> list[Completion]:
        """Return the unacknowledged completions that a report lists."""
        # A completion is dropped even if its id was acknowledged before it
        # was assigned.
        self.completions = [
            completion
            for completion in self.completions
            if completion.completion_id > self.acknowledged_id
        ]
        return self.completions[:_MAX_REPORTED_COMPLETIONS]

    def extend_lease(self, now: float, lease_until: float) -> None:
        """Extend the lease, at most to its longest time after `now`."""
        self.lease_expires_at = max(
            self.lease_expires_at, min(lease_until, now + self.max_lease_s)
        )

    def _accept_token(self, token: int) -> bool:
        if token < self.fencing_token:
            return False
        self.fencing_token = token
        return True

    def complete_run(self, run_id: RunId, outcome: str) -> None:
        """End a run and list its completion."""
        self.running.pop(run_id)
        if outcome == 'done':
            self.done_tasks.append(run_id.task)
        self.latest_run[run_id.task] = max(
            self.latest_run.get(run_id.task, 0),
            run_id.run,
        )
        self.last_completion_id += 1
        self.completions.append(
            Completion(self.last_completion_id, run_id, outcome)
        )
