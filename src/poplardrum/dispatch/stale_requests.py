"""Requests that may be so old that their jobs run elsewhere by now.

A caller that gets no answer within its timeout closes its connection and submits
its job again, to any entry, a fixed time later. A request that reached this entry
as late as that may be of such a caller. The end of the connection then follows it
closely, so the request is held for a moment: if the connection ends, the job never
starts.

A caller whose connection breaks submits its job again without waiting for its
timeout. This entry sees the break as well, unless it was paused or cut off.
"""

import asyncio
import logging
import math
import typing
import weakref

from poplardrum import log_events
from poplardrum.dispatch import clocks, continuity, jobs, timing

logger = logging.getLogger(__name__)

# Passes of the event loop in which the end of a connection that has arrived is read
# and cancels the request, however late the hold has ended.
_READ_PASSES: typing.Final = 4


class StaleRequests:
    """Hold requests that may be stale until their callers are known to wait."""

    def __init__(
        self, process_continuity: continuity.Continuity, resubmission_s: float
    ) -> None:
        """Create a guard; callers submit again after `resubmission_s`."""
        self.continuity = process_continuity
        self.resubmission_s = resubmission_s
        # When a connection last had a response.
        self.responded_at: weakref.WeakKeyDictionary[
            asyncio.BaseTransport, float
        ] = weakref.WeakKeyDictionary()

    def record_response(self, transport: asyncio.BaseTransport | None) -> None:
        """Record that a response is sent over a connection."""
        if transport is not None:
            self.responded_at[transport] = clocks.now()

    async def hold(
        self, job: jobs.Job, transport: asyncio.BaseTransport | None
    ) -> None:
        """Wait until a caller whose request may be stale is known to wait.

        The HTTP server cancels the request if the connection ends. A caller
        sends a request after the response to its last one; the first one of a
        connection may be of any age, since a proxy may have connected late.
        """
        if transport is None:
            return
        now = clocks.now()
        silence = now - self.responded_at.get(transport, -math.inf)
        stale_after = (
            job.client_timeout
            + self.resubmission_s
            - timing.RESUBMISSION_MARGIN_S
        )
        is_in_doubt = self.continuity.is_in_doubt(now)
        if silence <= stale_after and not is_in_doubt:
            return
        log_events.emit(
            logger,
            'request held',
            job=job.id,
            silence_s=round(silence, 3) if math.isfinite(silence) else None,
            after_pause_or_cut=is_in_doubt,
        )
        await asyncio.sleep(timing.CALLER_CHECK_S)
        for _ in range(_READ_PASSES):
            await asyncio.sleep(0)
