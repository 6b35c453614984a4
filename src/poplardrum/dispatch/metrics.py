"""Counters, gauges and latency histograms of a process."""

import collections
import typing

from aiohttp import web_request, web_response

from poplardrum import ids, latencies

PORT: typing.Final = 9464
PATH: typing.Final = '/metrics'
PREFIX: typing.Final = 'poplardrum_'
_NO_TENANT: typing.Final = ids.TenantName('')


class Metrics:
    """Metrics by name and one label; names are constants of the program."""

    def __init__(self) -> None:
        """Create empty metrics; `gauges` is called at each scrape."""
        self.gauges: typing.Callable[[], dict[str, float]] = dict
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.latencies: dict[str, latencies.LatencyHistograms] = {}

    def increment(self, name: str, label: str) -> None:
        """Add one to a counter."""
        self.counters[name, label] += 1

    def observe(self, name: str, queue: str, seconds: float) -> None:
        """Add a duration to the histogram of a queue."""
        histograms = self.latencies.setdefault(
            name, latencies.LatencyHistograms()
        )
        histograms.record(_NO_TENANT, ids.JobClassName(queue), seconds)

    async def serve(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        """Respond to a scrape."""
        if request.path != PATH:
            return web_response.Response(status=404)
        # This import takes 0.13 s of CPU time, too much for the start of a
        # process.
        from poplardrum.dispatch import exposition

        return web_response.Response(
            body=exposition.render(self, PREFIX),
            content_type='text/plain',
        )
