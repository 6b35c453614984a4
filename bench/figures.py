"""Figures of benchmarks, and readings from /proc and /metrics."""

import pathlib
import typing

from poplardrum.standins import http

_HTTP_OK: typing.Final = 200


class Figure(typing.NamedTuple):
    """One measured value; `bound` is `None` for values without a bound."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    meets_bound: bool = True

    def format_line(self) -> str:
        """Return the line `name value unit bound ok|short`."""
        bound = '-' if self.bound is None else f'{self.bound:g}'
        status = 'ok' if self.meets_bound else 'short'
        return f'{self.name} {self.value:.4g} {self.unit} {bound} {status}'


def at_most(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure whose value must not exceed its bound."""
    return Figure(name, value, unit, bound, value <= bound)


def at_least(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure whose value must reach its bound."""
    return Figure(name, value, unit, bound, value >= bound)


def without_bound(name: str, value: float, unit: str) -> Figure:
    """Return a figure without a bound."""
    return Figure(name, value, unit)


def print_figures(measured: typing.Iterable[Figure]) -> bool:
    """Print figures and return whether all of them meet their bounds."""
    figures = list(measured)
    for figure in figures:
        print(figure.format_line(), flush=True)
    return all(figure.meets_bound for figure in figures)


def quantile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values lie."""
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def process_status_kb(pid: int, field: str) -> int:
    """Return a field of /proc/PID/status in KB.

    Raises `KeyError` if the field is missing.
    """
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1])
    raise KeyError(field)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds.

    Reads schedstat, which counts nanoseconds; /proc/PID/stat counts ticks of
    10 ms.
    """
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def read_counters(address: str) -> dict[str, float]:
    """Return all values at `/metrics` by name, summed over their labels.

    Raises `OSError` if the process does not return its metrics.
    """
    status, text = http.call('GET', f'http://{address}/metrics')
    if status != _HTTP_OK:
        raise OSError(f'{address}/metrics: {status} {text}')
    totals: dict[str, float] = {}
    for line in str(text).splitlines():
        if line.startswith('#'):
            continue
        name, _, value = line.rpartition(' ')
        name = name.partition('{')[0].removeprefix('poplardrum_')
        totals[name] = totals.get(name, 0) + float(value)
    return totals
