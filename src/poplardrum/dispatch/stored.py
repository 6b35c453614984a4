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
_LONGEST_WRITE: typing.Final = 2.0
_MOST_OWNED: typing.Final = 2000
_CANCELS_PAUSE: typing.Final = 0.5
_COUNTS_PAUSE: typing.Final = 0.7
_RETIRE_PAUSE: typing.Final = 5.0
_RETIRED_AT_ONCE: typing.Final = 30
_RETRY_AFTER: typing.Final = 1.0


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """Jobs of one entry that wait for their first task, by queue."""

    owner: ids.Incarnation
    waiting: dict[str, int]


class StoredJobs:
    """Answer callers about stored jobs through any entry."""

    def __init__(
        self,
        stored: store.RecordStore,
        held: ownership.Ownership,
        owners: takeover.Owners,
        node: str,
        kept_for: float,
    ) -> None:
        """Keep the states of jobs that are over for `kept_for` seconds."""
        self.stored = stored
        self.ownership = held
        self.owners = owners
        self.node = node
        self.kept_for = kept_for
        self.creating: dict[ids.JobId, asyncio.Task[None]] = {}
        self.published: dict[str, int] = {}
        self.others: list[Counts] = []
        self.others_at = 0.0

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
        if job in held.owned or job in held.finished:
            return
        creating = self.creating.get(job)
        if creating is None:
            self._admit()
            creating = asyncio.ensure_future(self._create(job, record))
            self.creating[job] = creating
            creating.add_done_callback(lambda _: self.creating.pop(job, None))
        limit = min(patience, _LONGEST_WRITE)
        await asyncio.wait((creating,), timeout=limit)
        if creating.done():
            return
        pending = held.writer.open_records.get(job)
        if pending is not None and held.writer.withdraw(pending):
            raise _unavailable('the store did not take the job')
        raise errors.uncertain(
            errors.Code.deadline,
            'the store did not answer whether it took the job',
        )

    async def state(self, job: ids.JobId) -> str:
        """Return the state of a job; raise `unknown_job` for none."""
        owned = self.ownership.owned.get(job)
        if owned is not None:
            return 'running' if owned.job.started else 'queued'
        finished = self.ownership.finished.get(job)
        if finished is not None:
            return finished.value
        record = await self._record(job)
        if record.over():
            return record.state.value
        return 'running' if record.done else 'queued'

    async def cancel(self, job: ids.JobId) -> None:
        """Cancel a job through any entry; raise `unknown_job` for none."""
        creating = self.creating.get(job)
        if creating is not None:
            await asyncio.wait((creating,), timeout=_LONGEST_WRITE)
        owned = self.ownership.owned.get(job)
        if owned is not None and await self.ownership.cancel(owned):
            return
        if job in self.ownership.finished:
            return
        record = await self._record(job)
        if not record.over():
            mark = store.Change(records.CANCELS + job, b'1')
            await self.stored.commit([mark])

    async def waiting(self, queue: str) -> int:
        """Return how many stored jobs of a queue have not begun."""
        now = clocks.now()
        if now - self.others_at > _COUNTS_PAUSE:
            found = await self.stored.list(records.WAITING)
            self.others = [
                counts
                for counts in map(_decode_counts, found)
                if counts is not None
            ]
            self.others_at = now
        present = self.owners.present()
        return self._waiting()[queue] + sum(
            counts.waiting.get(queue, 0)
            for counts in self.others
            if counts.owner in present
            and counts.owner != self.ownership.incarnation
        )

    async def follow_cancels(self) -> None:
        """Cancel jobs for which other entries took the request."""
        while True:
            await asyncio.sleep(_CANCELS_PAUSE)
            if not self.ownership.owned:
                continue
            try:
                found = await self.stored.list(records.CANCELS)
            except errors.PoplardrumError:
                # `Routes` logs the outage of the store.
                continue
            for item in found:
                self._cancelled(
                    ids.JobId(item.key.removeprefix(records.CANCELS))
                )

    async def publish_counts(self) -> None:
        """Tell other entries how many jobs wait here."""
        while True:
            await asyncio.sleep(_COUNTS_PAUSE)
            counts = dict(self._waiting())
            if counts == self.published:
                continue
            content = msgspec.json.encode(
                Counts(self.ownership.incarnation, counts),
            )
            key = records.WAITING + self.node
            try:
                await self.stored.commit([store.Change(key, content)])
            except errors.PoplardrumError:
                # Counts may be late, and `Routes` logs the outage.
                continue
            self.published = counts

    async def retire(self) -> None:
        """Remove records of jobs that have been over for long enough."""
        while True:
            await asyncio.sleep(_RETIRE_PAUSE)
            due = self.ownership.due(clocks.now() - self.kept_for)
            for start in range(0, len(due), _RETIRED_AT_ONCE):
                group = due[start : start + _RETIRED_AT_ONCE]
                changes = [
                    store.Change(records.key(job), None) for job in group
                ]
                try:
                    await self.stored.commit(changes)
                except errors.PoplardrumError:
                    # Records that stay cost room, nothing else.
                    log_events.emit(
                        logger, 'records not removed', jobs=len(group)
                    )

    def _cancelled(self, job: ids.JobId) -> None:
        owned = self.ownership.owned.get(job)
        if owned is not None and not owned.pending.cancelled:
            log_events.emit(logger, 'job cancelled elsewhere', job=job)
            self.ownership.spawn(self.ownership.cancel(owned))

    def _admit(self) -> None:
        if not self.ownership.in_force():
            raise _unavailable('this entry cannot own jobs now')
        if not self.ownership.writer.reachable:
            raise _unavailable('the store does not take records now')
        if len(self.ownership.owned) + len(self.creating) >= _MOST_OWNED:
            raise errors.refusal(
                errors.Code.overload,
                f'{_MOST_OWNED} jobs are not over here',
                _RETRY_AFTER,
            )

    async def _create(self, job: ids.JobId, record: records.Record) -> None:
        pending = self.ownership.writer.open(job, record)
        found = await self.ownership.writer.put(pending)
        if found is record_writer.Outcome.committed:
            started = takeover.job_of(job, record, self.ownership)
            self.ownership.own(started, pending)

    async def _record(self, job: ids.JobId) -> records.Record:
        try:
            item = await self.stored.get(records.key(job))
        except errors.PoplardrumError as error:
            raise _unavailable(error.message) from None
        record = records.decode(item.value) if item else None
        if record is None:
            raise errors.refusal(errors.Code.unknown_job, 'no such job')
        return record

    def _waiting(self) -> collections.Counter[str]:
        return collections.Counter(
            owned.job.queue
            for owned in self.ownership.owned.values()
            if not owned.job.started
        )


def _unavailable(message: str) -> errors.PoplardrumError:
    return errors.refusal(errors.Code.unavailable, message, _RETRY_AFTER)


def _decode_counts(item: store.StoredValue) -> Counts | None:
    try:
        return msgspec.json.decode(item.value, type=Counts)
    except ValueError:
        return None
