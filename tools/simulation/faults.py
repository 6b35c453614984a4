"""Faults that a simulation injects at random times."""

import random
import typing

from poplardrum.platform import endpoints
from tools.simulation import endpoint, fleet

_INTERVAL_S: typing.Final = (0.05, 0.6)
_MAX_KINDS: typing.Final = 6
_MAX_PAUSE_S: typing.Final = 5.0
# Until a drained endpoint is replaced by its next incarnation.
_REPLACEMENT_S: typing.Final = 0.3
# Some of an endpoint's requests fail in one way, or all of them.
_REQUEST_FAULTS: typing.Final = (
    endpoint.Faults(lost=0.3),
    endpoint.Faults(unanswered=0.3),
    endpoint.Faults(late=0.3),
    endpoint.Faults(extended=0.3),
    endpoint.Faults(lost=1),
    endpoint.Faults(late=1),
)


class FaultInjector:
    """Inject faults, one after another, some of which overlap."""

    def __init__(self, simulated: fleet.Fleet, stop_at: float) -> None:
        """Inject faults into a fleet until a point in time."""
        self.fleet = simulated
        self.random = random.Random(simulated.random.random())
        self.stop_at = stop_at
        self.log: list[str] = []
        self.kinds: list[typing.Callable[[], str]] = [
            self.kill,
            self.power_off,
            self.pause,
            self.cut,
            self.cut_off,
            self.reset,
            self.crash_endpoint,
            self.fail_requests,
            self.slow_endpoint,
            self.drain_endpoint,
            self.slow_network,
            self.kill_all,
        ]
        # Faults of few hosts meet more often than those of all do.
        self.entry_nodes = self._sample(simulated.entry_nodes)
        self.agent_nodes = self._sample(simulated.agent_nodes)
        # Few kinds in one scenario meet more often than all of them do.
        self.kinds = self.random.sample(
            self.kinds, self.random.randint(2, _MAX_KINDS)
        )

    def inject_next(self) -> None:
        """Inject a fault now and others later."""
        now = self.fleet.simulation.now
        if now >= self.stop_at:
            return
        fault = self.random.choice(self.kinds)
        self.log.append(f'{now:.3f} s {fault.__name__}: {fault()}')
        self.fleet.simulation.call_later(
            self.random.uniform(*_INTERVAL_S), self.inject_next
        )

    def kill(self) -> str:
        """Kill a process."""
        node = self._any_node()
        self.fleet.kill(node, self.random.uniform(0.05, 1.5))
        return node

    def kill_all(self) -> str:
        """Kill all processes at once, or cut their power."""
        power = self.random.choice((True, False))
        for node in self.fleet.entry_nodes + self.fleet.agent_nodes:
            self.fleet.kill(node, self.random.uniform(0.5, 1), power=power)
        return 'power' if power else 'processes'

    def power_off(self) -> str:
        """Cut the power of a host; its peers notice nothing."""
        node = self._any_node()
        self.fleet.kill(node, self.random.uniform(0.1, 2), power=True)
        return node

    def pause(self) -> str:
        """Pause a process."""
        node = self._any_node()
        seconds = self.random.uniform(0.1, _MAX_PAUSE_S)
        member = self.fleet.member(node)
        if member is not None:
            member.process.pause(seconds)
        return f'{node} for {seconds:.3f} s'

    def cut(self) -> str:
        """Cut the path between an entry and an agent, often one way only."""
        return self._cut(
            self.random.choice(self.entry_nodes),
            self.random.choice(self.agent_nodes),
        )

    def cut_off(self) -> str:
        """Cut all paths of a host."""
        node = self._any_node()
        others = (
            self.fleet.agent_nodes
            if node in self.fleet.entry_nodes
            else self.fleet.entry_nodes
        )
        return '; '.join(self._cut(node, other) for other in others)

    def reset(self) -> str:
        """Reset all connections of a host."""
        node = self._any_node()
        self.fleet.network.reset_connections(node)
        return node

    def crash_endpoint(self) -> str:
        """Crash an endpoint, which comes back under its old address."""
        each = self._any_endpoint()
        each.crash(self.random.uniform(0.01, 1))
        return each.name

    def fail_requests(self) -> str:
        """Lose, delay or leave unanswered requests to an endpoint."""
        each = self._any_endpoint()
        seconds = self.random.uniform(0.1, 2.5)
        kinds = self.random.choice(_REQUEST_FAULTS)
        each.faults = kinds._replace(until=self.fleet.simulation.now + seconds)
        return f'{each.name} {each.faults}'

    def slow_endpoint(self) -> str:
        """Make new runs at an endpoint slow, or normal again."""
        each = self._any_endpoint()
        each.speed = self.random.choice((0.1, 0.3, 1.0))
        return f'{each.name} {each.speed}'

    def drain_endpoint(self) -> str:
        """Drain an endpoint and replace it."""
        each = self._any_endpoint()
        each.state = endpoints.DRAINING
        self.fleet.simulation.call_later(
            self.random.uniform(1, 2),
            lambda: each.crash(_REPLACEMENT_S),
        )
        return each.name

    def slow_network(self) -> str:
        """Delay all that is sent between hosts."""
        seconds = self.random.uniform(0.02, 0.25)
        self.fleet.network.extra_delay = seconds
        self.fleet.simulation.call_later(
            self.random.uniform(0.3, 2), self._restore_network
        )
        return f'{seconds:.3f} s'

    def end(self) -> None:
        """Take back the faults that last."""
        self._restore_network()
        for each in self.fleet.endpoints.values():
            each.faults = endpoint.Faults()
            each.speed = 1.0

    def _restore_network(self) -> None:
        self.fleet.network.extra_delay = 0.0

    def _cut(self, first: str, second: str) -> str:
        seconds = self.random.uniform(0.1, 4)
        ways = self.random.choice(('to', 'from', 'both'))
        if ways != 'from':
            self.fleet.network.cut(first, second, seconds)
        if ways != 'to':
            self.fleet.network.cut(second, first, seconds)
        return f'{first} {ways} {second} for {seconds:.3f} s'

    def _sample(self, nodes: list[str]) -> list[str]:
        return self.random.sample(nodes, self.random.randint(1, len(nodes)))

    def _any_node(self) -> str:
        nodes = self.random.choice((self.entry_nodes, self.agent_nodes))
        return self.random.choice(nodes)

    def _any_endpoint(self) -> endpoint.Endpoint:
        return self.fleet.endpoints[self.random.choice(self.agent_nodes)]
