"""The operator's configuration in force at an entry."""

import asyncio
import contextlib
import logging
import random
import typing

from poplardrum import errors, log_events
from poplardrum.dispatch import clocks
from poplardrum.platform import job_api, store

logger = logging.getLogger(__name__)

_WATCH_TIMEOUT_S: typing.Final = 1.0
_MIN_BACKOFF_S: typing.Final = 0.05
_MAX_BACKOFF_S: typing.Final = 0.5


class RouteTable:
    """Follow the configuration; its number never falls."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.configuration: job_api.Configuration | None = None
        self.confirmed_at = 0.0
        self.store_reachable = False
        self.loaded = asyncio.Event()

    def is_fresh(self, bound: float) -> bool:
        """Return whether the store confirmed it within `bound` seconds."""
        return clocks.now() - self.confirmed_at < bound

    def apply(self, content: bytes) -> None:
        """Take over a configuration unless a later one is in force."""
        found = job_api.decode_configuration(content)
        if found is None:
            logger.error('unreadable configuration')
            return
        present = self.configuration
        if present is None or found.number > present.number:
            self.configuration = found
            self.loaded.set()
            log_events.emit(
                logger,
                'configuration in force',
                number=found.number,
                routes=len(found.routes),
            )

    async def wait_for_first(self, limit: float) -> None:
        """Wait up to `limit` seconds for the first configuration."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                await self.loaded.wait()

    async def watch(self, stored: store.Store) -> None:
        """Watch the store until cancelled.

        Waits are short, so that a connection that went silent is noticed
        within the time that a change has to be in force.
        """
        index = 0
        pause = _MIN_BACKOFF_S
        while True:
            try:
                found = await stored.read(
                    job_api.CONFIG_KEY,
                    after_index=index,
                    wait_s=_WATCH_TIMEOUT_S,
                )
            except errors.PoplardrumError as error:
                self._record_failure(error)
                # A change may have been missed: read anew.
                index = 0
                await asyncio.sleep(pause * random.uniform(0.5, 1))
                pause = min(2 * pause, _MAX_BACKOFF_S)
                continue
            pause = _MIN_BACKOFF_S
            # Each other read is a plain one, so that a watch that missed a
            # change cannot hide it for long.
            index = 0 if index else found.index
            self._record_success()
            for entry in found.values:
                self.apply(entry.value)
            if not found.values:
                await asyncio.sleep(_MIN_BACKOFF_S)

    def _record_success(self) -> None:
        self.confirmed_at = clocks.now()
        if not self.store_reachable:
            self.store_reachable = True
            logger.info('store answers')

    def _record_failure(self, error: errors.PoplardrumError) -> None:
        if self.store_reachable:
            self.store_reachable = False
            log_events.emit(
                logger,
                'store does not answer',
                level=logging.WARNING,
                why=error.message,
            )
