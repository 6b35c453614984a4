"""Forecast of the room that the runs at an endpoint will leave."""

import math
import typing

from poplardrum.dispatch import endpoint_runs, forecasts

# Longest sum that is sent, in cores.
_MAX_CORES: typing.Final = 0xFFFF


def room_ahead(
    runs: typing.Iterable[endpoint_runs.Run], slowness: float, now: float
) -> tuple[int, ...]:
    """Return the cores that runs leave by each of `forecasts.POINTS_S`."""
    freed = [0 for _ in forecasts.POINTS_S]
    for run in runs:
        remaining = remaining_time(run, slowness, now)
        for number, point in enumerate(forecasts.POINTS_S):
            if remaining <= point:
                freed[number] += run.demand.cpu_millicores
    return tuple(min(cpu // forecasts.MILLICORES, _MAX_CORES) for cpu in freed)


def remaining_time(
    run: endpoint_runs.Run, slowness: float, now: float
) -> float:
    """Return the expected time until the end of a run, in seconds.

    A run that is over its expected duration is expected to go on for as long as
    it has been so, since nothing else is known of it. Without an estimate the
    time is infinite.
    """
    if run.estimate <= 0:
        return math.inf
    expected = run.estimate * slowness
    if run.run_progress is not None:
        expected = run.run_progress.projected_duration() or expected
    return abs(expected - (now - (run.started_at or run.added_at)))
