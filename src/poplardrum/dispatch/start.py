"""Start of an entry or an agent on the users' platform."""

import asyncio
import gc
import logging
import os
import pathlib
import sys
import typing

import uvloop

from poplardrum import errors, log_events
from poplardrum.dispatch import reloading
from poplardrum.platform import listeners, settings_file

ROLES: typing.Final = ('front', 'side')
_USAGE_EXIT_CODE: typing.Final = 2

logger = logging.getLogger(__name__)


def main(
    arguments: typing.Sequence[str],
    listening: listeners.Listeners,
) -> int:
    """Run the role named by the arguments; return an exit code.

    `listening` has sockets that are already listening.
    """
    if len(arguments) != 1 or arguments[0] not in ROLES:
        roles = '|'.join(ROLES)
        sys.stderr.write(f'usage: poplardrum.dispatch {roles}\n')
        return _USAGE_EXIT_CODE
    log_events.configure()
    path = pathlib.Path(listeners.settings_path())
    try:
        config = settings_file.load(path)
    except errors.PoplardrumError as error:
        logger.critical(error.message)
        return _USAGE_EXIT_CODE
    log_events.emit(logger, 'starting', role=arguments[0], node=config.node)
    prepare_imports()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        settings = reloading.Settings(path, config, listening)
        runner.run(_run_role(arguments[0], settings))
    logger.info('stopped')
    return 0


def prepare_imports() -> None:
    """Set what libraries read at import or start; disable garbage collection."""
    # Read by libuv when its first loop starts; the hosts do not allow io_uring.
    os.environ['UV_USE_IO_URING'] = '0'
    # aiohttp loads all system certificates at import, which takes a sixth of
    # the CPU time of a start; no connection here uses TLS.
    os.environ['SSL_CERT_FILE'] = os.devnull
    os.environ['SSL_CERT_DIR'] = os.devnull
    # Imports leave no garbage, but each collection would visit all of their
    # objects.
    gc.disable()


def _enable_gc() -> None:
    """Enable garbage collection, except for the objects of the imports."""
    gc.freeze()
    gc.enable()


async def _run_role(role: str, settings: reloading.Settings) -> None:
    # Each role imports only what it needs, to save memory.
    if role == 'front':
        from poplardrum.dispatch import entry

        _enable_gc()
        await entry.run(settings)
        return
    from poplardrum.dispatch import agent_process

    _enable_gc()
    await agent_process.run(settings)
