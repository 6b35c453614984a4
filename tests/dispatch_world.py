"""Test fixture: an agent's executor, its entries and endpoint, without a network."""

import asyncio
import contextlib
import math
import random
import typing

from poplardrum import ids
from poplardrum.dispatch import (
    cancel_reads,
    clocks,
    confirmation,
    connections,
    entry_sessions,
    executor,
    messages,
    owner_lease,
    polling,
)
from poplardrum.platform import endpoints
from tests import fake_endpoint

JOB_ID = ids.JobId('5c0e7a21d94b36f8')
DEMAND = messages.Resources(1000, 64, 0)
LEASE_S = fake_endpoint.LEASE_S
STOP_TIME_S = 0.01
OWNER_LEASE = messages.OwnerLeaseGrant(3600.0, 3600.0)


class FakeLink:
    """Record the messages that would be sent to a peer."""

    def __init__(self) -> None:
        """Create a link without messages."""
        self.sent: list[messages.Message] = []
        self.starts_received = 0
        self.closed = False
        self.is_stale = False
        self.is_busy = False
        self.confirmation = confirmation.Confirmation()
        self.owner_lease = owner_lease.OwnerLease()
        self.asked_for_lease_at: list[float] = []
        self.is_confirmed = asyncio.Event()
        self.is_confirmed.set()

    def as_link(self) -> connections.Link:
        """Return this link as what the product takes it for."""
        return typing.cast(connections.Link, self)

    def send(self, message: messages.Message) -> None:
        """Record a message."""
        self.sent.append(message)

    async def confirm(self, timeout_s: float) -> bool:
        """Return whether the peer replies to a ping."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.is_confirmed.wait()
        return self.is_confirmed.is_set()

    async def ask_for_owner_lease(self, since: float, timeout_s: float) -> bool:
        """Return whether the entry has a lease; it answers no question."""
        self.asked_for_lease_at.append(since)
        return self.owner_lease.may_start(clocks.now())

    def ping_if_older(self, time: float) -> None:
        """Record a ping in place of the confirmation's own."""
        if self.confirmation.pinged_at < time:
            self.sent.append(self.confirmation.next_ping(clocks.now()))

    @property
    def last_received_at(self) -> float:
        """Return the present time: the peer is always heard of."""
        return clocks.now()

    def set_busy(self, busy: bool) -> None:
        """Record whether this side depends on the peer."""
        self.is_busy = busy

    def sent_of(self, kind: type[typing.Any]) -> list[typing.Any]:
        """Return the messages of one kind."""
        return [each for each in self.sent if isinstance(each, kind)]


class AgentConfig(typing.NamedTuple):
    """The settings that an agent's links use."""

    node: str = 'side-1'
    zone: str = 'toledo'
    has_short_room: bool = False


class World:
    """An executor with its poller, a fake endpoint and one entry."""

    def __init__(self, duration: float = 0.05, cpu: int = 4000) -> None:
        """Create an endpoint with `cpu` thousandths of a core."""
        self.endpoint = fake_endpoint.FakeEndpoint(duration)
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
        """Connect an entry that owns its jobs; return its session and link."""
        session = entry_sessions.EntrySession(node, ids.new_incarnation())
        link = FakeLink()
        session.link = typing.cast(connections.Link, link)
        link.owner_lease = session.owner_lease
        session.owner_lease.renew(clocks.now(), OWNER_LEASE)
        return session, link

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
        """Send a heartbeat, start the poller and wait until tasks are accepted."""
        self.send_heartbeat('ready')
        self.background_tasks.append(
            asyncio.ensure_future(polling.EndpointPoller(self.executor).run()),
        )
        await wait_until(self.executor.is_accepting)

    async def stop(self) -> None:
        """Cancel the poller and the executor's background tasks."""
        for task in self.background_tasks:
            task.cancel()
        self.executor.background.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)

    def start_tasks(
        self,
        count: int,
        run: int = 1,
        session: entry_sessions.EntrySession | None = None,
        job: ids.JobId = JOB_ID,
        *,
        stored: bool = False,
    ) -> None:
        """Send a command to start tasks."""
        self.executor.start(
            session or self.session,
            messages.StartTasks(
                job,
                'specification',
                DEMAND,
                0.05,
                [messages.RunId(index, run) for index in range(count)],
                stored=stored,
            ),
        )

    def stop_tasks(
        self,
        indexes: typing.Iterable[int],
        run: int = 1,
        session: entry_sessions.EntrySession | None = None,
    ) -> None:
        """Send a command to stop runs."""
        self.executor.stop(
            session or self.session,
            messages.StopTasks(
                JOB_ID, [messages.RunId(index, run) for index in indexes]
            ),
        )

    def outcomes(self) -> list[messages.Outcome]:
        """Return the outcomes of the completions sent to the entry."""
        return [each.outcome for each in self.link.sent_of(messages.Completion)]

    def refused(self) -> int:
        """Return the number of refused runs."""
        return sum(
            len(each.runs) for each in self.link.sent_of(messages.Refused)
        )


def unbounded_cancel_reads() -> cancel_reads.CancelReads:
    """Return reads of any age, for entries that read no cancel requests."""
    return cancel_reads.CancelReads(math.inf)


async def wait_until(condition: typing.Callable[[], object]) -> None:
    """Wait until a condition holds; fail after 20 s."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


SOURCE = random.Random(7)
