"""Latency histograms by tenant and job class."""

import typing

from poplardrum import ids

if typing.TYPE_CHECKING:
    from hdrh import histogram

_MIN_LATENCY_US: typing.Final = 100
_MAX_LATENCY_US: typing.Final = 600_000_000
_SIGNIFICANT_DIGITS: typing.Final = 2
_US_PER_S: typing.Final = 1_000_000
_MAX_SERIES: typing.Final = 512
QUANTILES: typing.Final = (0.5, 0.9, 0.99)

Labels = tuple[ids.TenantName, ids.JobClassName]


class LatencyHistograms:
    """One histogram for each tenant and job class.

    The number of series is bounded; values beyond the bound go to a shared
    series whose labels are empty.
    """

    def __init__(self) -> None:
        """Start without series."""
        self.series: dict[Labels, 'histogram.HdrHistogram'] = {}

    def record(
        self,
        tenant: ids.TenantName,
        job_class: ids.JobClassName,
        seconds: float,
    ) -> None:
        """Add a value to the series of a tenant and job class."""
        labels = (tenant, job_class)
        if labels not in self.series and len(self.series) >= _MAX_SERIES:
            labels = (ids.TenantName(''), ids.JobClassName(''))
        series = self.series.get(labels)
        if series is None:
            series = _new_histogram()
            self.series[labels] = series
        micros = int(seconds * _US_PER_S)
        series.record_value(min(max(micros, _MIN_LATENCY_US), _MAX_LATENCY_US))

    def quantile(self, labels: Labels, quantile: float) -> float:
        """Return one quantile of a series, in seconds."""
        series = self.series[labels]
        micros = int(series.get_value_at_percentile(100 * quantile))
        return micros / _US_PER_S

    def count(self, labels: Labels) -> int:
        """Return the number of values of a series."""
        return int(self.series[labels].get_total_count())

    def summary(self, labels: Labels) -> dict[str, float]:
        """Return the count and the quantiles of a series, in seconds."""
        quantiles = {
            f'p{100 * quantile:g}': self.quantile(labels, quantile)
            for quantile in QUANTILES
        }
        return {'count': self.count(labels), **quantiles}


def _new_histogram() -> 'histogram.HdrHistogram':
    # Imported at the first value: a process that starts has none yet.
    from hdrh import histogram

    return histogram.HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
