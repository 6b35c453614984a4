"""Metrics of a process in the Prometheus text format."""

import typing

import prometheus_client
from prometheus_client import core, registry

from poplardrum import latencies
from poplardrum.dispatch import metrics

# What the label of a summary names, unless it is the queue.
_LABELS: typing.Final = {'placement_wait_seconds': 'width'}


class _Collector(registry.Collector):
    def __init__(self, process_metrics: metrics.Metrics, prefix: str) -> None:
        self.metrics = process_metrics
        self.prefix = prefix

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield all metric families."""
        yield from self._counters()
        for name, value in self.metrics.gauges().items():
            family = core.Metric(self.prefix + name, name, 'gauge')
            family.add_sample(self.prefix + name, {}, value)
            yield family
        for name, histograms in self.metrics.latencies.items():
            yield _summary(self.prefix + name, histograms)

    def _counters(self) -> typing.Iterator[core.Metric]:
        families: dict[str, core.Metric] = {}
        for (name, label), count in self.metrics.counters.items():
            full_name = self.prefix + name
            if name not in families:
                families[name] = core.Metric(full_name, name, 'counter')
            families[name].add_sample(
                f'{full_name}_total', {'kind': label}, count
            )
        yield from families.values()


def render(process_metrics: metrics.Metrics, prefix: str) -> bytes:
    """Return all metrics in the text format, names starting with `prefix`."""
    collector_registry = registry.CollectorRegistry(auto_describe=False)
    collector_registry.register(_Collector(process_metrics, prefix))
    return prometheus_client.generate_latest(collector_registry)


def _summary(name: str, histograms: latencies.LatencyHistograms) -> core.Metric:
    label = _LABELS.get(name.removeprefix(metrics.PREFIX), 'queue')
    family = core.Metric(name, f'seconds by {label}', 'summary')
    for labels in histograms.series:
        series: dict[str, str] = {label: labels[1]}
        for quantile in latencies.QUANTILES:
            family.add_sample(
                name,
                {**series, 'quantile': str(quantile)},
                histograms.quantile(labels, quantile),
            )
        family.add_sample(f'{name}_count', series, histograms.count(labels))
    return family
