"""Detection of runs that make too little progress, and whether to move them."""

import dataclasses
import math
import typing

# Remaining time of a run that makes no progress.
STALLED: typing.Final = math.inf
# Progress is reported in whole percent, so a run that makes no progress for
# this fraction of its expected duration is at least 30 times too slow.
_STALL_FRACTION: typing.Final = 0.3
# Reports are 0.15 s apart, so a shorter stall may be a delayed report.
_MIN_STALL_S: typing.Final = 0.25
# Below this progress and elapsed time, rounding and the delay of the start
# request hide the speed of a run.
_MIN_PROGRESS_PERCENT: typing.Final = 4
_MIN_ELAPSED_S: typing.Final = 0.04
# Estimates and predictions are off by a factor of up to 2.
SLOW_FACTOR: typing.Final = 2.5
_FULL_PROGRESS_PERCENT: typing.Final = 100
# A late response is of use up to this multiple of the target latency.
_LATE_FACTOR: typing.Final = 3
# For a smaller gain, the discarded work of the run is not worth it.
_MIN_GAIN_S: typing.Final = 0.1
# Time for a stop, its report and a new start.
_MOVE_TIME_S: typing.Final = 0.03


@dataclasses.dataclass
class RunProgress:
    """Progress of one run as listed by reports; times are in seconds."""

    started_at: float
    percent: int = 0
    advanced_at: float = 0.0

    def observe(self, percent: int, now: float) -> None:
        """Record the progress that a report lists."""
        if percent > self.percent or not self.advanced_at:
            self.percent = percent
            self.advanced_at = now

    def projected_duration(self) -> float | None:
        """Return the projected duration, `None` if it is not known yet."""
        elapsed = self.advanced_at - self.started_at
        if self.percent < _MIN_PROGRESS_PERCENT or elapsed < _MIN_ELAPSED_S:
            return None
        return elapsed * _FULL_PROGRESS_PERCENT / self.percent

    def straggler_remaining(
        self, now: float, expected_duration: float
    ) -> float | None:
        """Return the remaining time of a straggler, else `None`.

        `expected_duration` is that of the whole run at this endpoint.
        """
        stalled_for = now - (self.advanced_at or now)
        if stalled_for >= max(
            _MIN_STALL_S, _STALL_FRACTION * expected_duration
        ):
            return STALLED
        projected = self.projected_duration()
        if projected is None or projected < SLOW_FACTOR * expected_duration:
            return None
        return max(projected - (now - self.started_at), 0)


def active_slowness(
    runs: typing.Iterable[tuple[RunProgress, float]],
) -> float | None:
    """Return the geometric mean ratio of projected to estimated durations.

    `runs` has the progress and the estimate of each active run. The result is
    `None` with fewer than two projections, since a single task may be longer
    than its estimate.
    """
    logs = []
    for run_progress, estimate in runs:
        projected = run_progress.projected_duration()
        if projected and estimate > 0:
            logs.append(math.log(projected / estimate))
    if len(logs) < 2:
        return None
    return math.exp(sum(logs) / len(logs))


def is_worth_moving(
    now: float,
    remaining: float,
    restart_duration: float,
    due_at: float,
    target_latency: float,
) -> bool:
    """Return whether to stop a straggler and start it elsewhere.

    `remaining` and `restart_duration` are the times until its end here and
    elsewhere, `due_at` is when the job reaches its target latency. A stalled
    run is always moved; another one only if its job then meets the target
    latency, or is late but still of use.
    """
    if remaining == STALLED:
        return True
    if remaining < SLOW_FACTOR * restart_duration + _MIN_GAIN_S:
        return False
    limits = (due_at, due_at + (_LATE_FACTOR - 1) * target_latency)
    restarted_end = now + restart_duration + _MOVE_TIME_S
    return any(restarted_end <= limit < now + remaining for limit in limits)
