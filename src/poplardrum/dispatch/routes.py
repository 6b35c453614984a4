"""The operator's configuration as applied at an entry."""

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
    """Keep the latest configuration from the store; its number never decreases."""

    def __init__(self) -> None:
        """Create a table without a configuration."""
        self.configuration: job_api.Configuration | None = None
        self.last_content = b''
        self.confirmed_at = 0.0
        self.store_reachable = False
        self.loaded = asyncio.Event()

    def is_fresh(self, max_age: float) -> bool:
        """Return whether the store was read within the last `max_age` seconds."""
        return clocks.now() - self.confirmed_at < max_age

    def apply(self, content: bytes) -> None:
        """Apply a configuration unless it is older than the current one."""
        if content == self.last_content:
            # Reads between watches mostly find what is in force.
            return
        self.last_content = content
        configuration = job_api.decode_configuration(content)
        if configuration is None:
            logger.error('invalid configuration ignored')
            return
        current = self.configuration
        if current is None or configuration.number > current.number:
            self.configuration = configuration
            self.loaded.set()
            log_events.emit(
                logger,
                'configuration applied',
                number=configuration.number,
                routes=len(configuration.routes),
            )

    async def wait_for_first(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for the first configuration."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.loaded.wait()

    async def watch(self, kv_store: store.Store) -> None:
        """Watch the store until cancelled.

        The watch timeout is short, so that a connection without replies is
        noticed before the time by which a change has to be applied.
        """
        index = 0
        backoff = _MIN_BACKOFF_S
        while True:
            try:
                found = await kv_store.read(
                    job_api.CONFIG_KEY,
                    after_index=index,
                    wait_s=_WATCH_TIMEOUT_S,
                )
            except errors.PoplardrumError as error:
                self._record_failure(error)
                # A change may have been missed, so the next read is no watch.
                index = 0
                await asyncio.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(2 * backoff, _MAX_BACKOFF_S)
                continue
            backoff = _MIN_BACKOFF_S
            # Every second read is not a watch, so that a change that a watch
            # has missed is still found soon.
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
            logger.info('store reachable again')

    def _record_failure(self, error: errors.PoplardrumError) -> None:
        if self.store_reachable:
            self.store_reachable = False
            log_events.emit(
                logger,
                'store unreachable',
                level=logging.WARNING,
                why=error.message,
            )
