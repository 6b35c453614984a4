"""Take over the stored jobs of entries that are gone."""

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
# Another entry than the one whose turn it is waits this much longer.
_FALLBACK_DELAY_S: typing.Final = 3.0
_MAX_CONCURRENT_TAKEOVERS: typing.Final = 8


class OwnerTracker:
    """Process starts that own jobs and are not announced any more."""

    def __init__(self) -> None:
        """Start without members."""
        self.members: dict[str, membership.Member] = {}
        self.missing_since: dict[ids.Incarnation, float] = {}
        self.nodes: dict[ids.Incarnation, str] = {}

    def update_members(self, members: dict[str, membership.Member]) -> None:
        """Take over all announced members by node."""
        self.members = members
        for node, member in members.items():
            self.nodes[member.incarnation] = node
            self.missing_since.pop(member.incarnation, None)

    def announced(self) -> set[ids.Incarnation]:
        """Return the announced process starts."""
        return {member.incarnation for member in self.members.values()}

    def gone_for(self, owner: ids.Incarnation, now: float) -> float:
        """Return how long ago its tasks have ended for certain.

        Negative while they may still run. The node of an owner that has
        started again has no earlier process.
        """
        if owner in self.announced():
            self.missing_since.pop(owner, None)
            return -timing.TAKEOVER_TIMEOUT_S
        since = self.missing_since.setdefault(owner, now)
        restarted = self.nodes.get(owner) in self.members
        doubt = (
            timing.LOST_AGENT_TIMEOUT_S
            if restarted
            else timing.TAKEOVER_TIMEOUT_S
        )
        return now - since - doubt

    def preferred_owner(self, job: ids.JobId) -> ids.Incarnation | None:
        """Return who takes over a job first."""
        return max(
            self.announced(),
            key=lambda member: hashlib.sha256(
                f'{member}{job}'.encode(),
            ).digest(),
            default=None,
        )

    def retain_only(self, named: typing.Collection[ids.Incarnation]) -> None:
        """Forget owners that no work is left of."""
        for owner in list(self.missing_since):
            if owner not in named:
                self.missing_since.pop(owner)
                self.nodes.pop(owner, None)


class Takeover:
    """Look for jobs without an owner, and for the jobs of unacknowledged ends."""

    def __init__(
        self,
        stored: store.RecordStore,
        held: ownership.Ownership,
        owners: OwnerTracker,
    ) -> None:
        """Take jobs into `held`."""
        self.store = stored
        self.ownership = held
        self.owner_tracker = owners
        self.random = random.Random()

    async def run(self) -> None:
        """Scan until cancelled."""
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
                    'work of others not read',
                    level=logging.WARNING,
                    why=error.message,
                )

    async def look_up_unclaimed(self) -> None:
        """Find out about jobs of unacknowledged ends until cancelled."""
        while True:
            await asyncio.sleep(_LOOKUP_INTERVAL_S)
            for job in self.ownership.pop_jobs_to_look_up(
                _MAX_LOOKUPS_PER_ROUND
            ):
                # While the store is away the ends are told again.
                with contextlib.suppress(errors.PoplardrumError):
                    await self._look_up_job(job)

    async def _look_up_job(self, job: ids.JobId) -> None:
        record = await self._read_record(job)
        if record is None or record[0].is_over():
            self.ownership.acknowledge_unclaimed(job)

    async def scan(self) -> None:
        """Take over what owners that are gone have left."""
        found = self._decode_markers(
            await self.store.list(records.OWNED_PREFIX)
        )
        if all(owner == self.ownership.incarnation for owner, _ in found):
            return
        # A watch may be deaf, so members are read anew.
        members = await self.store.list(membership.PREFIX)
        self.owner_tracker.update_members(membership.decode(members))
        self.owner_tracker.retain_only({owner for owner, _ in found})
        now = clocks.now()
        left = [
            (owner, job)
            for owner, job in found
            if self._can_take_over(owner, job, now)
            and job not in self.ownership.owned_jobs
        ]
        for start in range(0, len(left), _MAX_CONCURRENT_TAKEOVERS):
            group = left[start : start + _MAX_CONCURRENT_TAKEOVERS]
            await asyncio.gather(*(self._take_over(*each) for each in group))

    def _decode_markers(
        self,
        items: list[store.StoredValue],
    ) -> list[tuple[ids.Incarnation, ids.JobId]]:
        found = []
        for item in items:
            marker = records.parse_marker_key(item.key)
            if marker is not None:
                found.append(marker)
                self.owner_tracker.nodes[marker[0]] = item.value.decode(
                    'utf-8', 'replace'
                )
        return found

    def _can_take_over(
        self,
        owner: ids.Incarnation,
        job: ids.JobId,
        now: float,
    ) -> bool:
        if owner == self.ownership.incarnation:
            return False
        gone = self.owner_tracker.gone_for(owner, now)
        if (
            self.owner_tracker.preferred_owner(job)
            != self.ownership.incarnation
        ):
            gone -= _FALLBACK_DELAY_S
        return gone > 0

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
        """Take a job over if it still is of an owner that is gone."""
        marker = records.marker_key(owner, job)
        found = await self._read_record(job)
        if found is None or found[0].is_over() or found[0].owner != owner:
            # A marker that was left behind.
            await self.store.commit([store.Change(marker, None)])
            return
        record, index = found
        cancelled = (
            await self.store.get(records.CANCELS_PREFIX + job) is not None
        )
        taken = record.with_next_owner(self.ownership.incarnation)
        changes = [
            store.Change(records.record_key(job), records.encode(taken), index),
            store.Change(marker, None),
            store.Change(
                records.marker_key(self.ownership.incarnation, job),
                self.ownership.node.encode(),
            ),
        ]
        committed = await self.store.commit(changes)
        if not committed.index or job in self.ownership.owned_jobs:
            return
        log_events.emit(
            logger,
            'job taken over',
            job=job,
            owner=owner,
            epoch=taken.epoch,
            done=len(taken.done_tasks),
            cancelled=cancelled,
        )
        pending = self.ownership.writer.open(job, taken, committed.index)
        owned = self.ownership.take_ownership(
            make_job(job, taken, self.ownership), pending
        )
        if cancelled:
            await self.ownership.cancel(owned)


def make_job(
    job: ids.JobId,
    record: records.Record,
    owner: jobs.JobOwner,
) -> jobs.Job:
    """Return a stored job as its owner starts with it."""
    loop = asyncio.get_running_loop()
    work = jobs.critical_path_duration(record.steps)
    return jobs.Job(
        id=job,
        queue=record.queue,
        urgency=record.urgency,
        max_attempts=record.max_attempts,
        specification=record.specification,
        service=record.service,
        steps=record.steps,
        estimate=work,
        client_timeout=0,
        predicted_duration=work,
        has_prediction=False,
        tasks=record.make_tasks(),
        arrived_at=loop.time(),
        target_latency=record.target_latency,
        refuse_at=loop.time(),
        deadline=float('inf'),
        outcome=loop.create_future(),
        owner=owner,
    )
