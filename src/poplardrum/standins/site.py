"""A whole system on loopback: entries and agents between stand-ins.

Entries and agents are real processes; the store and the endpoints are
stand-ins in this process. Each host has a loopback address of its own, since
all hosts of a site use the same ports.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import tempfile
import typing

from aiohttp import web

from poplardrum import ini
from poplardrum.standins import kv, ports, worker

_SOURCE_FOLDER: typing.Final = pathlib.Path(__file__).resolve().parents[2]
_ROUTE_HOST: typing.Final = 'jobs.example'
_ROUTE_PREFIX: typing.Final = '/jobs/'
_CONFIG_KEY: typing.Final = 'op/config'
_KILL_TIMEOUT_S: typing.Final = 10.0


class Host:
    """A host of the system: its process and the settings."""

    def __init__(self, role: str, settings: dict[str, typing.Any]) -> None:
        """Create a host whose process is not started yet."""
        self.role = role
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, folder: pathlib.Path) -> None:
        """Write the settings and start the process; append to its log file."""
        name = self.settings['NodeName']
        path = folder / f'{name}.json'
        path.write_text(json.dumps(self.settings))
        with (folder / f'{name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-S', '-m', 'poplardrum.dispatch', self.role],
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'PYTHONPATH': _python_path(),
                    'POPLARDRUM_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_alive() and self.process is not None:
            self.process.send_signal(number)

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait, _KILL_TIMEOUT_S)


def _python_path() -> str:
    """Return the folders of the package and its libraries.

    As in `deploy/system.toml`, a process runs without site-packages.
    """
    return os.pathsep.join((str(_SOURCE_FOLDER), sysconfig.get_path('purelib')))


class LocalSite:
    """Store, endpoints, entries and agents on one machine."""

    def __init__(
        self,
        entries: int,
        agents: int,
        profile: worker.EndpointProfile,
        first_host: int = 10,
    ) -> None:
        """Choose ports and create hosts and stand-ins.

        `first_host` is the last byte of the first address; sites that run on
        one machine at the same time need different ranges.
        """
        self.entries: list[Host] = []
        self.agents: list[Host] = []
        self.workers: list[worker.WorkerStandIn] = []
        self.store = kv.KvStandIn()
        chosen_ports = ports.free_ports(5)
        (
            self.front_port,
            self.ready_port,
            self.control_port,
            self.peers_port,
            self.app_port,
        ) = chosen_ports
        self.store_address = ('127.0.0.1', ports.free_ports(1)[0])
        self.stack = contextlib.AsyncExitStack()
        self.folder = pathlib.Path()
        self.config_version = 0
        addresses = [
            f'127.0.0.{first_host + index}' for index in range(entries + agents)
        ]
        self.seeds = [f'{ip}:{self.control_port}' for ip in addresses[:entries]]
        for ip in addresses[:entries]:
            self.entries.append(Host('front', self._settings('front', ip)))
        for ip in addresses[entries:]:
            settings = self._settings('side', ip)
            settings['app'] = f'{ip}:{self.app_port}'
            self.agents.append(Host('side', settings))
            self.workers.append(
                worker.WorkerStandIn(
                    f'i-{ip}',
                    (ip, self.control_port),
                    profile,
                ),
            )

    async def __aenter__(self) -> typing.Self:
        """Start the store, the endpoints and the processes."""
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory()),
        )
        await self._serve(self.store.application(), self.store_address)
        self.configure()
        for stand_in in self.workers:
            ip = stand_in.agent_address[0]
            await self._serve(stand_in.application(), (ip, self.app_port))
            heartbeats = asyncio.ensure_future(stand_in.send_heartbeats())
            self.stack.callback(heartbeats.cancel)
        for host in (*self.entries, *self.agents):
            host.start(self.folder)
            self.stack.push_async_callback(host.kill)
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Stop the processes and the stand-ins."""
        await self.stack.aclose()

    def configure(self, prefix: str = _ROUTE_PREFIX) -> int:
        """Write the next configuration and return its version."""
        self.config_version += 1
        document = {
            'Version': self.config_version,
            'Routes': [
                {
                    'Name': 'r-1',
                    'Host': _ROUTE_HOST,
                    'Prefix': prefix,
                    'Service': 'intake',
                    'MaxAttempts': 3,
                    'Stretch': 1.6,
                    'TargetLatencyMs': 60,
                },
            ],
        }
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.put(_CONFIG_KEY, text)
        return self.config_version

    def url(self, entry: int, path: str) -> str:
        """Return the URL of a path at the entry with an index."""
        ip = self.entries[entry].settings['IpAddress']
        return f'http://{ip}:{self.front_port}{path}'

    def ready_url(self, entry: int) -> str:
        """Return the readiness URL of the entry with an index."""
        ip = self.entries[entry].settings['IpAddress']
        return f'http://{ip}:{self.ready_port}/readiness'

    def log_events(self, host: Host) -> list[dict[str, typing.Any]]:
        """Return the log events of a host, decoded from its log file."""
        path = self.folder / f'{host.settings["NodeName"]}.log'
        return [
            json.loads(line)
            for line in path.read_text().splitlines()
            if line.startswith('{')
        ]

    def _settings(self, role: str, ip: str) -> dict[str, typing.Any]:
        listen = {'Control': f'{ip}:{self.control_port}'}
        if role == 'front':
            listen['Front'] = f'{ip}:{self.front_port}'
            listen['Ready'] = f'{ip}:{self.ready_port}'
        host, port = self.store_address
        return {
            'NodeName': f'{role}-{ip}',
            'IpAddress': ip,
            'Zone': 'toledo',
            'ListenAddresses': listen,
            'InternalPorts': [self.peers_port, self.peers_port],
            'SeedNodes': self.seeds,
            'Bounds': {'GraceS': 6, 'MaxHoldMs': 1000},
            'platform': {'Address': f'{host}:{port}'},
        }

    async def _serve(
        self,
        application: web.Application,
        address: ini.Address,
    ) -> None:
        runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *address).start()


def submission(tasks: int, specification: str) -> dict[str, typing.Any]:
    """Return the body of a job with one step that is not stored."""
    return {
        'Specification': specification,
        'BestEffort': True,
        'Steps': [
            {
                'Count': tasks,
                'Cpu': 1000,
                'RequestedMemoryMb': 64,
                'EstimatedMs': 50,
            },
        ],
    }


ROUTE_HEADERS: typing.Final = {'Host': _ROUTE_HOST}
