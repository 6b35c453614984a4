"""Reservations of a coordinator at workers without a free slot, no I/O.

Reservations that are no longer needed are released at the worker by a
`Release` that is sent together with the next other item to it.
"""

import math
import typing

from poplardrum import ids
from poplardrum.daemons import job as jobs
from poplardrum.peers import messages
from poplardrum.scheduling import placement

# Claims that are allowed per waiting task, and the least number of workers:
# of two workers, the one that is free first claims the task.
_PROBE_RATIO: typing.Final = 2
# A worker drops its reservations while its endpoint is unavailable, and a
# count runs out when tasks are returned; a renewed reservation corrects both.
_RENEWAL_INTERVAL_S: typing.Final = 5.0


class Reservations:
    """Reservations that were sent to workers, and those to be released."""

    def __init__(self) -> None:
        """Create the table without reservations."""
        self.unused: dict[ids.MemberId, set[ids.JobId]] = {}

    def extend(
        self,
        job: jobs.Job,
        candidates: typing.Iterable[placement.Candidate],
        now: float,
    ) -> list[tuple[ids.MemberId, messages.Reserve]]:
        """Return the reservations to send for the waiting tasks of a job.

        As many workers as there are waiting tasks, but at least 2, are to
        have a reservation. A worker may claim its share of twice the waiting
        tasks, by its part of the fleet's service rate, so that one that is
        faster than estimated can claim more of them.
        """
        usable = {
            candidate.worker: candidate
            for candidate in candidates
            if candidate.usable
        }
        for worker, reservation in list(job.reservations.items()):
            renew = now - reservation.sent_at > _RENEWAL_INTERVAL_S
            if renew or reservation.unclaimed <= 0 or worker not in usable:
                job.reservations.pop(worker)
        missing = max(_PROBE_RATIO, len(job.waiting)) - len(job.reservations)
        unreserved = [
            candidate
            for worker, candidate in usable.items()
            if worker not in job.reservations
        ]
        if missing <= 0 or not unreserved:
            return []
        unreserved.sort(key=_expected_wait)
        chosen = unreserved[:missing]
        total = sum(map(_service_rate, usable.values()))
        reserved_items = []
        for candidate in chosen:
            share = (
                _PROBE_RATIO
                * len(job.waiting)
                * _service_rate(candidate)
                / total
            )
            item = build_reserve(job, math.ceil(share), now)
            job.reservations[candidate.worker] = jobs.SentReservation(
                now, item.count
            )
            self.unused.get(candidate.worker, set()).discard(job.id)
            reserved_items.append((candidate.worker, item))
        return reserved_items

    def mark_unused(self, job: jobs.Job) -> None:
        """Mark the reservations of a job without waiting tasks as unused."""
        for worker in job.reservations:
            self.unused.setdefault(worker, set()).add(job.id)
        job.reservations.clear()

    def pop_release(self, worker: ids.MemberId) -> messages.Release | None:
        """Return the pending release for a worker and remove it."""
        job_ids = self.unused.pop(worker, None)
        return messages.Release(sorted(job_ids)) if job_ids else None

    def worker_lost(
        self,
        worker: ids.MemberId,
        running: typing.Iterable[jobs.Job],
    ) -> None:
        """Remove a lost worker, which has dropped its reservations itself."""
        self.unused.pop(worker, None)
        for job in running:
            job.reservations.pop(worker, None)


def count_claim(job: jobs.Job | None, worker: ids.MemberId) -> None:
    """Count a claim against the reservation that allowed it."""
    reservation = job.reservations.get(worker) if job else None
    if reservation is not None:
        reservation.unclaimed -= 1


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
    """Return the job of which a task is granted for a claim.

    Jobs of the claim's tenant go first, since that tenant was next in the
    worker's queue; `None` means that no task is waiting here.
    """
    waiting = [job for job in running.values() if job.waiting]
    preferred = [job for job in waiting if job.submission.tenant == tenant]
    return min(preferred or waiting, key=_rank, default=None)


def _rank(job: jobs.Job) -> tuple[int, float]:
    return job.rank


def _expected_wait(candidate: placement.Candidate) -> float:
    return candidate.expected_wait()


def _service_rate(candidate: placement.Candidate) -> float:
    return candidate.slots * candidate.speed
