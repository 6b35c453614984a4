"""How recently an entry has read the cancel requests of its stored jobs.

Any entry may acknowledge the cancel of a job once the request is in the store. The
owner finds it there. So that no task starts long after the acknowledgement, whatever
keeps the owner from the store, a start needs a read of the requests that is young
enough.
"""

import asyncio
import contextlib
import math
import typing

from poplardrum.dispatch import clocks, owned_jobs, timing

_READ_INTERVAL_S: typing.Final = 0.5
# Lower bound of the interval, for jobs that need a read at once.
_MIN_READ_INTERVAL_S: typing.Final = 0.1


class CancelReads:
    """The last read of the cancel requests, and what may start because of it.

    Times are of `clocks.now`, which includes time of suspension.
    """

    def __init__(self, cancel_bound_s: float) -> None:
        """Start without a read.

        No task may start later than `cancel_bound_s` after the acknowledgement of
        its job's cancel.
        """
        self.max_age_s = cancel_bound_s - timing.START_REQUEST_S
        # When the last complete read was requested.
        self.read_at = -math.inf
        self.read_needed = asyncio.Event()

    def start_time_left(self) -> float:
        """Return for how many seconds agents may start tasks."""
        return max(self.read_at + self.max_age_s - clocks.now(), 0)

    def may_start(self, owned: owned_jobs.OwnedJob) -> bool:
        """Return whether tasks of a job may be sent to agents."""
        return (
            owned.is_cancel_checked
            and self.start_time_left() > timing.COMMAND_DELAY_S
        )

    def add_job(
        self, owned: owned_jobs.OwnedJob, checked_at: float, *, is_only: bool
    ) -> None:
        """Add a job that had no cancel request at `checked_at`.

        A later read of the others' requests has passed over those of this job.
        Without other jobs, the time of this check is that of the last read.
        """
        if is_only:
            self.read_at = max(self.read_at, checked_at)
        owned.is_cancel_checked = self.read_at <= checked_at
        if not owned.is_cancel_checked:
            self.read_needed.set()

    def record_read(
        self, requested_at: float, owned: typing.Iterable[owned_jobs.OwnedJob]
    ) -> None:
        """Record that all requests of the owned jobs were read and handled."""
        self.read_at = requested_at
        for each in owned:
            each.is_cancel_checked = True

    async def wait_until_due(self) -> None:
        """Wait until the next read is due, or a job needs one."""
        await asyncio.sleep(_MIN_READ_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_READ_INTERVAL_S - _MIN_READ_INTERVAL_S):
                await self.read_needed.wait()
        self.read_needed.clear()
