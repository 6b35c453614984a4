"""Tasks of an agent's endpoint: starts, stops, lease and ends."""

import asyncio
import logging
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import (
    clocks,
    commands,
    completions,
    endpoint_runs,
    endpoint_status,
    entry_sessions,
    lease,
    messages,
    metrics,
    monitor,
)
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

# Ends that must not be forgotten before the store knows them.
_RETAINED_OUTCOMES: typing.Final = frozenset(
    (messages.Outcome.done, messages.Outcome.failed),
)


class Executor:
    """Run tasks at one endpoint, within its capacity and under its lease.

    It alone calls the endpoint, so its table tells what may be running
    there: a run stays in it until the endpoint has listed its end, denied
    it, or lost its lease.
    """

    def __init__(
        self,
        endpoint: endpoints.EndpointClient,
        max_lease: float,
        stop_time: float,
    ) -> None:
        """Start without a known endpoint."""
        self.endpoint = endpoint
        self.lease = lease.Lease(max_lease)
        self.monitor = monitor.EndpointMonitor()
        self.metrics = metrics.Metrics()
        self.runs: dict[endpoint_runs.RunKey, endpoint_runs.Run] = {}
        self.status = endpoint_status.EndpointStatus()
        self.completions = completions.CompletionTracker()
        # Runs of a predecessor may be there until a report says otherwise.
        self.is_reconciled = False
        self.endpoint_reachable = True
        self.stopping = False
        self.status_changed = asyncio.Event()
        self.report_needed = asyncio.Event()
        self.report_needed.set()
        self.commands = commands.EndpointCommands(
            self.lease,
            stop_time,
            lambda task: self.runs.get(task.key()) is task,
            self.request_report,
        )
        # Tells all entries of an end that no known run belongs to.
        self.broadcast_completion: typing.Callable[
            [messages.UnackedCompletion], None
        ] = _ignore_completion
        self.background_tasks: set[asyncio.Task[object]] = set()

    def request_report(self) -> None:
        """Ask for a report and tell entries of the new state."""
        self.report_needed.set()
        self.status_changed.set()

    def is_accepting(self) -> bool:
        """Return whether new tasks may start."""
        return (
            self.status.is_ready()
            and self.is_reconciled
            and self.endpoint_reachable
            and not self.stopping
            and not self.lease.suspended
            and self.monitor.health.can_start(clocks.now(), len(self.runs))
        )

    def free_capacity(self) -> messages.Resources:
        """Return the room that no run takes, probable runs included."""
        taken = [task.demand for task in self.runs.values()]
        return self.status.capacity().minus(*taken)

    def start(
        self, owner: entry_sessions.EntrySession, order: messages.StartTasks
    ) -> None:
        """Start what fits; refuse the rest at once."""
        refused: dict[messages.Refusal, list[messages.RunId]] = {}
        for run in order.runs:
            reason = self._refusal_reason(owner, order, run)
            if reason is not None:
                refused.setdefault(reason, []).append(run)
                continue
            task = endpoint_runs.Run(
                owner,
                order.job,
                run,
                order.demand,
                order.estimate,
                order.step,
                order.first_index,
                order.stored,
                order.checkpoints.get(run.task_index, ''),
            )
            self.runs[task.key()] = task
            self._spawn(self._start_run(task, order.specification))
        for reason, runs in refused.items():
            owner.send(messages.Refused(order.job, runs, reason))
            log_events.emit(
                logger,
                'task refused',
                job=order.job,
                reason=reason.name,
                tasks=len(runs),
            )
        self.request_report()

    def stop(self, job: ids.JobId, indexes: typing.Iterable[int]) -> None:
        """Stop tasks of a job; unknown ones have ended already."""
        for index in indexes:
            task = self.runs.get((job, index))
            if task is not None:
                self.stop_run(task)

    def stop_run(self, task: endpoint_runs.Run) -> None:
        """Stop one task; its end is reported when it is certain."""
        if not task.stopping:
            task.stopping = True
            self._spawn(self.commands.stop(self.endpoint, task))

    def stop_runs_of(self, owner: entry_sessions.EntrySession) -> None:
        """Stop all tasks of an entry that is gone."""
        for task in list(self.runs.values()):
            if task.session is owner:
                self.stop_run(task)

    def active_runs(
        self, owner: entry_sessions.EntrySession
    ) -> messages.ActiveRuns:
        """Return the runs that an entry has here."""
        return messages.ActiveRuns(
            [
                (task.job, task.id)
                for task in self.runs.values()
                if task.session is owner
            ],
        )

    def observe_heartbeat(self, beat: endpoints.Heartbeat) -> None:
        """Take over a heartbeat unless a later one is known."""
        known = self.status.heartbeat
        if self.status.is_outdated(beat):
            return
        if beat.born > self.status.incarnation:
            self._handle_endpoint_restart(beat.born, beat.clock_ms)
        self.status.heartbeat = beat
        if known is None or known.state != beat.state:
            log_events.emit(
                logger, 'endpoint state', state=beat.state, born=beat.born
            )
        self.lease.observe_clock(beat.clock_ms, clocks.now())
        self.request_report()

    def restore_status(self, beat: endpoints.Heartbeat | None) -> None:
        """Take what an earlier process knew until a heartbeat arrives."""
        if self.status.restore(beat):
            self.report_needed.set()

    def apply_report(
        self,
        report: endpoints.Report,
        requested_at: float,
        token: int,
    ) -> None:
        """Take over what the endpoint lists, in any order of arrival.

        `asked_at` and `token` are those of the request for the report.
        """
        now = clocks.now()
        if not self._check_incarnation(report, now):
            return
        by_name = {task.task_name(): task for task in self.runs.values()}
        for ended in report.completions:
            if self.completions.observe(ended.number):
                self._handle_completion(by_name.get(ended.task), ended, now)
        present = {(row.task, row.run): row for row in report.active_runs}
        for task in list(self.runs.values()):
            row = present.get((task.task_name(), task.id.number))
            if row is not None:
                task.observe(row.progress_percent, requested_at, now)
            elif report.complete:
                self._reconcile_missing(task, requested_at, token)
        if self.monitor.report_stragglers(self.runs.values(), now):
            self.status_changed.set()
        self._stop_unknown_runs(report, by_name)
        self._resume_lease(now)

    def expire_runs(self, now: float) -> None:
        """Count all runs as lost once the lease has certainly run out."""
        if self.runs and self.lease.has_lapsed(now):
            for task in list(self.runs.values()):
                self._complete(task, messages.Outcome.lost, 'lease ran out')

    def _check_incarnation(self, report: endpoints.Report, now: float) -> bool:
        """Return whether a report is of the present life, or a new one."""
        if report.incarnation < self.status.incarnation:
            return False
        if report.incarnation > self.status.incarnation:
            self._handle_endpoint_restart(report.incarnation, report.clock_ms)
        self.status.confirm_restored()
        self.lease.observe_clock(report.clock_ms, now)
        self.lease.reset_token_step()
        return True

    def _refusal_reason(
        self,
        owner: entry_sessions.EntrySession,
        order: messages.StartTasks,
        run: messages.RunId,
    ) -> messages.Refusal | None:
        if not self.is_accepting():
            return messages.Refusal.not_accepting
        other = self.runs.get((order.job, run.task_index))
        if other is not None:
            if other.session is not owner:
                self.stop_run(other)
            return messages.Refusal.conflict
        if not self.free_capacity().covers(order.demand):
            return messages.Refusal.no_room
        return None

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def _start_run(
        self, task: endpoint_runs.Run, specification: str
    ) -> None:
        refused = await self.commands.start(self.endpoint, task, specification)
        if refused is not None:
            self._refuse(task, *refused)

    def _reconcile_missing(
        self,
        task: endpoint_runs.Run,
        asked_at: float,
        token: int,
    ) -> None:
        """Settle a run that is in neither list of a report."""
        if self.runs.get(task.key()) is not task:
            return
        if task.listed_from is not None:
            if asked_at >= task.listed_from:
                self._complete(task, messages.Outcome.lost, 'not listed')
        elif (
            task.state is endpoint_runs.RunState.unanswered
            and token > task.fencing_token
        ):
            self._refuse(task, messages.Refusal.endpoint, 'never started')

    def _stop_unknown_runs(
        self,
        report: endpoints.Report,
        by_name: dict[str, endpoint_runs.Run],
    ) -> None:
        strangers = [
            row
            for row in report.active_runs
            if row.task not in by_name or by_name[row.task].id.number != row.run
        ]
        if self.is_reconciled != (not strangers):
            self.is_reconciled = not strangers
            self.status_changed.set()
        for row in strangers:
            log_events.emit(
                logger,
                'stopping a run of an earlier process',
                level=logging.WARNING,
                task=row.task,
                run=row.run,
            )
            self._spawn(
                self.endpoint.stop(
                    row.task,
                    row.run,
                    fencing_token=self.lease.fencing_token,
                    timeout_s=commands.STOP_REQUEST_TIMEOUT_S,
                ),
            )

    def _resume_lease(self, now: float) -> None:
        """End a suspension of the lease whose cause is gone."""
        if self.commands.discard_backlog(self.completions, now):
            self.expire_runs(now)
        if self.lease.suspended and not (
            self.completions.is_backlogged()
            or any(task.stopping for task in self.runs.values())
        ):
            self.lease.suspended = False
            self.status_changed.set()

    def _handle_endpoint_restart(self, born: int, clock: int) -> None:
        log_events.emit(logger, 'endpoint started', born=born)
        # Runs that ended with the earlier life are missing in the next
        # report; orders may have reached this one already.
        self.status.reset(born)
        self.completions.reset(born)
        self.is_reconciled = False
        self.lease.reset(clock, clocks.now())
        self.request_report()

    def _handle_completion(
        self,
        task: endpoint_runs.Run | None,
        ended: endpoints.Completion,
        now: float,
    ) -> None:
        outcome = endpoint_runs.OUTCOME_BY_END[ended.outcome]
        if task is not None and task.id.number != ended.run:
            task = None
        end_id = None
        # A run that is not known may be of a stored job: an earlier process
        # of this agent, or an entry that is gone, has started it.
        if outcome in _RETAINED_OUTCOMES and (task is None or task.stored):
            end_id = self.completions.retain(task, ended, now)
            if task is None and end_id is not None:
                # Before this agent accepts work, which would let entries
                # start the task again.
                self.broadcast_completion(
                    self.completions.unacknowledged[end_id.number].message
                )
        if task is not None:
            self.monitor.record_completion(task, outcome, now)
            self._complete(
                task,
                outcome,
                ended.outcome.value,
                end_id=end_id,
                saved=ended.checkpoint,
            )

    def _complete(
        self,
        task: endpoint_runs.Run,
        outcome: messages.Outcome,
        reason: str,
        *,
        end_id: messages.CompletionId | None = None,
        saved: str = '',
    ) -> None:
        self.runs.pop(task.key(), None)
        self.status_changed.set()
        self.metrics.increment('runs', outcome.name)
        task.session.send(
            messages.Completion(task.job, task.id, outcome, end_id, saved),
        )
        if outcome is not messages.Outcome.done:
            log_events.emit(
                logger,
                'task ended',
                job=task.job,
                task=task.id.task_index,
                run=task.id.number,
                outcome=outcome.name,
                reason=reason,
            )

    def _refuse(
        self,
        task: endpoint_runs.Run,
        reason: messages.Refusal,
        details: str,
    ) -> None:
        if self.runs.pop(task.key(), None) is None:
            return
        self.status_changed.set()
        self.metrics.increment('starts_refused', reason.name)
        task.session.send(messages.Refused(task.job, [task.id], reason))
        log_events.emit(
            logger,
            'start refused',
            job=task.job,
            task=task.id.task_index,
            reason=details,
        )


def _ignore_completion(unacked: messages.UnackedCompletion) -> None:
    """Leave an end to be told by `Ends.due`."""
