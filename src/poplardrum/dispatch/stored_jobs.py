"""Requests about stored jobs: submit, state, cancel and count."""

import asyncio
import collections
import logging
import typing

import msgspec

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    clocks,
    ownership,
    record_writer,
    records,
    takeover,
)
from poplardrum.platform import store

logger = logging.getLogger(__name__)

# Longest wait for the store before a caller gets an answer, in seconds.
_MAX_STORE_WAIT_S: typing.Final = 2.0
_MAX_OWNED_JOBS: typing.Final = 2000
_CANCELS_POLL_INTERVAL_S: typing.Final = 0.5
_COUNTS_INTERVAL_S: typing.Final = 0.7
_REMOVAL_INTERVAL_S: typing.Final = 5.0
_MAX_REMOVALS_PER_COMMIT: typing.Final = 30
_RETRY_AFTER_S: typing.Final = 1.0


class WaitingCounts(msgspec.Struct, frozen=True, array_like=True):
    """Jobs of one entry that wait for their first task, by queue."""

    owner: ids.Incarnation
    waiting: dict[str, int]


class StoredJobs:
    """Answer callers about stored jobs through any entry."""

    def __init__(
        self,
        stored: store.RecordStore,
        held: ownership.Ownership,
        owners: takeover.OwnerTracker,
        node: str,
        kept_for: float,
    ) -> None:
        """Keep the states of jobs that are over for `kept_for` seconds."""
        self.store = stored
        self.ownership = held
        self.owner_tracker = owners
        self.node = node
        self.retention_s = kept_for
        self.creations: dict[ids.JobId, asyncio.Task[None]] = {}
        self.published_counts: dict[str, int] = {}
        self.other_counts: list[WaitingCounts] = []
        self.other_counts_read_at = 0.0

    async def submit(
        self,
        job: ids.JobId,
        record: records.Record,
        patience: float,
    ) -> None:
        """Return when the job is stored; raise when it may not be.

        A job that is known already is accepted again.
        """
        held = self.ownership
        if job in held.owned_jobs or job in held.finished_jobs:
            return
        creating = self.creations.get(job)
        if creating is None:
            self._check_admission()
            creating = asyncio.ensure_future(self._create(job, record))
            self.creations[job] = creating
            creating.add_done_callback(lambda _: self.creations.pop(job, None))
        limit = min(patience, _MAX_STORE_WAIT_S)
        await asyncio.wait((creating,), timeout=limit)
        if creating.done():
            return
        pending = held.writer.open_records.get(job)
        if pending is not None and held.writer.withdraw(pending):
            raise _unavailable('the store did not take the job')
        raise errors.uncertain_outcome(
            errors.Code.deadline,
            'the store did not answer whether it took the job',
        )

    async def state(self, job: ids.JobId) -> str:
        """Return the state of a job; raise `unknown_job` for none."""
        owned = self.ownership.owned_jobs.get(job)
        if owned is not None:
            return 'running' if owned.job.started else 'queued'
        finished = self.ownership.finished_jobs.get(job)
        if finished is not None:
            return finished.value
        record = await self._read_record(job)
        if record.is_over():
            return record.state.value
        return 'running' if record.done_tasks else 'queued'

    async def cancel(self, job: ids.JobId) -> None:
        """Cancel a job through any entry; raise `unknown_job` for none."""
        creating = self.creations.get(job)
        if creating is not None:
            await asyncio.wait((creating,), timeout=_MAX_STORE_WAIT_S)
        owned = self.ownership.owned_jobs.get(job)
        if owned is not None and await self.ownership.cancel(owned):
            return
        if job in self.ownership.finished_jobs:
            return
        record = await self._read_record(job)
        if not record.is_over():
            mark = store.Change(records.CANCELS_PREFIX + job, b'1')
            await self.store.commit([mark])

    async def count_waiting(self, queue: str) -> int:
        """Return how many stored jobs of a queue have not begun."""
        now = clocks.now()
        if now - self.other_counts_read_at > _COUNTS_INTERVAL_S:
            found = await self.store.list(records.WAITING_PREFIX)
            self.other_counts = [
                counts
                for counts in map(_decode_counts, found)
                if counts is not None
            ]
            self.other_counts_read_at = now
        present = self.owner_tracker.announced()
        return self._count_own_waiting()[queue] + sum(
            counts.waiting.get(queue, 0)
            for counts in self.other_counts
            if counts.owner in present
            and counts.owner != self.ownership.incarnation
        )

    async def poll_cancels(self) -> None:
        """Cancel jobs for which other entries took the request."""
        while True:
            await asyncio.sleep(_CANCELS_POLL_INTERVAL_S)
            if not self.ownership.owned_jobs:
                continue
            try:
                found = await self.store.list(records.CANCELS_PREFIX)
            except errors.PoplardrumError:
                # `Routes` logs the outage of the store.
                continue
            for item in found:
                self._cancel_requested(
                    ids.JobId(item.key.removeprefix(records.CANCELS_PREFIX))
                )

    async def publish_counts(self) -> None:
        """Tell other entries how many jobs wait here."""
        while True:
            await asyncio.sleep(_COUNTS_INTERVAL_S)
            counts = dict(self._count_own_waiting())
            if counts == self.published_counts:
                continue
            content = msgspec.json.encode(
                WaitingCounts(self.ownership.incarnation, counts),
            )
            key = records.WAITING_PREFIX + self.node
            try:
                await self.store.commit([store.Change(key, content)])
            except errors.PoplardrumError:
                # Counts may be late, and `Routes` logs the outage.
                continue
            self.published_counts = counts

    async def remove_expired_records(self) -> None:
        """Remove records of jobs that have been over for long enough."""
        while True:
            await asyncio.sleep(_REMOVAL_INTERVAL_S)
            due = self.ownership.pop_records_to_remove(
                clocks.now() - self.retention_s
            )
            for start in range(0, len(due), _MAX_REMOVALS_PER_COMMIT):
                group = due[start : start + _MAX_REMOVALS_PER_COMMIT]
                changes = [
                    store.Change(records.record_key(job), None) for job in group
                ]
                try:
                    await self.store.commit(changes)
                except errors.PoplardrumError:
                    # Records that stay cost room, nothing else.
                    log_events.emit(
                        logger, 'records not removed', jobs=len(group)
                    )

    def _cancel_requested(self, job: ids.JobId) -> None:
        owned = self.ownership.owned_jobs.get(job)
        if owned is not None and not owned.pending.cancelled:
            log_events.emit(logger, 'job cancelled elsewhere', job=job)
            self.ownership.spawn(self.ownership.cancel(owned))

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

    async def _create(self, job: ids.JobId, record: records.Record) -> None:
        pending = self.ownership.writer.open(job, record)
        found = await self.ownership.writer.put(pending)
        if found is record_writer.WriteResult.committed:
            started = takeover.make_job(job, record, self.ownership)
            self.ownership.take_ownership(started, pending)

    async def _read_record(self, job: ids.JobId) -> records.Record:
        try:
            item = await self.store.get(records.record_key(job))
        except errors.PoplardrumError as error:
            raise _unavailable(error.message) from None
        record = records.decode(item.value) if item else None
        if record is None:
            raise errors.refusal(errors.Code.unknown_job, 'no such job')
        return record

    def _count_own_waiting(self) -> collections.Counter[str]:
        return collections.Counter(
            owned.job.queue
            for owned in self.ownership.owned_jobs.values()
            if not owned.job.started
        )


def _unavailable(message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.unavailable, message, _RETRY_AFTER_S)


def _decode_counts(item: store.StoredValue) -> WaitingCounts | None:
    try:
        return msgspec.json.decode(item.value, type=WaitingCounts)
    except ValueError:
        return None
