"""Start of a role on the users' platform."""

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
    opened: listeners.Listeners,
) -> int:
    """Run the role that the arguments name; return an exit code.

    `opened` are sockets that listen already.
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
    _prepare_imports()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        settings = reloading.Settings(path, config, opened)
        runner.run(_run_role(arguments[0], settings))
    logger.info('stopped')
    return 0


def _prepare_imports() -> None:
    """Set what libraries read when they are imported or started."""
    # libuv reads this when its first loop starts; hosts allow no io_uring.
    os.environ['UV_USE_IO_URING'] = '0'
    # aiohttp loads all certificates of the system at its import, a sixth of
    # the processor time of a start; no connection here uses TLS.
    os.environ['SSL_CERT_FILE'] = os.devnull
    os.environ['SSL_CERT_DIR'] = os.devnull
    # Imports leave nothing to collect, but each collection visits them all.
    gc.disable()


def _enable_gc() -> None:
    """Collect again, without what the imports left."""
    gc.freeze()
    gc.enable()


async def _run_role(role: str, settings: reloading.Settings) -> None:
    # Each role imports only what it needs: memory is paid for.
    if role == 'front':
        from poplardrum.dispatch import entry

        _enable_gc()
        await entry.run(settings)
        return
    from poplardrum.dispatch import agent

    _enable_gc()
    await agent.run(settings)
