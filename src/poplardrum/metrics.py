"""Prometheus metrics of one process."""

import typing

import prometheus_client
from prometheus_client import core, registry

from poplardrum import latencies

_PREFIX: typing.Final = 'poplardrum_'

Labels = latencies.Labels


class Gauge(typing.NamedTuple):
    """Current value of a gauge; the name is without the common prefix."""

    name: str
    value: float
    labels: dict[str, str] = {}


class GaugeSource(typing.Protocol):
    """Source of gauges that are read at each scrape."""

    def gauges(self) -> typing.Iterable[Gauge]:
        """Return the current values."""


class Metrics:
    """Metrics of one process, in a registry of its own.

    Label values come from rules, members and codes, which bounds the number
    of series.
    """

    def __init__(self, source: GaugeSource | None = None) -> None:
        """Register all metrics, including the gauges of `source`."""
        self.registry = registry.CollectorRegistry(auto_describe=False)
        self.frames = self.counter('frames', 'Frames sent to peers')
        self.wasted_messages = self.counter(
            'wasted_messages',
            'Messages between processes that carried nothing of use',
            'reason',
        )
        self.items = self.counter('items', 'Items sent to peers', 'kind')
        self.replies = self.counter(
            'replies',
            'Replies to callers',
            'tenant',
            'code',
        )
        self.refusals = self.counter(
            'refusals',
            'Requests refused as not run',
            'tenant',
            'code',
        )
        self.task_starts = self.counter(
            'task_starts',
            'Tasks started at the endpoint',
            'tenant',
        )
        self.ejections = self.counter(
            'ejections',
            'Workers ejected by this process',
            'worker',
        )
        self.latency = LatencyCollector(f'{_PREFIX}response_seconds')
        self.registry.register(self.latency)
        if source is not None:
            self.registry.register(GaugeCollector(source))

    def counter(
        self,
        name: str,
        description: str,
        *labels: str,
    ) -> prometheus_client.Counter:
        """Register a counter; `name` is without the common prefix."""
        return prometheus_client.Counter(
            _PREFIX + name,
            description,
            labels,
            registry=self.registry,
        )

    def count_frame(self, items: typing.Sequence[object]) -> None:
        """Count a frame and the items it carries."""
        self.frames.inc()
        for item in items:
            self.items.labels(type(item).__name__).inc()

    def count_reply(self, tenant: str, code: str, *, refused: bool) -> None:
        """Count a reply to a caller; `tenant` is empty if it is unknown."""
        self.replies.labels(tenant, code).inc()
        if refused:
            self.refusals.labels(tenant, code).inc()

    def count_ejection(self, worker: str) -> None:
        """Count the ejection of a worker."""
        self.ejections.labels(worker).inc()

    def replies_by_tenant(self) -> dict[str, dict[str, int]]:
        """Return the number of replies by tenant and code."""
        replies: dict[str, dict[str, int]] = {}
        for family in self.replies.collect():
            for sample in family.samples:
                if sample.name.endswith('_total'):
                    codes = replies.setdefault(sample.labels['tenant'], {})
                    codes[sample.labels['code']] = int(sample.value)
        return replies

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


class GaugeCollector(registry.Collector):
    """Collector that reads the gauges of a source at each scrape."""

    def __init__(self, source: GaugeSource) -> None:
        """Collect the gauges of `source`."""
        self.source = source

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield one metric family for each gauge name."""
        families: dict[str, core.Metric] = {}
        for gauge in self.source.gauges():
            name = _PREFIX + gauge.name
            family = families.setdefault(
                name,
                core.Metric(name, gauge.name.replace('_', ' '), 'gauge'),
            )
            family.add_sample(name, gauge.labels, gauge.value)
        yield from families.values()


class LatencyCollector(latencies.LatencyHistograms, registry.Collector):
    """Collector that exports latency histograms as a Prometheus summary."""

    def __init__(self, name: str) -> None:
        """Start without series; `name` is the name of the summary."""
        super().__init__()
        self.name = name

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield one summary with the quantiles and count of each series."""
        family = core.Metric(self.name, 'Response time', 'summary')
        for tenant, job_class in self.series:
            labels = {'tenant': tenant, 'class': job_class}
            for quantile in latencies.QUANTILES:
                family.add_sample(
                    self.name,
                    {**labels, 'quantile': str(quantile)},
                    self.quantile((tenant, job_class), quantile),
                )
            family.add_sample(
                f'{self.name}_count',
                labels,
                self.count((tenant, job_class)),
            )
        yield family
