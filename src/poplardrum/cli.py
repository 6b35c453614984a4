"""Thin command line over the plain functions in `commands`."""

import dataclasses
import pathlib
import sys
import typing

import cappa

from poplardrum import VERSION, cli_config, errors

USAGE_EXIT: typing.Final = 2
FAILURE_EXIT: typing.Final = 1

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
        | cli_config.ConfigCommand
        | StandInCommand
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
        sys.exit(USAGE_EXIT if wrong_input else FAILURE_EXIT)
    sys.exit(code)
