"""Invariants that are checked while a soak test runs."""

import collections
import time
import typing

from poplardrum.standins import leased_endpoint
from tools.soak import crash_checks

_DRAIN_TIMEOUT_S: typing.Final = 2.0
# No task starts later than this after the acknowledged cancel of its job.
_CANCEL_BOUND_S: typing.Final = 3.0


class Ledger:
    """Record of submissions, replies, starts and completions."""

    def __init__(self) -> None:
        """Start without jobs."""
        self.violations: list[str] = []
        self.submitted_jobs: set[str] = set()
        self.started_jobs: set[str] = set()
        self.reply_statuses: dict[str, list[int]] = collections.defaultdict(
            list
        )
        # Number of tasks of each accepted stored job.
        self.stored_jobs: dict[str, int] = {}
        # When cancels were acknowledged, in monotonic seconds, by job.
        self.cancelled_at: dict[str, float] = {}
        # Tasks of stored jobs whose completion was, or may have been,
        # acknowledged.
        self.acknowledged_tasks: set[str] = set()
        self.finished_tasks: set[str] = set()
        # Jobs that are to be stored, whether or not the caller heard that they
        # are; how long their runs take, and those whose tasks all fail once.
        self.kept_jobs: set[str] = set()
        self.run_durations: dict[str, float] = {}
        self.failing_jobs: set[str] = set()
        self.failed_tasks: set[str] = set()
        self.crash_ledger = crash_checks.CrashLedger()
        self.endpoints: list[WatchedEndpoint] = []
        self.started_at = time.monotonic()
        # Whether a start at an endpoint comes too late for its zone.
        self.is_evacuated: typing.Callable[
            [leased_endpoint.LeasedEndpoint, float], bool
        ] = _allow

    def record_violation(self, rule: str, details: str) -> None:
        """Record a violated invariant with the time since the start."""
        at = time.monotonic() - self.started_at
        self.violations.append(f'{at:.3f} s {rule}: {details}')

    def record_cancel(self, job: str) -> None:
        """Record that the cancel of a job was acknowledged now."""
        self.cancelled_at.setdefault(job, time.monotonic())

    def check_start(
        self,
        endpoint: 'WatchedEndpoint',
        run_id: leased_endpoint.RunId,
        specification: str,
        now: float,
    ) -> None:
        """Check a start against submissions, capacity and other runs."""
        job = run_id.task.partition('.')[0]
        self.started_jobs.add(job)
        if self.crash_ledger.exceeds_starts(run_id.task):
            self.record_violation('task that crashes endpoints', str(run_id))
        if specification not in self.submitted_jobs or specification != job:
            self.record_violation(
                'start of a task that was not submitted',
                f'{run_id} {specification}',
            )
        if len(endpoint.running) > endpoint.capacity_tasks:
            self.record_violation('capacity', f'{len(endpoint.running)} tasks')
        if now > endpoint.drain_deadline:
            self.record_violation('start at a draining endpoint', str(run_id))
        self._check_wanted(run_id, now)
        for other in self.endpoints:
            other.advance(now)
            other.note_restart(run_id)
            same_task_runs = sum(
                run.task == run_id.task for run in other.running
            )
            if same_task_runs > (other is endpoint):
                self.record_violation('two runs at once', str(run_id))

    def _check_wanted(self, run_id: leased_endpoint.RunId, now: float) -> None:
        """Check that a task is not over, and its job not cancelled for long."""
        job = run_id.task.partition('.')[0]
        if now > self.cancelled_at.get(job, now) + _CANCEL_BOUND_S:
            self.record_violation('start after a cancel', str(run_id))
        if run_id.task in self.acknowledged_tasks:
            self.record_violation(
                'start after an acknowledged completion', str(run_id)
            )

    def check_zone(
        self,
        endpoint: 'WatchedEndpoint',
        run_id: leased_endpoint.RunId,
        now: float,
    ) -> None:
        """Check that the zone of a start is not evacuated for long."""
        if self.is_evacuated(endpoint, now):
            self.record_violation('start in an evacuated zone', str(run_id))

    def check_at_end(self) -> None:
        """Check the invariants that can only be decided at the end."""
        for job, statuses in self.reply_statuses.items():
            refused = all(status in {429, 503} for status in statuses)
            if refused and job in self.started_jobs:
                self.record_violation('refused job has run', job)

        for endpoint in self.endpoints:
            if endpoint.unacknowledged():
                self.record_violation(
                    'completions not acknowledged',
                    str(len(endpoint.unacknowledged())),
                )
        self._check_finished_tasks()

    def _check_finished_tasks(self) -> None:
        for job, tasks in self.stored_jobs.items():
            if job in self.crash_ledger.given_up_jobs:
                continue
            names = {f'{job}.0.0.{index}' for index in range(tasks)}
            if not names <= self.finished_tasks:
                self.record_violation(
                    'stored job completed with unfinished tasks', job
                )


class WatchedEndpoint(leased_endpoint.LeasedEndpoint):
    """An endpoint that reports starts and completions to the ledger."""

    def __init__(
        self, ledger: Ledger, capacity_tasks: int, max_lease_s: float
    ) -> None:
        """Report to `ledger`.

        `capacity_tasks` is the number of tasks that may run at once,
        `max_lease_s` the longest lease that is granted.
        """
        super().__init__(max_lease_s)
        self.ledger = ledger
        self.capacity_tasks = capacity_tasks
        self.drain_deadline = float('inf')
        self.lapsed_at = 0.0
        # By the id of a completion of a run that is done: when it ended, and
        # the run of the same task that started after it.
        self.done_at: dict[int, float] = {}
        self.restarts: dict[int, leased_endpoint.RunId] = {}
        ledger.endpoints.append(self)

    def extend_lease(self, now: float, lease_until: float) -> None:
        """Extend the lease; note when it had lapsed before."""
        if self.lease_expires_at <= now:
            self.lapsed_at = self.lease_expires_at
        super().extend_lease(now, lease_until)

    def complete_run(self, run_id: leased_endpoint.RunId, outcome: str) -> None:
        """End a run; note when it was done, and tasks that have failed."""
        super().complete_run(run_id, outcome)
        if outcome == 'done':
            self.done_at[self.last_completion_id] = time.monotonic()
        elif outcome == 'failed':
            self.ledger.failed_tasks.add(run_id.task)

    def note_restart(self, run_id: leased_endpoint.RunId) -> None:
        """Note a start of a stored job's task of which a run is done here."""
        if run_id.task.partition('.')[0] not in self.ledger.kept_jobs:
            return
        for completion in self.completions:
            if completion.outcome == 'done' and (
                completion.run_id.task == run_id.task
            ):
                self.restarts[completion.completion_id] = run_id

    def check_restarts(self) -> None:
        """Check that no task had started again after an acknowledged run.

        The run counts unless the lease lapsed before the acknowledgement.
        """
        for completion_id, run_id in list(self.restarts.items()):
            if completion_id > self.acknowledged_id:
                continue
            self.restarts.pop(completion_id)
            if not self.has_lapsed_since(self.done_at[completion_id]):
                self.ledger.record_violation(
                    'start after a run that is done', str(run_id)
                )

    def has_lapsed_since(self, done_at: float) -> bool:
        """Return whether the lease has lapsed since a run was done."""
        return (
            self.lapsed_at >= done_at
            or self.lease_expires_at <= time.monotonic()
        )

    def advance(self, now: float) -> None:
        """Complete the runs that are over and record their tasks."""
        super().advance(now)
        self.ledger.finished_tasks.update(self.done_tasks)

    def drain(self, now: float) -> None:
        """Treat starts after the drain timeout from `now` as violations."""
        self.drain_deadline = now + _DRAIN_TIMEOUT_S

    def unacknowledged(self) -> list[leased_endpoint.Completion]:
        """Return unacknowledged completions; record the acknowledged ones.

        Only tasks of stored jobs are recorded. After a lapse of the lease since
        its end, a run does not count.
        """
        self.check_restarts()
        self.ledger.acknowledged_tasks |= {
            end.run_id.task
            for end in self.completions
            if end.outcome == 'done'
            and end.completion_id <= self.acknowledged_id
            and end.run_id.task.partition('.')[0] in self.ledger.stored_jobs
            and not self.has_lapsed_since(self.done_at[end.completion_id])
        }
        return super().unacknowledged()

    def start(
        self,
        run_id: leased_endpoint.RunId,
        run: leased_endpoint.Run,
        *,
        now: float,
        lease_until: float,
        token: int,
    ) -> leased_endpoint.StartResult:
        """Start a run; check it if it is accepted and new."""
        known = run_id in self.running
        job = run_id.task.partition('.')[0]
        run.ends_at = now + self.ledger.run_durations.get(
            job, run.ends_at - now
        )
        run.succeeds = (
            job not in self.ledger.failing_jobs
            or run_id.task in self.ledger.failed_tasks
        )
        result = super().start(
            run_id, run, now=now, lease_until=lease_until, token=token
        )
        if result is leased_endpoint.StartResult.accepted and not known:
            self.ledger.check_start(self, run_id, run.specification, now)
            self.ledger.check_zone(self, run_id, now)
        return result


def _allow(_endpoint: leased_endpoint.LeasedEndpoint, _now: float) -> bool:
    """Return that starts may happen at any time."""
    return False
