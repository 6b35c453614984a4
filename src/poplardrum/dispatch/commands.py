"""Requests to an endpoint to start and stop runs."""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import (
    clocks,
    endpoint_runs,
    lease,
    messages,
    timing,
    zone_gate,
)
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

_STOP_REQUEST_TIMEOUT_S: typing.Final = 0.1
_MAX_START_ATTEMPTS: typing.Final = 3
# Reports requested this long after the stop time list a stopped run as
# completed. Also the pause between two attempts to stop a run.
_LISTING_MARGIN_S: typing.Final = 0.03

StartRefusal = tuple[messages.Refusal, str]


class EndpointCommands:
    """Send requests until they are answered or the run is settled."""

    def __init__(
        self,
        endpoint_lease: lease.Lease,
        stop_time: float,
        is_tracked: typing.Callable[[endpoint_runs.Run], bool],
        request_report: typing.Callable[[], None],
    ) -> None:
        """Send requests under a lease.

        `is_tracked` returns whether the outcome of a run is still open.
        """
        self.lease = endpoint_lease
        self.stop_time = stop_time
        self.is_tracked = is_tracked
        self.request_report = request_report
        self.gate: zone_gate.Gate = zone_gate.OpenGate()

    async def start(
        self,
        endpoint: endpoints.EndpointClient,
        run: endpoint_runs.Run,
        specification: str,
    ) -> StartRefusal | None:
        """Start a run; return a refusal if it never will start.

        `None` means that the run was accepted, may still start or is no
        longer tracked.
        """
        for _ in range(_MAX_START_ATTEMPTS):
            until_ms = self._lease_end_for(run)
            if until_ms is None:
                break
            reply = await endpoint.start(
                endpoints.StartRequest(
                    run.task_name(),
                    run.id.number,
                    specification,
                    run.checkpoint,
                ),
                until_ms=until_ms,
                fencing_token=run.fencing_token,
                timeout_s=timing.START_REQUEST_S,
            )
            if not self.is_tracked(run):
                return None
            self.lease.observe_clock(reply.clock_ms, clocks.now())
            result = reply.result
            if result is endpoints.RequestResult.fenced:
                self.lease.raise_token_after_fencing(reply.clock_ms)
            elif result is not endpoints.RequestResult.expired:
                run.incarnation = reply.incarnation
                return self._handle_start_reply(run, result)
        if not self.gate.is_open():
            return messages.Refusal.not_accepting, 'zone evacuated'
        return messages.Refusal.endpoint, 'not started in time'

    def _lease_end_for(self, run: endpoint_runs.Run) -> int | None:
        """Return the lease end to send with a start request, in milliseconds.

        Return `None` if the run must not start: the lease is suspended, the
        zone is evacuated, the entry has gone or wants it no more, or the run
        was settled during a wait, so that its task may run elsewhere.
        """
        if not self.is_tracked(run) or not run.may_start():
            return None
        if not self.gate.is_open():
            return None
        run.started_at = clocks.now()
        run.fencing_token = self.lease.fencing_token
        return self.lease.renew(run.started_at)

    async def stop(
        self,
        endpoint: endpoints.EndpointClient,
        run: endpoint_runs.Run,
    ) -> None:
        """Request the stop of a run.

        Only a report that lists the completion confirms that it has stopped.
        """
        started_at = clocks.now()
        while self.is_tracked(run):
            reply = await endpoint.stop(
                run.task_name(),
                run.id.number,
                fencing_token=self.lease.fencing_token,
                timeout_s=_STOP_REQUEST_TIMEOUT_S,
            )
            now = clocks.now()
            if not self.is_tracked(run):
                return
            if reply.result is endpoints.RequestResult.accepted:
                run.listed_from = now + self.stop_time + _LISTING_MARGIN_S
                self.request_report()
                return
            if reply.result is endpoints.RequestResult.fenced:
                self.lease.raise_token_after_fencing(reply.clock_ms)
            elif (
                now - started_at > timing.TOTAL_STOP_TIMEOUT_S
                and not self.lease.suspended
            ):
                self._suspend_lease(run)
            await asyncio.sleep(_LISTING_MARGIN_S)

    async def stop_unknown(
        self,
        endpoint: endpoints.EndpointClient,
        listed_run: endpoints.ActiveRun,
    ) -> None:
        """Request once the stop of a run that an earlier process started.

        The next report that still lists it leads to another request.
        """
        log_events.emit(
            logger,
            'stopping a run of an earlier process',
            level=logging.WARNING,
            task=listed_run.task,
            run=listed_run.run,
        )
        await endpoint.stop(
            listed_run.task,
            listed_run.run,
            fencing_token=self.lease.fencing_token,
            timeout_s=_STOP_REQUEST_TIMEOUT_S,
        )

    def _handle_start_reply(
        self,
        run: endpoint_runs.Run,
        result: endpoints.RequestResult,
    ) -> StartRefusal | None:
        if result is endpoints.RequestResult.accepted:
            run.confirm_start(clocks.now())
            return None
        if result is not endpoints.RequestResult.unanswered:
            return endpoint_runs.REFUSAL_BY_RESULT[result], result.value
        # The endpoint may still carry out the request until it has received
        # a higher token. The first report requested with one decides.
        run.state = endpoint_runs.RunState.unanswered
        if run.fencing_token == self.lease.fencing_token:
            self.lease.raise_token()
        log_events.emit(
            logger,
            'start unanswered',
            job=run.job,
            level=logging.WARNING,
            task=run.id.task_index,
            token=run.fencing_token,
        )
        self.request_report()
        return None

    def _suspend_lease(self, run: endpoint_runs.Run) -> None:
        # Without an answer, only the end of the lease guarantees that the
        # run is over, and the job may be submitted again soon.
        self.lease.suspended = True
        self.request_report()
        log_events.emit(
            logger,
            'lease suspended: stop unanswered',
            job=run.job,
            level=logging.WARNING,
        )
