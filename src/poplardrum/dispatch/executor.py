"""Tasks of an agent's endpoint: starts, stops, lease and ends."""

import asyncio
import logging
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import (
    clocks,
    ends,
    lease,
    messages,
    metrics,
    monitor,
    orders,
    owners,
    tasks,
    vitals,
)
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

# Ends that must not be forgotten before the store knows them.
_REMEMBERED: typing.Final = frozenset(
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
        longest_lease: float,
        stop_time: float,
    ) -> None:
        """Start without a known endpoint."""
        self.endpoint = endpoint
        self.lease = lease.Lease(longest_lease)
        self.monitor = monitor.EndpointMonitor()
        self.metrics = metrics.Metrics()
        self.tasks: dict[tasks.RunKey, tasks.Run] = {}
        self.vitals = vitals.Vitals()
        self.ends = ends.CompletionTracker()
        # Runs of a predecessor may be there until a report says otherwise.
        self.clean = False
        self.reachable = True
        self.stopping = False
        self.changed = asyncio.Event()
        self.work = asyncio.Event()
        self.work.set()
        self.orders = orders.Orders(
            self.lease,
            stop_time,
            lambda task: self.tasks.get(task.key()) is task,
            self.wake,
        )
        # Tells all entries of an end that no known run belongs to.
        self.tell_unacked: typing.Callable[
            [messages.UnackedCompletion], None
        ] = _ignore
        self.background: set[asyncio.Task[object]] = set()

    def wake(self) -> None:
        """Ask for a report and tell entries of the new state."""
        self.work.set()
        self.changed.set()

    def accepting(self) -> bool:
        """Return whether new tasks may start."""
        return (
            self.vitals.ready()
            and self.clean
            and self.reachable
            and not self.stopping
            and not self.lease.suspended
            and self.monitor.health.room(clocks.now(), len(self.tasks))
        )

    def free(self) -> messages.Resources:
        """Return the room that no run takes, probable runs included."""
        taken = [task.demand for task in self.tasks.values()]
        return self.vitals.capacity().minus(*taken)

    def start(self, owner: owners.Owner, order: messages.StartTasks) -> None:
        """Start what fits; refuse the rest at once."""
        refused: dict[messages.Refusal, list[messages.RunId]] = {}
        for run in order.runs:
            reason = self._obstacle(owner, order, run)
            if reason is not None:
                refused.setdefault(reason, []).append(run)
                continue
            task = tasks.Run(
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
            self.tasks[task.key()] = task
            self._spawn(self._launch(task, order.specification))
        for reason, runs in refused.items():
            owner.send(messages.Refused(order.job, runs, reason))
            log_events.emit(
                logger,
                'task refused',
                job=order.job,
                reason=reason.name,
                tasks=len(runs),
            )
        self.wake()

    def stop(self, job: ids.JobId, indexes: typing.Iterable[int]) -> None:
        """Stop tasks of a job; unknown ones have ended already."""
        for index in indexes:
            task = self.tasks.get((job, index))
            if task is not None:
                self.stop_task(task)

    def stop_task(self, task: tasks.Run) -> None:
        """Stop one task; its end is reported when it is certain."""
        if not task.stopping:
            task.stopping = True
            self._spawn(self.orders.stop(self.endpoint, task))

    def drop(self, owner: owners.Owner) -> None:
        """Stop all tasks of an entry that is gone."""
        for task in list(self.tasks.values()):
            if task.session is owner:
                self.stop_task(task)

    def holding(self, owner: owners.Owner) -> messages.ActiveRuns:
        """Return the runs that an entry has here."""
        return messages.ActiveRuns(
            [
                (task.job, task.id)
                for task in self.tasks.values()
                if task.session is owner
            ],
        )

    def observe_heartbeat(self, beat: endpoints.Heartbeat) -> None:
        """Take over a heartbeat unless a later one is known."""
        known = self.vitals.heartbeat
        if self.vitals.outdated(beat):
            return
        if beat.born > self.vitals.born:
            self._new_life(beat.born, beat.clock_ms)
        self.vitals.heartbeat = beat
        if known is None or known.state != beat.state:
            log_events.emit(
                logger, 'endpoint state', state=beat.state, born=beat.born
            )
        self.lease.observe(beat.clock_ms, clocks.now())
        self.wake()

    def recall(self, beat: endpoints.Heartbeat | None) -> None:
        """Take what an earlier process knew until a heartbeat arrives."""
        if self.vitals.recall(beat):
            self.work.set()

    def apply(
        self,
        report: endpoints.Report,
        asked_at: float,
        token: int,
    ) -> None:
        """Take over what the endpoint lists, in any order of arrival.

        `asked_at` and `token` are those of the request for the report.
        """
        now = clocks.now()
        if not self._is_present(report, now):
            return
        by_name = {task.task_name(): task for task in self.tasks.values()}
        for ended in report.completions:
            if self.ends.observe(ended.number):
                self._ended(by_name.get(ended.task), ended, now)
        present = {(row.task, row.run): row for row in report.active_runs}
        for task in list(self.tasks.values()):
            row = present.get((task.task_name(), task.id.number))
            if row is not None:
                task.observe(row.progress_percent, asked_at, now)
            elif report.complete:
                self._settle_missing(task, asked_at, token)
        if self.monitor.tell_stragglers(self.tasks.values(), now):
            self.changed.set()
        self._stop_strangers(report, by_name)
        self._resume(now)

    def fail_over(self, now: float) -> None:
        """Count all runs as lost once the lease has certainly run out."""
        if self.tasks and self.lease.lapsed(now):
            for task in list(self.tasks.values()):
                self._finish(task, messages.Outcome.lost, 'lease ran out')

    def _is_present(self, report: endpoints.Report, now: float) -> bool:
        """Return whether a report is of the present life, or a new one."""
        if report.incarnation < self.vitals.born:
            return False
        if report.incarnation > self.vitals.born:
            self._new_life(report.incarnation, report.clock_ms)
        self.vitals.confirm()
        self.lease.observe(report.clock_ms, now)
        self.lease.obeyed()
        return True

    def _obstacle(
        self,
        owner: owners.Owner,
        order: messages.StartTasks,
        run: messages.RunId,
    ) -> messages.Refusal | None:
        if not self.accepting():
            return messages.Refusal.not_accepting
        other = self.tasks.get((order.job, run.task_index))
        if other is not None:
            if other.session is not owner:
                self.stop_task(other)
            return messages.Refusal.conflict
        if not self.free().covers(order.demand):
            return messages.Refusal.no_room
        return None

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _launch(self, task: tasks.Run, specification: str) -> None:
        refused = await self.orders.start(self.endpoint, task, specification)
        if refused is not None:
            self._refuse(task, *refused)

    def _settle_missing(
        self,
        task: tasks.Run,
        asked_at: float,
        token: int,
    ) -> None:
        """Settle a run that is in neither list of a report."""
        if self.tasks.get(task.key()) is not task:
            return
        if task.listed_from is not None:
            if asked_at >= task.listed_from:
                self._finish(task, messages.Outcome.lost, 'not listed')
        elif (
            task.state is tasks.RunState.unanswered
            and token > task.fencing_token
        ):
            self._refuse(task, messages.Refusal.endpoint, 'never started')

    def _stop_strangers(
        self,
        report: endpoints.Report,
        by_name: dict[str, tasks.Run],
    ) -> None:
        strangers = [
            row
            for row in report.active_runs
            if row.task not in by_name or by_name[row.task].id.number != row.run
        ]
        if self.clean != (not strangers):
            self.clean = not strangers
            self.changed.set()
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
                    fencing_token=self.lease.token,
                    timeout_s=orders.STOP_LIMIT,
                ),
            )

    def _resume(self, now: float) -> None:
        """End a suspension of the lease whose cause is gone."""
        if self.orders.give_up_ends(self.ends, now):
            self.fail_over(now)
        if self.lease.suspended and not (
            self.ends.is_backlogged()
            or any(task.stopping for task in self.tasks.values())
        ):
            self.lease.suspended = False
            self.changed.set()

    def _new_life(self, born: int, clock: int) -> None:
        log_events.emit(logger, 'endpoint started', born=born)
        # Runs that ended with the earlier life are missing in the next
        # report; orders may have reached this one already.
        self.vitals.new_life(born)
        self.ends.reset(born)
        self.clean = False
        self.lease.new_life(clock, clocks.now())
        self.wake()

    def _ended(
        self,
        task: tasks.Run | None,
        ended: endpoints.Completion,
        now: float,
    ) -> None:
        outcome = tasks.OUTCOME_BY_END[ended.outcome]
        if task is not None and task.id.number != ended.run:
            task = None
        end_id = None
        # A run that is not known may be of a stored job: an earlier process
        # of this agent, or an entry that is gone, has started it.
        if outcome in _REMEMBERED and (task is None or task.stored):
            end_id = self.ends.retain(task, ended, now)
            if task is None and end_id is not None:
                # Before this agent accepts work, which would let entries
                # start the task again.
                self.tell_unacked(
                    self.ends.unacknowledged[end_id.number].message
                )
        if task is not None:
            self.monitor.ended(task, outcome, now)
            self._finish(
                task,
                outcome,
                ended.outcome.value,
                end_id=end_id,
                saved=ended.checkpoint,
            )

    def _finish(
        self,
        task: tasks.Run,
        outcome: messages.Outcome,
        reason: str,
        *,
        end_id: messages.CompletionId | None = None,
        saved: str = '',
    ) -> None:
        self.tasks.pop(task.key(), None)
        self.changed.set()
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
        task: tasks.Run,
        reason: messages.Refusal,
        details: str,
    ) -> None:
        if self.tasks.pop(task.key(), None) is None:
            return
        self.changed.set()
        self.metrics.increment('starts_refused', reason.name)
        task.session.send(messages.Refused(task.job, [task.id], reason))
        log_events.emit(
            logger,
            'start refused',
            job=task.job,
            task=task.id.task_index,
            reason=details,
        )


def _ignore(unacked: messages.UnackedCompletion) -> None:
    """Leave an end to be told by `Ends.due`."""
