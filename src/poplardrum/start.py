"""Entry point of the program; starts daemons without cappa and rich.

These two libraries take 5.5 MB of the 64 MB that a node may use for the
control plane, and a daemon would need them only to parse two arguments.
"""

import pathlib
import sys
import typing

_SETTINGS_FLAGS: typing.Final = ('--settings', '-s')
_ROLES: typing.Final = ('entry', 'agent')


def main() -> None:
    """Run the command in `sys.argv` and exit with its code."""
    daemon = parse_daemon_arguments(sys.argv[1:])
    if daemon is None:
        from poplardrum import cli

        cli.main()
        return
    sys.exit(run_daemon(*daemon))


def parse_daemon_arguments(
    arguments: typing.Sequence[str],
) -> tuple[str, pathlib.Path] | None:
    """Return role and settings file of `ROLE --settings FILE`.

    Returns `None` for any other arguments, which the full command line parses.
    """
    if len(arguments) != 3:
        return None
    role, flag, path = arguments
    if role not in _ROLES or flag not in _SETTINGS_FLAGS:
        return None
    return role, pathlib.Path(path)


def run_daemon(role: str, path: pathlib.Path) -> int:
    """Run an entry or an agent; return 2 for invalid settings."""
    from poplardrum import errors
    from poplardrum.commands import processes

    run = processes.run_entry if role == 'entry' else processes.run_agent
    try:
        return run(path)
    except errors.PoplardrumError as error:
        print(f'poplardrum: {error.message}', file=sys.stderr)
        return 2 if error.code is errors.Code.settings else 1
