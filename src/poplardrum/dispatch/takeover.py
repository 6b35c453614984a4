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

_SCAN: typing.Final = 1.5
_LOOK_UP: typing.Final = 0.2
_LOOK_UPS: typing.Final = 20
# Another entry than the one whose turn it is waits this much longer.
_OUT_OF_TURN: typing.Final = 3.0
_MOST_AT_ONCE: typing.Final = 8


class Owners:
    """Process starts that own jobs and are not announced any more."""

    def __init__(self) -> None:
        """Start without members."""
        self.members: dict[str, membership.Member] = {}
        self.missing_since: dict[ids.Incarnation, float] = {}
        self.nodes: dict[ids.Incarnation, str] = {}

    def announce(self, members: dict[str, membership.Member]) -> None:
        """Take over all announced members by node."""
        self.members = members
        for node, member in members.items():
            self.nodes[member.incarnation] = node
            self.missing_since.pop(member.incarnation, None)

    def present(self) -> set[ids.Incarnation]:
        """Return the announced process starts."""
        return {member.incarnation for member in self.members.values()}

    def gone_for(self, owner: ids.Incarnation, now: float) -> float:
        """Return how long ago its tasks have ended for certain.

        Negative while they may still run. The node of an owner that has
        started again has no earlier process.
        """
        if owner in self.present():
            self.missing_since.pop(owner, None)
            return -timing.ABANDONED
        since = self.missing_since.setdefault(owner, now)
        restarted = self.nodes.get(owner) in self.members
        doubt = timing.IN_DOUBT if restarted else timing.ABANDONED
        return now - since - doubt

    def turn(self, job: ids.JobId) -> ids.Incarnation | None:
        """Return who takes over a job first."""
        return max(
            self.present(),
            key=lambda member: hashlib.sha256(
                f'{member}{job}'.encode(),
            ).digest(),
            default=None,
        )

    def forget(self, named: typing.Collection[ids.Incarnation]) -> None:
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
        owners: Owners,
    ) -> None:
        """Take jobs into `held`."""
        self.stored = stored
        self.ownership = held
        self.owners = owners
        self.random = random.Random()

    async def run(self) -> None:
        """Scan until cancelled."""
        while True:
            await asyncio.sleep(_SCAN * self.random.uniform(0.7, 1.3))
            if not self.ownership.in_force():
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

    async def look_up(self) -> None:
        """Find out about jobs of unacknowledged ends until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_UP)
            for job in self.ownership.take_unknown(_LOOK_UPS):
                # While the store is away the ends are told again.
                with contextlib.suppress(errors.PoplardrumError):
                    await self._look_up(job)

    async def _look_up(self, job: ids.JobId) -> None:
        record = await self._record(job)
        if record is None or record[0].over():
            self.ownership.forget(job)

    async def scan(self) -> None:
        """Take over what owners that are gone have left."""
        found = self._markers(await self.stored.list(records.WORK))
        if all(owner == self.ownership.incarnation for owner, _ in found):
            return
        # A watch may be deaf, so members are read anew.
        members = await self.stored.list(membership.PREFIX)
        self.owners.announce(membership.decode(members))
        self.owners.forget({owner for owner, _ in found})
        now = clocks.now()
        left = [
            (owner, job)
            for owner, job in found
            if self._takes(owner, job, now) and job not in self.ownership.owned
        ]
        for start in range(0, len(left), _MOST_AT_ONCE):
            group = left[start : start + _MOST_AT_ONCE]
            await asyncio.gather(*(self._take_over(*each) for each in group))

    def _markers(
        self,
        items: list[store.StoredValue],
    ) -> list[tuple[ids.Incarnation, ids.JobId]]:
        found = []
        for item in items:
            marker = records.parse_marker(item.key)
            if marker is not None:
                found.append(marker)
                self.owners.nodes[marker[0]] = item.value.decode(
                    'utf-8', 'replace'
                )
        return found

    def _takes(
        self,
        owner: ids.Incarnation,
        job: ids.JobId,
        now: float,
    ) -> bool:
        if owner == self.ownership.incarnation:
            return False
        gone = self.owners.gone_for(owner, now)
        if self.owners.turn(job) != self.ownership.incarnation:
            gone -= _OUT_OF_TURN
        return gone > 0

    async def _record(
        self,
        job: ids.JobId,
    ) -> tuple[records.Record, int] | None:
        item = await self.stored.get(records.key(job))
        record = records.decode(item.value) if item else None
        if item is None or record is None:
            return None
        return record, item.index

    async def _take_over(self, owner: ids.Incarnation, job: ids.JobId) -> None:
        """Take a job over if it still is of an owner that is gone."""
        marker = records.marker(owner, job)
        found = await self._record(job)
        if found is None or found[0].over() or found[0].owner != owner:
            # A marker that was left behind.
            await self.stored.commit([store.Change(marker, None)])
            return
        record, index = found
        cancelled = await self.stored.get(records.CANCELS + job) is not None
        taken = record.taken_by(self.ownership.incarnation)
        changes = [
            store.Change(records.key(job), records.encode(taken), index),
            store.Change(marker, None),
            store.Change(
                records.marker(self.ownership.incarnation, job),
                self.ownership.node.encode(),
            ),
        ]
        committed = await self.stored.commit(changes)
        if not committed.index or job in self.ownership.owned:
            return
        log_events.emit(
            logger,
            'job taken over',
            job=job,
            owner=owner,
            epoch=taken.epoch,
            done=len(taken.done),
            cancelled=cancelled,
        )
        pending = self.ownership.writer.open(job, taken, committed.index)
        owned = self.ownership.own(job_of(job, taken, self.ownership), pending)
        if cancelled:
            await self.ownership.cancel(owned)


def job_of(
    job: ids.JobId,
    record: records.Record,
    owner: jobs.JobOwner,
) -> jobs.Job:
    """Return a stored job as its owner starts with it."""
    loop = asyncio.get_running_loop()
    work = jobs.chain(record.steps)
    return jobs.Job(
        id=job,
        queue=record.queue,
        urgency=record.urgency,
        attempts=record.attempts,
        specification=record.specification,
        service=record.service,
        steps=record.steps,
        estimate=work,
        patience=0,
        work=work,
        predicted=False,
        tasks=record.tasks(),
        arrived=loop.time(),
        aim=record.aim,
        refuse_at=loop.time(),
        give_up_at=float('inf'),
        answer=loop.create_future(),
        owner=owner,
    )
