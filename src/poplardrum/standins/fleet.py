"""Start a whole system as separate processes on the loopback interface.

The fleet is a tool of demo, tests and measurements; the system's own
processes start no other process.
"""

import contextlib
import dataclasses
import hashlib
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

from poplardrum.standins import http, ports

TOKEN: typing.Final = 'fleet-operator'
_READY_TIMEOUT_S: typing.Final = 60.0
_STOP_TIMEOUT_S: typing.Final = 60.0
_POLL_INTERVAL_S: typing.Final = 0.05


@dataclasses.dataclass(frozen=True)
class WorkerPlan:
    """One worker: its zone, slots and speed."""

    zone: str = 'toledo'
    slots: int = 8
    speed: float = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """A whole system; `settings` are INI lines added by section."""

    workers: tuple[WorkerPlan, ...]
    entries: int = 2
    region: str = 'great-lakes'
    zones: tuple[str, ...] = ('toledo', 'erie', 'buffalo')
    settings: typing.Mapping[str, str] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass
class Process:
    """One process of the fleet and how to start it again."""

    name: str
    arguments: list[str]
    log: pathlib.Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output goes to its log file."""
        with self.log.open('ab') as output:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'poplardrum', *self.arguments],
                stdout=output,
                stderr=output,
            )

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """Return the handle; the process must have been started."""
        if self.popen is None:
            raise RuntimeError(f'{self.name} was not started')
        return self.popen

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.running.send_signal(number)

    def stop(self) -> int:
        """Stop gracefully and return the exit code."""
        if self.running.poll() is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
        return self.wait()

    def pause(self) -> None:
        """Stop the process from running until it is resumed."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run again."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kill at once and wait for the end."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait for the end; kill a process that does not end in time."""
        try:
            return self.running.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.running.kill()
            self.running.wait()
            return -signal.SIGKILL


class Fleet:
    """A running system with its stand-ins."""

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        """Write the settings of all processes into `directory`."""
        self.plan = plan
        self.directory = directory
        numbers = iter(
            ports.free_ports(1 + 2 * plan.entries + 3 * len(plan.workers)),
        )
        self.platform_address = _address(next(numbers))
        self.entry_addresses: list[str] = []
        self.peer_addresses: list[str] = []
        self.agent_addresses: list[str] = []
        self.endpoint_addresses: list[str] = []
        self.platform = self.plan_process(
            'platform',
            ['stand-in', 'platform', '--listen', self.platform_address],
        )
        self.entries = [
            self.plan_entry(index, numbers) for index in range(plan.entries)
        ]
        self.agents: list[Process] = []
        self.endpoints: list[Process] = []
        for index, worker in enumerate(plan.workers):
            self.plan_worker(index, worker, numbers)

    def plan_entry(
        self,
        index: int,
        numbers: typing.Iterator[int],
    ) -> Process:
        """Write the settings of an entry."""
        peers, http_address = _address(next(numbers)), _address(next(numbers))
        self.peer_addresses.append(peers)
        self.entry_addresses.append(http_address)
        zone = self.plan.zones[index % len(self.plan.zones)]
        return self.plan_member('entry', index, zone, peers, http_address)

    def plan_worker(
        self,
        index: int,
        worker: WorkerPlan,
        numbers: typing.Iterator[int],
    ) -> None:
        """Write the settings of an agent and plan its endpoint."""
        peers, http_address = _address(next(numbers)), _address(next(numbers))
        listen = _address(next(numbers))
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
    ) -> Process:
        """Write the settings of one process of the system."""
        name = f'{role}-{index}'
        sections = {
            'process': (
                f'id = {name}\nregion = {self.plan.region}\nzone = {zone}\n'
            ),
            'listen': f'peers = {peers}\nhttp = {http_address}\n',
            'platform': f'address = {self.platform_address}\n',
            'peers': f'bootstrap = {", ".join(self.peer_addresses[:2])}\n',
            'operators': f'token = {TOKEN}\n',
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

    def plan_process(self, name: str, arguments: list[str]) -> Process:
        """Plan one process."""
        return Process(name, arguments, self.directory / f'{name}.log')

    def all_processes(self) -> list[Process]:
        """Return all processes in the order of a planned stop."""
        return [*self.entries, *self.agents, *self.endpoints, self.platform]

    def start(self, rules: typing.Mapping[str, str]) -> None:
        """Start everything, apply the rules and wait until all is ready."""
        for process in reversed(self.all_processes()):
            process.start()
        wait_until(self.all_linked, 'all agents are linked')
        # Agents link by their seeds also while the platform still loads.
        wait_until(self.platform_answers, 'the platform answers')
        self.apply(rules)
        wait_until(self.ready, 'entries and agents are ready')

    def platform_answers(self) -> bool:
        """Tell whether the platform stand-in takes calls."""
        try:
            self.call_platform('GET', '/calls')
        except OSError:
            return False
        return True

    def all_linked(self) -> bool:
        """Tell whether all agents are linked; raise if a process ended."""
        for process in self.all_processes():
            if process.running.poll() is not None:
                lines = process.log.read_text(errors='replace').splitlines()
                raise RuntimeError(f'{process.name} ended: {lines[-3:]}')
        return self.linked() == len(self.agents)

    def stop(self) -> list[int]:
        """Stop everything gracefully and return the exit codes."""
        codes = [
            process.stop()
            for process in self.all_processes()
            if process.popen is not None
        ]
        return codes

    def apply(self, rules: typing.Mapping[str, str], entry: int = 0) -> int:
        """Write rule files in place of what is there; return the number."""
        _, known = self.operator('GET', '/v1/operator/config', entry=entry)
        changes = [
            {
                'name': name,
                'base': known['files'].get(name, {}).get('number', 0),
                'text': text,
            }
            for name, text in rules.items()
        ]
        body = {'edit': os.urandom(8).hex(), 'files': changes}
        status, reply = self.operator(
            'POST',
            '/v1/operator/config',
            body,
            entry=entry,
        )
        if status != 200:
            raise RuntimeError(f'rules were refused: {reply}')
        return int(reply['number'])

    def operator(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        entry: int = 0,
    ) -> tuple[int, typing.Any]:
        """Call the operators' interface of an entry."""
        return http.call(
            method,
            f'http://{self.entry_addresses[entry]}{path}',
            body,
            {'Authorization': f'Bearer {TOKEN}'},
        )

    def status(self, entry: int = 0) -> dict[str, typing.Any]:
        """Return what an entry says of the whole system."""
        _, reply = self.operator('GET', '/v1/operator/status', entry=entry)
        return typing.cast(dict[str, typing.Any], reply)

    def linked(self) -> int:
        """Return the least number of agents with slots at any entry."""
        try:
            counts = [
                sum(row['slots'] > 0 for row in self.status(entry)['members'])
                for entry, _ in enumerate(self.entries)
            ]
        except OSError:
            return 0
        return int(min(counts))

    def ready(self) -> bool:
        """Tell whether all members run by the same configuration."""
        numbers: set[int] = {
            row['config']
            for entry, _ in enumerate(self.entries)
            for row in self.status(entry)['members']
            if row['role'] == 'agent' or row['linked']
        }
        return len(numbers) == 1 and 0 not in numbers

    def error_lines(self) -> list[str]:
        """Return the lines of all logs that report a fault."""
        return [
            f'{process.name}: {line}'
            for process in self.all_processes()
            if process.log.exists()
            for line in process.log.read_text(errors='replace').splitlines()
            if ' ERROR ' in line or line.startswith('Traceback')
        ]

    def row(self, member: str, entry: int = 0) -> dict[str, typing.Any]:
        """Return what an entry says of one member."""
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
        """Call the platform stand-in."""
        return http.call(method, f'http://{self.platform_address}{path}', body)

    def starts_at(self, index: int) -> int:
        """Return how many starts one endpoint has counted."""
        address = self.endpoint_addresses[index]
        _, reply = http.call('GET', f'http://{address}/starts')
        return sum(reply['starts'].values())

    def starts(self) -> dict[str, int]:
        """Return how often each task was started, over all endpoints."""
        total: dict[str, int] = {}
        for address in self.endpoint_addresses:
            with contextlib.suppress(OSError):
                _, reply = http.call('GET', f'http://{address}/starts')
                for task, count in reply['starts'].items():
                    total[task] = total.get(task, 0) + int(count)
        return total


def wait_until(
    condition: typing.Callable[[], bool],
    what: str,
    seconds: float = _READY_TIMEOUT_S,
) -> None:
    """Wait for a condition; raise `TimeoutError` that names it."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'not within {seconds} s: {what}')
        time.sleep(_POLL_INTERVAL_S)


def tenant_rule(name: str, credential: str, share: float = 1) -> str:
    """Return a rule file for one tenant."""
    digest = hashlib.sha256(credential.encode()).hexdigest()
    return f'[tenant {name}]\ncredential_sha256 = {digest}\nshare = {share}\n'


def _address(port: int) -> str:
    return f'127.0.0.1:{port}'
