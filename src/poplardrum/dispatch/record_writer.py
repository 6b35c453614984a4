"""Write job records to the store, several per transaction."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import logging
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import records
from poplardrum.platform import store

logger = logging.getLogger(__name__)

# The store accepts at most 32 rows per transaction. Conditions, writes and
# removals each count as a row.
_MAX_TRANSACTION_ROWS: typing.Final = 32
# The condition, the record, its ownership marker and its cancel request.
_ROWS_PER_RECORD: typing.Final = 4
_MAX_RECORDS_PER_COMMIT: typing.Final = (
    _MAX_TRANSACTION_ROWS // _ROWS_PER_RECORD
)
# Fraction of the store's write rate that all entries may use together.
_WRITE_RATE_FRACTION: typing.Final = 0.6
_MIN_COMMIT_INTERVAL_S: typing.Final = 0.01
_RETRY_INTERVAL_S: typing.Final = 0.1
_WRITE_POLL_INTERVAL_S: typing.Final = 0.005
# While commits fail and none is left to try again, the store is asked for a key
# that no record has.
_PROBE_INTERVAL_S: typing.Final = 0.5
_PROBE_KEY: typing.Final = records.JOBS_PREFIX


class WriteResult(enum.Enum):
    """Result of a write.

    It is committed, the record has another owner, or nothing was or will be
    written.
    """

    committed = 'committed'
    taken_over = 'taken'
    withdrawn = 'withdrawn'


@dataclasses.dataclass
class PendingRecord:
    """A record, and what is known of its stored version.

    `revision` is that of the last known write, 0 before the first. The
    record is `uncertain` while an unanswered write may still take
    effect. `node` is that of the owner. `has_begun` is set once a task of the
    job has started. `stored_marker` is the last known content of the marker. A record
    that `is_released` waits for its next owner.
    """

    job: ids.JobId
    record: records.Record
    revision: int = 0
    dirty: bool = False
    is_writing: bool = False
    uncertain: bool = False
    cancelled: bool = False
    node: str = ''
    has_begun: bool = False
    stored_marker: bytes | None = None
    is_released: bool = False
    waiters: list['asyncio.Future[WriteResult]'] = dataclasses.field(
        default_factory=list,
    )

    def may_have_written(self, stored_record: records.Record) -> bool:
        """Return whether a stored record may be of an unanswered write.

        A job that is over here may be active there, but not the reverse.
        """
        return stored_record.has_same_owner(self.record) and (
            self.record.is_over() or not stored_record.is_over()
        )

    def is_waiting(self) -> bool:
        """Return whether the job is stored and no task of it has started."""
        return bool(self.revision) and not (
            self.has_begun or self.record.is_over()
        )

    def marker_content(self) -> bytes:
        """Return what the marker is to say now."""
        return records.encode_marker(
            records.MarkerContent(
                self.node, self.record.queue, self.has_begun, self.is_released
            )
        )

    def changes(self) -> list[store.Change]:
        """Return the changes that store the current record."""
        marker = records.marker_key(self.record.owner, self.job)
        pending_changes = [
            store.Change(
                records.record_key(self.job),
                records.encode(self.record),
                self.revision,
            ),
        ]
        if self.record.is_over():
            pending_changes.append(store.Change(marker, None))
        elif self.marker_content() != self.stored_marker:
            pending_changes.append(store.Change(marker, self.marker_content()))
        if self.cancelled:
            pending_changes.append(
                store.Change(records.CANCELS_PREFIX + self.job, None)
            )
        return pending_changes


class RecordWriter:
    """Keep the stored records of this entry's jobs up to date.

    A changed record is written on the condition that the stored one is still
    that of this entry's last write. Otherwise another entry has taken over
    the job.
    """

    def __init__(
        self,
        record_store: store.RecordStore,
        writes_per_second: float,
        node: str,
    ) -> None:
        """Use part of `writes_per_second`; see `set_entry_count`."""
        self.store = record_store
        self.node = node
        self.writes_per_second = writes_per_second
        self.commit_interval = _MIN_COMMIT_INTERVAL_S
        self.open_records: dict[ids.JobId, PendingRecord] = {}
        self.dirty_records: dict[ids.JobId, PendingRecord] = {}
        # Changed records that nobody waits for: they fill up transactions.
        self.background_records: dict[ids.JobId, PendingRecord] = {}
        self.has_dirty_records = asyncio.Event()
        self.store_reachable = True

    def set_entry_count(self, entry_count: int) -> None:
        """Divide the write rate evenly between all entries."""
        commits_per_second = (
            _WRITE_RATE_FRACTION * self.writes_per_second / max(entry_count, 1)
        )
        self.commit_interval = max(
            1 / commits_per_second, _MIN_COMMIT_INTERVAL_S
        )

    def open(
        self,
        job: ids.JobId,
        record: records.Record,
        revision: int = 0,
    ) -> PendingRecord:
        """Start tracking a record; `revision` is that of its last write."""
        pending = PendingRecord(job, record, revision, node=self.node)
        self.track(pending)
        return pending

    def track(self, pending: PendingRecord) -> None:
        """Start tracking a record."""
        self.open_records[pending.job] = pending

    def close(
        self,
        pending: PendingRecord,
        result: WriteResult = WriteResult.taken_over,
    ) -> None:
        """Stop tracking a record; waiters get a result."""
        if self.open_records.get(pending.job) is pending:
            self.open_records.pop(pending.job)
        self.dirty_records.pop(pending.job, None)
        self.background_records.pop(pending.job, None)
        _resolve_waiters(pending, result)

    async def put(
        self, pending: PendingRecord, *, in_background: bool = False
    ) -> WriteResult:
        """Write the current record; return once the result is known.

        Writes `in_background` come after all others.
        """
        waiter: asyncio.Future[WriteResult] = (
            asyncio.get_running_loop().create_future()
        )
        pending.waiters.append(waiter)
        pending.dirty = True
        queue = self.background_records if in_background else self.dirty_records
        queue[pending.job] = pending
        self.has_dirty_records.set()
        return await waiter

    def withdraw(self, pending: PendingRecord) -> bool:
        """Stop tracking a record that was never stored.

        Return `False` if it is stored, or may be stored later.
        """
        if pending.is_writing or pending.uncertain or pending.revision:
            return False
        self.close(pending, WriteResult.withdrawn)
        return True

    async def withdraw_after_write(
        self, job: ids.JobId, timeout_s: float
    ) -> None:
        """Withdraw a record; first wait for a write of it that is under way."""
        pending = self.open_records.get(job)
        if pending is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while pending.is_writing:
                    await asyncio.sleep(_WRITE_POLL_INTERVAL_S)
        self.withdraw(pending)

    async def run(self) -> None:
        """Commit changed records until cancelled."""
        while True:
            await self._wait_for_records()
            group = self._next_group()
            if not group:
                self.has_dirty_records.clear()
                continue
            try:
                await self._commit(group)
            except errors.PoplardrumError as error:
                self._handle_failure(group, error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
            await asyncio.sleep(self.commit_interval)

    async def _wait_for_records(self) -> None:
        """Wait for a record to commit; find out when the store is back.

        New jobs are refused until then, so no commit of theirs could.
        """
        while not (self.store_reachable or self.has_dirty_records.is_set()):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PROBE_INTERVAL_S):
                    await self.has_dirty_records.wait()
                    return
            await self._probe()
        await self.has_dirty_records.wait()

    async def _probe(self) -> None:
        try:
            await self.store.get(_PROBE_KEY)
        except errors.PoplardrumError:
            # `_handle_failure` has logged that the store is unreachable.
            return
        self._record_reachable('store answers again')

    def _record_reachable(self, event: str) -> None:
        if not self.store_reachable:
            self.store_reachable = True
            log_events.emit(logger, event)

    def _next_group(self) -> list[PendingRecord]:
        in_order = itertools.chain(
            self.dirty_records.values(),
            (
                pending
                for job, pending in self.background_records.items()
                if job not in self.dirty_records
            ),
        )
        return list(itertools.islice(in_order, _MAX_RECORDS_PER_COMMIT))

    async def _commit(self, group: list[PendingRecord]) -> None:
        changes = []
        waiting = []
        for pending in group:
            self.dirty_records.pop(pending.job, None)
            self.background_records.pop(pending.job, None)
            pending.dirty = False
            pending.is_writing = True
            changes += pending.changes()
            # Callers of `put` during the commit wait for the next one.
            waiting.append((pending, pending.marker_content(), pending.waiters))
            pending.waiters = []
        with contextlib.ExitStack() as stack:
            stack.callback(_clear_writing, group)
            try:
                result = await self.store.commit(changes)
            except errors.PoplardrumError:
                for pending, _, waiters in waiting:
                    pending.waiters = waiters + pending.waiters
                raise
        self._record_reachable('records committed again')
        for pending, marker_content, waiters in waiting:
            if result.index:
                pending.revision = result.index
                pending.uncertain = False
                pending.stored_marker = marker_content
                _resolve(waiters, WriteResult.committed)
            else:
                pending.waiters = waiters + pending.waiters
                self._resolve_conflict(pending, result)

    def _resolve_conflict(
        self, pending: PendingRecord, result: store.CommitResult
    ) -> None:
        """Drop a record that has another owner; queue any other again."""
        current = result.current_values.get(records.record_key(pending.job))
        index = current.index if current else 0
        if index != pending.revision:
            current_record = records.decode(current.value) if current else None
            if current_record is None or not pending.may_have_written(
                current_record
            ):
                log_events.emit(
                    logger,
                    'record owned by another entry',
                    job=pending.job,
                    level=logging.WARNING,
                    revision=pending.revision,
                    present=index,
                )
                self.close(pending)
                return
            # An earlier unanswered write has taken effect.
            pending.revision = index
        self._requeue(pending)

    def _handle_failure(
        self,
        group: list[PendingRecord],
        error: errors.PoplardrumError,
    ) -> None:
        may_have_run = error.verdict is not errors.Verdict.not_run
        for pending in group:
            pending.uncertain = pending.uncertain or may_have_run
            self._requeue(pending)
        if self.store_reachable:
            self.store_reachable = False
            log_events.emit(
                logger,
                'records not committed',
                level=logging.WARNING,
                records=len(self.dirty_records),
                why=error.message,
            )

    def _requeue(self, pending: PendingRecord) -> None:
        if self.open_records.get(pending.job) is not pending:
            return
        pending.dirty = True
        self.dirty_records[pending.job] = pending
        self.has_dirty_records.set()


def _clear_writing(group: list[PendingRecord]) -> None:
    for pending in group:
        pending.is_writing = False


def _resolve_waiters(pending: PendingRecord, result: WriteResult) -> None:
    waiters = pending.waiters
    pending.waiters = []
    _resolve(waiters, result)


def _resolve(
    waiters: list['asyncio.Future[WriteResult]'],
    result: WriteResult,
) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(result)
