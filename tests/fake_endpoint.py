"""Client of an endpoint without a network, whose requests a test loses or delays."""

import asyncio
import typing

from poplardrum.dispatch import clocks
from poplardrum.platform import endpoints
from poplardrum.standins import leased_endpoint

# Longest lease that the endpoint grants.
LEASE_S: typing.Final = 1.0


class FakeEndpoint:
    """A client of a `LeasedEndpoint` that may lose or delay requests.

    `faults` maps a request (`start`, `stop`, `fetch_report`) to a list of
    faults, of which each request uses up one; `default_faults` has the fault
    for all further requests. A `lost` request never arrives, a `silent` one is
    carried out without a reply, a `late` one is carried out when
    `deliver_delayed` is called.
    """

    def __init__(self, duration: float = 0.05) -> None:
        """Create an endpoint whose runs take `duration` seconds."""
        self.duration = duration
        self.leased = leased_endpoint.LeasedEndpoint(LEASE_S)
        self.faults: dict[str, list[str]] = {}
        self.default_faults: dict[str, str] = {}
        self.delayed: list[typing.Callable[[], object]] = []
        self.incarnation = 1
        self.unreachable = False
        self.succeeds = True
        self.stalled = False
        self.checkpoints: list[str] = []
        # How long a client waits for a request that is lost.
        self.timeout_s = 0.01
        # How long its host was suspended.
        self.suspended_s = 0.0

    def now(self) -> float:
        """Return its steady clock in seconds."""
        return clocks.now() - self.suspended_s

    def clock_ms(self) -> int:
        """Return the endpoint's clock in milliseconds."""
        return int(self.now() * 1000)

    async def start(
        self,
        start: endpoints.StartRequest,
        *,
        until_ms: int,
        fencing_token: int,
        timeout_s: float,
    ) -> endpoints.Reply:
        """Start a run."""
        self.checkpoints.append(start.checkpoint)

        def request() -> leased_endpoint.StartResult:
            now = self.now()
            return self.leased.start(
                leased_endpoint.RunId(start.task, start.run),
                leased_endpoint.Run(
                    start.specification,
                    now + self.duration,
                    self.succeeds,
                    self.stalled,
                ),
                now=now,
                lease_until=until_ms / 1000,
                token=fencing_token,
            )

        answer = await self._carry_out('start', request)
        if answer is None:
            return endpoints.Reply(endpoints.RequestResult.unanswered)
        kinds = {
            leased_endpoint.StartResult.accepted: endpoints.RequestResult.accepted,
            leased_endpoint.StartResult.fenced: endpoints.RequestResult.fenced,
            leased_endpoint.StartResult.superseded: endpoints.RequestResult.superseded,
            leased_endpoint.StartResult.expired: endpoints.RequestResult.expired,
        }
        return endpoints.Reply(kinds[answer], self.clock_ms(), self.incarnation)

    async def stop(
        self,
        task: str,
        run: int,
        *,
        fencing_token: int,
        timeout_s: float,
    ) -> endpoints.Reply:
        """Stop a run."""
        answer = await self._carry_out(
            'stop',
            lambda: self.leased.stop(
                leased_endpoint.RunId(task, run),
                now=self.now(),
                token=fencing_token,
            ),
        )
        if answer is None:
            return endpoints.Reply(endpoints.RequestResult.unanswered)
        kind = (
            endpoints.RequestResult.accepted
            if answer
            else endpoints.RequestResult.fenced
        )
        return endpoints.Reply(kind, self.clock_ms(), self.incarnation)

    async def fetch_report(
        self,
        *,
        fencing_token: int,
        last_seen: int,
        until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> endpoints.Report | endpoints.Reply:
        """Renew the lease and return a report."""
        answer = await self._carry_out(
            'fetch_report',
            lambda: self.leased.renew_and_acknowledge(
                now=self.now(),
                token=fencing_token,
                acknowledged_id=last_seen,
                lease_until=None if until_ms is None else until_ms / 1000,
            ),
        )
        if answer is None:
            return endpoints.Reply(endpoints.RequestResult.unanswered)
        if not answer:
            return endpoints.Reply(
                endpoints.RequestResult.fenced,
                self.clock_ms(),
                self.incarnation,
            )
        stop_at = self.now() + wait_s
        while self.now() < stop_at and not self.leased.unacknowledged():
            await asyncio.sleep(0.002)
            self.leased.advance(self.now())
        return self.report()

    def report(self) -> endpoints.Report:
        """Return a report of the current runs and completions."""
        return endpoints.Report(
            self.clock_ms(),
            self.incarnation,
            [
                endpoints.ActiveRun(
                    name.task,
                    name.run,
                    run.progress(self.now()),
                )
                for name, run in self.leased.running.items()
            ],
            [
                endpoints.Completion(
                    end.completion_id,
                    end.run_id.task,
                    end.run_id.run,
                    endpoints.RunOutcome(end.outcome),
                )
                for end in self.leased.unacknowledged()
            ],
        )

    def deliver_delayed(self) -> None:
        """Carry out all delayed requests."""
        for request in self.delayed:
            request()
        self.delayed.clear()

    async def _carry_out(
        self,
        call: str,
        request: typing.Callable[[], typing.Any],
    ) -> typing.Any:
        await asyncio.sleep(0)
        queued = self.faults.get(call)
        fault = queued.pop(0) if queued else self.default_faults.get(call, '')
        if self.unreachable or fault == 'lost':
            await asyncio.sleep(self.timeout_s)
            return None
        if fault == 'late':
            self.delayed.append(request)
            await asyncio.sleep(0.01)
            return None
        answer = request()
        if fault == 'silent':
            await asyncio.sleep(0.01)
            return None
        return answer
