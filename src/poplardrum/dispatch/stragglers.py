"""Runs that make too little progress, and whether to move them."""

import dataclasses
import math
import typing

STALLED: typing.Final = math.inf
# A run whose progress, in whole percent, does not change for this share of
# the time that all of it should take is at least 30 times too slow.
_STALL_FRACTION: typing.Final = 0.3
# Reports are 0.15 s apart, so less than this may be a report's delay.
_MIN_STALL_S: typing.Final = 0.25
# Below this progress, in percent, and these seconds, rounding and the way
# of the order hide the speed of a run.
_MIN_PROGRESS_PERCENT: typing.Final = 4
_MIN_ELAPSED_S: typing.Final = 0.04
# Estimates and predictions are off by up to 2; beyond it a run is slow.
SLOW_FACTOR: typing.Final = 2.5
_FULL_PROGRESS_PERCENT: typing.Final = 100
# A late answer is of use until this multiple of the aim.
_LATE_FACTOR: typing.Final = 3
# Seconds; for less a move is not worth its thrown away work.
_MIN_GAIN_S: typing.Final = 0.1
# Seconds for a stop, its report and a new start.
_MOVE_TIME_S: typing.Final = 0.03


@dataclasses.dataclass
class RunProgress:
    """Progress of one run as reports show it; times in seconds."""

    started_at: float
    percent: int = 0
    advanced_at: float = 0.0

    def observe(self, progress: int, now: float) -> None:
        """Take over the progress, in percent, of a report."""
        if progress > self.percent or not self.advanced_at:
            self.percent = progress
            self.advanced_at = now

    def projected_duration(self) -> float | None:
        """Return the time that all of it takes, `None` if not known yet."""
        taken = self.advanced_at - self.started_at
        if self.percent < _MIN_PROGRESS_PERCENT or taken < _MIN_ELAPSED_S:
            return None
        return taken * _FULL_PROGRESS_PERCENT / self.percent

    def straggler_remaining(self, now: float, expected: float) -> float | None:
        """Return the time that is left to a straggler, else `None`.

        `expected` is the time that all of it should take here.
        """
        still = now - (self.advanced_at or now)
        if still >= max(_MIN_STALL_S, _STALL_FRACTION * expected):
            return STALLED
        whole = self.projected_duration()
        if whole is None or whole < SLOW_FACTOR * expected:
            return None
        return max(whole - (now - self.started_at), 0)


def active_slowness(
    runs: typing.Iterable[tuple[RunProgress, float]],
) -> float | None:
    """Return the ratio of projected to estimated times of present runs.

    The progress of each run comes with its estimate. Fewer than two known runs tell
    nothing, since a single task may be longer than its estimate.
    """
    logs = []
    for run_progress, estimate in runs:
        whole = run_progress.projected_duration()
        if whole and estimate > 0:
            logs.append(math.log(whole / estimate))
    if len(logs) < 2:
        return None
    return math.exp(sum(logs) / len(logs))


def is_worth_moving(
    now: float,
    remaining: float,
    restart: float,
    aim_at: float,
    aim: float,
) -> bool:
    """Return whether to stop a straggler and start it elsewhere.

    `remaining` and `restart` are the times until its end here and there,
    `aim_at` is when the job should end and `aim` for how long it should
    take. A run that stands still is moved in any case; another only if its
    job then ends in time, or late but still of use.
    """
    if remaining == STALLED:
        return True
    if remaining < SLOW_FACTOR * restart + _MIN_GAIN_S:
        return False
    limits = (aim_at, aim_at + (_LATE_FACTOR - 1) * aim)
    there = now + restart + _MOVE_TIME_S
    return any(there <= limit < now + remaining for limit in limits)
