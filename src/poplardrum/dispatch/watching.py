"""Task of an agent that renews the lease and watches its endpoint."""

import asyncio
import contextlib
import logging
import typing

from poplardrum.dispatch import clocks, executor, messages
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

_RENEW: typing.Final = 0.3
_LIMIT: typing.Final = 0.3
_RETRY: typing.Final = 0.05
_UNREACHABLE: typing.Final = 0.5
_IDLE: typing.Final = 1.0


class Watch:
    """Ask the endpoint for reports while anything may be running there."""

    def __init__(self, runs: executor.Executor) -> None:
        """Watch the endpoint of `runs`."""
        self.runs = runs
        self.answered_at = clocks.now()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            if not self._needed():
                self.runs.work.clear()
                await self.runs.work.wait()
                self.answered_at = clocks.now()
            await self._ask()

    def _needed(self) -> bool:
        runs = self.runs
        if runs.heartbeat is None:
            return False
        return bool(runs.tasks) or not runs.clean or not runs.reachable

    async def _ask(self) -> None:
        runs = self.runs
        asked_at = clocks.now()
        token = runs.lease.token
        settling = not runs.clean or any(
            task.state is executor.State.unanswered
            for task in runs.tasks.values()
        )
        wait = 0.0 if settling or not runs.tasks else _RENEW
        # Without a lease of its own tasks a report must not keep strangers.
        until = runs.lease.until(asked_at) if runs.tasks else None
        found = await runs.endpoint.hold(
            token=token,
            seen=runs.seen,
            until=until,
            wait=wait,
            limit=wait + _LIMIT,
        )
        now = clocks.now()
        if isinstance(found, endpoints.Report):
            self._answered(now)
            runs.apply(found, asked_at, token)
            if not wait:
                await asyncio.sleep(_RETRY)
            return
        if found.answer is endpoints.Answer.fenced:
            self._answered(now)
            runs.lease.raise_token(found.clock)
            return
        self._failed(now, found.answer)
        await asyncio.sleep(_RETRY)

    def _answered(self, now: float) -> None:
        self.answered_at = now
        if not self.runs.reachable:
            self.runs.reachable = True
            self.runs.changed.set()
            logger.info('endpoint answers again')

    def _failed(self, now: float, answer: endpoints.Answer) -> None:
        runs = self.runs
        if now - self.answered_at < _UNREACHABLE:
            return
        if runs.reachable:
            runs.reachable = False
            runs.lease.suspended = True
            runs.changed.set()
            logger.warning(
                'endpoint does not answer',
                extra={'details': {'answer': answer.value}},
            )
        runs.fail_over(now)


class Reporter:
    """Send the endpoint's load to all entries when it changes."""

    def __init__(
        self,
        runs: executor.Executor,
        links: set[messages.Link],
    ) -> None:
        """Report to `links`."""
        self.runs = runs
        self.links = links

    async def run(self, pause: float) -> None:
        """Report at most every `pause` seconds; also once a second."""
        while True:
            # An ejection ends by time alone.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE):
                    await self.runs.changed.wait()
            self.runs.changed.clear()
            for link in self.links:
                link.send(self.load(link))
            await asyncio.sleep(pause)

    def load(self, link: messages.Link) -> messages.Load:
        """Return the present load for the entry at a link."""
        runs = self.runs
        beat = runs.heartbeat
        return messages.Load(
            link.orders,
            runs.accepting(),
            runs.free(),
            runs.capacity(),
            round(runs.slowness.value(), 2),
            beat.labels if beat else [],
        )
