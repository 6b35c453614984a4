"""The operator's configuration in force at an entry."""

import asyncio
import contextlib
import logging
import random
import typing

from poplardrum import errors, log_events
from poplardrum.dispatch import clocks
from poplardrum.platform import callers, store

logger = logging.getLogger(__name__)

_WAIT: typing.Final = 1.0
_FIRST_PAUSE: typing.Final = 0.05
_LONGEST_PAUSE: typing.Final = 0.5


class Routes:
    """Follow the configuration; its number never falls."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.configuration: callers.Configuration | None = None
        self.confirmed_at = 0.0
        self.reachable = False
        self.known = asyncio.Event()

    def fresh(self, bound: float) -> bool:
        """Return whether the store confirmed it within `bound` seconds."""
        return clocks.now() - self.confirmed_at < bound

    def offer(self, content: bytes) -> None:
        """Take over a configuration unless a later one is in force."""
        found = callers.decode_configuration(content)
        if found is None:
            logger.error('unreadable configuration')
            return
        present = self.configuration
        if present is None or found.number > present.number:
            self.configuration = found
            self.known.set()
            log_events.emit(
                logger,
                'configuration in force',
                number=found.number,
                routes=len(found.routes),
            )

    async def first(self, limit: float) -> None:
        """Wait up to `limit` seconds for the first configuration."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                await self.known.wait()

    async def follow(self, stored: store.Store) -> None:
        """Watch the store until cancelled.

        Waits are short, so that a connection that went silent is noticed
        within the time that a change has to be in force.
        """
        index = 0
        pause = _FIRST_PAUSE
        while True:
            try:
                found = await stored.read(
                    callers.CONFIG_KEY,
                    after=index,
                    wait=_WAIT,
                )
            except errors.PoplardrumError as error:
                self._failed(error)
                # A change may have been missed: read anew.
                index = 0
                await asyncio.sleep(pause * random.uniform(0.5, 1))
                pause = min(2 * pause, _LONGEST_PAUSE)
                continue
            pause = _FIRST_PAUSE
            # Each other read is a plain one, so that a watch that missed a
            # change cannot hide it for long.
            index = 0 if index else found.index
            self._confirmed()
            for entry in found.values:
                self.offer(entry.value)
            if not found.values:
                await asyncio.sleep(_FIRST_PAUSE)

    def _confirmed(self) -> None:
        self.confirmed_at = clocks.now()
        if not self.reachable:
            self.reachable = True
            logger.info('store answers')

    def _failed(self, error: errors.PoplardrumError) -> None:
        if self.reachable:
            self.reachable = False
            log_events.emit(
                logger,
                'store does not answer',
                level=logging.WARNING,
                why=error.message,
            )
