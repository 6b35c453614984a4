"""Runs one case: sets it up, saves its record, and gives its exit code."""

import asyncio
import os
import pathlib
import sys
import traceback
import typing

from stand_ins_3 import deployment

HELD: typing.Final = 0
BROKEN: typing.Final = 1
NOT_RUN: typing.Final = 2
_LIMIT_S: typing.Final = 112.0

Play = typing.Callable[
    [deployment.Deployment, bool], typing.Awaitable[str | None]
]


class CannotRunError(Exception):
    """What the case needs did not come about."""


def main(
    folder: pathlib.Path,
    create: typing.Callable[[], deployment.Deployment],
    play: Play,
) -> typing.NoReturn:
    """Play a case; `play` returns how the rule was broken, or nothing.

    Without trouble it is called with `False`.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        code = asyncio.run(_run(folder, create(), play, trouble))
    except BaseException:
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _run(
    folder: pathlib.Path,
    site: deployment.Deployment,
    play: Play,
    trouble: bool,
) -> int:
    code = NOT_RUN
    try:
        async with asyncio.timeout(_LIMIT_S):
            async with site:
                try:
                    broken = await play(site, trouble)
                    code = BROKEN if broken else HELD
                    site.case.add('judge', broken or 'the rule held')
                    site.case.is_closed = True
                finally:
                    keep = os.environ.get('KEEP_LOGS')
                    if keep:
                        for path in site.folder.glob('*.log'):
                            target = pathlib.Path(keep) / path.name
                            target.write_text(path.read_text())
    except (CannotRunError, TimeoutError) as error:
        site.case.add('judge', f'the case could not run: {error!r}')
    except Exception:
        site.case.add('judge', traceback.format_exc())
    site.case.save(folder / 'record.txt')
    print(site.case.lines[-1])
    return code
