"""Command line of `config`: thin over `commands.config`."""

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
    """Check a folder without calling an entry."""

    folder: Folder

    def __call__(self) -> int:
        """Run the check."""
        from poplardrum.commands import config

        return config.check(self.folder)


@cappa.command(
    name='apply',
    help=(
        'Make a folder the truth. Exit codes: 0 in force everywhere, '
        '1 refused, 2 wrong input, 3 accepted but not in force everywhere '
        'in time, 4 conflict with another edit, 5 outcome unknown (apply '
        'again to settle it).'
    ),
)
@dataclasses.dataclass
class ApplyCommand:
    """Apply a folder."""

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
            help='Replace all that is stored under this number.',
        ),
    ] = None

    def __call__(self) -> int:
        """Run the apply."""
        from poplardrum.commands import config

        try:
            wait = ini.duration(self.wait)
        except ValueError as error:
            raise errors.refusal(
                errors.Code.settings,
                f'--wait: {error}',
            ) from None
        target = config.Target(self.entry, self.token, wait)
        return config.apply(self.folder, target, self.base)


@cappa.command(name='show', help='Print the stored files.')
@dataclasses.dataclass
class ShowCommand:
    """Print the stored files with their numbers."""

    entry: Entry
    token: Token

    def __call__(self) -> int:
        """Run the command."""
        from poplardrum.commands import config

        return config.show(config.Target(self.entry, self.token))


@cappa.command(name='status', help='Print the number of each process.')
@dataclasses.dataclass
class StatusCommand:
    """Print the number that each process runs by."""

    entry: Entry
    token: Token

    def __call__(self) -> int:
        """Run the command."""
        from poplardrum.commands import config

        return config.status(config.Target(self.entry, self.token))


@cappa.command(name='config', help='Check, apply and show the configuration.')
@dataclasses.dataclass
class ConfigCommand:
    """The commands of the configuration."""

    command: cappa.Subcommands[
        CheckCommand | ApplyCommand | ShowCommand | StatusCommand
    ]
