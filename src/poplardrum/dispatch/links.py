"""Connections of agents to an entry."""

import asyncio
import logging

from poplardrum import errors, ids, ini, log_events
from poplardrum.dispatch import (
    coordinator,
    fleet,
    lifecycle,
    messages,
    timing,
)

logger = logging.getLogger(__name__)


class Links:
    """Connections of all agents to this entry."""

    def __init__(
        self,
        node: str,
        incarnation: ids.Incarnation,
        jobs: coordinator.Coordinator,
    ) -> None:
        """Start without agents."""
        self.node = node
        self.incarnation = incarnation
        self.jobs = jobs
        self.links: set[messages.Link] = set()
        self.entries: list[ini.Address] = []

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one agent until its connection ends."""
        link = messages.Link(reader, writer)
        link.send(
            messages.EntryHello(self.node, self.jobs.zone, self.incarnation)
        )
        with lifecycle.keep_alive(link, timing.PING):
            try:
                await self._converse(link)
            except errors.PoplardrumError as error:
                log_events.emit(logger, 'agent link lost', why=error.message)

    async def _converse(self, link: messages.Link) -> None:
        peer = await self._greet(link)
        try:
            while not link.closed:
                for message in await link.receive(timing.SILENCE):
                    self.jobs.take(peer, message)
        finally:
            self._lost(peer, link)

    def _lost(self, peer: fleet.Agent, link: messages.Link) -> None:
        self.links.discard(link)
        if peer.link is link:
            peer.disconnected()
            self.jobs.detach(peer)
            log_events.emit(logger, 'agent lost', agent=peer.node)

    async def _greet(self, link: messages.Link) -> fleet.Agent:
        first, *rest = await link.receive(timing.SILENCE)
        if not isinstance(first, messages.AgentHello):
            raise errors.uncertain(errors.Code.link_lost, 'no hello')
        peer = self.jobs.agents.get(first.incarnation)
        if peer is None:
            peer = fleet.Agent(first.node, first.zone, first.incarnation)
            self.jobs.attach(peer)
        peer.connected(link)
        self.links.add(link)
        if self.entries:
            link.send(messages.Entries(self.entries))
        log_events.emit(logger, 'agent linked', agent=first.node)
        for message in rest:
            self.jobs.take(peer, message)
        return peer

    def tell(self, entries: list[ini.Address]) -> None:
        """Tell all agents about the entries."""
        if entries == self.entries:
            return
        self.entries = entries
        for link in self.links:
            link.send(messages.Entries(entries))

    def close(self) -> None:
        """End all connections."""
        for link in list(self.links):
            link.abort()
