"""EndpointMonitor of an endpoint by the results of its tasks."""

import collections
import math
import typing

from poplardrum import ids

_MIN_FAILED_JOBS: typing.Final = 3
_CONSECUTIVE_FAILURES: typing.Final = 2
_MIN_EJECTION_S: typing.Final = 0.5
_MAX_BACKOFF_S: typing.Final = 4.0
# Above this multiple of the learned slowness present runs count instead.
_SLOWDOWN_RATIO: typing.Final = 1.8
_MIN_VALIDITY_S: typing.Final = 1.0
_MAX_RESULTS: typing.Final = 12
_FAILURE_FRACTION: typing.Final = 0.5
_SMOOTHING: typing.Final = 0.08
_MIN_SLOWNESS: typing.Final = 0.05
_MAX_SLOWNESS: typing.Final = 50.0


class EndpointHealth:
    """Eject an endpoint whose tasks fail for several jobs in a row.

    One job that can never run fails at every endpoint and counts once. After
    a pause one task at a time probes; a success ends the ejection.
    """

    def __init__(self) -> None:
        """Start healthy."""
        self.results: collections.deque[tuple[ids.JobId, bool]] = (
            collections.deque(maxlen=_MAX_RESULTS)
        )
        self.ejected_until = 0.0
        self.ejection_duration = 0.0

    def record_success(self, job: ids.JobId) -> None:
        """Take note of a task that ended well."""
        self.results.append((job, True))
        self.ejection_duration = 0.0

    def record_failure(self, job: ids.JobId, now: float) -> bool:
        """Take note of a failed task; return whether this ejects."""
        if (job, False) not in self.results:
            self.results.append((job, False))
        if now < self.ejected_until:
            return False
        failures = sum(not good for _, good in self.results)
        enough = failures >= _MIN_FAILED_JOBS
        share = failures >= _FAILURE_FRACTION * len(self.results)
        if (
            self.ejection_duration
            or self._has_consecutive_failures()
            or (enough and share)
        ):
            self._eject(now)
            return True
        return False

    def can_start(self, now: float, running: int) -> bool:
        """Return whether another task may start beside `running` ones."""
        if now < self.ejected_until:
            return False
        return not self.ejection_duration or running == 0

    def _has_consecutive_failures(self) -> bool:
        latest = list(self.results)[-_CONSECUTIVE_FAILURES:]
        return len(latest) == _CONSECUTIVE_FAILURES and not any(
            good for _, good in latest
        )

    def _eject(self, now: float) -> None:
        self.ejection_duration = min(
            max(2 * self.ejection_duration, _MIN_EJECTION_S), _MAX_BACKOFF_S
        )
        self.ejected_until = now + self.ejection_duration
        self.results.clear()


class RecentSlowness:
    """A slowness far above the learned one, by the progress of present runs.

    An endpoint that turns slow ends nothing for a while, so ended runs tell
    of it too late. It is believed for a pause after the last sign, so that
    tasks do not return to it as soon as it is empty.
    """

    def __init__(self) -> None:
        """Start at usual speed."""
        self.ratio = 0.0
        self.validity = 0.0
        self.valid_until = 0.0

    def observe(self, ratio: float, learned: float, now: float) -> None:
        """Take over the ratio of projected to estimated times."""
        if ratio <= _SLOWDOWN_RATIO * learned:
            if now >= self.valid_until:
                self.validity = 0.0
            return
        if now >= self.valid_until:
            self.ratio = 0.0
            self.validity = min(
                max(2 * self.validity, _MIN_VALIDITY_S), _MAX_BACKOFF_S
            )
        self.ratio = max(self.ratio, ratio)
        self.valid_until = now + self.validity

    def value(self, learned: float, now: float) -> float:
        """Return the slowness to expect of a new task."""
        return max(self.ratio, learned) if now < self.valid_until else learned


class LearnedSlowness:
    """Learn the ratio of real to estimated times, as a geometric mean."""

    def __init__(self) -> None:
        """Start with estimates taken as they are."""
        self.log_mean = 0.0
        self.weight = 0.0

    def observe(self, seconds: float, estimate: float) -> None:
        """Learn from one task; a zero estimate tells nothing."""
        if estimate <= 0:
            return
        ratio = min(max(seconds / estimate, _MIN_SLOWNESS), _MAX_SLOWNESS)
        # The first tasks count for more, so that a start is learned fast.
        self.weight = self.weight * (1 - _SMOOTHING) + _SMOOTHING
        self.log_mean += (
            (math.log(ratio) - self.log_mean) * _SMOOTHING / self.weight
        )

    def value(self) -> float:
        """Return the ratio."""
        return math.exp(self.log_mean)
