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
_MOST_ROWS: typing.Final = 32
# Rows of one record: its condition, its write, marker and cancel key.
_ROWS: typing.Final = 4
_GROUP: typing.Final = _MOST_ROWS // _ROWS
# Share of the store's writing calls that all entries together use.
_SHARE: typing.Final = 0.6
_LEAST_PAUSE: typing.Final = 0.01
_RETRY: typing.Final = 0.1


class Outcome(enum.Enum):
    """What became of a change of a record."""

    committed = 'committed'
    taken = 'taken'


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
    writing: bool = False
    uncertain: bool = False
    cancelled: bool = False
    node: str = ''
    waiters: list['asyncio.Future[Outcome]'] = dataclasses.field(
        default_factory=list,
    )

    def changes(self) -> list[store.Change]:
        """Return the changes that store its present form."""
        marker = records.marker(self.record.owner, self.job)
        found = [
            store.Change(
                records.key(self.job),
                records.encode(self.record),
                self.revision,
            ),
        ]
        if self.record.over():
            found.append(store.Change(marker, None))
        elif not self.revision:
            found.append(store.Change(marker, self.node.encode()))
        if self.cancelled:
            found.append(store.Change(records.CANCELS + self.job, None))
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
        self.stored = stored
        self.node = node
        self.writes_per_second = writes_per_second
        self.pause = _LEAST_PAUSE
        self.open_records: dict[ids.JobId, PendingRecord] = {}
        self.dirty: dict[ids.JobId, PendingRecord] = {}
        self.work = asyncio.Event()
        self.reachable = True

    def share(self, entries: int) -> None:
        """Share the store's calls with the other entries."""
        calls = _SHARE * self.writes_per_second / max(entries, 1)
        self.pause = max(1 / calls, _LEAST_PAUSE)

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
        self.dirty.pop(pending.job, None)
        _wake(pending, Outcome.taken)

    async def put(self, pending: PendingRecord) -> Outcome:
        """Store the present form of a record; return when it is known."""
        waiter: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        pending.waiters.append(waiter)
        pending.dirty = True
        self.dirty[pending.job] = pending
        self.work.set()
        return await waiter

    def withdraw(self, pending: PendingRecord) -> bool:
        """Give up a record that was not created.

        Return `False` if it may be stored or may still be.
        """
        if pending.writing or pending.uncertain or pending.revision:
            return False
        self.close(pending)
        return True

    async def run(self) -> None:
        """Commit changes until cancelled."""
        while True:
            await self.work.wait()
            group = list(self.dirty.values())[:_GROUP]
            if not group:
                self.work.clear()
                continue
            try:
                await self._commit(group)
            except errors.PoplardrumError as error:
                self._failed(group, error)
                await asyncio.sleep(_RETRY)
            await asyncio.sleep(self.pause)

    async def _commit(self, group: list[PendingRecord]) -> None:
        changes = []
        waiting = []
        for pending in group:
            self.dirty.pop(pending.job)
            pending.dirty = False
            pending.writing = True
            changes += pending.changes()
            # Later changes wait for a commit of their own.
            waiting.append((pending, pending.waiters))
            pending.waiters = []
        with contextlib.ExitStack() as stack:
            stack.callback(_written, group)
            try:
                found = await self.stored.commit(changes)
            except errors.PoplardrumError:
                for pending, waiters in waiting:
                    pending.waiters = waiters + pending.waiters
                raise
        if not self.reachable:
            self.reachable = True
            log_events.emit(logger, 'records committed again')
        for pending, waiters in waiting:
            if found.index:
                pending.revision = found.index
                pending.uncertain = False
                _tell(waiters, Outcome.committed)
            else:
                pending.waiters = waiters + pending.waiters
                self._compare(pending, found)

    def _compare(self, pending: PendingRecord, found: store.Commit) -> None:
        """Find out whether a record stood in the way of its group."""
        present = found.present.get(records.key(pending.job))
        index = present.index if present else 0
        if index != pending.revision:
            kept = records.decode(present.value) if present else None
            if kept is None or not kept.same_owner(pending.record):
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
        self._again(pending)

    def _failed(
        self,
        group: list[PendingRecord],
        error: errors.PoplardrumError,
    ) -> None:
        lost = error.verdict is not errors.Verdict.not_run
        for pending in group:
            pending.uncertain = pending.uncertain or lost
            self._again(pending)
        if self.reachable:
            self.reachable = False
            log_events.emit(
                logger,
                'records not committed',
                level=logging.WARNING,
                records=len(self.dirty),
                why=error.message,
            )

    def _again(self, pending: PendingRecord) -> None:
        if self.open_records.get(pending.job) is not pending:
            return
        pending.dirty = True
        self.dirty[pending.job] = pending
        self.work.set()


def _written(group: list[PendingRecord]) -> None:
    for pending in group:
        pending.writing = False


def _wake(pending: PendingRecord, outcome: Outcome) -> None:
    waiters = pending.waiters
    pending.waiters = []
    _tell(waiters, outcome)


def _tell(
    waiters: list['asyncio.Future[Outcome]'],
    outcome: Outcome,
) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(outcome)
