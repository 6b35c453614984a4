"""Writes of job records, committed in groups."""

import asyncio
import contextlib
import dataclasses
import enum
import logging
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import records
from poplardrum.platform import store

logger = logging.getLogger(__name__)

# A transaction takes 32 rows; conditions, writes and removals count.
_MAX_TRANSACTION_ROWS: typing.Final = 32
# Rows of one record: its condition, its write, marker and cancel key.
_ROWS_PER_RECORD: typing.Final = 4
_MAX_RECORDS_PER_COMMIT: typing.Final = (
    _MAX_TRANSACTION_ROWS // _ROWS_PER_RECORD
)
# Share of the store's writing calls that all entries together use.
_STORE_CALL_SHARE: typing.Final = 0.6
_MIN_COMMIT_INTERVAL_S: typing.Final = 0.01
_RETRY_INTERVAL_S: typing.Final = 0.1


class WriteResult(enum.Enum):
    """What became of a change of a record."""

    committed = 'committed'
    taken_over = 'taken'


@dataclasses.dataclass
class PendingRecord:
    """One record as far as it is known to be stored.

    `revision` is 0 before it is created. `uncertain` means that a write
    without an answer may still be carried out. `node` is that of the owner.
    """

    job: ids.JobId
    record: records.Record
    revision: int = 0
    dirty: bool = False
    is_writing: bool = False
    uncertain: bool = False
    cancelled: bool = False
    node: str = ''
    waiters: list['asyncio.Future[WriteResult]'] = dataclasses.field(
        default_factory=list,
    )

    def changes(self) -> list[store.Change]:
        """Return the changes that store its present form."""
        marker = records.marker_key(self.record.owner, self.job)
        found = [
            store.Change(
                records.record_key(self.job),
                records.encode(self.record),
                self.revision,
            ),
        ]
        if self.record.is_over():
            found.append(store.Change(marker, None))
        elif not self.revision:
            found.append(store.Change(marker, self.node.encode()))
        if self.cancelled:
            found.append(store.Change(records.CANCELS_PREFIX + self.job, None))
        return found


class RecordWriter:
    """Keep the records of this entry's jobs stored.

    A record is written again when it changed, under the condition that it
    still is what this entry stored last; otherwise another entry has taken
    the job over.
    """

    def __init__(
        self,
        stored: store.RecordStore,
        writes_per_second: float,
        node: str,
    ) -> None:
        """Use at most a share of the store's calls; see `share`."""
        self.store = stored
        self.node = node
        self.writes_per_second = writes_per_second
        self.commit_interval = _MIN_COMMIT_INTERVAL_S
        self.open_records: dict[ids.JobId, PendingRecord] = {}
        self.dirty_records: dict[ids.JobId, PendingRecord] = {}
        self.has_dirty_records = asyncio.Event()
        self.store_reachable = True

    def set_entry_count(self, entries: int) -> None:
        """Share the store's calls with the other entries."""
        calls = _STORE_CALL_SHARE * self.writes_per_second / max(entries, 1)
        self.commit_interval = max(1 / calls, _MIN_COMMIT_INTERVAL_S)

    def open(
        self,
        job: ids.JobId,
        record: records.Record,
        revision: int = 0,
    ) -> PendingRecord:
        """Start to keep a record; `revision` is that of its last write."""
        pending = PendingRecord(job, record, revision, node=self.node)
        self.open_records[job] = pending
        return pending

    def close(self, pending: PendingRecord) -> None:
        """Keep a record no longer; waiters learn that it was taken."""
        if self.open_records.get(pending.job) is pending:
            self.open_records.pop(pending.job)
        self.dirty_records.pop(pending.job, None)
        _resolve_waiters(pending, WriteResult.taken_over)

    async def put(self, pending: PendingRecord) -> WriteResult:
        """Store the present form of a record; return when it is known."""
        waiter: asyncio.Future[WriteResult] = (
            asyncio.get_running_loop().create_future()
        )
        pending.waiters.append(waiter)
        pending.dirty = True
        self.dirty_records[pending.job] = pending
        self.has_dirty_records.set()
        return await waiter

    def withdraw(self, pending: PendingRecord) -> bool:
        """Give up a record that was not created.

        Return `False` if it may be stored or may still be.
        """
        if pending.is_writing or pending.uncertain or pending.revision:
            return False
        self.close(pending)
        return True

    async def run(self) -> None:
        """Commit changes until cancelled."""
        while True:
            await self.has_dirty_records.wait()
            group = list(self.dirty_records.values())[:_MAX_RECORDS_PER_COMMIT]
            if not group:
                self.has_dirty_records.clear()
                continue
            try:
                await self._commit(group)
            except errors.PoplardrumError as error:
                self._handle_failure(group, error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
            await asyncio.sleep(self.commit_interval)

    async def _commit(self, group: list[PendingRecord]) -> None:
        changes = []
        waiting = []
        for pending in group:
            self.dirty_records.pop(pending.job)
            pending.dirty = False
            pending.is_writing = True
            changes += pending.changes()
            # Later changes wait for a commit of their own.
            waiting.append((pending, pending.waiters))
            pending.waiters = []
        with contextlib.ExitStack() as stack:
            stack.callback(_clear_writing, group)
            try:
                found = await self.store.commit(changes)
            except errors.PoplardrumError:
                for pending, waiters in waiting:
                    pending.waiters = waiters + pending.waiters
                raise
        if not self.store_reachable:
            self.store_reachable = True
            log_events.emit(logger, 'records committed again')
        for pending, waiters in waiting:
            if found.index:
                pending.revision = found.index
                pending.uncertain = False
                _resolve(waiters, WriteResult.committed)
            else:
                pending.waiters = waiters + pending.waiters
                self._resolve_conflict(pending, found)

    def _resolve_conflict(
        self, pending: PendingRecord, found: store.CommitResult
    ) -> None:
        """Find out whether a record stood in the way of its group."""
        present = found.current_values.get(records.record_key(pending.job))
        index = present.index if present else 0
        if index != pending.revision:
            kept = records.decode(present.value) if present else None
            if kept is None or not kept.has_same_owner(pending.record):
                log_events.emit(
                    logger,
                    'record taken by another entry',
                    job=pending.job,
                    level=logging.WARNING,
                    revision=pending.revision,
                    present=index,
                )
                self.close(pending)
                return
            # An earlier write without an answer was carried out.
            pending.revision = index
        self._requeue(pending)

    def _handle_failure(
        self,
        group: list[PendingRecord],
        error: errors.PoplardrumError,
    ) -> None:
        lost = error.verdict is not errors.Verdict.not_run
        for pending in group:
            pending.uncertain = pending.uncertain or lost
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


def _resolve_waiters(pending: PendingRecord, outcome: WriteResult) -> None:
    waiters = pending.waiters
    pending.waiters = []
    _resolve(waiters, outcome)


def _resolve(
    waiters: list['asyncio.Future[WriteResult]'],
    outcome: WriteResult,
) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(outcome)
