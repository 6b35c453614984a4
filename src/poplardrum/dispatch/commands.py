"""Orders to an endpoint: starts and stops of runs, and their answers."""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import (
    clocks,
    completions,
    endpoint_runs,
    lease,
    messages,
    timing,
)
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

_START_REQUEST_TIMEOUT_S: typing.Final = 0.2
STOP_REQUEST_TIMEOUT_S: typing.Final = 0.1
_MAX_START_ATTEMPTS: typing.Final = 3
_LISTING_MARGIN_S: typing.Final = 0.03

StartRefusal = tuple[messages.Refusal, str]


class EndpointCommands:
    """Give orders until they are answered or the run is settled."""

    def __init__(
        self,
        held: lease.Lease,
        stop_time: float,
        live: typing.Callable[[endpoint_runs.Run], bool],
        wake: typing.Callable[[], None],
    ) -> None:
        """Order under a lease.

        `live` tells whether a run is not settled, `wake` asks for a report.
        """
        self.lease = held
        self.stop_time = stop_time
        self.is_tracked = live
        self.request_report = wake

    async def start(
        self,
        endpoint: endpoints.EndpointClient,
        task: endpoint_runs.Run,
        specification: str,
    ) -> StartRefusal | None:
        """Start a run; return why it did not start and never will."""
        for _ in range(_MAX_START_ATTEMPTS):
            now = clocks.now()
            until = self.lease.renew(now)
            if until is None or task.stopping:
                break
            task.fencing_token = self.lease.fencing_token
            task.started_at = now
            reply = await endpoint.start(
                endpoints.StartRequest(
                    task.task_name(),
                    task.id.number,
                    specification,
                    task.checkpoint,
                ),
                until_ms=until,
                fencing_token=task.fencing_token,
                timeout_s=_START_REQUEST_TIMEOUT_S,
            )
            if not self.is_tracked(task):
                return None
            self.lease.observe_clock(reply.clock_ms, clocks.now())
            answer = reply.result
            if answer is endpoints.RequestResult.fenced:
                self.lease.raise_token_after_fencing(reply.clock_ms)
            elif answer is not endpoints.RequestResult.expired:
                return self._handle_start_reply(task, answer)
        return messages.Refusal.endpoint, 'no start in time'

    async def stop(
        self,
        endpoint: endpoints.EndpointClient,
        task: endpoint_runs.Run,
    ) -> None:
        """Stop a run; its end is certain when a report lists it."""
        began = clocks.now()
        while self.is_tracked(task):
            reply = await endpoint.stop(
                task.task_name(),
                task.id.number,
                fencing_token=self.lease.fencing_token,
                timeout_s=STOP_REQUEST_TIMEOUT_S,
            )
            now = clocks.now()
            if not self.is_tracked(task):
                return
            if reply.result is endpoints.RequestResult.accepted:
                task.listed_from = now + self.stop_time + _LISTING_MARGIN_S
                self.request_report()
                return
            if reply.result is endpoints.RequestResult.fenced:
                self.lease.raise_token_after_fencing(reply.clock_ms)
            elif (
                now - began > timing.TOTAL_STOP_TIMEOUT_S
                and not self.lease.suspended
            ):
                self._suspend_lease(task)
            await asyncio.sleep(_LISTING_MARGIN_S)

    def discard_backlog(
        self, remembered: completions.CompletionTracker, now: float
    ) -> bool:
        """Let the endpoint forget ends that were not noted for too long.

        Once its lease has run out they count as never noted, so that their
        tasks may start again. Return whether it has.
        """
        if not remembered.is_backlogged():
            return False
        if not self.lease.suspended:
            self.lease.suspended = True
            self.request_report()
            log_events.emit(
                logger,
                'lease suspended: ends not noted',
                level=logging.WARNING,
                held=len(remembered.unacknowledged),
            )
        if not self.lease.has_lapsed(now):
            return False
        log_events.emit(
            logger,
            'ends given up',
            level=logging.WARNING,
            ends=remembered.discard_unacknowledged(),
        )
        return True

    def _handle_start_reply(
        self,
        task: endpoint_runs.Run,
        answer: endpoints.RequestResult,
    ) -> StartRefusal | None:
        if answer is endpoints.RequestResult.accepted:
            task.state = endpoint_runs.RunState.running
            task.listed_from = clocks.now()
            return None
        if answer is not endpoints.RequestResult.unanswered:
            return endpoint_runs.REFUSAL_BY_ANSWER[answer], answer.value
        # The order may still be carried out until a higher token is known
        # at the endpoint; the next report then decides.
        task.state = endpoint_runs.RunState.unanswered
        if task.fencing_token == self.lease.fencing_token:
            self.lease.raise_token()
        log_events.emit(
            logger,
            'start unanswered',
            job=task.job,
            level=logging.WARNING,
            task=task.id.task_index,
            token=task.fencing_token,
        )
        self.request_report()
        return None

    def _suspend_lease(self, task: endpoint_runs.Run) -> None:
        # The job may be sent again soon: without an answer only the end of
        # the lease makes sure that the task is gone.
        self.lease.suspended = True
        self.request_report()
        log_events.emit(
            logger,
            'lease suspended: stop unanswered',
            job=task.job,
            level=logging.WARNING,
        )
