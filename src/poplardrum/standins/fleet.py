"""Start a whole system as separate processes on the loopback interface.

Used by the demo, tests and benchmarks only: entries and agents start no
other process.
"""

import contextlib
import dataclasses
import hashlib
import os
import pathlib
import time
import typing

from poplardrum.standins import http, ports, processes

OPERATOR_TOKEN: typing.Final = 'fleet-operator'
_READY_TIMEOUT_S: typing.Final = 60.0
_POLL_INTERVAL_S: typing.Final = 0.05


@dataclasses.dataclass(frozen=True)
class WorkerPlan:
    """Zone, slots and speed of a worker, an agent with its endpoint."""

    zone: str = 'toledo'
    slots: int = 8
    speed: float = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Processes of a system; `settings` has extra INI lines by section."""

    workers: tuple[WorkerPlan, ...]
    entries: int = 2
    region: str = 'great-lakes'
    zones: tuple[str, ...] = ('toledo', 'erie', 'buffalo')
    settings: typing.Mapping[str, str] = dataclasses.field(
        default_factory=dict,
    )


class Fleet:
    """Entries, agents, endpoints and a platform as local processes."""

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        """Choose ports and write the settings files into `directory`."""
        self.plan = plan
        self.directory = directory
        port_numbers = iter(
            ports.free_ports(1 + 2 * plan.entries + 3 * len(plan.workers)),
        )
        self.platform_address = _address(next(port_numbers))
        self.entry_addresses: list[str] = []
        self.peer_addresses: list[str] = []
        self.agent_addresses: list[str] = []
        self.endpoint_addresses: list[str] = []
        self.platform = self.plan_process(
            'platform',
            ['stand-in', 'platform', '--listen', self.platform_address],
        )
        self.entries = [
            self.plan_entry(index, port_numbers)
            for index in range(plan.entries)
        ]
        self.agents: list[processes.Process] = []
        self.endpoints: list[processes.Process] = []
        for index, worker in enumerate(plan.workers):
            self.plan_worker(index, worker, port_numbers)

    def plan_entry(
        self,
        index: int,
        port_numbers: typing.Iterator[int],
    ) -> processes.Process:
        """Write the settings of an entry and return its process."""
        peers, http_address = (
            _address(next(port_numbers)),
            _address(next(port_numbers)),
        )
        self.peer_addresses.append(peers)
        self.entry_addresses.append(http_address)
        zone = self.plan.zones[index % len(self.plan.zones)]
        return self.plan_member('entry', index, zone, peers, http_address)

    def plan_worker(
        self,
        index: int,
        worker: WorkerPlan,
        port_numbers: typing.Iterator[int],
    ) -> None:
        """Write the settings of an agent; add it and its endpoint."""
        peers, http_address = (
            _address(next(port_numbers)),
            _address(next(port_numbers)),
        )
        listen = _address(next(port_numbers))
        self.agent_addresses.append(http_address)
        self.endpoint_addresses.append(listen)
        self.agents.append(
            self.plan_member('agent', index, worker.zone, peers, http_address),
        )
        arguments = ['stand-in', 'endpoint', '--listen', listen]
        arguments += ['--agent', http_address, '--slots', str(worker.slots)]
        arguments += ['--speed', str(worker.speed)]
        self.endpoints.append(self.plan_process(f'endpoint-{index}', arguments))

    def plan_member(
        self,
        role: str,
        index: int,
        zone: str,
        peers: str,
        http_address: str,
    ) -> processes.Process:
        """Write the settings of an entry or agent and return its process."""
        name = f'{role}-{index}'
        sections = {
            'process': (
                f'id = {name}\nregion = {self.plan.region}\nzone = {zone}\n'
            ),
            'listen': f'peers = {peers}\nhttp = {http_address}\n',
            'platform': f'address = {self.platform_address}\n',
            'peers': f'bootstrap = {", ".join(self.peer_addresses[:2])}\n',
            'operators': f'token = {OPERATOR_TOKEN}\n',
            'limits': 'balancer = 100 ms\n',
        }
        for section, lines in self.plan.settings.items():
            sections[section] = sections.get(section, '') + lines
        path = self.directory / f'{name}.ini'
        path.write_text(
            '\n'.join(
                f'[{section}]\n{lines}' for section, lines in sections.items()
            ),
        )
        return self.plan_process(name, [role, '--settings', str(path)])

    def plan_process(
        self, name: str, arguments: list[str]
    ) -> processes.Process:
        """Return a process that is not started yet."""
        return processes.Process(
            name, arguments, self.directory / f'{name}.log'
        )

    def all_processes(self) -> list[processes.Process]:
        """Return all processes in the order in which they are stopped."""
        return [*self.entries, *self.agents, *self.endpoints, self.platform]

    def start(self, rules: typing.Mapping[str, str]) -> None:
        """Start all processes, apply the rules and wait until it is ready."""
        for process in reversed(self.all_processes()):
            process.start()
        wait_until(self.all_linked, 'all agents are linked')
        # Agents link through their bootstrap peers even before the platform
        # listens, and rules applied before it listens are refused.
        wait_until(self.platform_answers, 'the platform answers')
        self.apply(rules)
        wait_until(self.is_ready, 'entries and agents are ready')

    def platform_answers(self) -> bool:
        """Return whether the platform stand-in replies to calls."""
        try:
            self.call_platform('GET', '/calls')
        except OSError:
            return False
        return True

    def all_linked(self) -> bool:
        """Return whether all agents are linked; raise if a process ended."""
        for process in self.all_processes():
            if process.handle.poll() is not None:
                lines = process.log.read_text(errors='replace').splitlines()
                raise RuntimeError(f'{process.name} ended: {lines[-3:]}')
        return self.count_linked_agents() == len(self.agents)

    def stop(self) -> list[int]:
        """Stop all started processes and return their exit codes."""
        codes = [
            process.stop()
            for process in self.all_processes()
            if process.popen is not None
        ]
        return codes

    def apply_everywhere(
        self, rules: typing.Mapping[str, str], entry: int = 0
    ) -> None:
        """Write rule files and wait until every entry has applied them.

        Raises `RuntimeError` if the edit is refused.
        """
        number = self.apply(rules, entry)
        wait_until(
            lambda: all(
                self.status(index)['config'] >= number
                for index, _ in enumerate(self.entries)
            ),
            f'configuration {number} is applied',
        )

    def apply(self, rules: typing.Mapping[str, str], entry: int = 0) -> int:
        """Write or replace rule files and return the new number.

        Raises `RuntimeError` if the edit is refused.
        """
        _, stored = self.call_operator_api(
            'GET', '/v1/operator/config', entry=entry
        )
        changes = [
            {
                'name': name,
                'base': stored['files'].get(name, {}).get('number', 0),
                'text': text,
            }
            for name, text in rules.items()
        ]
        body = {'edit': os.urandom(8).hex(), 'files': changes}
        status, reply = self.call_operator_api(
            'POST',
            '/v1/operator/config',
            body,
            entry=entry,
        )
        if status != 200:
            raise RuntimeError(f'rules were refused: {reply}')
        return int(reply['number'])

    def call_operator_api(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        entry: int = 0,
    ) -> tuple[int, typing.Any]:
        """Call the operators' API of an entry; return status and reply."""
        return http.call(
            method,
            f'http://{self.entry_addresses[entry]}{path}',
            body,
            {'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        )

    def status(self, entry: int = 0) -> dict[str, typing.Any]:
        """Return the status of the system as an entry reports it."""
        _, reply = self.call_operator_api(
            'GET', '/v1/operator/status', entry=entry
        )
        return typing.cast(dict[str, typing.Any], reply)

    def count_linked_agents(self) -> int:
        """Return the least number of agents with slots at any entry.

        Returns 0 if an entry does not reply.
        """
        try:
            counts = [
                sum(row['slots'] > 0 for row in self.status(entry)['members'])
                for entry, _ in enumerate(self.entries)
            ]
        except OSError:
            return 0
        return int(min(counts))

    def is_ready(self) -> bool:
        """Return whether all entries report one configuration for all members.

        Agents count even when they are not linked.
        """
        numbers: set[int] = {
            row['config']
            for entry, _ in enumerate(self.entries)
            for row in self.status(entry)['members']
            if row['role'] == 'agent' or row['linked']
        }
        return len(numbers) == 1 and 0 not in numbers

    def error_lines(self) -> list[str]:
        """Return the lines of all logs that report an error or traceback."""
        return [
            f'{process.name}: {line}'
            for process in self.all_processes()
            if process.log.exists()
            for line in process.log.read_text(errors='replace').splitlines()
            if ' ERROR ' in line or line.startswith('Traceback')
        ]

    def member_status(
        self, member: str, entry: int = 0
    ) -> dict[str, typing.Any]:
        """Return a member's status as an entry reports it.

        A member that the entry does not list has the state `unknown`.
        """
        for row in self.status(entry)['members']:
            if row['id'] == member:
                return typing.cast(dict[str, typing.Any], row)
        return {'id': member, 'state': 'unknown', 'linked': False, 'slots': 0}

    def call_platform(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
    ) -> tuple[int, typing.Any]:
        """Call the platform stand-in; return status and reply."""
        return http.call(method, f'http://{self.platform_address}{path}', body)

    def endpoint_starts(self, index: int) -> int:
        """Return the number of task starts at one endpoint."""
        address = self.endpoint_addresses[index]
        _, reply = http.call('GET', f'http://{address}/starts')
        return sum(reply['starts'].values())

    def starts(self) -> dict[str, int]:
        """Return the number of starts by task, over all reachable endpoints."""
        total: dict[str, int] = {}
        for address in self.endpoint_addresses:
            with contextlib.suppress(OSError):
                _, reply = http.call('GET', f'http://{address}/starts')
                for task, count in reply['starts'].items():
                    total[task] = total.get(task, 0) + int(count)
        return total


def wait_until(
    condition: typing.Callable[[], bool],
    description: str,
    timeout_s: float = _READY_TIMEOUT_S,
) -> None:
    """Poll a condition until it is true; raise `TimeoutError` with its name."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'not within {timeout_s} s: {description}')
        time.sleep(_POLL_INTERVAL_S)


def tenant_rule(name: str, credential: str, share: float = 1) -> str:
    """Return the text of a rule file for one tenant."""
    digest = hashlib.sha256(credential.encode()).hexdigest()
    return f'[tenant {name}]\ncredential_sha256 = {digest}\nshare = {share}\n'


def _address(port: int) -> str:
    return f'127.0.0.1:{port}'
