"""Task of an agent that renews the lease and watches its endpoint."""

import asyncio
import contextlib
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import clocks, executor, messages, tasks
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

# Seconds for which a report waits for an end; each renews the lease.
_RENEW: typing.Final = 0.15
# A report comes from the same host, so an answer this late is lost.
_LIMIT: typing.Final = 0.15
_RETRY: typing.Final = 0.05
# Between reports while ends wait to be noted, which takes a write.
_AWAITED: typing.Final = 0.02
# One report without an answer already stops renewals and new tasks: the
# next one follows at once, and the lease spans both.
_UNREACHABLE: typing.Final = 0.25
_IDLE: typing.Final = 1.0
_STEP: typing.Final = 0.004
# Up to this many entries are told each change; of more, each is told after
# a pause, in seconds, that grows with their number.
_FEW: typing.Final = 5
_NEAR: typing.Final = 0.0015
_FAR: typing.Final = 0.008


class Watch:
    """Ask the endpoint for reports while anything may be running there."""

    def __init__(self, runs: executor.Executor) -> None:
        """Watch the endpoint of `runs`."""
        self.runs = runs
        self.answered_at = clocks.now()
        # Whether the last report was answered, and none was left out since.
        self.watched = False
        # Up to which number the endpoint was told to forget its ends.
        self.told = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            if not self._needed():
                self.runs.work.clear()
                self.watched = False
                await self.runs.work.wait()
                self.answered_at = clocks.now()
            await self._ask()

    def _needed(self) -> bool:
        runs = self.runs
        if runs.vitals.heartbeat is None:
            return runs.vitals.unconfirmed()
        healthy = runs.clean and runs.reachable and not runs.lease.suspended
        untold = runs.ends.acknowledged_up_to() > self.told
        return (
            bool(runs.tasks or runs.ends.unacknowledged)
            or untold
            or not healthy
        )

    async def _ask(self) -> None:
        runs = self.runs
        asked_at = clocks.now()
        token = runs.lease.token
        settling = not runs.clean or any(
            task.state is tasks.RunState.unanswered
            for task in runs.tasks.values()
        )
        wait = _RENEW
        if (
            settling
            or not runs.tasks
            or not runs.reachable
            or runs.ends.unacknowledged
        ):
            # An end that is remembered would be answered at once.
            wait = 0.0
        # Without a lease of its own tasks a report must not keep strangers.
        until = runs.lease.until(asked_at) if runs.tasks else None
        # An endpoint that may have started again must not be told to forget
        # ends by the numbers of its earlier life.
        seen = runs.ends.acknowledged_up_to() if self.watched else 0
        found = await runs.endpoint.fetch_report(
            fencing_token=token,
            last_seen=seen,
            until_ms=until,
            wait_s=wait,
            timeout_s=self._limit(wait, asked_at),
        )
        now = clocks.now()
        self.watched = isinstance(found, endpoints.Report)
        if isinstance(found, endpoints.Report):
            self._answered(now)
            self.told = seen
            runs.apply(found, asked_at, token)
            if not wait:
                await asyncio.sleep(
                    _AWAITED if runs.ends.unacknowledged else _RETRY
                )
            return
        if found.result is endpoints.RequestResult.fenced:
            self._answered(now)
            runs.lease.fenced(found.clock_ms)
            return
        self._failed(now, found.result)
        await asyncio.sleep(_RETRY)

    def _limit(self, wait: float, now: float) -> float:
        runs = self.runs
        if runs.reachable or not runs.tasks:
            return wait + _LIMIT
        # Runs of a lost endpoint are given up as soon as its lease allows.
        left = runs.lease.lapses_at() - now
        return min(wait + _LIMIT, max(left, _RETRY))

    def _answered(self, now: float) -> None:
        self.answered_at = now
        if not self.runs.reachable:
            self.runs.reachable = True
            self.runs.changed.set()
            logger.info('endpoint answers again')

    def _failed(self, now: float, answer: endpoints.RequestResult) -> None:
        runs = self.runs
        if now - self.answered_at < _UNREACHABLE:
            return
        if runs.reachable:
            runs.reachable = False
            runs.lease.suspended = True
            runs.changed.set()
            log_events.emit(
                logger,
                'endpoint does not answer',
                level=logging.WARNING,
                answer=answer.value,
            )
        runs.fail_over(now)


class Reporter:
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
        self.runs = runs
        self.links = links
        self.zone = zone
        self.accepting = False

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            # An ejection ends by time alone.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE):
                    await self.runs.changed.wait()
            self.runs.changed.clear()
            self._report(clocks.now())
            crowd = len(self.links) if len(self.links) > _FEW else 0
            await asyncio.sleep(_STEP + crowd * _NEAR)

    def _report(self, now: float) -> None:
        accepting = self.runs.accepting()
        urgent = accepting != self.accepting
        self.accepting = accepting
        for link in self.links:
            if urgent or now - link.load_sent_at >= self._pause(link):
                link.load_sent_at = now
                link.send(self.load(link))
            else:
                self.runs.changed.set()

    def _pause(self, link: messages.Link) -> float:
        count = len(self.links)
        if count <= _FEW:
            return 0
        return count * (_NEAR if link.zone == self.zone else _FAR)

    def load(self, link: messages.Link) -> messages.Load:
        """Return the present load for the entry at a link."""
        runs = self.runs
        beat = runs.vitals.heartbeat
        return messages.Load(
            link.starts_received,
            runs.accepting(),
            runs.free(),
            runs.vitals.capacity(),
            round(runs.monitor.slowness(clocks.now()), 2),
            beat.service if beat else '',
            beat.labels if beat else [],
        )


def gauges(runs: executor.Executor) -> dict[str, float]:
    """Return the present values of an agent."""
    free = runs.free()
    return {
        'accepting': runs.accepting(),
        'runs_in_progress': len(runs.tasks),
        'free_cpu_thousandths': free.cpu_millicores,
        'free_memory_mb': free.memory_mb,
        'slowness': runs.monitor.slowness(clocks.now()),
        'lease_suspended': runs.lease.suspended,
    }
