"""Health and slowness of an endpoint, learned from its runs."""

import collections
import math
import typing

from poplardrum import ids

_MIN_FAILED_JOBS: typing.Final = 3
_CONSECUTIVE_FAILURES: typing.Final = 2
_MIN_EJECTION_S: typing.Final = 0.5
_MAX_BACKOFF_S: typing.Final = 4.0
# Above this multiple of the learned slowness, that of the active runs is used
# instead.
_SLOWDOWN_RATIO: typing.Final = 1.8
_MIN_VALIDITY_S: typing.Final = 1.0
_MAX_RESULTS: typing.Final = 12
_FAILURE_FRACTION: typing.Final = 0.5
_SMOOTHING: typing.Final = 0.08
_MIN_SLOWNESS: typing.Final = 0.05
_MAX_SLOWNESS: typing.Final = 50.0


class EndpointHealth:
    """Eject an endpoint at which the tasks of several jobs fail.

    All failures of one job count once, since a job that can never succeed fails
    at every endpoint. When the ejection is over, one task at a time is started
    as a probe until one succeeds; a failed probe doubles the ejection.
    """

    def __init__(self) -> None:
        """Create a healthy endpoint."""
        self.results: collections.deque[tuple[ids.JobId, bool]] = (
            collections.deque(maxlen=_MAX_RESULTS)
        )
        self.ejected_until = 0.0
        self.ejection_duration = 0.0

    def record_success(self, job: ids.JobId) -> None:
        """Record a successful run, which ends probing."""
        self.results.append((job, True))
        self.ejection_duration = 0.0

    def record_failure(self, job: ids.JobId, now: float) -> bool:
        """Record a failed run; return whether it ejects the endpoint."""
        if (job, False) not in self.results:
            self.results.append((job, False))
        if now < self.ejected_until:
            return False
        failures = sum(not succeeded for _, succeeded in self.results)
        has_enough = failures >= _MIN_FAILED_JOBS
        is_fraction_reached = failures >= _FAILURE_FRACTION * len(self.results)
        if (
            self.ejection_duration
            or self._has_consecutive_failures()
            or (has_enough and is_fraction_reached)
        ):
            self._eject(now)
            return True
        return False

    def can_start(self, now: float, running: int) -> bool:
        """Return whether a run may start beside `running` others."""
        if now < self.ejected_until:
            return False
        return not self.ejection_duration or running == 0

    def _has_consecutive_failures(self) -> bool:
        latest = list(self.results)[-_CONSECUTIVE_FAILURES:]
        return len(latest) == _CONSECUTIVE_FAILURES and not any(
            succeeded for _, succeeded in latest
        )

    def _eject(self, now: float) -> None:
        self.ejection_duration = min(
            max(2 * self.ejection_duration, _MIN_EJECTION_S), _MAX_BACKOFF_S
        )
        self.ejected_until = now + self.ejection_duration
        self.results.clear()


class RecentSlowness:
    """A slowness far above the learned one, from the progress of active runs.

    An endpoint that turns slow completes no runs for a while, so completed runs
    show it too late. The value stays valid for a while after it was last
    observed, so that tasks do not return as soon as the endpoint is idle. The
    validity doubles each time that the endpoint is slow again.
    """

    def __init__(self) -> None:
        """Start without a value, so that the learned slowness is used."""
        self.ratio = 0.0
        self.validity = 0.0
        self.valid_until = 0.0

    def observe(
        self, ratio: float, learned_slowness: float, now: float
    ) -> None:
        """Record the ratio of projected to estimated durations."""
        if ratio <= _SLOWDOWN_RATIO * learned_slowness:
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

    def value(self, learned_slowness: float, now: float) -> float:
        """Return the slowness to expect of a new run."""
        return (
            max(self.ratio, learned_slowness)
            if now < self.valid_until
            else learned_slowness
        )


class LearnedSlowness:
    """Weighted geometric mean of the ratios of actual to estimated durations."""

    def __init__(self) -> None:
        """Start with a slowness of 1."""
        self.log_mean = 0.0
        self.weight = 0.0

    def observe(self, seconds: float, estimate: float) -> None:
        """Learn from one run; a run without an estimate is ignored."""
        if estimate <= 0:
            return
        ratio = min(max(seconds / estimate, _MIN_SLOWNESS), _MAX_SLOWNESS)
        # The first runs count for more, so that a new mean adapts fast.
        self.weight = self.weight * (1 - _SMOOTHING) + _SMOOTHING
        self.log_mean += (
            (math.log(ratio) - self.log_mean) * _SMOOTHING / self.weight
        )

    def value(self) -> float:
        """Return the mean ratio, 1 without any run."""
        return math.exp(self.log_mean)
