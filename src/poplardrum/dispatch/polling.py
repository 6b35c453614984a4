"""Polling of the endpoint by its agent."""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import clocks, endpoint_runs, executor
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

# Longest time for which the endpoint delays a report until a run completes.
# Each request renews the lease.
_REPORT_WAIT_S: typing.Final = 0.15
# The endpoint is on the same host, so a reply later than this is lost.
_REPLY_MARGIN_S: typing.Final = 0.15
_RETRY_INTERVAL_S: typing.Final = 0.05
# Used while completions are not acknowledged, which takes a store write.
_UNACKNOWLEDGED_POLL_INTERVAL_S: typing.Final = 0.02
# One request without a reply already suspends the lease and new tasks. The
# next one follows at once, and the lease lasts for both.
_UNREACHABLE_AFTER_S: typing.Final = 0.25


class EndpointPoller:
    """Request reports from the endpoint while anything may be running there."""

    def __init__(self, task_executor: executor.Executor) -> None:
        """Poll the endpoint of an executor."""
        self.executor = task_executor
        self.last_answer_at = clocks.now()
        # Whether the last request was answered, without a pause since.
        self.last_report_answered = False
        # Number up to which the endpoint was last allowed to drop completions.
        self.last_sent_ack = 0

    async def run(self) -> None:
        """Request reports until cancelled."""
        while True:
            if not self._is_report_needed():
                self.executor.report_needed.clear()
                self.last_report_answered = False
                await self.executor.report_needed.wait()
                self.last_answer_at = clocks.now()
            await self._request_report()

    def _is_report_needed(self) -> bool:
        task_executor = self.executor
        if task_executor.status.heartbeat is None:
            return task_executor.status.needs_confirmation()
        healthy = (
            task_executor.is_reconciled
            and task_executor.endpoint_reachable
            and not task_executor.lease.suspended
        )
        has_unsent_ack = (
            task_executor.completions.acknowledged_up_to() > self.last_sent_ack
        )
        return (
            bool(task_executor.runs or task_executor.completions.unacknowledged)
            or has_unsent_ack
            or task_executor.status.unconfirmed is not None
            or not healthy
        )

    async def _request_report(self) -> None:
        task_executor = self.executor
        requested_at = clocks.now()
        fencing_token = task_executor.lease.fencing_token
        reconciling = not task_executor.is_reconciled or any(
            run.state is endpoint_runs.RunState.unanswered
            for run in task_executor.runs.values()
        )
        wait_s = _REPORT_WAIT_S
        if (
            reconciling
            or not task_executor.runs
            or not task_executor.endpoint_reachable
            or task_executor.completions.unacknowledged
        ):
            # While it retains completions, the endpoint replies at once anyway.
            wait_s = 0.0
        # Without own runs the request must not renew the lease, which would
        # extend unknown runs.
        until_ms = (
            task_executor.lease.renew(requested_at)
            if task_executor.runs
            else None
        )
        # The endpoint may have restarted; a number of its earlier incarnation
        # would make it drop completions that were never listed. The client
        # sends a number only on the connection of the last report.
        acknowledged = (
            task_executor.completions.acknowledged_up_to()
            if self.last_report_answered
            else 0
        )
        reply = await task_executor.endpoint.fetch_report(
            fencing_token=fencing_token,
            last_seen=acknowledged,
            until_ms=until_ms,
            wait_s=wait_s,
            timeout_s=self._timeout(wait_s, requested_at),
        )
        now = clocks.now()
        self.last_report_answered = isinstance(reply, endpoints.Report)
        if isinstance(reply, endpoints.Report):
            self._record_answer(now)
            self.last_sent_ack = acknowledged
            task_executor.apply_report(reply, requested_at, fencing_token)
            if not wait_s:
                await asyncio.sleep(
                    _UNACKNOWLEDGED_POLL_INTERVAL_S
                    if task_executor.completions.unacknowledged
                    else _RETRY_INTERVAL_S
                )
            return
        if reply.result is endpoints.RequestResult.fenced:
            self._record_answer(now)
            task_executor.lease.raise_token_after_fencing(reply.clock_ms)
            return
        if reply.result is endpoints.RequestResult.unsent:
            return
        # A broken connection shows at once, a silent endpoint by the timeout.
        is_broken = now - requested_at < wait_s
        task_executor.monitor.crashes.record_failure(
            task_executor.status.incarnation,
            task_executor.runs.values(),
            now if is_broken else self.last_answer_at,
        )
        self._record_failure(now, reply.result)
        await asyncio.sleep(_RETRY_INTERVAL_S)

    def _timeout(self, wait_s: float, now: float) -> float:
        task_executor = self.executor
        if task_executor.endpoint_reachable or not task_executor.runs:
            return wait_s + _REPLY_MARGIN_S
        # Runs of an unreachable endpoint are lost as soon as its lease lapses.
        until_lapse = task_executor.lease.lapses_at() - now
        return min(
            wait_s + _REPLY_MARGIN_S, max(until_lapse, _RETRY_INTERVAL_S)
        )

    def _record_answer(self, now: float) -> None:
        self.last_answer_at = now
        if not self.executor.endpoint_reachable:
            self.executor.endpoint_reachable = True
            self.executor.status_changed.set()
            logger.info('endpoint reachable again')

    def _record_failure(
        self, now: float, result: endpoints.RequestResult
    ) -> None:
        task_executor = self.executor
        if now - self.last_answer_at < _UNREACHABLE_AFTER_S:
            return
        if task_executor.endpoint_reachable:
            task_executor.endpoint_reachable = False
            task_executor.monitor.crashes.record_loss()
            task_executor.lease.suspended = True
            task_executor.status_changed.set()
            log_events.emit(
                logger,
                'endpoint unreachable',
                level=logging.WARNING,
                answer=result.value,
            )
        task_executor.expire_runs(now)


def gauges(task_executor: executor.Executor) -> dict[str, float]:
    """Return the current values of an agent's gauges."""
    free = task_executor.free_capacity()
    return {
        'accepting': task_executor.is_accepting(),
        'runs_in_progress': len(task_executor.runs),
        'free_cpu_thousandths': free.cpu_millicores,
        'free_memory_mb': free.memory_mb,
        'slowness': task_executor.monitor.slowness(clocks.now()),
        'lease_suspended': task_executor.lease.suspended,
    }
