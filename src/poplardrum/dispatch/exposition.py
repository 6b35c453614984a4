"""Figures of a process in the Prometheus text form."""

import typing

import prometheus_client
from prometheus_client import core, registry

from poplardrum import latencies
from poplardrum.dispatch import metrics


class _Collector(registry.Collector):
    def __init__(self, source: metrics.Metrics, prefix: str) -> None:
        self.metrics = source
        self.prefix = prefix

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield all families."""
        yield from self._counters()
        for name, value in self.metrics.gauges().items():
            family = core.Metric(self.prefix + name, name, 'gauge')
            family.add_sample(self.prefix + name, {}, value)
            yield family
        for name, found in self.metrics.latencies.items():
            yield _summary(self.prefix + name, found)

    def _counters(self) -> typing.Iterator[core.Metric]:
        families: dict[str, core.Metric] = {}
        for (name, label), count in self.metrics.counters.items():
            full = self.prefix + name
            if name not in families:
                families[name] = core.Metric(full, name, 'counter')
            families[name].add_sample(f'{full}_total', {'kind': label}, count)
        yield from families.values()


def render(source: metrics.Metrics, prefix: str) -> bytes:
    """Return all figures as text."""
    found = registry.CollectorRegistry(auto_describe=False)
    found.register(_Collector(source, prefix))
    return prometheus_client.generate_latest(found)


def _summary(name: str, found: latencies.LatencyHistograms) -> core.Metric:
    family = core.Metric(name, 'seconds by queue', 'summary')
    for labels in found.series:
        queue: dict[str, str] = {'queue': labels[1]}
        for quantile in latencies.QUANTILES:
            family.add_sample(
                name,
                {**queue, 'quantile': str(quantile)},
                found.quantile(labels, quantile),
            )
        family.add_sample(f'{name}_count', queue, found.count(labels))
    return family
