"""The agent's links to entries, and the requests that come over them."""

import asyncio
import contextlib
import logging
import random
import typing

from poplardrum import errors, ids, log_events, network_address
from poplardrum.dispatch import (
    clocks,
    completions,
    connections,
    endpoint_runs,
    entry_links,
    entry_sessions,
    executor,
    keepalive,
    load_reports,
    messages,
    run_checks,
    timing,
)
from poplardrum.platform import settings_file

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S: typing.Final = 0.8
# Short: entries that start together with the agents are reachable within
# tenths of a second.
_MIN_BACKOFF_S: typing.Final = 0.06
_BACKOFF_FACTOR: typing.Final = 1.4
_MAX_BACKOFF_S: typing.Final = 1.0
_RESEND_POLL_INTERVAL_S: typing.Final = 0.25
# While no completion waits for its acknowledgement.
_IDLE_RESEND_POLL_INTERVAL_S: typing.Final = 1.0

OpenConnection = typing.Callable[
    [str, int],
    typing.Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]


class Agent:
    """Connections to all entries, and the entries' requests.

    Each entry has a session, which survives short connection losses.
    """

    def __init__(
        self,
        config: settings_file.ProcessSettings,
        task_executor: executor.Executor,
        open_connection: OpenConnection = asyncio.open_connection,
    ) -> None:
        """Create an agent without connections.

        `open_connection` connects to the address of an entry.
        """
        self.config = config
        self.open_connection = open_connection
        self.executor = task_executor
        self.incarnation = ids.new_incarnation()
        self.sessions: dict[ids.Incarnation, entry_sessions.EntrySession] = {}
        self.links: set[connections.Link] = set()
        self.keep_alive = keepalive.KeepAlive(is_passive=True)
        self.entry_links = entry_links.EntryLinks(
            config.node, config.zone, self._maintain_link, self._link_demand
        )
        self.reporter = load_reports.LoadReporter(
            task_executor,
            self.links,
            config.zone,
            forecasts_room=config.has_short_room,
        )
        task_executor.broadcast_completion = self._broadcast
        task_executor.monitor.crashes.publish = self._broadcast

    def close(self) -> None:
        """Close all connections."""
        self.entry_links.close()
        for link in list(self.links):
            link.abort()

    async def _maintain_link(self, address: network_address.Address) -> None:
        delay = _MIN_BACKOFF_S
        while True:
            try:
                await self._connect(address)
                delay = _MIN_BACKOFF_S
            except (OSError, TimeoutError):
                delay = min(_BACKOFF_FACTOR * delay, _MAX_BACKOFF_S)
            except Exception:
                # One message must not cost the link to an entry for ever.
                self.executor.metrics.increment('errors', 'entry link')
                logger.exception('link to %s failed', address)
                delay = _MAX_BACKOFF_S
            await asyncio.sleep(delay * random.uniform(0.5, 1))

    async def _connect(self, address: network_address.Address) -> None:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            streams = await self.open_connection(*address)
        link = connections.Link(*streams)
        self.entry_links.links[address] = link
        with contextlib.ExitStack() as stack:
            stack.callback(link.abort)
            stack.callback(self.entry_links.links.pop, address, None)
            try:
                await self._serve_entry(link)
            except errors.PoplardrumError as error:
                log_events.emit(
                    logger, 'entry link lost', entry=address, why=error.message
                )

    async def _serve_entry(self, link: connections.Link) -> None:
        link.send(
            messages.AgentHello(
                self.config.node,
                self.config.zone,
                self.incarnation,
            ),
        )
        hello, rest = await link.receive_hello(
            messages.EntryHello, timing.HELLO_TIMEOUT_S
        )
        link.zone = hello.zone
        session = self._open_session(hello)
        session.attach(link)
        self.links.add(link)
        try:
            with self.keep_alive.watch(link):
                self._report_state(session, link)
                await self._receive_messages(session, link, rest)
        finally:
            self.links.discard(link)
            if session.detach(link):
                self._schedule_expiry(session)

    def _open_session(
        self, hello: messages.EntryHello
    ) -> entry_sessions.EntrySession:
        """Return the session of an entry; expire those of its earlier starts."""
        for other in list(self.sessions.values()):
            if other.node == hello.node and (
                other.incarnation != hello.incarnation
            ):
                self._expire_session(other)
        return self.sessions.setdefault(
            hello.incarnation,
            entry_sessions.EntrySession(hello.node, hello.incarnation),
        )

    def _report_state(
        self, session: entry_sessions.EntrySession, link: connections.Link
    ) -> None:
        """Send what an entry needs to know before it sends tasks.

        Completions precede all else: an entry that learns first that a run is
        not active any more, or of free capacity, may start its task again.
        """
        now = clocks.now()
        for retained in self.executor.completions.awaiting_answer():
            if link in self._receivers(retained, now):
                link.send(retained.message)
        for notice in self.executor.monitor.crashes.recent_notices:
            link.send(notice)
        session_runs = self.executor.runs.of_session(session)
        link.send(endpoint_runs.active_runs(session_runs))
        for start_notice in endpoint_runs.start_notices(session_runs):
            link.send(start_notice)
        self.reporter.attach(link)
        log_events.emit(logger, 'entry linked', entry=session.node)

    async def _receive_messages(
        self,
        session: entry_sessions.EntrySession,
        link: connections.Link,
        received: list[messages.AnyMessage],
    ) -> None:
        """Handle messages that were received and those that come."""
        while True:
            for message in received:
                self._handle_message(session, message)
            if link.closed:
                return
            received = await link.receive()

    def _handle_message(
        self, session: entry_sessions.EntrySession, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.StartTasks():
                if session.link is not None:
                    session.link.starts_received += 1
                self.executor.start(session, message)
            case messages.StopTasks():
                self.executor.stop(session, message)
            case messages.CheckRuns():
                run_checks.refuse_unknown(
                    self.executor.runs,
                    self.executor.completions,
                    session,
                    message,
                )
            case messages.Entries():
                self.update_entries(message)
            case messages.EvacuatedZones():
                self.executor.commands.gate.observe(message)
            case messages.CompletionsAcknowledged():
                if self.executor.completions.acknowledge(
                    message.completion_ids
                ):
                    self.executor.report_needed.set()
            case messages.CompletionsOvertaken():
                if self.executor.completions.reject(
                    message.completion_ids, clocks.now()
                ):
                    self.executor.request_report()
            case _:
                pass

    def update_entries(self, entries: messages.Entries) -> None:
        """Link to the entries that suit this agent."""
        self.entry_links.update(entries.revision, entries.entries)
        self.reporter.entry_count = len(self.entry_links.entries)

    def _link_demand(self) -> entry_links.LinkDemand:
        heartbeat = self.executor.status.heartbeat
        return entry_links.LinkDemand(
            heartbeat.service if heartbeat else '',
            self.executor.completions.has_unclaimed(
                self._linked_entries(), clocks.now()
            ),
        )

    def _broadcast(self, message: messages.Message) -> None:
        for link in self.links:
            link.send(message)

    async def resend_completions(self) -> None:
        """Resend unacknowledged completions until cancelled."""
        while True:
            await asyncio.sleep(
                _RESEND_POLL_INTERVAL_S
                if self.executor.completions.unacknowledged
                else _IDLE_RESEND_POLL_INTERVAL_S
            )
            self._resend_completions(clocks.now())
            self._remove_ended_sessions()

    def _resend_completions(self, now: float) -> None:
        due = self.executor.completions.due_for_resend(now)
        for retained in due:
            for link in self._receivers(retained, now):
                link.send(retained.message)
        if any(retained.is_overdue(now) for retained in due):
            # Link to all entries without delay.
            self.entry_links.review(now)

    def _receivers(
        self, retained: completions.RetainedCompletion, now: float
    ) -> typing.Collection[connections.Link]:
        """Return the links to the entries that may own the completion's job.

        That is the entry that started the run. While it has no link, does not
        acknowledge or is unknown, the owner may be any entry.
        """
        session = self.sessions.get(retained.entry) if retained.entry else None
        if session is None or session.link is None:
            return self.links
        return self.links if retained.is_overdue(now) else (session.link,)

    def _linked_entries(self) -> set[ids.Incarnation]:
        return {
            session.incarnation
            for session in self.sessions.values()
            if session.link is not None
        }

    def _schedule_expiry(self, session: entry_sessions.EntrySession) -> None:
        asyncio.get_running_loop().call_later(
            timing.RECONNECT_TIMEOUT_S, self._expire, session, session.losses
        )

    def _expire(
        self, session: entry_sessions.EntrySession, losses: int
    ) -> None:
        # A timer of an earlier loss does not count.
        if session.link is None and session.losses == losses:
            self._expire_session(session)

    def _expire_session(self, session: entry_sessions.EntrySession) -> None:
        """Stop the runs of an entry that is gone.

        Should it come back before they have stopped, it learns of them: its
        tasks must not start elsewhere until then.
        """
        session.expired = True
        self.executor.stop_runs_of(session)
        self._remove_ended_sessions()

    def _remove_ended_sessions(self) -> None:
        for session in list(self.sessions.values()):
            if session.is_over() and session.link is None:
                self.sessions.pop(session.incarnation)
