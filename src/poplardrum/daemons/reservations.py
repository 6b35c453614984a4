"""Reservations of a coordinator at workers without a free slot (pure).

Reservations that are of no use any more are dropped at the worker by a
`Release` that rides with the next other item to it.
"""

import math
import typing

from poplardrum import ids
from poplardrum.daemons import job as jobs
from poplardrum.peers import messages
from poplardrum.scheduling import placement

# Two workers a task let the one that frees a slot first take it.
_PROBE_RATIO: typing.Final = 2
# A worker drops its reservations while its endpoint is away, and a count
# runs out when tasks come back; the next message sets both right.
_RENEWAL_INTERVAL_S: typing.Final = 5.0


class Reservations:
    """Know which workers were asked to claim tasks of which job."""

    def __init__(self) -> None:
        """Start without reservations."""
        self.unused: dict[ids.MemberId, set[ids.JobId]] = {}

    def extend(
        self,
        job: jobs.Job,
        candidates: typing.Iterable[placement.Candidate],
        now: float,
    ) -> list[tuple[ids.MemberId, messages.Reserve]]:
        """Return the reservations to add for the waiting tasks of a job.

        The counts add up to twice the waiting tasks, so that a worker that
        is faster than believed claims more of them.
        """
        usable = {
            candidate.worker: candidate
            for candidate in candidates
            if candidate.usable
        }
        for worker, reserved in list(job.reservations.items()):
            renew = now - reserved.sent_at > _RENEWAL_INTERVAL_S
            if renew or reserved.unclaimed <= 0 or worker not in usable:
                job.reservations.pop(worker)
        missing = max(_PROBE_RATIO, len(job.waiting)) - len(job.reservations)
        unasked = [
            candidate
            for worker, candidate in usable.items()
            if worker not in job.reservations
        ]
        if missing <= 0 or not unasked:
            return []
        unasked.sort(key=_wait)
        chosen = unasked[:missing]
        total = sum(map(_weight, usable.values()))
        added = []
        for candidate in chosen:
            part = _PROBE_RATIO * len(job.waiting) * _weight(candidate) / total
            item = build_reserve(job, math.ceil(part), now)
            job.reservations[candidate.worker] = jobs.SentReservation(
                now, item.count
            )
            self.unused.get(candidate.worker, set()).discard(job.id)
            added.append((candidate.worker, item))
        return added

    def mark_unused(self, job: jobs.Job) -> None:
        """Mark the reservations of a job without waiting tasks as unused."""
        for worker in job.reservations:
            self.unused.setdefault(worker, set()).add(job.id)
        job.reservations.clear()

    def pop_release(self, worker: ids.MemberId) -> messages.Release | None:
        """Return the release to send along to a worker, once."""
        found = self.unused.pop(worker, None)
        return messages.Release(sorted(found)) if found else None

    def worker_lost(
        self,
        worker: ids.MemberId,
        running: typing.Iterable[jobs.Job],
    ) -> None:
        """Forget a worker that has dropped its reservations itself."""
        self.unused.pop(worker, None)
        for job in running:
            job.reservations.pop(worker, None)


def count_claim(job: jobs.Job | None, worker: ids.MemberId) -> None:
    """Count a claim against the reservation that allowed it."""
    reserved = job.reservations.get(worker) if job else None
    if reserved is not None:
        reserved.unclaimed -= 1


def build_reserve(
    job: jobs.Job,
    count: int,
    now: float,
) -> messages.Reserve:
    """Build the message that lets a worker claim `count` tasks."""
    times = [job.expected_s[position] for position in job.waiting]
    return messages.Reserve(
        job=job.id,
        tenant=job.submission.tenant,
        urgency=job.submission.urgency,
        order=job.order - now,
        count=count,
        expected_ms=1000 * sum(times) / len(times),
    )


def best_waiting(
    running: typing.Mapping[ids.JobId, jobs.Job],
    tenant: ids.TenantName,
) -> jobs.Job | None:
    """Return the job whose task answers a claim.

    The tenant of the claimed job goes first, since its turn has come in the
    worker's queue; `None` means that no task waits here.
    """
    waiting = [found for found in running.values() if found.waiting]
    mine = [found for found in waiting if found.submission.tenant == tenant]
    return min(mine or waiting, key=_rank, default=None)


def _rank(job: jobs.Job) -> tuple[int, float]:
    return job.rank


def _wait(candidate: placement.Candidate) -> float:
    return candidate.expected_wait()


def _weight(candidate: placement.Candidate) -> float:
    return candidate.slots * candidate.speed
