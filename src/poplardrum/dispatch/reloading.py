"""Settings that are read again while the process runs."""

import asyncio
import contextlib
import logging
import pathlib
import typing

import msgspec

from poplardrum import errors, log_events
from poplardrum.platform import listeners, settings_file

logger = logging.getLogger(__name__)

# Files also change without a signal.
_POLL_INTERVAL_S: typing.Final = 2.0
# What applies to the next request or stop; the rest needs a restart.
_RELOADABLE_FIELDS: typing.Final = frozenset(('grace', 'config_bound'))


class Settings:
    """The settings in force, and the file that they came from."""

    def __init__(
        self,
        path: pathlib.Path,
        config: settings_file.ProcessSettings,
        opened: listeners.Listeners,
    ) -> None:
        """Start with what was read from `path` and listens already."""
        self.path = path
        self.listeners = opened
        self.config = config
        self.file_content = _read_file(path)

    async def watch(self, signalled: asyncio.Event) -> None:
        """Read a changed file until cancelled; a signal asks for it now."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await signalled.wait()
            signalled.clear()
            self.reload()

    def reload(self) -> None:
        """Apply a changed file; keep what is in force if it is no good."""
        content = _read_file(self.path)
        if content is None or content == self.file_content:
            return
        self.file_content = content
        try:
            found = settings_file.load(self.path)
        except errors.PoplardrumError as error:
            log_events.emit(
                logger,
                'settings not reloaded',
                level=logging.ERROR,
                why=error.message,
            )
            return
        before = msgspec.structs.asdict(self.config)
        after = msgspec.structs.asdict(found)
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
        # It is being replaced, or gone: the next look decides.
        return None
