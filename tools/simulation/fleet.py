"""A simulated fleet: entries, agents, their endpoints and the network."""

import random
import typing

from poplardrum.platform import endpoints
from tools.simulation import (
    checks,
    endpoint,
    network,
    processes,
    virtual_time,
)

_CAPACITY: typing.Final = endpoints.Capacity(8000, 1000)

Member = processes.EntryProcess | processes.AgentProcess


class Fleet:
    """All processes by host, and how to end and replace them."""

    def __init__(
        self,
        simulation: virtual_time.Simulation,
        rng: random.Random,
        entry_count: int,
        agent_count: int,
    ) -> None:
        """Start all processes."""
        self.simulation = simulation
        self.random = rng
        self.ledger = checks.Ledger(self.simulation)
        self.network = network.Network(self.simulation, rng)
        self.entry_nodes = [f'front-{each}' for each in range(entry_count)]
        self.agent_nodes = [f'side-{each}' for each in range(agent_count)]
        self.endpoints = {
            node: endpoint.Endpoint(
                self.simulation, self.ledger, rng, node, _CAPACITY
            )
            for node in self.agent_nodes
        }
        self.ledger.endpoints.extend(self.endpoints.values())
        self.entries: dict[str, processes.EntryProcess] = {}
        self.agents: dict[str, processes.AgentProcess] = {}
        self.ended: list[virtual_time.Process] = []
        # Called with each process that ends and whether its peers notice.
        self.on_end: typing.Callable[[virtual_time.Process, bool], None] = (
            lambda process, noticed: None
        )
        for node in self.entry_nodes + self.agent_nodes:
            self.start(node)
        for each in self.endpoints.values():
            self.simulation.call_later(rng.uniform(0, 1), each.beat)

    def start(self, node: str) -> None:
        """Start the process of a host."""
        self.network.dark_hosts.discard(node)
        if node in self.entry_nodes:
            self.entries[node] = processes.EntryProcess(
                self.simulation, self.network, node, self.entry_nodes
            )
            return
        self.agents[node] = processes.AgentProcess(
            self.simulation,
            self.network,
            node,
            self.endpoints[node],
            self.entry_nodes,
        )

    def member(self, node: str) -> Member | None:
        """Return the process of a host unless it is down."""
        return self.entries.get(node) or self.agents.get(node)

    def kill(self, node: str, seconds: float, *, power: bool = False) -> None:
        """End the process of a host and start it again after some seconds.

        Without `power`, the host resets the connections of the process.
        """
        member = self.member(node)
        if member is None:
            return
        self.entries.pop(node, None)
        self.agents.pop(node, None)
        if node in self.endpoints:
            self.endpoints[node].send_heartbeat = None
        if power:
            self.network.power_off(node)
        else:
            self.network.reset_connections(node)
        member.process.kill()
        self.ended.append(member.process)
        self.on_end(member.process, not power)
        self.simulation.call_later(seconds, lambda: self.start(node))

    def close(self) -> None:
        """Release the event loops of all processes, also of ended ones."""
        alive = list(self.simulation.processes)
        for process in alive:
            process.kill()
        for process in self.ended + alive:
            process.close()
