"""Command line of `poplardrum config`; calls `commands.config`."""

import dataclasses
import pathlib
import typing

import cappa

from poplardrum import errors, ini

Folder = typing.Annotated[
    pathlib.Path,
    cappa.Arg(help='Folder of rule files (*.ini).'),
]
Entry = typing.Annotated[
    str,
    cappa.Arg(long='--entry', help='Address of an entry, IP:port.'),
]
Token = typing.Annotated[
    str,
    cappa.Arg(long='--token', help="The operators' token."),
]


@cappa.command(name='check', help='Check a folder of rule files.')
@dataclasses.dataclass
class CheckCommand:
    """Check a folder of rule files without calling an entry."""

    folder: Folder

    def __call__(self) -> int:
        """Check the folder and return the exit code."""
        from poplardrum.commands import config

        return config.check(self.folder)


@cappa.command(
    name='apply',
    help=(
        'Store a folder of rule files as the configuration and wait until '
        'it is in force. '
        'Exit codes: 0 in force everywhere, 1 refused, 2 wrong input, '
        '3 accepted but not in force everywhere in time, 4 conflict with '
        'another edit, 5 outcome unknown (apply again to determine it).'
    ),
)
@dataclasses.dataclass
class ApplyCommand:
    """Apply a folder and wait until its rules are in force."""

    folder: Folder
    entry: Entry
    token: Token
    wait: typing.Annotated[
        str,
        cappa.Arg(long='--wait', help='How long to wait, such as 30 s.'),
    ] = '30 s'
    base: typing.Annotated[
        int | None,
        cappa.Arg(
            long='--base',
            help='Replace all stored files, if the stored number is this one.',
        ),
    ] = None

    def __call__(self) -> int:
        """Apply the folder and return the exit code."""
        from poplardrum.commands import config

        try:
            timeout_s = ini.duration(self.wait)
        except ValueError as error:
            raise errors.refusal(
                errors.Code.settings,
                f'--wait: {error}',
            ) from None
        target = config.Target(self.entry, self.token, timeout_s)
        return config.apply(self.folder, target, self.base)


@cappa.command(name='show', help='Print the stored files.')
@dataclasses.dataclass
class ShowCommand:
    """Print the stored files with their configuration numbers."""

    entry: Entry
    token: Token

    def __call__(self) -> int:
        """Fetch and print the files; return the exit code."""
        from poplardrum.commands import config

        return config.show(config.Target(self.entry, self.token))


@cappa.command(
    name='status',
    help='Print the configuration number of each process.',
)
@dataclasses.dataclass
class StatusCommand:
    """Print the number of the configuration that each process uses."""

    entry: Entry
    token: Token

    def __call__(self) -> int:
        """Fetch and print the numbers; return the exit code."""
        from poplardrum.commands import config

        return config.status(config.Target(self.entry, self.token))


@cappa.command(name='config', help='Check, apply and show the configuration.')
@dataclasses.dataclass
class ConfigCommand:
    """Command `config` with its subcommands."""

    command: cappa.Subcommands[
        CheckCommand | ApplyCommand | ShowCommand | StatusCommand
    ]
