"""Thin command line over the plain functions in `commands`."""

import dataclasses
import pathlib
import sys
import typing

import cappa

from poplardrum import VERSION, cli_config, errors

USAGE_EXIT_CODE: typing.Final = 2
FAILURE_EXIT_CODE: typing.Final = 1

Settings = typing.Annotated[
    pathlib.Path,
    cappa.Arg(long='--settings', short='-s', help='Settings file (INI).'),
]
Entry = typing.Annotated[
    str,
    cappa.Arg(long='--entry', help='Address of an entry, IP:port.'),
]
Token = typing.Annotated[
    str,
    cappa.Arg(long='--token', help="The operators' token."),
]


@cappa.command(name='entry', help='Run an entry.')
@dataclasses.dataclass
class EntryCommand:
    """Run an entry until it gets a stop signal."""

    settings: Settings

    def __call__(self) -> int:
        """Run the process."""
        from poplardrum.commands import processes

        return processes.run_entry(self.settings)


@cappa.command(name='agent', help='Run an agent beside an endpoint.')
@dataclasses.dataclass
class AgentCommand:
    """Run an agent until it gets a stop signal."""

    settings: Settings

    def __call__(self) -> int:
        """Run the process."""
        from poplardrum.commands import processes

        return processes.run_agent(self.settings)


@cappa.command(name='stand-in', help='Run a stand-in of an outside system.')
@dataclasses.dataclass
class StandInCommand:
    """Run a small stand-in for trials: a platform or an endpoint."""

    kind: typing.Annotated[
        typing.Literal['platform', 'endpoint'],
        cappa.Arg(help='What to stand in for.'),
    ]
    listen: typing.Annotated[
        str,
        cappa.Arg(long='--listen', help='IP:port to listen on.'),
    ]
    agent: typing.Annotated[
        str,
        cappa.Arg(long='--agent', help='HTTP address of the agent.'),
    ] = ''
    slots: typing.Annotated[
        int,
        cappa.Arg(long='--slots', help='Slots of the endpoint.'),
    ] = 8
    speed: typing.Annotated[
        float,
        cappa.Arg(long='--speed', help='Speed of the endpoint.'),
    ] = 1.0

    def __call__(self) -> int:
        """Run the stand-in."""
        from poplardrum.commands import processes

        return processes.run_stand_in(
            self.kind,
            self.listen,
            self.agent,
            self.slots,
            self.speed,
        )


@cappa.command(name='submit', help='Submit a job and print its answer.')
@dataclasses.dataclass
class SubmitCommand:
    """Submit a job; exit code 0 complete, 1 failed, 3 refused."""

    job: typing.Annotated[
        pathlib.Path,
        cappa.Arg(help='Job file (JSON).'),
    ]
    entry: typing.Annotated[
        str,
        cappa.Arg(long='--entry', help='Addresses of entries: A[,B].'),
    ]
    credential: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long='--credential-file', help='File of the credential.'),
    ]
    key: typing.Annotated[
        str,
        cappa.Arg(long='--key', help='Idempotency key; default is random.'),
    ] = ''
    as_json: typing.Annotated[
        bool,
        cappa.Arg(long='--json', help='Print the reply as JSON.'),
    ] = False

    def __call__(self) -> int:
        """Submit and print."""
        from poplardrum.commands import jobs

        return jobs.submit(
            self.job,
            self.entry,
            self.credential,
            self.key,
            as_json=self.as_json,
        )


@cappa.command(name='status', help='Print members, tenants and quantiles.')
@dataclasses.dataclass
class StatusCommand:
    """Print the status; exit code 1 when a member needs attention."""

    entry: Entry
    token: Token
    as_json: typing.Annotated[
        bool,
        cappa.Arg(long='--json', help='Print the reply as JSON.'),
    ] = False

    def __call__(self) -> int:
        """Fetch and print."""
        from poplardrum.commands import status

        return status.show(self.entry, self.token, as_json=self.as_json)


@cappa.command(name='demo', help='Run a job through a small system.')
@dataclasses.dataclass
class DemoCommand:
    """Start a system on loopback, run a job and check the answer."""

    def __call__(self) -> int:
        """Run the demo."""
        from poplardrum.commands import demo

        return demo.run()


@cappa.command(name='version', help='Print the version.')
@dataclasses.dataclass
class VersionCommand:
    """Print the version."""

    def __call__(self) -> int:
        """Print one line."""
        print(f'poplardrum {VERSION}')
        return 0


@cappa.command(
    name='poplardrum',
    help='Dispatch sub-second tasks from callers to endpoints.',
)
@dataclasses.dataclass
class Poplardrum:
    """The program and its commands."""

    command: cappa.Subcommands[
        EntryCommand
        | AgentCommand
        | StandInCommand
        | SubmitCommand
        | StatusCommand
        | DemoCommand
        | cli_config.ConfigCommand
        | VersionCommand
    ]


def main() -> None:
    """Run the command line and exit with its code.

    Exit code 2 means that settings or arguments are wrong, 1 that the
    command has failed.
    """
    try:
        code = cappa.invoke(Poplardrum)
    except errors.PoplardrumError as error:
        print(f'poplardrum: {error.message}', file=sys.stderr)
        wrong_input = error.code in {errors.Code.settings, errors.Code.rules}
        sys.exit(USAGE_EXIT_CODE if wrong_input else FAILURE_EXIT_CODE)
    sys.exit(code)
