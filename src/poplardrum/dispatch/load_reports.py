"""Reports of an endpoint's load to the entries that an agent links to.

In a small fleet an entry hears of each change at once. In a large one an agent
has more links and changes concern each of its entries less, so reports are
throttled. An entry that gets another message of the agent gets the load in the
same frame; a start that was refused since the entry's view was old thus corrects
that view.
"""

import asyncio
import contextlib
import functools
import typing

import msgspec

from poplardrum.dispatch import (
    clocks,
    connections,
    executor,
    room_forecast,
    messages,
)

_IDLE_REPORT_INTERVAL_S: typing.Final = 1.0
_MIN_REPORT_INTERVAL_S: typing.Final = 0.004
# Up to this many entries get each change at once. With more, the interval
# between the reports to an entry grows with the number of entries.
_MAX_UNTHROTTLED_ENTRIES: typing.Final = 5
_MAX_THROTTLED_ENTRIES: typing.Final = 40
_SAME_ZONE_INTERVAL_PER_ENTRY_S: typing.Final = 0.0015
_OTHER_ZONE_INTERVAL_PER_ENTRY_S: typing.Final = 0.008
# A load that has not changed is sent again with a frame that is sent anyway, so
# that no entry can miss it for good.
REFRESH_INTERVAL_S: typing.Final = 5.0
# While an endpoint is less busy than this, a change rarely decides whether a
# task fits, so reports wait longer.
_SCARCE_FREE_FRACTION: typing.Final = 0.3
_AMPLE_INTERVAL_FACTOR: typing.Final = 6.0


def throttled_entries(link_count: int, entry_count: int) -> int:
    """Return the number of entries that share an agent's reports, 0 for few.

    An entry has links to more agents the more entries there are, so its share of
    the reports of each agent falls with their number.
    """
    count = max(link_count, entry_count)
    if count <= _MAX_UNTHROTTLED_ENTRIES:
        return 0
    return min(count, _MAX_THROTTLED_ENTRIES)


def is_scarce(load: messages.Load) -> bool:
    """Return whether little of an endpoint's capacity is free."""
    return (
        load.free.cpu_millicores
        < _SCARCE_FREE_FRACTION * load.capacity.cpu_millicores
    )


def min_interval(
    throttled: int,
    sent: messages.Load,
    current: messages.Load,
    *,
    same_zone: bool,
) -> float:
    """Return the time between two reports to an entry, in seconds.

    `sent` is the last report to it. A change of whether the endpoint accepts
    tasks is reported at once.
    """
    if sent.accepting != current.accepting:
        return 0
    interval = throttled * (
        _SAME_ZONE_INTERVAL_PER_ENTRY_S
        if same_zone
        else _OTHER_ZONE_INTERVAL_PER_ENTRY_S
    )
    if is_scarce(sent) or is_scarce(current):
        return interval
    return interval * _AMPLE_INTERVAL_FACTOR


class LoadReporter:
    """Send the endpoint's load to the linked entries when it changes."""

    def __init__(
        self,
        task_executor: executor.Executor,
        links: set[connections.Link],
        zone: str,
        *,
        forecasts_room: bool = False,
    ) -> None:
        """Report to `links` from an agent in `zone`.

        With `forecasts_room` each report says what room will become free.
        """
        self.forecasts_room = forecasts_room
        self.executor = task_executor
        self.links = links
        self.zone = zone
        # Number of all announced entries, linked or not.
        self.entry_count = 0

    def attach(self, link: connections.Link) -> None:
        """Send the load on a new connection now, and in frames that follow."""
        link.send(self._record_sent(link, self.load(link)))
        link.trailer = functools.partial(self.changed_load, link)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            # An ejection ends without an event, so check regularly.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_REPORT_INTERVAL_S):
                    await self.executor.status_changed.wait()
            self.executor.status_changed.clear()
            self._report(clocks.now())
            await asyncio.sleep(
                _MIN_REPORT_INTERVAL_S
                + self._throttled() * _SAME_ZONE_INTERVAL_PER_ENTRY_S
            )

    def changed_load(self, link: connections.Link) -> messages.Load | None:
        """Return the load for the entry at a link unless it has it already."""
        load = self.load(link)
        age = clocks.now() - link.load_sent_at
        if load == link.load_sent and age < REFRESH_INTERVAL_S:
            return None
        return self._record_sent(link, load)

    def load(self, link: connections.Link) -> messages.Load:
        """Return the current load for the entry at a link."""
        task_executor = self.executor
        heartbeat = task_executor.status.heartbeat
        return messages.Load(
            link.starts_received,
            task_executor.is_accepting(),
            task_executor.free_capacity(),
            task_executor.status.capacity(),
            round(task_executor.monitor.slowness(clocks.now()), 2),
            heartbeat.service if heartbeat else '',
            heartbeat.labels if heartbeat else [],
        )

    def _report(self, now: float) -> None:
        throttled = self._throttled()
        for link in self.links:
            load = self.load(link)
            if link.load_sent is None or load == link.load_sent:
                continue
            interval = min_interval(
                throttled,
                link.load_sent,
                load,
                same_zone=link.zone == self.zone,
            )
            if now - link.load_sent_at >= interval:
                link.send(self._record_sent(link, load))
            else:
                self.executor.status_changed.set()

    def _throttled(self) -> int:
        return throttled_entries(len(self.links), self.entry_count)

    def _record_sent(
        self, link: connections.Link, load: messages.Load
    ) -> messages.Load:
        """Return a load with the forecast, which alone causes no report."""
        now = clocks.now()
        link.load_sent = load
        link.load_sent_at = now
        if not self.forecasts_room:
            return load
        forecast = room_forecast.room_ahead(
            self.executor.runs.values(), load.slowness, now
        )
        return msgspec.structs.replace(load, forecast=forecast)
