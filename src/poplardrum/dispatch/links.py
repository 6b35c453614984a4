"""Connections of agents to an entry."""

import asyncio
import logging

from poplardrum import errors, ids, log_events
from poplardrum.dispatch import (
    connections,
    coordinator,
    fleet,
    keepalive,
    messages,
    metrics,
    peer_guard,
    process_guard,
    run_audit,
    timing,
)

logger = logging.getLogger(__name__)


class AgentLinks:
    """Serves the connections of agents and sends them the entry addresses."""

    def __init__(
        self,
        node: str,
        incarnation: ids.Incarnation,
        job_coordinator: coordinator.Coordinator,
        guard: process_guard.ProcessGuard | None = None,
    ) -> None:
        """Start without connections; without a guard, with one of its own."""
        guard = guard or process_guard.for_process(metrics.Metrics())
        self.guard = peer_guard.PeerGuard(guard.at('peers'))
        self.node = node
        self.incarnation = incarnation
        self.coordinator = job_coordinator
        self.links: set[connections.Link] = set()
        self.entries = messages.Entries(0, [])
        self.evacuated_zones: messages.EvacuatedZones | None = None
        self.keep_alive = keepalive.KeepAlive()
        self.run_audit = run_audit.RunAudit(job_coordinator)
        self.keep_alive.continuity = job_coordinator.continuity
        self.grant_owner_lease: connections.GrantOwnerLease | None = None

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection until it is closed or lost."""
        link = connections.Link(reader, writer, self.grant_owner_lease)
        link.send(
            messages.EntryHello(
                self.node, self.coordinator.zone, self.incarnation
            )
        )
        with self.keep_alive.watch(link), self.guard.watch(link) as connection:
            try:
                await self._receive_messages(link, connection)
            except errors.PoplardrumError as error:
                log_events.emit(logger, 'agent link lost', why=error.message)

    async def _receive_messages(
        self, link: connections.Link, connection: peer_guard.PeerConnection
    ) -> None:
        peer = await self._handshake(link)
        connection.identify()
        try:
            while not link.closed:
                for message in await link.receive():
                    self.coordinator.handle_message(peer, message)
        finally:
            self._disconnect(peer, link)

    def _disconnect(self, peer: fleet.Agent, link: connections.Link) -> None:
        self.links.discard(link)
        if peer.link is link:
            peer.on_disconnected()
            self.coordinator.schedule_expiry(peer)
            log_events.emit(logger, 'agent lost', agent=peer.node)

    async def _handshake(self, link: connections.Link) -> fleet.Agent:
        first, rest = await link.receive_hello(
            messages.AgentHello, timing.LINK_TIMEOUT_S
        )
        peer = self.coordinator.agents.get(first.incarnation)
        if peer is None:
            peer = fleet.Agent(first.node, first.zone, first.incarnation)
            self.coordinator.add_agent(peer)
        peer.on_connected(link)
        self.links.add(link)
        if self.entries.entries:
            link.send(self.entries)
        if self.evacuated_zones is not None:
            link.send(self.evacuated_zones)
        log_events.emit(logger, 'agent linked', agent=first.node)
        for message in rest:
            self.coordinator.handle_message(peer, message)
        return peer

    def send_entries(self, entries: messages.Entries) -> None:
        """Send all entries to all agents if they have changed."""
        if entries.entries == self.entries.entries:
            return
        self.entries = entries
        for link in self.links:
            link.send(entries)

    def send_evacuated_zones(self, zones: messages.EvacuatedZones) -> None:
        """Send the evacuated zones to all agents, now and when they link."""
        self.evacuated_zones = zones
        for link in self.links:
            link.send(zones)

    def close(self) -> None:
        """Abort all connections."""
        for link in list(self.links):
            link.abort()
