"""Command line of poplardrum.

Parses arguments and calls the functions in `poplardrum.commands`. Each command
imports its module when it is called, so that the others don't load it.
"""

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
    """Run an entry until it receives a stop signal."""

    settings: Settings

    def __call__(self) -> int:
        """Run the entry and return the exit code."""
        from poplardrum.commands import processes

        return processes.run_entry(self.settings)


@cappa.command(name='agent', help='Run an agent beside an endpoint.')
@dataclasses.dataclass
class AgentCommand:
    """Run an agent until it receives a stop signal."""

    settings: Settings

    def __call__(self) -> int:
        """Run the agent and return the exit code."""
        from poplardrum.commands import processes

        return processes.run_agent(self.settings)


@cappa.command(name='stand-in', help='Run a stand-in for an external system.')
@dataclasses.dataclass
class StandInCommand:
    """Run a stand-in for a platform or an endpoint until a stop signal."""

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
        """Run the stand-in and return the exit code."""
        from poplardrum.commands import processes

        return processes.run_stand_in(
            self.kind,
            self.listen,
            self.agent,
            self.slots,
            self.speed,
        )


@cappa.command(name='submit', help='Submit a job and print its outcome.')
@dataclasses.dataclass
class SubmitCommand:
    """Submit a job; exit codes: 0 complete, 1 failed, 3 refused."""

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
        """Submit the job, print its outcome and return the exit code."""
        from poplardrum.commands import jobs

        return jobs.submit(
            self.job,
            self.entry,
            self.credential,
            self.key,
            as_json=self.as_json,
        )


@cappa.command(name='status', help='Print members, tenants and response times.')
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
        """Fetch and print the status; return the exit code."""
        from poplardrum.commands import status

        return status.show(self.entry, self.token, as_json=self.as_json)


@cappa.command(name='demo', help='Run a job through a small system.')
@dataclasses.dataclass
class DemoCommand:
    """Start a system on loopback, run a job and check the outcome."""

    def __call__(self) -> int:
        """Run the demo; return 0 if all checks pass."""
        from poplardrum.commands import demo

        return demo.run()


@cappa.command(name='version', help='Print the version.')
@dataclasses.dataclass
class VersionCommand:
    """Print program name and version."""

    def __call__(self) -> int:
        """Print the line and return 0."""
        print(f'poplardrum {VERSION}')
        return 0


@cappa.command(
    name='poplardrum',
    help='Dispatch sub-second tasks from callers to endpoints.',
)
@dataclasses.dataclass
class Poplardrum:
    """Top-level command with its subcommands."""

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
    """Run the command line and exit with the code of the command.

    Exit code 2 reports invalid settings or arguments, 1 any other failure.
    """
    try:
        code = cappa.invoke(Poplardrum)
    except errors.PoplardrumError as error:
        print(f'poplardrum: {error.message}', file=sys.stderr)
        wrong_input = error.code in {errors.Code.settings, errors.Code.rules}
        sys.exit(USAGE_EXIT_CODE if wrong_input else FAILURE_EXIT_CODE)
    sys.exit(code)
