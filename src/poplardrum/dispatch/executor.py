"""Runs at an agent's endpoint: starts, stops, lease and completions."""

import asyncio
import logging
import typing

from poplardrum import background, log_events
from poplardrum.dispatch import (
    clocks,
    commands,
    completion_discard,
    endpoint_runs,
    endpoint_status,
    entry_sessions,
    lease,
    messages,
    metrics,
    monitor,
    run_events,
    run_table,
)
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)


class Executor:
    """Run tasks at one endpoint, within its capacity and under its lease.

    Nothing else calls the endpoint, so `runs` covers all that may be running
    there: a run stays in it until the endpoint has listed its completion,
    has refused it or no longer knows it, or its lease has lapsed.

    `report_needed` wakes the poller of the endpoint, and `status_changed`
    the reporter that sends the load to entries.
    """

    def __init__(
        self,
        endpoint: endpoints.EndpointClient,
        max_lease: float,
        stop_time: float,
    ) -> None:
        """Create an executor that does not know its endpoint yet."""
        self.endpoint = endpoint
        self.lease = lease.Lease(max_lease)
        self.monitor = monitor.EndpointMonitor()
        self.metrics = metrics.Metrics()
        self.runs = run_table.RunTable()
        self.status = endpoint_status.EndpointStatus()
        self.discard = completion_discard.CompletionDiscard(
            self.lease, self.request_report
        )
        self.completions = self.discard.tracker
        # Whether the last report listed only runs that this agent started. An
        # earlier process of the agent may have left others.
        self.is_reconciled = False
        self.endpoint_reachable = True
        self.stopping = False
        self.status_changed = asyncio.Event()
        self.report_needed = asyncio.Event()
        self.report_needed.set()
        self.commands = commands.EndpointCommands(
            self.lease,
            stop_time,
            self.runs.has,
            self.request_report,
        )
        # Sends the completion of an unknown run to all entries.
        self.broadcast_completion: typing.Callable[
            [messages.UnackedCompletion], None
        ] = _ignore_completion
        self.background = background.Tasks()

    def request_report(self) -> None:
        """Request an endpoint report, and a report of the load to entries."""
        self.report_needed.set()
        self.status_changed.set()

    def is_accepting(self) -> bool:
        """Return whether new tasks may start."""
        return (
            self.status.is_ready()
            and self.commands.gate.is_open()
            and self.is_reconciled
            and self.endpoint_reachable
            and not self.stopping
            and not self.lease.suspended
            and self.completions.overtaken_since is None
            and self.monitor.can_start(clocks.now(), len(self.runs))
        )

    def free_capacity(self) -> messages.Resources:
        """Return the capacity that is not reserved by tracked runs."""
        reserved = [run.demand for run in self.runs.values()]
        usable = self.commands.gate.limit(
            self.status.capacity(), self.status.heartbeat
        )
        return usable.minus(*reserved)

    def start(
        self, session: entry_sessions.EntrySession, request: messages.StartTasks
    ) -> None:
        """Start the runs that fit; refuse the others at once."""
        refused: dict[messages.Refusal, list[messages.RunId]] = {}
        run_events.log_tasks_received(session, request)
        for run_id in request.runs:
            if self.runs.find(session, request.job, run_id) is not None:
                # The command was repeated.
                continue
            reason = self._refusal_reason(session, request, run_id)
            if reason is not None:
                refused.setdefault(reason, []).append(run_id)
                continue
            run = endpoint_runs.requested_run(session, request, run_id)
            self.runs.add(run)
            self.background.spawn(self._start_run(run, request))
        for reason, runs in refused.items():
            session.send(messages.Refused(request.job, runs, reason))
            run_events.log_tasks_refused(
                request.job, reason, len(runs), self.commands.gate.is_open()
            )
        self.request_report()

    def stop(
        self, session: entry_sessions.EntrySession, request: messages.StopTasks
    ) -> None:
        """Stop runs of an entry; those that are not tracked are over."""
        for run_id in request.runs:
            run = self.runs.find(session, request.job, run_id)
            run_events.log_stop_received(session, request.job, run_id, run)
            if run is not None:
                self.stop_run(run)

    def stop_run(self, run: endpoint_runs.Run) -> None:
        """Stop a run; its completion is sent once the endpoint confirms it."""
        if not run.stopping:
            run.stopping = True
            self.background.spawn(self.commands.stop(self.endpoint, run))

    def stop_runs_of(self, session: entry_sessions.EntrySession) -> None:
        """Stop all runs of an entry that is gone."""
        for run in self.runs.of_session(session):
            self.stop_run(run)

    def observe_heartbeat(self, heartbeat: endpoints.Heartbeat) -> None:
        """Apply a heartbeat unless it is outdated."""
        previous = self.status.heartbeat
        if self.status.is_outdated(heartbeat):
            if self.status.hold_unconfirmed(heartbeat):
                self.request_report()
            return
        if heartbeat.born > self.status.incarnation:
            self._handle_endpoint_restart(heartbeat.born, heartbeat.clock_ms)
        self.status.observe(heartbeat)
        if previous is None or previous.state != heartbeat.state:
            run_events.log_endpoint_state(heartbeat)
        self.lease.observe_clock(heartbeat.clock_ms, clocks.now())
        self.request_report()

    def restore_status(self, heartbeat: endpoints.Heartbeat | None) -> None:
        """Use the heartbeat of an earlier process until one arrives."""
        if self.status.restore(heartbeat):
            self.report_needed.set()

    def apply_report(
        self,
        report: endpoints.Report,
        requested_at: float,
        fencing_token: int,
    ) -> None:
        """Apply an endpoint report; reports may arrive in any order.

        `requested_at` and `fencing_token` are those of the request.
        """
        now = clocks.now()
        if not self._check_incarnation(report, requested_at, now):
            return
        by_name = {run.task_name(): run for run in self.runs.values()}
        for completion in report.completions:
            if self.completions.observe(completion.number):
                self._handle_completion(
                    by_name.get(completion.task), completion, now
                )
        listed = {(each.task, each.run): each for each in report.active_runs}
        for run in self.runs.values():
            listed_run = listed.get((run.task_name(), run.id.number))
            if listed_run is not None:
                run.observe(listed_run.progress_percent, requested_at, now)
            elif report.complete:
                self._reconcile_missing(run, requested_at, fencing_token)
        if self.monitor.report_stragglers(self.runs.values(), now):
            self.status_changed.set()
        self._stop_unknown_runs(report, by_name)
        self._resume_lease(now)

    def expire_runs(self, now: float) -> None:
        """Complete all runs as lost if the lease has certainly lapsed."""
        if self.runs and self.lease.has_lapsed(now):
            for run in self.runs.values():
                self._complete(run, messages.Outcome.lost, 'lease lapsed')

    def _check_incarnation(
        self, report: endpoints.Report, requested_at: float, now: float
    ) -> bool:
        """Return whether a report is not of an earlier incarnation.

        Handle a restart if it is of a later one, and update the lease.
        """
        if self.status.is_late(report.incarnation, requested_at):
            return False
        if report.incarnation != self.status.incarnation:
            self._handle_endpoint_restart(report.incarnation, report.clock_ms)
        confirmed = self.status.take_confirmed()
        if confirmed is not None:
            self.observe_heartbeat(confirmed)
        self.status.heard_at = now
        self.monitor.crashes.record_answer(report.incarnation)
        self.status.confirm_restored()
        self.lease.observe_clock(report.clock_ms, now)
        self.lease.reset_token_step()
        return True

    def _refusal_reason(
        self,
        session: entry_sessions.EntrySession,
        request: messages.StartTasks,
        run_id: messages.RunId,
    ) -> messages.Refusal | None:
        if not self.is_accepting():
            return messages.Refusal.not_accepting
        existing = self.runs.competitor(request.job, run_id)
        if existing is not None:
            if existing.session is not session:
                self.stop_run(existing)
            return messages.Refusal.conflict
        if not self.free_capacity().covers(request.demand):
            return messages.Refusal.no_room
        if (
            request.isolation is not messages.Isolation.none
            and not self.monitor.reserve_starts(
                self.runs.values(), request.isolation, self.status_changed.set
            )
        ):
            return messages.Refusal.conflict
        return None

    async def _start_run(
        self,
        run: endpoint_runs.Run,
        request: messages.StartTasks,
    ) -> None:
        if request.isolation is not messages.Isolation.none:
            await self.monitor.wait_for_isolation()
        if not await run.session.is_current(run.link):
            self._refuse(run, messages.Refusal.endpoint, 'entry not heard of')
            return
        if run.stored and not await run.session.may_start_stored_jobs(
            run.link, run.added_at
        ):
            self._refuse(run, messages.Refusal.owner_lease, 'no owner lease')
            return
        refusal = await self.commands.start(
            self.endpoint, run, request.specification
        )
        if refusal is not None:
            self._refuse(run, *refusal)

    def _reconcile_missing(
        self,
        run: endpoint_runs.Run,
        requested_at: float,
        fencing_token: int,
    ) -> None:
        """Complete or refuse a run that a complete report does not list."""
        if run.listed_from is not None:
            if requested_at >= run.listed_from:
                self._complete(run, messages.Outcome.lost, 'not in the report')
        elif (
            run.state is endpoint_runs.RunState.unanswered
            and fencing_token > run.fencing_token
        ):
            self._refuse(run, messages.Refusal.endpoint, 'never started')

    def _stop_unknown_runs(
        self,
        report: endpoints.Report,
        by_name: dict[str, endpoint_runs.Run],
    ) -> None:
        unknown = endpoint_runs.unknown_runs(report.active_runs, by_name)
        if self.is_reconciled != (not unknown):
            self.is_reconciled = not unknown
            self.status_changed.set()
        for listed_run in unknown:
            self.background.spawn(
                self.commands.stop_unknown(self.endpoint, listed_run)
            )

    def _resume_lease(self, now: float) -> None:
        """Resume a suspended lease once the cause of its suspension is gone."""
        if self.discard.review(now, len(self.runs)):
            self.expire_runs(now)
        if self.lease.suspended and not (
            self.discard.needs_lapse(now, len(self.runs))
            or any(run.stopping for run in self.runs.values())
        ):
            self.lease.suspended = False
            self.status_changed.set()

    def _handle_endpoint_restart(self, incarnation: int, clock_ms: int) -> None:
        log_events.emit(logger, 'endpoint started', born=incarnation)
        self.monitor.crashes.record_restart(
            self.status.incarnation,
            self.status.heartbeat,
            self.runs.values(),
            clocks.now(),
        )
        # The runs are kept: the next report lacks those that ended with the
        # earlier incarnation, and the new one may have accepted others.
        self.status.reset(incarnation)
        self.completions.reset(incarnation)
        self.is_reconciled = False
        self.lease.reset(clock_ms, clocks.now())
        self.request_report()

    def _handle_completion(
        self,
        run: endpoint_runs.Run | None,
        completion: endpoints.Completion,
        now: float,
    ) -> None:
        outcome = endpoint_runs.OUTCOME_BY_RUN_OUTCOME[completion.outcome]
        if run is not None and run.id.number != completion.run:
            run = None
        completion_id = None
        if self.completions.must_retain(run, outcome):
            completion_id = self.completions.retain(run, completion, now)
            if run is None and completion_id is not None:
                # Sent before this agent accepts tasks, so that no entry
                # starts the task again.
                self.broadcast_completion(
                    self.completions.unacknowledged[
                        completion_id.number
                    ].message
                )
        if run is not None:
            self.monitor.record_completion(run, outcome, now)
            self._complete(
                run,
                outcome,
                completion.outcome.value,
                completion_id=completion_id,
                checkpoint=completion.checkpoint,
            )

    def _complete(
        self,
        completed_run: endpoint_runs.Run,
        outcome: messages.Outcome,
        reason: str,
        *,
        completion_id: messages.CompletionId | None = None,
        checkpoint: str = '',
    ) -> None:
        if not self.runs.remove(completed_run):
            return
        self.status_changed.set()
        self.metrics.increment('runs', outcome.name)
        completed_run.session.send(
            messages.Completion(
                completed_run.job,
                completed_run.id,
                outcome,
                completion_id,
                checkpoint,
            ),
        )
        if outcome is not messages.Outcome.done:
            run_events.log_run_ended(completed_run, outcome, reason)

    def _refuse(
        self,
        run: endpoint_runs.Run,
        reason: messages.Refusal,
        details: str,
    ) -> None:
        if not self.runs.remove(run):
            return
        self.status_changed.set()
        self.metrics.increment('starts_refused', reason.name)
        run.session.send(messages.Refused(run.job, [run.id], reason))
        run_events.log_start_refused(run, details)


def _ignore_completion(message: messages.UnackedCompletion) -> None:
    """Do nothing; `CompletionTracker.due_for_resend` returns it later."""
