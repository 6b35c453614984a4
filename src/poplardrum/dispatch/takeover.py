"""Takeover of stored jobs whose owners are gone."""

import asyncio
import contextlib
import hashlib
import logging
import math
import random
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    clocks,
    fleet,
    jobs,
    membership,
    ownership,
    record_writer,
    records,
    timing,
)
from poplardrum.platform import store

logger = logging.getLogger(__name__)

_SCAN_INTERVAL_S: typing.Final = 1.5
_LOOKUP_INTERVAL_S: typing.Final = 0.2
_MAX_LOOKUPS_PER_ROUND: typing.Final = 20
# An entry that is not the preferred owner of a job waits this much longer.
_FALLBACK_DELAY_S: typing.Final = 3.0
_MAX_CONCURRENT_TAKEOVERS: typing.Final = 8


class OwnerTracker:
    """Track which owners are announced, and since when others are not."""

    def __init__(self) -> None:
        """Create a tracker without members."""
        self.members: dict[str, membership.Member] = {}
        self.missing_since: dict[ids.Incarnation, float] = {}
        # Since when jobs that wait for a takeover are known to be released.
        self.released_since: dict[ids.JobId, float] = {}
        self.last_read_at = -math.inf
        self.nodes: dict[ids.Incarnation, str] = {}

    def update_members(self, members: dict[str, membership.Member]) -> None:
        """Set all announced members, by node."""
        self.members = members
        for node, member in members.items():
            self.nodes[member.incarnation] = node
            self.missing_since.pop(member.incarnation, None)

    def begin_read(self, now: float) -> None:
        """Begin a read of the members.

        After a long time without one it is not known which owners have been
        announced meanwhile, and may run their jobs.
        """
        if now - self.last_read_at > timing.OWNERSHIP_TIMEOUT_S:
            self.missing_since.clear()
        self.last_read_at = now

    def announced(self) -> set[ids.Incarnation]:
        """Return the incarnations of all announced entries."""
        return {member.incarnation for member in self.members.values()}

    def gone_for(self, owner: ids.Incarnation, now: float) -> float:
        """Return for how long all tasks of an owner have certainly ended.

        The time is negative while some may still run. An owner whose node
        has announced a later incarnation is certainly gone itself, so only
        agents without a connection may still run its tasks.
        """
        if owner in self.announced():
            self.missing_since.pop(owner, None)
            return -timing.TAKEOVER_TIMEOUT_S
        since = self.missing_since.setdefault(owner, now)
        restarted = self.nodes.get(owner) in self.members
        timeout = (
            timing.LOST_AGENT_TIMEOUT_S
            if restarted
            else timing.TAKEOVER_TIMEOUT_S
        )
        return now - since - timeout

    def released_for(self, job: ids.JobId, now: float) -> float:
        """Return for how long the owner of a job is known to have released it."""
        return now - self.released_since.setdefault(job, now)

    def preferred_owner(
        self, job: ids.JobId, owner: ids.Incarnation | None = None
    ) -> ids.Incarnation | None:
        """Return the entry that may take over a job of `owner` first."""
        return max(
            self.announced().difference((owner,)),
            key=lambda member: hashlib.sha256(
                f'{member}{job}'.encode(),
            ).digest(),
            default=None,
        )

    def retain_only(
        self,
        owners: typing.Collection[ids.Incarnation],
        released_jobs: typing.Collection[ids.JobId] = (),
    ) -> None:
        """Remove all owners but these, which still have jobs.

        The nodes of announced entries are kept as well. Of the jobs, only those that
        are still released are kept.
        """
        for job in set(self.released_since).difference(released_jobs):
            self.released_since.pop(job)
        for owner in set(self.missing_since).difference(owners):
            self.missing_since.pop(owner)
        for owner in set(self.nodes).difference(owners, self.announced()):
            self.nodes.pop(owner)


class Takeover:
    """Take over jobs whose owners are gone; resolve unclaimed completions."""

    def __init__(
        self,
        record_store: store.RecordStore,
        job_ownership: ownership.Ownership,
        owner_tracker: OwnerTracker,
    ) -> None:
        """Take over jobs into `job_ownership`."""
        self.store = record_store
        self.ownership = job_ownership
        self.owner_tracker = owner_tracker
        self.random = random.Random()

    async def run(self) -> None:
        """Scan for jobs to take over until cancelled."""
        while True:
            await asyncio.sleep(
                _SCAN_INTERVAL_S * self.random.uniform(0.7, 1.3)
            )
            if not self._may_scan():
                continue
            try:
                await self.scan()
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger,
                    'cannot read jobs of other entries',
                    level=logging.WARNING,
                    why=error.message,
                )

    def _may_scan(self) -> bool:
        """Return whether this entry can run jobs that it takes over.

        Its agents must have had the time to report what has completed there.
        """
        agents = self.ownership.coordinator.agents.values()
        return self.ownership.can_own_jobs() and fleet.has_settled_links(
            agents, clocks.now()
        )

    async def look_up_unclaimed(self) -> None:
        """Read the records of jobs with unclaimed completions, until cancelled.

        Completions of jobs that have finished or do not exist are answered.
        """
        while True:
            await self.ownership.unclaimed.has_jobs_to_look_up.wait()
            await asyncio.sleep(_LOOKUP_INTERVAL_S)
            for job in self.ownership.unclaimed.pop_jobs_to_look_up(
                _MAX_LOOKUPS_PER_ROUND
            ):
                # If the store is unreachable, the agents send the completions
                # again.
                with contextlib.suppress(errors.PoplardrumError):
                    await self._look_up_job(job)

    async def _look_up_job(self, job: ids.JobId) -> None:
        record = await self._read_record(job)
        if record is None:
            self.ownership.unclaimed.acknowledge(job)
        elif record[0].is_over():
            self.ownership.unclaimed.settle(job, record[0])

    async def scan(self) -> None:
        """Take over the jobs of owners that are gone.

        A job of this entry that does not run here is taken over as well: the
        write that made this entry the owner had no answer.
        """
        markers = self._decode_markers(
            await self.store.list(records.OWNED_PREFIX)
        )
        self.owner_tracker.retain_only(
            {marker.owner for marker in markers},
            {marker.job for marker in markers if marker.content.is_released},
        )
        if any(marker.owner != self._incarnation() for marker in markers):
            # A watch may silently deliver no changes, so the members are read
            # here.
            requested_at = clocks.now()
            members = await self.store.list(membership.PREFIX)
            self.owner_tracker.begin_read(requested_at)
            self.owner_tracker.update_members(membership.decode(members))
        now = clocks.now()
        abandoned = [
            marker for marker in markers if self._can_take_over(marker, now)
        ]
        for start in range(0, len(abandoned), _MAX_CONCURRENT_TAKEOVERS):
            group = abandoned[start : start + _MAX_CONCURRENT_TAKEOVERS]
            await asyncio.gather(*map(self._take_over, group))

    def _incarnation(self) -> ids.Incarnation:
        return self.ownership.incarnation

    def _decode_markers(
        self, items: list[store.StoredValue]
    ) -> list[records.Marker]:
        markers = []
        for item in items:
            marker = records.parse_marker(item)
            if marker is not None:
                markers.append(marker)
                self.owner_tracker.nodes[marker.owner] = marker.content.node
        return markers

    def _can_take_over(self, marker: records.Marker, now: float) -> bool:
        if self.ownership.is_leaving or self.ownership.has_record(marker.job):
            return False
        if marker.owner == self._incarnation():
            return True
        gone_for = self.owner_tracker.gone_for(marker.owner, now)
        if marker.content.is_released:
            gone_for = self.owner_tracker.released_for(marker.job, now)
        preferred = self.owner_tracker.preferred_owner(marker.job, marker.owner)
        if preferred != self._incarnation():
            gone_for -= _FALLBACK_DELAY_S
        return gone_for >= 0

    async def _read_record(
        self,
        job: ids.JobId,
    ) -> tuple[records.Record, int] | None:
        item = await self.store.get(records.record_key(job))
        record = records.decode(item.value) if item else None
        if item is None or record is None:
            return None
        return record, item.index

    async def _take_over(self, marker: records.Marker) -> None:
        """Take over a job if it still belongs to the owner of its marker."""
        owner, job = marker.owner, marker.job
        current = await self._read_record(job)
        if self.ownership.has_record(job):
            return
        if current is None or current[0].is_over() or current[0].owner != owner:
            await self.store.commit([_removal(marker)])
            return
        checked_at = clocks.now()
        cancelled = (
            await self.store.get(records.CANCELS_PREFIX + job) is not None
        )
        new_record = current[0].with_next_owner(self._incarnation())
        pending = record_writer.PendingRecord(
            job,
            new_record,
            current[1],
            node=self.ownership.node,
            has_begun=marker.content.has_begun or new_record.has_begun(),
        )
        index = await self._commit_owner(marker, pending)
        if not index or self.ownership.has_record(job):
            return
        log_events.emit(
            logger,
            'job taken over',
            job=job,
            owner=owner,
            epoch=new_record.epoch,
            done=len(new_record.done_tasks),
            cancelled=cancelled,
        )
        pending.revision = index
        self.ownership.writer.track(pending)
        owned = self.ownership.take_ownership(
            make_job(job, new_record, self.ownership), pending, checked_at
        )
        if cancelled:
            await self.ownership.cancel(owned)

    async def _commit_owner(
        self, marker: records.Marker, pending: record_writer.PendingRecord
    ) -> int:
        """Store a record that names this entry; return its index or 0.

        If the commit has no answer, the next scan finds out what the store
        has: the marker of the earlier owner, or one of this entry.
        """
        changes = [
            store.Change(
                records.record_key(marker.job),
                records.encode(pending.record),
                pending.revision,
            ),
        ]
        if marker.owner != self._incarnation():
            pending.stored_marker = pending.marker_content()
            new_marker = store.Change(
                records.marker_key(self._incarnation(), marker.job),
                pending.stored_marker,
            )
            changes += [_removal(marker), new_marker]
        try:
            return (await self.store.commit(changes)).index
        except errors.PoplardrumError as error:
            log_events.emit(
                logger,
                'job not taken over',
                job=marker.job,
                level=logging.WARNING,
                owner=marker.owner,
                verdict=error.verdict.value,
            )
            raise


def _removal(marker: records.Marker) -> store.Change:
    """Return the removal of a marker unless it was written again."""
    marker_key = records.marker_key(marker.owner, marker.job)
    return store.Change(marker_key, None, marker.written_at)


def make_job(
    job: ids.JobId,
    record: records.Record,
    owner: jobs.JobOwner,
) -> jobs.Job:
    """Return a job in the state in which its owner starts it."""
    loop = asyncio.get_running_loop()
    duration = jobs.critical_path_duration(record.steps)
    return jobs.Job(
        id=job,
        queue=record.queue,
        urgency=record.urgency,
        max_attempts=record.max_attempts,
        specification=record.specification,
        service=record.service,
        steps=record.steps,
        estimate=duration,
        client_timeout=0,
        predicted_duration=duration,
        has_prediction=False,
        tasks=record.make_tasks(),
        arrived_at=loop.time(),
        target_latency=record.target_latency,
        refuse_at=loop.time(),
        deadline=float('inf'),
        outcome=loop.create_future(),
        owner=owner,
    )
