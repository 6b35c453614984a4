"""Expected task times and worker speeds, learned from measured times.

The time of a task is modelled as the product of three factors: a time for its
tenant and kind, the inverse of the worker's speed, and a correction for the
combination of tenant, kind and worker. Factors are averaged as logarithms, so
that a time that is ten times too long weighs as much as one that is ten times
too short.
"""

import dataclasses
import math
import typing

from poplardrum import ids
from poplardrum.scheduling import lru

# Sized for 320 tenants with 20 kinds each and 700 workers. A row takes about
# 350 bytes with its key, so all tables together stay below 7 MB.
_MAX_KINDS: typing.Final = 6400
_MAX_WORKERS: typing.Final = 1400
_MAX_PAIRS: typing.Final = 8192
_MAX_TENANTS: typing.Final = 640
_HALF_LIFE_S: typing.Final = 120.0
_MIN_TIME_S: typing.Final = 0.0001
# Weights at which a learned mean counts as much as its prior.
_PRIOR_WEIGHT: typing.Final = 1.0
_WORKER_PRIOR_WEIGHT: typing.Final = 4.0
_PAIR_PRIOR_WEIGHT: typing.Final = 8.0
# Bounds the weight of past samples, so that a new sample always has at least
# 1/65 of the total weight.
_MAX_HISTORY_WEIGHT: typing.Final = 64.0
# Assumed for a predictor without samples: ln(10) squared, since declared times
# may be wrong by a factor of ten.
_INITIAL_SQUARED_ERROR: typing.Final = 5.3
_MIN_TRUSTED_WEIGHT: typing.Final = 3.0
# Expected remaining time of an overdue task, as a fraction of the elapsed time.
_OVERDUE_REMAINING_FRACTION: typing.Final = 0.2

KindKey = tuple[ids.TenantName, ids.TaskKindName]
PairKey = tuple[ids.TenantName, ids.TaskKindName, ids.MemberId]


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Weighted mean of logarithms in which old samples lose weight."""

    weight: float = 0
    average: float = 0
    updated_at: float = 0

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
        age = max(0, now - self.updated_at)
        decayed = self.weight * 0.5 ** (age / _HALF_LIFE_S)
        self.weight = min(decayed, _MAX_HISTORY_WEIGHT) + 1
        self.average += (sample - self.average) / self.weight
        self.updated_at = now

    def shrunk(self, prior: float, prior_weight: float) -> float:
        """Return the mean shrunk towards a prior of the given weight."""
        total = self.weight + prior_weight
        return (self.average * self.weight + prior * prior_weight) / total


@dataclasses.dataclass(slots=True)
class KindPredictors:
    """Two predictors for one tenant and kind, and their squared errors.

    `time` is the mean measured time at speed 1; `ratio` is the mean ratio of
    measured to declared time.
    """

    time: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    ratio: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    time_error: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    ratio_error: DecayingMean = dataclasses.field(default_factory=DecayingMean)


class Estimates:
    """Learned task times and worker speeds; all times are in seconds."""

    def __init__(self) -> None:
        """Start without samples."""
        self.kinds = lru.LruTable[KindKey, KindPredictors](
            _MAX_KINDS, KindPredictors
        )
        self.tenants = lru.LruTable[ids.TenantName, DecayingMean](
            _MAX_TENANTS,
            DecayingMean,
        )
        self.workers = lru.LruTable[ids.MemberId, DecayingMean](
            _MAX_WORKERS,
            DecayingMean,
        )
        self.pairs = lru.LruTable[PairKey, DecayingMean](
            _MAX_PAIRS, DecayingMean
        )

    def expected_time(
        self,
        tenant: ids.TenantName,
        kind: ids.TaskKindName,
        declared: float,
    ) -> float:
        """Return the expected time on a worker of speed 1."""
        row = self.kinds.peek((tenant, kind))
        return math.exp(
            self._log_expected_time(tenant, row, _log_time(declared))
        )

    def is_trusted(
        self, tenant: ids.TenantName, kind: ids.TaskKindName
    ) -> bool:
        """Return whether a time was learned well enough to refuse work by it.

        Declared times are not, as they are wrong by up to a factor of ten.
        """
        row = self.kinds.peek((tenant, kind))
        return row is not None and row.time.weight >= _MIN_TRUSTED_WEIGHT

    def speed(self, worker: ids.MemberId, prior_speed: float = 1.0) -> float:
        """Return the speed of a worker, shrunk towards `prior_speed`."""
        row = self.workers.peek(worker)
        prior = math.log(prior_speed)
        if row is None:
            return prior_speed
        return math.exp(row.shrunk(prior, _WORKER_PRIOR_WEIGHT))

    def expected_time_on(
        self,
        kind_key: KindKey,
        declared: float,
        worker: ids.MemberId,
        prior_speed: float = 1.0,
    ) -> float:
        """Return the expected time of a task on one worker."""
        tenant, kind = kind_key
        pair = self.pairs.peek((tenant, kind, worker))
        factor = pair.shrunk(0, _PAIR_PRIOR_WEIGHT) if pair else 0
        base = self.expected_time(tenant, kind, declared)
        return base / self.speed(worker, prior_speed) * math.exp(factor)

    def learn(
        self,
        kind_key: KindKey,
        declared: float,
        worker: ids.MemberId,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from the measured time of a task that succeeded."""
        tenant, kind = kind_key
        row = self.kinds.get_or_create(kind_key)
        log_declared = _log_time(declared)
        log_expected = self._log_expected_time(tenant, row, log_declared)
        log_speed = math.log(self.speed(worker))
        log_real = _log_time(seconds) + log_speed
        if row.time.weight:
            # The first sample of a kind is not evidence about the worker, as
            # the declared time may be far off.
            residual = log_expected - _log_time(seconds)
            self.workers.get_or_create(worker).add(residual, now)
            pair = self.pairs.get_or_create((tenant, kind, worker))
            pair.add(log_real - log_expected, now)
        row.time_error.add((log_real - row.time.average) ** 2, now)
        row.ratio_error.add(
            (log_real - log_declared - row.ratio.average) ** 2, now
        )
        row.time.add(log_real, now)
        row.ratio.add(log_real - log_declared, now)
        self.tenants.get_or_create(tenant).add(log_real - log_declared, now)

    def _log_expected_time(
        self,
        tenant: ids.TenantName,
        row: KindPredictors | None,
        log_declared: float,
    ) -> float:
        ratio = self.tenants.peek(tenant)
        prior = log_declared + (ratio.shrunk(0, _PRIOR_WEIGHT) if ratio else 0)
        if row is None:
            return prior
        time_error = row.time_error.shrunk(
            _INITIAL_SQUARED_ERROR, _PRIOR_WEIGHT
        )
        if time_error < row.ratio_error.shrunk(
            _INITIAL_SQUARED_ERROR, _PRIOR_WEIGHT
        ):
            return row.time.shrunk(prior, _PRIOR_WEIGHT)
        return log_declared + row.ratio.shrunk(
            prior - log_declared, _PRIOR_WEIGHT
        )


def remaining_time(expected: float, elapsed: float) -> float:
    """Return the expected remaining seconds of a running task.

    A task beyond its expected time is assumed to need a fixed fraction of its
    elapsed time in addition, as run times have a long tail.
    """
    return max(expected - elapsed, elapsed * _OVERDUE_REMAINING_FRACTION)


def _log_time(seconds: float) -> float:
    return math.log(max(seconds, _MIN_TIME_S))
