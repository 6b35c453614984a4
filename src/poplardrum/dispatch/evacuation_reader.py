"""Reading of the evacuated availability zones from the store."""

import asyncio
import logging
import random
import typing

from poplardrum import errors, log_events
from poplardrum.dispatch import clocks, evacuations, messages, metrics
from poplardrum.platform import evacuation_keys, settings_file, store

logger = logging.getLogger(__name__)

# A change must be read, with one read that fails, well within the bound.
_BOUND_FRACTION: typing.Final = 0.4
_MAX_INTERVAL_S: typing.Final = 2.0
_MIN_PAUSE_S: typing.Final = 0.05
# Agents that started together do not read at the same time for long.
_MIN_PAUSE_SHARE: typing.Final = 0.75
_MAX_WATCH_BACKOFF_S: typing.Final = 0.5
# Agents are many; while the store fails, each calls about once a second.
_MAX_POLL_BACKOFF_S: typing.Final = 1.0


def create(
    config: settings_file.ProcessSettings,
    kv_store: store.Store,
    served: metrics.Metrics,
) -> 'EvacuationReader | None':
    """Return the reader of a process, and serve its gauges beside the others.

    There is none where zones are never evacuated.
    """
    if config.evacuation_bound is None:
        return None
    reader = EvacuationReader(
        evacuations.Evacuations(config.zones, clocks.now()),
        kv_store,
        config.evacuation_bound,
    )
    other_gauges = served.gauges

    def gauges() -> dict[str, float]:
        return other_gauges() | reader.gauges()

    served.gauges = gauges
    return reader


class EvacuationReader:
    """Keep the view of this process up to date; report each change."""

    def __init__(
        self,
        view: evacuations.Evacuations,
        kv_store: store.Store,
        bound: float,
    ) -> None:
        """Read the store; a change has to hold within `bound` seconds."""
        self.view = view
        self.store = kv_store
        self.bound = bound
        self.interval = min(_BOUND_FRACTION * bound, _MAX_INTERVAL_S)
        self.on_change: typing.Callable[[], object] = _do_nothing
        self.odd_keys: tuple[str, ...] = ()
        self.store_reachable = True

    def message(self) -> messages.EvacuatedZones:
        """Return the view as it is sent to agents."""
        return messages.EvacuatedZones(
            self.view.revision, sorted(self.view.zones)
        )

    def observe(self, message: messages.EvacuatedZones) -> None:
        """Use the view of another process unless it is older."""
        self._apply(message.revision, message.zones)

    async def watch(self) -> None:
        """Watch the store until cancelled, in turn with plain reads.

        A plain read finds what a watch has missed.
        """
        index = 0
        backoff = _MIN_PAUSE_S
        while True:
            found = await self._read(index, self.interval)
            if found is None:
                index = 0
                await asyncio.sleep(backoff * random.uniform(0.5, 1))
                backoff = min(2 * backoff, _MAX_WATCH_BACKOFF_S)
                continue
            backoff = _MIN_PAUSE_S
            index = 0 if index else found
            await asyncio.sleep(_MIN_PAUSE_S)

    async def poll(self) -> None:
        """Read the store at intervals until cancelled."""
        backoff = _MIN_PAUSE_S
        while True:
            pause = self.interval
            if await self._read(0, 0) is None:
                pause = backoff
                backoff = min(2 * backoff, _MAX_POLL_BACKOFF_S)
            else:
                backoff = _MIN_PAUSE_S
            await asyncio.sleep(pause * random.uniform(_MIN_PAUSE_SHARE, 1))

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges."""
        return {
            'evacuated_zones': len(self.view.zones),
            'evacuations_age_seconds': self.view.age(clocks.now()),
        }

    async def _read(self, after_index: int, wait_s: float) -> int | None:
        """Read or watch once; return the revision, `None` after a failure."""
        try:
            found = await self.store.read(
                evacuation_keys.PREFIX,
                is_prefix=True,
                after_index=after_index,
                wait_s=wait_s,
            )
        except errors.PoplardrumError as error:
            self._record_failure(error)
            return None
        self.store_reachable = True
        self.view.confirm(clocks.now())
        keys = evacuation_keys.parse(entry.key for entry in found.values)
        if keys.odd_keys != self.odd_keys:
            self.odd_keys = keys.odd_keys
            log_events.emit(
                logger,
                'evacuation keys without a zone ignored',
                level=logging.WARNING,
                keys=list(keys.odd_keys),
            )
        self._apply(found.index, keys.zones)
        return found.index

    def _apply(self, revision: int, zones: typing.Iterable[str]) -> None:
        if not self.view.apply(revision, zones, clocks.now()):
            return
        log_events.emit(
            logger,
            'evacuated zones changed',
            level=logging.WARNING,
            revision=revision,
            zones=sorted(self.view.zones),
            unknown=sorted(self.view.unknown_zones()),
        )
        self.on_change()

    def _record_failure(self, error: errors.PoplardrumError) -> None:
        if self.store_reachable:
            self.store_reachable = False
            log_events.emit(
                logger,
                'evacuated zones not read',
                level=logging.WARNING,
                why=error.message,
            )


def _do_nothing() -> None:
    """Tell nobody of a change."""
