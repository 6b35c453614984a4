"""Task of an agent that renews the lease and watches its endpoint."""

import asyncio
import contextlib
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import clocks, endpoint_runs, executor, messages
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

# Seconds for which a report waits for an end; each renews the lease.
_REPORT_WAIT_S: typing.Final = 0.15
# A report comes from the same host, so an answer this late is lost.
_REPLY_MARGIN_S: typing.Final = 0.15
_RETRY_INTERVAL_S: typing.Final = 0.05
# Between reports while ends wait to be noted, which takes a write.
_UNACKNOWLEDGED_POLL_INTERVAL_S: typing.Final = 0.02
# One report without an answer already stops renewals and new tasks: the
# next one follows at once, and the lease spans both.
_UNREACHABLE_AFTER_S: typing.Final = 0.25
_IDLE_REPORT_INTERVAL_S: typing.Final = 1.0
_MIN_REPORT_INTERVAL_S: typing.Final = 0.004
# Up to this many entries are told each change; of more, each is told after
# a pause, in seconds, that grows with their number.
_MAX_UNTHROTTLED_LINKS: typing.Final = 5
_SAME_ZONE_INTERVAL_PER_LINK_S: typing.Final = 0.0015
_OTHER_ZONE_INTERVAL_PER_LINK_S: typing.Final = 0.008


class EndpointPoller:
    """Ask the endpoint for reports while anything may be running there."""

    def __init__(self, runs: executor.Executor) -> None:
        """Watch the endpoint of `runs`."""
        self.executor = runs
        self.last_answer_at = clocks.now()
        # Whether the last report was answered, and none was left out since.
        self.last_report_answered = False
        # Up to which number the endpoint was told to forget its ends.
        self.last_sent_ack = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            if not self._is_report_needed():
                self.executor.report_needed.clear()
                self.last_report_answered = False
                await self.executor.report_needed.wait()
                self.last_answer_at = clocks.now()
            await self._request_report()

    def _is_report_needed(self) -> bool:
        runs = self.executor
        if runs.status.heartbeat is None:
            return runs.status.needs_confirmation()
        healthy = (
            runs.is_reconciled
            and runs.endpoint_reachable
            and not runs.lease.suspended
        )
        untold = runs.completions.acknowledged_up_to() > self.last_sent_ack
        return (
            bool(runs.runs or runs.completions.unacknowledged)
            or untold
            or not healthy
        )

    async def _request_report(self) -> None:
        runs = self.executor
        asked_at = clocks.now()
        token = runs.lease.fencing_token
        settling = not runs.is_reconciled or any(
            task.state is endpoint_runs.RunState.unanswered
            for task in runs.runs.values()
        )
        wait = _REPORT_WAIT_S
        if (
            settling
            or not runs.runs
            or not runs.endpoint_reachable
            or runs.completions.unacknowledged
        ):
            # An end that is remembered would be answered at once.
            wait = 0.0
        # Without a lease of its own tasks a report must not keep strangers.
        until = runs.lease.renew(asked_at) if runs.runs else None
        # An endpoint that may have started again must not be told to forget
        # ends by the numbers of its earlier life.
        seen = (
            runs.completions.acknowledged_up_to()
            if self.last_report_answered
            else 0
        )
        found = await runs.endpoint.fetch_report(
            fencing_token=token,
            last_seen=seen,
            until_ms=until,
            wait_s=wait,
            timeout_s=self._timeout(wait, asked_at),
        )
        now = clocks.now()
        self.last_report_answered = isinstance(found, endpoints.Report)
        if isinstance(found, endpoints.Report):
            self._record_answer(now)
            self.last_sent_ack = seen
            runs.apply_report(found, asked_at, token)
            if not wait:
                await asyncio.sleep(
                    _UNACKNOWLEDGED_POLL_INTERVAL_S
                    if runs.completions.unacknowledged
                    else _RETRY_INTERVAL_S
                )
            return
        if found.result is endpoints.RequestResult.fenced:
            self._record_answer(now)
            runs.lease.raise_token_after_fencing(found.clock_ms)
            return
        self._record_failure(now, found.result)
        await asyncio.sleep(_RETRY_INTERVAL_S)

    def _timeout(self, wait: float, now: float) -> float:
        runs = self.executor
        if runs.endpoint_reachable or not runs.runs:
            return wait + _REPLY_MARGIN_S
        # Runs of a lost endpoint are given up as soon as its lease allows.
        left = runs.lease.lapses_at() - now
        return min(wait + _REPLY_MARGIN_S, max(left, _RETRY_INTERVAL_S))

    def _record_answer(self, now: float) -> None:
        self.last_answer_at = now
        if not self.executor.endpoint_reachable:
            self.executor.endpoint_reachable = True
            self.executor.status_changed.set()
            logger.info('endpoint answers again')

    def _record_failure(
        self, now: float, answer: endpoints.RequestResult
    ) -> None:
        runs = self.executor
        if now - self.last_answer_at < _UNREACHABLE_AFTER_S:
            return
        if runs.endpoint_reachable:
            runs.endpoint_reachable = False
            runs.lease.suspended = True
            runs.status_changed.set()
            log_events.emit(
                logger,
                'endpoint does not answer',
                level=logging.WARNING,
                answer=answer.value,
            )
        runs.expire_runs(now)


class LoadReporter:
    """Send the endpoint's load to all entries when it changes.

    An entry gets a report for each of its own ends in any case, so others
    need not hear of each change: with many entries, those of other zones
    are told less often, which bounds the reports that an entry receives.
    """

    def __init__(
        self,
        runs: executor.Executor,
        links: set[messages.Link],
        zone: str,
    ) -> None:
        """Report to `links` from an agent in `zone`."""
        self.executor = runs
        self.links = links
        self.zone = zone
        self.was_accepting = False

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            # An ejection ends by time alone.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_REPORT_INTERVAL_S):
                    await self.executor.status_changed.wait()
            self.executor.status_changed.clear()
            self._report(clocks.now())
            crowd = (
                len(self.links)
                if len(self.links) > _MAX_UNTHROTTLED_LINKS
                else 0
            )
            await asyncio.sleep(
                _MIN_REPORT_INTERVAL_S + crowd * _SAME_ZONE_INTERVAL_PER_LINK_S
            )

    def _report(self, now: float) -> None:
        accepting = self.executor.is_accepting()
        urgent = accepting != self.was_accepting
        self.was_accepting = accepting
        for link in self.links:
            if urgent or now - link.load_sent_at >= self._min_interval(link):
                link.load_sent_at = now
                link.send(self.load(link))
            else:
                self.executor.status_changed.set()

    def _min_interval(self, link: messages.Link) -> float:
        count = len(self.links)
        if count <= _MAX_UNTHROTTLED_LINKS:
            return 0
        return count * (
            _SAME_ZONE_INTERVAL_PER_LINK_S
            if link.zone == self.zone
            else _OTHER_ZONE_INTERVAL_PER_LINK_S
        )

    def load(self, link: messages.Link) -> messages.Load:
        """Return the present load for the entry at a link."""
        runs = self.executor
        beat = runs.status.heartbeat
        return messages.Load(
            link.starts_received,
            runs.is_accepting(),
            runs.free_capacity(),
            runs.status.capacity(),
            round(runs.monitor.slowness(clocks.now()), 2),
            beat.service if beat else '',
            beat.labels if beat else [],
        )


def gauges(runs: executor.Executor) -> dict[str, float]:
    """Return the present values of an agent."""
    free = runs.free_capacity()
    return {
        'accepting': runs.is_accepting(),
        'runs_in_progress': len(runs.runs),
        'free_cpu_thousandths': free.cpu_millicores,
        'free_memory_mb': free.memory_mb,
        'slowness': runs.monitor.slowness(clocks.now()),
        'lease_suspended': runs.lease.suspended,
    }
