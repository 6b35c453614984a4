"""Command line of `poplardrum config`; calls its modules in `commands`."""

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


@cappa.command(
    name='check',
    help=(
        'Check a folder of rule files, or a document of the platform, before '
        'it is sent. '
        'Exit codes: 0 correct (it may differ from what it is compared with), '
        '1 warnings, 2 errors or wrong input, 3 not compared.'
    ),
)
@dataclasses.dataclass
class CheckCommand:
    """Check a folder or a document, and compare it if asked to."""

    folder: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(help='Folder of rule files (*.ini).'),
    ] = None
    document: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long='--document', help="The platform's document (JSON)."),
    ] = None
    against: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long='--against', help='Folder or document in force.'),
    ] = None
    entry: typing.Annotated[
        str,
        cappa.Arg(long='--entry', help='Compare with the entry at IP:port.'),
    ] = ''
    token: typing.Annotated[
        str,
        cappa.Arg(long='--token', help="The operators' token."),
    ] = ''
    as_json: typing.Annotated[
        bool,
        cappa.Arg(long='--json', help='Print one JSON object a finding.'),
    ] = False

    def __call__(self) -> int:
        """Check the input and return the exit code."""
        from poplardrum.commands import config_check

        self._check_arguments()
        if self.document is not None:
            return config_check.check_document(
                self.document, self.against, as_json=self.as_json
            )
        assert self.folder is not None
        source = config_check.Source(self.against, self.entry, self.token)
        return config_check.check_folder(
            self.folder, source, as_json=self.as_json
        )

    def _check_arguments(self) -> None:
        problem = ''
        if (self.folder is None) == (self.document is None):
            problem = 'give either a folder or --document'
        elif self.entry and (self.document or self.against):
            problem = '--entry compares a folder, without --against'
        elif bool(self.entry) != bool(self.token):
            problem = '--entry and --token belong together'
        if problem:
            raise errors.refusal(errors.Code.settings, problem)


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
