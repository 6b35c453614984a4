"""An agent's executor against an endpoint without a network."""

import asyncio
import random
import typing

from poplardrum import ids
from poplardrum.dispatch import (
    clocks,
    entry_sessions,
    executor,
    messages,
    polling,
)
from poplardrum.platform import endpoints
from poplardrum.standins import leased

JOB_ID = ids.JobId('5c0e7a21d94b36f8')
DEMAND = messages.Resources(1000, 64, 0)
LEASE_S = 1.0
STOP_TIME_S = 0.01


class FakeLink:
    """Collect the messages that a peer would get."""

    def __init__(self) -> None:
        """Start without messages."""
        self.sent: list[messages.Message] = []
        self.starts_received = 0
        self.closed = False

    def send(self, message: messages.Message) -> None:
        """Keep a message."""
        self.sent.append(message)

    def sent_of(self, kind: type[typing.Any]) -> list[typing.Any]:
        """Return the messages of one kind."""
        return [each for each in self.sent if isinstance(each, kind)]


class FakeEndpoint:
    """Calls to a `LeasedEndpoint` that may lose or delay orders.

    `faults` maps a call (`start`, `stop`, `hold`) to functions that are
    taken one a call: `lost` never arrives, `silent` is carried out without
    an answer, `late` is carried out when `deliver_late` is called.
    """

    def __init__(self, duration: float = 0.05) -> None:
        """Run each task for `duration` seconds."""
        self.duration = duration
        self.leased = leased.LeasedEndpoint(LEASE_S)
        self.faults: dict[str, list[str]] = {}
        self.default_faults: dict[str, str] = {}
        self.delayed: list[typing.Callable[[], object]] = []
        self.incarnation = 1
        self.unreachable = False
        self.succeeds = True
        self.stalled = False
        self.checkpoints: list[str] = []

    def clock_ms(self) -> int:
        """Return the endpoint's clock in milliseconds."""
        return int(clocks.now() * 1000)

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

        def act() -> leased.Start:
            now = clocks.now()
            return self.leased.start(
                leased.Name(start.task, start.run),
                leased.Run(
                    start.specification,
                    now + self.duration,
                    self.succeeds,
                    self.stalled,
                ),
                now=now,
                until=until_ms / 1000,
                token=fencing_token,
            )

        answer = await self._carry_out('start', act)
        if answer is None:
            return endpoints.Reply(endpoints.RequestResult.unanswered)
        kinds = {
            leased.Start.accepted: endpoints.RequestResult.accepted,
            leased.Start.fenced: endpoints.RequestResult.fenced,
            leased.Start.superseded: endpoints.RequestResult.superseded,
            leased.Start.expired: endpoints.RequestResult.expired,
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
                leased.Name(task, run),
                now=clocks.now(),
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
        """Renew the lease and report."""
        answer = await self._carry_out(
            'hold',
            lambda: self.leased.hold(
                now=clocks.now(),
                token=fencing_token,
                seen=last_seen,
                until=None if until_ms is None else until_ms / 1000,
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
        stop_at = clocks.now() + wait_s
        while clocks.now() < stop_at and not self.leased.listed():
            await asyncio.sleep(0.002)
            self.leased.advance(clocks.now())
        return self.report()

    def report(self) -> endpoints.Report:
        """Return what a report lists now."""
        return endpoints.Report(
            self.clock_ms(),
            self.incarnation,
            [
                endpoints.ActiveRun(
                    name.task,
                    name.run,
                    run.progress(clocks.now()),
                )
                for name, run in self.leased.running.items()
            ],
            [
                endpoints.Completion(
                    end.number,
                    end.name.task,
                    end.name.run,
                    endpoints.RunOutcome(end.how),
                )
                for end in self.leased.listed()
            ],
        )

    def deliver_delayed(self) -> None:
        """Carry out all delayed orders."""
        for act in self.delayed:
            act()
        self.delayed.clear()

    async def _carry_out(
        self,
        call: str,
        act: typing.Callable[[], typing.Any],
    ) -> typing.Any:
        await asyncio.sleep(0)
        queued = self.faults.get(call)
        fault = queued.pop(0) if queued else self.default_faults.get(call, '')
        if self.unreachable or fault == 'lost':
            await asyncio.sleep(0.01)
            return None
        if fault == 'late':
            self.delayed.append(act)
            await asyncio.sleep(0.01)
            return None
        answer = act()
        if fault == 'silent':
            await asyncio.sleep(0.01)
            return None
        return answer


class World:
    """An executor with its watch, an endpoint and one entry."""

    def __init__(self, duration: float = 0.05, cpu: int = 4000) -> None:
        """Give the endpoint room for `cpu` thousandths of a core."""
        self.endpoint = FakeEndpoint(duration)
        self.executor = executor.Executor(
            typing.cast(endpoints.EndpointClient, self.endpoint),
            LEASE_S,
            STOP_TIME_S,
        )
        self.cpu_millicores = cpu
        self.sequence = 0
        self.session, self.link = self.connect_entry('front-1')
        self.background_tasks: list[asyncio.Task[None]] = []

    def connect_entry(
        self, node: str
    ) -> tuple[entry_sessions.EntrySession, FakeLink]:
        """Return an entry and its link."""
        owner = entry_sessions.EntrySession(node, ids.new_incarnation())
        link = FakeLink()
        owner.link = typing.cast(messages.Link, link)
        return owner, link

    def send_heartbeat(
        self, state: typing.Literal['ready', 'draining']
    ) -> None:
        """Send a heartbeat of the endpoint."""
        self.sequence += 1
        self.executor.observe_heartbeat(
            endpoints.Heartbeat(
                'intake',
                state,
                self.sequence,
                endpoints.Capacity(self.cpu_millicores, 65536),
                self.endpoint.incarnation,
                self.endpoint.clock_ms(),
            ),
        )

    async def start(self) -> None:
        """Let the executor learn its endpoint."""
        self.send_heartbeat('ready')
        self.background_tasks.append(
            asyncio.ensure_future(polling.EndpointPoller(self.executor).run()),
        )
        await wait_until(self.executor.is_accepting)

    async def stop(self) -> None:
        """Stop the watch."""
        for task in (*self.background_tasks, *self.executor.background_tasks):
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)

    def start_tasks(
        self,
        count: int,
        run: int = 1,
        owner: entry_sessions.EntrySession | None = None,
        job: ids.JobId = JOB_ID,
    ) -> None:
        """Order the start of tasks."""
        self.executor.start(
            owner or self.session,
            messages.StartTasks(
                job,
                'specification',
                DEMAND,
                0.05,
                [messages.RunId(index, run) for index in range(count)],
            ),
        )

    def outcomes(self) -> list[messages.Outcome]:
        """Return the outcomes that the entry has got."""
        return [each.outcome for each in self.link.sent_of(messages.Completion)]

    def refused(self) -> int:
        """Return the number of refused runs."""
        return sum(
            len(each.runs) for each in self.link.sent_of(messages.Refused)
        )


async def wait_until(condition: typing.Callable[[], object]) -> None:
    """Wait for a condition; fail after a generous time."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


SOURCE = random.Random(7)
