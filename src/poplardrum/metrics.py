"""Counters and histograms of one process in the Prometheus text form."""

import typing

import prometheus_client
from hdrh import histogram
from prometheus_client import core, registry

from poplardrum import ids

_LOWEST_US: typing.Final = 100
_HIGHEST_US: typing.Final = 600_000_000
_DIGITS: typing.Final = 2
_QUANTILES: typing.Final = (0.5, 0.9, 0.99)
_MICROSECONDS: typing.Final = 1_000_000
_MAX_SERIES: typing.Final = 512

Labels = tuple[ids.TenantName, ids.ClassName]


class Metrics:
    """Hold the figures of one process in a registry of its own."""

    def __init__(self) -> None:
        """Register the counters and the histogram collector."""
        self.registry = registry.CollectorRegistry(auto_describe=False)
        self.frames = prometheus_client.Counter(
            'poplardrum_frames',
            'Frames sent to peers',
            registry=self.registry,
        )
        self.replies = prometheus_client.Counter(
            'poplardrum_replies',
            'Replies to callers',
            ('tenant', 'code'),
            registry=self.registry,
        )
        self.task_starts = prometheus_client.Counter(
            'poplardrum_task_starts',
            'Tasks started at the endpoint',
            ('tenant',),
            registry=self.registry,
        )
        self.wasted = prometheus_client.Counter(
            'poplardrum_wasted_messages',
            'Messages between processes that carried nothing of use',
            ('reason',),
            registry=self.registry,
        )
        self.latency = Histograms('poplardrum_response_seconds')
        self.registry.register(self.latency)

    def text(self) -> bytes:
        """Return all figures in the Prometheus text form."""
        return prometheus_client.generate_latest(self.registry)


class Histograms(registry.Collector):
    """One histogram for each tenant and class, bounded in number."""

    def __init__(self, name: str) -> None:
        """Start without any series."""
        self.name = name
        self.series: dict[Labels, histogram.HdrHistogram] = {}

    def record(
        self,
        tenant: ids.TenantName,
        job_class: ids.ClassName,
        seconds: float,
    ) -> None:
        """Add one value; series beyond the bound share one of no name."""
        labels = (tenant, job_class)
        if labels not in self.series and len(self.series) >= _MAX_SERIES:
            labels = (ids.TenantName(''), ids.ClassName(''))
        found = self.series.get(labels)
        if found is None:
            found = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            self.series[labels] = found
        micros = int(seconds * _MICROSECONDS)
        found.record_value(min(max(micros, _LOWEST_US), _HIGHEST_US))

    def quantiles(self, labels: Labels) -> dict[str, float]:
        """Return count and quantiles, in seconds, of one series."""
        found = self.series[labels]
        figures = {
            f'p{100 * quantile:g}': (
                found.get_value_at_percentile(100 * quantile) / _MICROSECONDS
            )
            for quantile in _QUANTILES
        }
        return {'count': found.get_total_count(), **figures}

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield all series as a summary."""
        family = core.Metric(self.name, 'Response time', 'summary')
        for (tenant, job_class), found in self.series.items():
            labels = {'tenant': tenant, 'class': job_class}
            for quantile in _QUANTILES:
                family.add_sample(
                    self.name,
                    {**labels, 'quantile': str(quantile)},
                    found.get_value_at_percentile(100 * quantile)
                    / _MICROSECONDS,
                )
            family.add_sample(
                f'{self.name}_count',
                labels,
                found.get_total_count(),
            )
        yield family
