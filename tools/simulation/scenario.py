"""One simulated scenario: load, faults, recovery and the final checks."""

import contextlib
import random
import typing
from unittest import mock

from poplardrum import ids
from poplardrum.dispatch import clocks, connections
from tools.simulation import callers, faults, fleet, processes, virtual_time

_ENTRY_COUNT: typing.Final = 3
_AGENT_COUNT: typing.Final = 4
_JOBS_PER_S: typing.Final = 14.0
_WARM_UP_S: typing.Final = 3.0
# Time for all links and endpoints to come back after the last fault. Paused
# processes, cuts and late requests last up to 4 s.
_RECOVERY_S: typing.Final = 10.0
# Of an idle fleet.
_MEASURED_S: typing.Final = 5.0
_QUIET_S: typing.Final = 10.0


class Result(typing.NamedTuple):
    """What a scenario found; `log` has the injected faults."""

    seed: int
    jobs: int
    served: int
    violations: list[str]
    log: list[str]

    def text(self) -> str:
        """Return a line, and more after violations."""
        lines = [
            f'seed {self.seed}: {len(self.violations)} violations, '
            f'{self.served} of {self.jobs} jobs served'
        ]
        if self.violations:
            lines += self.log + self.violations
        return '\n'.join(lines)


def run(seed: int, seconds: float) -> Result:
    """Run a scenario with faults for some seconds of virtual time."""
    # Parts of the product choose at random by the module's own generator.
    random.seed(seed)
    rng = random.Random(seed)
    with started_fleet(rng, _ENTRY_COUNT, _AGENT_COUNT) as simulated:
        return _play(simulated, seed, seconds)


def idle_frames(entry_count: int, agent_count: int) -> float:
    """Return the frames a second on all links of a fleet without jobs."""
    with started_fleet(random.Random(1), entry_count, agent_count) as idle:
        idle.simulation.run_until(idle.simulation.now + _WARM_UP_S)
        before = idle.network.frames_sent
        idle.simulation.run_until(idle.simulation.now + _MEASURED_S)
        return (idle.network.frames_sent - before) / _MEASURED_S


@contextlib.contextmanager
def started_fleet(
    rng: random.Random, entry_count: int, agent_count: int
) -> typing.Iterator[fleet.Fleet]:
    """Start a fleet in virtual time and end it at the end of the block."""
    simulation = virtual_time.Simulation()
    with contextlib.ExitStack() as stack:
        for patch in _repeatable(simulation, rng):
            stack.enter_context(patch)
        simulated = fleet.Fleet(simulation, rng, entry_count, agent_count)
        stack.callback(simulated.close)
        yield simulated


def _repeatable(
    simulation: virtual_time.Simulation, rng: random.Random
) -> 'list[mock._patch[typing.Any]]':
    """Return patches that make a scenario depend on its seed alone.

    Sets of links are iterated in the order of their hashes.
    """
    numbers: dict[int, int] = {}
    # Keeps the links, so that no other object gets the id of one.
    known: list[connections.Link] = []

    def link_hash(link: connections.Link) -> int:
        if id(link) not in numbers:
            numbers[id(link)] = len(numbers)
            known.append(link)
        return numbers[id(link)]

    return [
        mock.patch.object(clocks, 'now', lambda: simulation.now),
        mock.patch.object(
            ids, 'new_incarnation', lambda: f'{rng.getrandbits(64):016x}'
        ),
        mock.patch.object(connections.Link, '__hash__', link_hash),
    ]


def _play(simulated: fleet.Fleet, seed: int, seconds: float) -> Result:
    simulation = simulated.simulation
    started_at = simulation.now
    load = callers.Callers(simulated, _JOBS_PER_S)
    stop_at = started_at + _WARM_UP_S + seconds
    injector = faults.FaultInjector(simulated, stop_at)
    simulation.call_later(1, load.submit_next)
    simulation.call_later(_WARM_UP_S, injector.inject_next)
    simulation.run_until(stop_at)
    injector.end()
    simulation.run_until(stop_at + _RECOVERY_S)
    load.stopped = True
    simulation.run_until(stop_at + _RECOVERY_S + _QUIET_S)
    ledger = simulated.ledger
    ledger.check_refusals()
    _check_recovered(simulated)
    return Result(
        seed,
        load.last_job,
        load.served,
        ledger.violations + simulation.exceptions,
        injector.log,
    )


def _check_recovered(simulated: fleet.Fleet) -> None:
    """Check that all agents are in use again and nothing is left behind."""
    ledger = simulated.ledger
    for node, agent in simulated.agents.items():
        if not agent.executor.is_accepting():
            ledger.record_violation('agent does not accept', node)
        if agent.executor.runs:
            ledger.record_violation(
                'runs left', f'{agent.executor.runs.values()}'
            )
    for entry in simulated.entries.values():
        _check_entry(entry, simulated)


def _check_entry(entry: processes.EntryProcess, simulated: fleet.Fleet) -> None:
    """Check that an entry has no jobs left and knows all agents as free."""
    node = entry.process.name
    ledger = simulated.ledger
    agents = entry.coordinator.agents.values()
    if entry.coordinator.jobs:
        ledger.record_violation('jobs left', f'{node} {entry.coordinator.jobs}')
    known = sorted(each.node for each in agents)
    if known != simulated.agent_nodes:
        ledger.record_violation('agents known', f'{node} {known}')
    for each in agents:
        if not each.is_usable() or each.free != each.capacity:
            ledger.record_violation('agent not free', f'{node} {each.node}')
        if each.placed:
            ledger.record_violation('tasks left', f'{node} {each.placed}')
