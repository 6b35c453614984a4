"""Takeover of stored jobs whose owners are gone."""

import asyncio
import contextlib
import hashlib
import logging
import random
import typing

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    clocks,
    jobs,
    membership,
    ownership,
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
        self.nodes: dict[ids.Incarnation, str] = {}

    def update_members(self, members: dict[str, membership.Member]) -> None:
        """Set all announced members, by node."""
        self.members = members
        for node, member in members.items():
            self.nodes[member.incarnation] = node
            self.missing_since.pop(member.incarnation, None)

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

    def preferred_owner(self, job: ids.JobId) -> ids.Incarnation | None:
        """Return the entry that may take over a job first."""
        return max(
            self.announced(),
            key=lambda member: hashlib.sha256(
                f'{member}{job}'.encode(),
            ).digest(),
            default=None,
        )

    def retain_only(self, owners: typing.Collection[ids.Incarnation]) -> None:
        """Remove all owners but these, which still have jobs.

        The nodes of announced entries are kept as well.
        """
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
            if not self.ownership.can_own_jobs():
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

    async def look_up_unclaimed(self) -> None:
        """Read the records of jobs with unclaimed completions, until cancelled.

        Completions of jobs that have finished or do not exist are
        acknowledged.
        """
        while True:
            await self.ownership.has_jobs_to_look_up.wait()
            await asyncio.sleep(_LOOKUP_INTERVAL_S)
            for job in self.ownership.pop_jobs_to_look_up(
                _MAX_LOOKUPS_PER_ROUND
            ):
                # If the store is unreachable, the agents send the completions
                # again.
                with contextlib.suppress(errors.PoplardrumError):
                    await self._look_up_job(job)

    async def _look_up_job(self, job: ids.JobId) -> None:
        record = await self._read_record(job)
        if record is None or record[0].is_over():
            self.ownership.acknowledge_unclaimed(job)

    async def scan(self) -> None:
        """Take over the jobs of owners that are gone."""
        markers = self._decode_markers(
            await self.store.list(records.OWNED_PREFIX)
        )
        if all(owner == self.ownership.incarnation for owner, _ in markers):
            return
        # A watch may silently deliver no changes, so the members are read here.
        members = await self.store.list(membership.PREFIX)
        self.owner_tracker.update_members(membership.decode(members))
        self.owner_tracker.retain_only({owner for owner, _ in markers})
        now = clocks.now()
        abandoned = [
            (owner, job)
            for owner, job in markers
            if self._can_take_over(owner, job, now)
            and job not in self.ownership.owned_jobs
        ]
        for start in range(0, len(abandoned), _MAX_CONCURRENT_TAKEOVERS):
            group = abandoned[start : start + _MAX_CONCURRENT_TAKEOVERS]
            await asyncio.gather(*(self._take_over(*each) for each in group))

    def _decode_markers(
        self,
        items: list[store.StoredValue],
    ) -> list[tuple[ids.Incarnation, ids.JobId]]:
        markers = []
        for item in items:
            marker = records.parse_marker_key(item.key)
            if marker is not None:
                markers.append(marker)
                self.owner_tracker.nodes[marker[0]] = item.value.decode(
                    'utf-8', 'replace'
                )
        return markers

    def _can_take_over(
        self,
        owner: ids.Incarnation,
        job: ids.JobId,
        now: float,
    ) -> bool:
        if owner == self.ownership.incarnation:
            return False
        gone_for = self.owner_tracker.gone_for(owner, now)
        if (
            self.owner_tracker.preferred_owner(job)
            != self.ownership.incarnation
        ):
            gone_for -= _FALLBACK_DELAY_S
        return gone_for > 0

    async def _read_record(
        self,
        job: ids.JobId,
    ) -> tuple[records.Record, int] | None:
        item = await self.store.get(records.record_key(job))
        record = records.decode(item.value) if item else None
        if item is None or record is None:
            return None
        return record, item.index

    async def _take_over(self, owner: ids.Incarnation, job: ids.JobId) -> None:
        """Take over a job if it still belongs to `owner`, which is gone."""
        marker = records.marker_key(owner, job)
        current = await self._read_record(job)
        if current is None or current[0].is_over() or current[0].owner != owner:
            # The marker is stale.
            await self.store.commit([store.Change(marker, None)])
            return
        record, index = current
        cancelled = (
            await self.store.get(records.CANCELS_PREFIX + job) is not None
        )
        new_record = record.with_next_owner(self.ownership.incarnation)
        changes = [
            store.Change(
                records.record_key(job), records.encode(new_record), index
            ),
            store.Change(marker, None),
            store.Change(
                records.marker_key(self.ownership.incarnation, job),
                self.ownership.node.encode(),
            ),
        ]
        result = await self.store.commit(changes)
        if not result.index or job in self.ownership.owned_jobs:
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
        pending = self.ownership.writer.open(job, new_record, result.index)
        owned = self.ownership.take_ownership(
            make_job(job, new_record, self.ownership), pending
        )
        if cancelled:
            await self.ownership.cancel(owned)


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
