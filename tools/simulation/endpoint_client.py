"""The client through which a simulated agent calls its endpoint."""

import asyncio
import typing

from poplardrum.platform import endpoints
from poplardrum.standins import leased_endpoint
from tools.simulation import endpoint, virtual_time

_MS_PER_S: typing.Final = 1000
_DELAY_S: typing.Final = 0.0004

_RESULTS: typing.Final = {
    leased_endpoint.StartResult.accepted: endpoints.RequestResult.accepted,
    leased_endpoint.StartResult.fenced: endpoints.RequestResult.fenced,
    leased_endpoint.StartResult.superseded: endpoints.RequestResult.superseded,
    leased_endpoint.StartResult.expired: endpoints.RequestResult.expired,
}

Answer = typing.TypeVar('Answer')


class EndpointClient:
    """The client of an agent; it has the interface of the real one."""

    def __init__(
        self, process: virtual_time.Process, served: endpoint.Endpoint
    ) -> None:
        """Call an endpoint from a process."""
        self.process = process
        self.endpoint = served
        # The incarnation that sent the last report.
        self.connected_to = 0

    async def start(
        self,
        start: endpoints.StartRequest,
        *,
        until_ms: int,
        fencing_token: int,
        timeout_s: float,
    ) -> endpoints.Reply:
        """Start a run."""

        def request(extension: float) -> endpoints.Reply:
            result = self.endpoint.start_run(
                start, until_ms / _MS_PER_S + extension, fencing_token
            )
            return self._reply(_RESULTS[result])

        return await self._request(request, timeout_s) or _UNANSWERED

    async def stop(
        self, task: str, run: int, *, fencing_token: int, timeout_s: float
    ) -> endpoints.Reply:
        """Stop a run."""

        def request(extension: float) -> endpoints.Reply:
            self.endpoint.advance()
            accepted = self.endpoint.leased.stop(
                leased_endpoint.RunId(task, run),
                now=self.endpoint.clock(),
                token=fencing_token,
            )
            return self._reply(
                endpoints.RequestResult.accepted
                if accepted
                else endpoints.RequestResult.fenced
            )

        return await self._request(request, timeout_s) or _UNANSWERED

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
        served = self.endpoint
        if last_seen and served.incarnation != self.connected_to:
            return endpoints.Reply(endpoints.RequestResult.unsent)

        def request(
            extension: float,
        ) -> endpoints.Report | endpoints.Reply | None:
            if last_seen and served.incarnation != self.connected_to:
                # The connection broke with the earlier incarnation.
                return None
            served.advance()
            accepted = served.leased.renew_and_acknowledge(
                now=served.clock(),
                token=fencing_token,
                acknowledged_id=last_seen,
                lease_until=None
                if until_ms is None
                else until_ms / _MS_PER_S + extension,
            )
            if not accepted:
                return self._reply(endpoints.RequestResult.fenced)
            return self._report()

        found = await self._request(request, timeout_s, wait_s)
        if isinstance(found, endpoints.Report):
            self.connected_to = found.incarnation
            return found
        return typing.cast(endpoints.Reply | None, found) or _UNANSWERED

    def _reply(self, result: endpoints.RequestResult) -> endpoints.Reply:
        return endpoints.Reply(
            result, self.endpoint.clock_ms(), self.endpoint.incarnation
        )

    def _report(self) -> endpoints.Report:
        served = self.endpoint
        served.advance()
        leased = served.leased
        return endpoints.Report(
            served.clock_ms(),
            served.incarnation,
            [
                endpoints.ActiveRun(
                    each.task, each.run, run.progress(served.clock())
                )
                for each, run in leased.running.items()
            ],
            [
                endpoints.Completion(
                    end.completion_id,
                    end.run_id.task,
                    end.run_id.run,
                    endpoints.RunOutcome(end.outcome),
                )
                for end in leased.unacknowledged()
            ],
        )

    async def _request(
        self,
        request: typing.Callable[[float], Answer | None],
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Answer | None:
        """Send a request; return `None` if it is not answered in time."""
        simulation = self.endpoint.simulation
        future: asyncio.Future[Answer | None] = (
            self.process.loop.create_future()
        )

        def arrive(extension: float) -> typing.Callable[[], None]:
            found = request(extension)
            return lambda: self._answer(request, found, future, wait_s)

        simulation.call_later(_DELAY_S, lambda: self.endpoint.carry_out(arrive))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None

    def _answer(
        self,
        request: typing.Callable[[float], Answer | None],
        found: Answer | None,
        future: 'asyncio.Future[Answer | None]',
        wait_s: float,
    ) -> None:
        """Send an answer, a report after the next completion or `wait_s`."""
        simulation = self.endpoint.simulation
        if (
            not isinstance(found, endpoints.Report)
            or not wait_s
            or found.completions
        ):
            simulation.call_later(_DELAY_S, lambda: self._settle(future, found))
            return

        def send_report() -> None:
            if not future.done():
                report = typing.cast(Answer, self._report())
                simulation.call_later(
                    _DELAY_S, lambda: self._settle(future, report)
                )

        def stop_waiting() -> None:
            # A crash drops the reports that wait.
            if send_report in self.endpoint.waiting:
                send_report()

        self.endpoint.waiting.append(send_report)
        simulation.call_later(wait_s, stop_waiting)

    def _settle(
        self, future: 'asyncio.Future[Answer | None]', found: Answer | None
    ) -> None:
        self.process.call(_set_unless_done, future, found)


def _set_unless_done(
    future: 'asyncio.Future[Answer | None]', found: Answer | None
) -> None:
    if not future.done():
        future.set_result(found)


_UNANSWERED: typing.Final = endpoints.Reply(endpoints.RequestResult.unanswered)
