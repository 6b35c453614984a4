"""Requests about stored jobs: submit, query and cancel."""

import asyncio
import logging
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    clocks,
    ownership,
    record_writer,
    records,
    takeover,
    waiting_jobs,
)
from poplardrum.platform import store

logger = logging.getLogger(__name__)

# Longest wait for the store before a caller gets a response.
_MAX_STORE_WAIT_S: typing.Final = 2.0
# Part of that wait that is left for the answer to a write that is under way.
_LAST_ANSWER_S: typing.Final = 0.1
_LAST_ANSWER_FRACTION: typing.Final = 0.25
_MAX_OWNED_JOBS: typing.Final = 2000
_REMOVAL_INTERVAL_S: typing.Final = 5.0
# Each takes two rows of a transaction, which has 32.
_MAX_REMOVALS_PER_COMMIT: typing.Final = 15
_RETRY_AFTER_S: typing.Final = 1.0


class StoredJobs:
    """Handle requests about stored jobs, whichever entry owns them."""

    def __init__(
        self,
        record_store: store.RecordStore,
        job_ownership: ownership.Ownership,
        waiting: waiting_jobs.WaitingJobs,
        retention_s: float,
    ) -> None:
        """Retain the records of finished jobs for `retention_s` seconds."""
        self.store = record_store
        self.ownership = job_ownership
        self.waiting = waiting
        self.retention_s = retention_s
        self.creations: dict[
            ids.JobId, asyncio.Task[record_writer.WriteResult]
        ] = {}

    async def submit(
        self,
        job: ids.JobId,
        record: records.Record,
        client_timeout: float,
    ) -> None:
        """Store and start a job.

        A job that is known already is accepted again. Raise a refusal if the
        job is not stored, and another error if that is uncertain.
        """
        job_ownership = self.ownership
        if (
            job in job_ownership.owned_jobs
            or job in job_ownership.finished_jobs
            or job in job_ownership.released_jobs
        ):
            return
        creation = self.creations.get(job)
        if creation is None:
            self._check_admission()
            creation = asyncio.ensure_future(self._create(job, record))
            self.creations[job] = creation
            creation.add_done_callback(lambda _: self.creations.pop(job, None))
        wait_s = min(client_timeout, _MAX_STORE_WAIT_S)
        last_answer_s = min(_LAST_ANSWER_S, _LAST_ANSWER_FRACTION * wait_s)
        await asyncio.wait((creation,), timeout=wait_s - last_answer_s)
        if not creation.done():
            writer = job_ownership.writer
            await writer.withdraw_after_write(job, last_answer_s)
            # The creation ends in the next iteration of the event loop.
            await asyncio.sleep(0)
        if creation.done():
            if creation.result() is record_writer.WriteResult.withdrawn:
                raise _not_stored()
            return
        raise errors.uncertain_outcome(
            errors.Code.deadline,
            'the store did not answer whether it took the job',
        )

    async def is_known(self, job: ids.JobId) -> bool:
        """Return whether a job may have been accepted, here or elsewhere."""
        try:
            await self.state(job)
        except errors.PoplardrumError as error:
            return error.code is not errors.Code.unknown_job
        return True

    async def state(self, job: ids.JobId) -> str:
        """Return the state of a job; raise `unknown_job` if there is none."""
        owned = self.ownership.owned_jobs.get(job)
        if owned is not None:
            return 'running' if owned.pending.has_begun else 'queued'
        finished = self.ownership.finished_jobs.get(job)
        if finished is not None:
            return finished.value
        record = await self._read_record(job)
        if record.is_over():
            return record.state.value
        return 'running' if record.has_begun() else 'queued'

    async def cancel(self, job: ids.JobId) -> None:
        """Cancel a job of any entry; raise `unknown_job` if there is none."""
        creation = self.creations.get(job)
        if creation is not None:
            await asyncio.wait((creation,), timeout=_MAX_STORE_WAIT_S)
        owned = self.ownership.owned_jobs.get(job)
        if owned is not None and await self.ownership.cancel(owned):
            return
        if job in self.ownership.finished_jobs:
            return
        record = await self._read_record(job)
        if not record.is_over():
            cancel_request = store.Change(records.CANCELS_PREFIX + job, b'1')
            await self.store.commit([cancel_request])

    async def poll_cancels(self) -> None:
        """Cancel own jobs whose cancel requests other entries received."""
        while True:
            await self.ownership.cancels.wait_until_due()
            if self.ownership.owned_jobs:
                await self._read_cancels()

    async def _read_cancels(self) -> None:
        """Cancel the requested jobs; only then others may start again."""
        cancels = self.ownership.cancels
        requested_at = clocks.now()
        try:
            items = await self.store.list(records.CANCELS_PREFIX)
        except errors.PoplardrumError as error:
            self._log_unread_cancels(error)
            return
        for item in items:
            self._cancel_requested(
                ids.JobId(item.key.removeprefix(records.CANCELS_PREFIX))
            )
        cancels.record_read(requested_at, self.ownership.owned_jobs.values())
        self.ownership.coordinator.placer.schedule()

    def _log_unread_cancels(self, error: errors.PoplardrumError) -> None:
        if not self.ownership.cancels.start_time_left():
            log_events.emit(
                logger,
                'starts held: cancel requests not read',
                level=logging.WARNING,
                jobs=len(self.ownership.owned_jobs),
                why=error.message,
            )

    async def remove_expired_records(self) -> None:
        """Remove records of finished jobs after the retention time."""
        while True:
            await asyncio.sleep(_REMOVAL_INTERVAL_S)
            expired = self.ownership.pop_records_to_remove(
                clocks.now() - self.retention_s
            )
            for start in range(0, len(expired), _MAX_REMOVALS_PER_COMMIT):
                group = expired[start : start + _MAX_REMOVALS_PER_COMMIT]
                # A cancel request may have come just as its job ended.
                changes = [
                    store.Change(key, None)
                    for job in group
                    for key in (
                        records.record_key(job),
                        records.CANCELS_PREFIX + job,
                    )
                ]
                try:
                    await self.store.commit(changes)
                except errors.PoplardrumError:
                    # Records that are left behind only take up storage.
                    log_events.emit(
                        logger, 'records not removed', jobs=len(group)
                    )

    def _cancel_requested(self, job: ids.JobId) -> None:
        owned = self.ownership.owned_jobs.get(job)
        if owned is not None and not owned.pending.cancelled:
            log_events.emit(
                logger, 'job cancelled through another entry', job=job
            )
            self.ownership.background.spawn(self.ownership.cancel(owned))

    def _check_admission(self) -> None:
        if not self.ownership.can_own_jobs():
            raise _unavailable('this entry cannot own jobs now')
        if not self.ownership.writer.store_reachable:
            raise _unavailable('the store does not take records now')
        if (
            len(self.ownership.owned_jobs) + len(self.creations)
            >= _MAX_OWNED_JOBS
        ):
            raise errors.refusal(
                errors.Code.overload,
                f'{_MAX_OWNED_JOBS} jobs are not over here',
                _RETRY_AFTER_S,
            )

    async def _create(
        self, job: ids.JobId, record: records.Record
    ) -> record_writer.WriteResult:
        # Others know the job, and may cancel it, only from its first write on.
        unknown_at = clocks.now()
        pending = self.ownership.writer.open(job, record)
        result = await self.ownership.writer.put(pending)
        if result is record_writer.WriteResult.committed:
            stored_job = takeover.make_job(job, record, self.ownership)
            self.ownership.take_ownership(stored_job, pending, unknown_at)
        return result

    async def _read_record(self, job: ids.JobId) -> records.Record:
        try:
            item = await self.store.get(records.record_key(job))
        except errors.PoplardrumError as error:
            raise _unavailable(error.message) from None
        record = records.decode(item.value) if item else None
        if record is None:
            raise errors.refusal(errors.Code.unknown_job, 'no such job')
        return record


def _not_stored() -> errors.PoplardrumError:
    return _unavailable('the store did not take the job')


def _unavailable(message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.unavailable, message, _RETRY_AFTER_S)
