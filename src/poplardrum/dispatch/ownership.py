"""Stored jobs that this entry owns: their records and completions."""

import asyncio
import collections
import logging
import typing

from poplardrum import background, ids, log_events
from poplardrum.dispatch import (
    cancel_reads,
    clocks,
    completion_intake,
    coordinator,
    fleet,
    jobs,
    messages,
    owned_jobs,
    record_writer,
    records,
    unclaimed_completions,
)

logger = logging.getLogger(__name__)

# Finished jobs whose state is known without reading the store.
_MAX_FINISHED_JOBS: typing.Final = 4096
# A run that was lost may not have started.
_OUTCOMES_OF_STARTED_RUNS: typing.Final = frozenset(
    (
        messages.Outcome.done,
        messages.Outcome.failed,
        messages.Outcome.stopped,
    )
)


class Ownership:
    """Run owned jobs, and store their completions and outcomes."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        job_coordinator: coordinator.Coordinator,
        writer: record_writer.RecordWriter,
        can_own_jobs: typing.Callable[[], bool],
        cancels: cancel_reads.CancelReads,
    ) -> None:
        """Own jobs as `incarnation` while `can_own_jobs` returns `True`."""
        self.incarnation = incarnation
        self.node = writer.node
        self.coordinator = job_coordinator
        self.writer = writer
        self.can_own_jobs = can_own_jobs
        self.cancels = cancels
        self.owned_jobs: dict[ids.JobId, owned_jobs.OwnedJob] = {}
        self.finished_jobs: collections.OrderedDict[
            ids.JobId, records.State
        ] = collections.OrderedDict()
        # Set when this entry is about to stop, and starts no more stored tasks.
        self.is_leaving = False
        self.released_jobs: set[ids.JobId] = set()
        self.unclaimed = unclaimed_completions.UnclaimedCompletions()
        self.intake = completion_intake.CompletionIntake(
            job_coordinator, self.unclaimed
        )
        # Finished jobs whose records this entry has to remove, and the times
        # at which they finished.
        self.records_to_remove: collections.deque[tuple[float, ids.JobId]] = (
            collections.deque()
        )
        self.background = background.Tasks()

    def take_ownership(
        self,
        job: jobs.Job,
        pending: record_writer.PendingRecord,
        cancel_checked_at: float,
    ) -> owned_jobs.OwnedJob:
        """Own a job whose record is stored, and run it.

        It had no cancel request at `cancel_checked_at`. If this entry cannot own
        jobs now, another one may have taken the job over since its record was stored.
        """
        owned = owned_jobs.OwnedJob(job, pending, confirmed=self.can_own_jobs())
        self.cancels.add_job(
            owned, cancel_checked_at, is_only=not self.owned_jobs
        )
        self.owned_jobs[job.id] = owned
        self.intake.apply_unclaimed(owned)
        self.coordinator.suspects.restore(job.id, pending.record.crashes)
        # The last owner may have stored all completions, but not the outcome.
        outcome = owned_jobs.decided_outcome(job)
        if outcome is not None and not job.outcome.done():
            job.outcome.set_result(outcome)
        self.coordinator.submit(job)
        self.background.spawn(self._await_outcome(owned))
        return owned

    def has_record(self, job: ids.JobId) -> bool:
        """Return whether this entry keeps the record of a job up to date.

        It does for the jobs that it runs, and for those that it is creating.
        """
        return job in self.owned_jobs or job in self.writer.open_records

    def close(self) -> None:
        """Cancel all background tasks."""
        self.background.cancel()

    def may_start(self, job: jobs.Job) -> bool:
        """Return whether tasks of a stored job may start now."""
        owned = self.owned_jobs.get(job.id)
        return (
            owned is not None
            and not self.is_leaving
            and owned.confirmed
            and not owned.unstored_losses
            and self.can_own_jobs()
            and self.cancels.may_start(owned)
        )

    def may_run(self, job: jobs.Job) -> bool:
        """Return whether active runs of a stored job may go on.

        They may not while another entry may have taken the job over.
        """
        owned = self.owned_jobs.get(job.id)
        return owned is not None and owned.confirmed

    def handle_message(
        self, agent: fleet.Agent, message: messages.OwnerMessage
    ) -> None:
        """Handle a message of an agent that is for the owner of a job."""
        match message:
            case messages.UnackedCompletion():
                self.intake.handle(
                    agent, message, self.owned_jobs.get(message.job)
                )
            case messages.RunStarted():
                self.record_start(agent, message)

    def record_start(
        self, agent: fleet.Agent, notice: messages.RunStarted
    ) -> None:
        """Record that a task of a stored job has started at an endpoint."""
        owned = self.owned_jobs.get(notice.job)
        if owned is not None and owned.job.is_placed(notice.run, agent):
            owned.pending.has_begun = True

    def store_starts(self) -> None:
        """Have the markers say which jobs have begun.

        Jobs that end before need no write for it.
        """
        for owned in self.owned_jobs.values():
            if owned.is_marker_outdated():
                self.background.spawn(self._store(owned, in_background=True))

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue wait here for their first start."""
        return sum(
            pending.is_waiting() and pending.record.queue == queue
            for pending in self.writer.open_records.values()
        )

    def record_completion(
        self,
        job: jobs.Job,
        task: jobs.Task,
        agent: fleet.Agent,
        completion: messages.Completion,
    ) -> None:
        """Store a completion that the coordinator has accepted."""
        owned = self.owned_jobs.get(job.id)
        if owned is None:
            return
        record = owned.pending.record
        if completion.outcome in _OUTCOMES_OF_STARTED_RUNS:
            owned.pending.has_begun = True
        if completion.checkpoint:
            task.checkpoint = completion.checkpoint
            record.checkpoints[task.index] = completion.checkpoint
        if completion.completion_id is None:
            return
        key = (agent.node, completion.completion_id)
        owned.unstored[key] = agent
        is_done = completion.outcome is messages.Outcome.done
        record.add_completion(completion.run, is_done=is_done)
        if not is_done:
            log_events.emit(
                logger,
                'run of a stored job failed',
                job=job.id,
                task=task.index,
                run=completion.run.number,
                failures=task.failures,
                max_attempts=job.max_attempts,
            )
        if not job.outcome.done():
            self.background.spawn(self._commit(owned, key))

    def record_given_up(self, job: jobs.Job, task: jobs.Task) -> None:
        """Store that a run was given up, of which no completion is known."""
        owned = self.owned_jobs.get(job.id)
        if owned is not None:
            given_up_runs = owned.pending.record.given_up_runs
            given_up_runs[task.index] = task.run_number
            owned.unstored_losses += 1
            self.background.spawn(self._store_loss(owned))

    def record_crash(
        self, job: jobs.Job, task: int, crash: ids.CrashId
    ) -> None:
        """Store a crash that a task may have caused, for later owners."""
        owned = self.owned_jobs.get(job.id)
        if owned is None:
            return
        crashes = owned.pending.record.crashes.setdefault(task, [])
        if crash not in crashes:
            crashes.append(crash)
            self.background.spawn(self._store(owned))

    def mark_finished(self, job: ids.JobId, record: records.Record) -> None:
        """Record the state of a finished job; answer its completions."""
        self.finished_jobs[job] = record.state
        self.records_to_remove.append((clocks.now(), job))
        if len(self.finished_jobs) > _MAX_FINISHED_JOBS:
            self.finished_jobs.popitem(last=False)
        self.unclaimed.settle(job, record)

    def pop_records_to_remove(self, before: float) -> list[ids.JobId]:
        """Remove and return the jobs that finished before a time."""
        popped = []
        while self.records_to_remove and self.records_to_remove[0][0] < before:
            _, job = self.records_to_remove.popleft()
            self.finished_jobs.pop(job, None)
            popped.append(job)
        return popped

    def release(self, owned: owned_jobs.OwnedJob) -> None:
        """Leave a job of which nothing runs to the next owner."""
        owned.pending.is_released = True
        self.background.spawn(self._release(owned))

    def relinquish(self, owned: owned_jobs.OwnedJob) -> None:
        """Stop running a job that another entry has taken over."""
        self.owned_jobs.pop(owned.job.id, None)
        self.writer.close(owned.pending)
        if not owned.job.outcome.done():
            owned.job.outcome.cancel()
        self.coordinator.finish(owned.job)

    async def cancel(self, owned: owned_jobs.OwnedJob) -> bool:
        """Cancel a job; return whether its outcome is stored."""
        if not owned.job.outcome.done():
            owned.job.outcome.set_result(jobs.JobOutcome.cancelled)
        owned.pending.cancelled = True
        while owned.job.id not in self.finished_jobs:
            result = await self.writer.put(owned.pending)
            if result is record_writer.WriteResult.taken_over:
                break
        return owned.job.id in self.finished_jobs

    async def _commit(
        self,
        owned: owned_jobs.OwnedJob,
        key: unclaimed_completions.CompletionKey,
    ) -> None:
        """Store the record, which has a completion; then acknowledge it."""
        if await self._store(owned):
            agent = owned.unstored.pop(key, None)
            if agent is not None:
                unclaimed_completions.acknowledge([(agent, key[1])])

    async def _release(self, owned: owned_jobs.OwnedJob) -> None:
        """Store that a job may have another owner; then stop tracking it."""
        if await self._store(owned) and not owned.job.outcome.done():
            self.released_jobs.add(owned.job.id)
            self.relinquish(owned)
            log_events.emit(
                logger,
                'job released',
                job=owned.job.id,
                epoch=owned.pending.record.epoch,
            )

    async def _store_loss(self, owned: owned_jobs.OwnedJob) -> None:
        """Store that a run was given up; then its task may start again."""
        if await self._store(owned):
            owned.unstored_losses -= 1
            self.coordinator.placer.add(owned.job)
            self.coordinator.placer.schedule()

    async def _store(
        self, owned: owned_jobs.OwnedJob, *, in_background: bool = False
    ) -> bool:
        """Store the record; stop running the job if it has another owner."""
        result = await self.writer.put(
            owned.pending, in_background=in_background
        )
        if result is record_writer.WriteResult.committed:
            return True
        if not owned.job.outcome.done():
            self.relinquish(owned)
        return False

    async def _await_outcome(self, owned: owned_jobs.OwnedJob) -> None:
        """Wait for the outcome of a job and store it."""
        try:
            outcome = await owned.job.outcome
        except asyncio.CancelledError:
            # Taken over by another entry.
            return
        record = owned.pending.record
        record.state = owned_jobs.STATE_BY_OUTCOME[outcome]
        record.specification = ''
        self.coordinator.finish(owned.job)
        if (
            await self.writer.put(owned.pending)
            is record_writer.WriteResult.committed
        ):
            unclaimed_completions.acknowledge(
                [
                    (agent, completion_id)
                    for (_, completion_id), agent in owned.unstored.items()
                ]
            )
            self.mark_finished(owned.job.id, record)
            log_events.emit(
                logger,
                'stored job finished',
                job=owned.job.id,
                state=record.state.value,
                tasks=len(owned.job.tasks),
                epoch=record.epoch,
            )
        self.owned_jobs.pop(owned.job.id, None)
        self.writer.close(owned.pending)
