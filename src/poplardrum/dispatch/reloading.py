"""Settings that are reloaded while the process runs."""

import asyncio
import contextlib
import logging
import pathlib
import typing

import msgspec

from poplardrum import errors, log_events
from poplardrum.platform import listeners, settings_file

logger = logging.getLogger(__name__)

# Changed files are found without a signal, too.
_POLL_INTERVAL_S: typing.Final = 2.0
# Fields that take effect with the next request or stop; changes of the others
# need a restart.
_RELOADABLE_FIELDS: typing.Final = frozenset(('grace', 'config_bound'))


class Settings:
    """The current settings and the file that they are loaded from."""

    def __init__(
        self,
        path: pathlib.Path,
        config: settings_file.ProcessSettings,
        listening: listeners.Listeners,
    ) -> None:
        """Start with settings loaded from `path` and sockets that are listening."""
        self.path = path
        self.listeners = listening
        self.config = config
        self.file_content = _read_file(path)

    async def watch(self, reload_requested: asyncio.Event) -> None:
        """Reload the file when it changes, at once on a signal, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await reload_requested.wait()
            reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Apply a changed file; keep the current settings if it is invalid."""
        content = _read_file(self.path)
        if content is None or content == self.file_content:
            return
        self.file_content = content
        try:
            loaded = settings_file.load(self.path)
        except errors.PoplardrumError as error:
            log_events.emit(
                logger,
                'settings not reloaded',
                level=logging.ERROR,
                why=error.message,
            )
            return
        before = msgspec.structs.asdict(self.config)
        after = msgspec.structs.asdict(loaded)
        changed = {name for name in after if after[name] != before[name]}
        applied = {name: after[name] for name in changed & _RELOADABLE_FIELDS}
        self.config = msgspec.structs.replace(self.config, **applied)
        log_events.emit(
            logger,
            'settings reloaded',
            applied=applied,
            after_restart=sorted(changed - _RELOADABLE_FIELDS),
        )


def _read_file(path: pathlib.Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError:
        # The file is being replaced or was removed; the next poll reads it again.
        return None
