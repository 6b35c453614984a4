"""Expected times of tasks and speeds of workers, learned from real times.

The time of a task is modelled as the product of a time for its tenant and
kind, a factor of the worker (the inverse of its speed) and a factor of the
three together. Factors are averaged as logarithms, so that a time that is
ten times too long weighs as much as one that is ten times too short.
"""

import dataclasses
import math
import typing

from poplardrum import ids
from poplardrum.scheduling import lru

# Sizes of the tables: 320 tenants with 20 kinds each, and 700 workers. A row
# takes about 350 bytes with its key, so all tables stay below 7 MB.
_MAX_KINDS: typing.Final = 6400
_MAX_WORKERS: typing.Final = 1400
_MAX_PAIRS: typing.Final = 8192
_MAX_TENANTS: typing.Final = 640
_HALF_LIFE_S: typing.Final = 120.0
_MIN_TIME_S: typing.Final = 0.0001
# Weights at which a learned value counts as much as its prior.
_PRIOR_WEIGHT: typing.Final = 1.0
_WORKER_PRIOR_WEIGHT: typing.Final = 4.0
_PAIR_PRIOR_WEIGHT: typing.Final = 8.0
# The newest value counts at least this much once much has been seen.
_MAX_HISTORY_WEIGHT: typing.Final = 64.0
# Squared errors of a predictor that has not been tried; ln(10) squared, for
# declared times that are wrong by ten times.
_INITIAL_SQUARED_ERROR: typing.Final = 5.3
_MIN_TRUSTED_WEIGHT: typing.Final = 3.0
# Part of the elapsed time that an overdue task is expected to need yet.
_OVERDUE_REMAINING_FRACTION: typing.Final = 0.2

KindKey = tuple[ids.TenantName, ids.TaskKindName]
PairKey = tuple[ids.TenantName, ids.TaskKindName, ids.MemberId]


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Decaying mean of logarithms; `at` is the last update in seconds."""

    weight: float = 0
    average: float = 0
    updated_at: float = 0

    def add(self, sample: float, now: float) -> None:
        """Take one more sample."""
        age = max(0, now - self.updated_at)
        faded = self.weight * 0.5 ** (age / _HALF_LIFE_S)
        self.weight = min(faded, _MAX_HISTORY_WEIGHT) + 1
        self.average += (sample - self.average) / self.weight
        self.updated_at = now

    def shrunk(self, prior: float, prior_weight: float) -> float:
        """Return the mean drawn towards a prior by the prior's weight."""
        total = self.weight + prior_weight
        return (self.average * self.weight + prior * prior_weight) / total


@dataclasses.dataclass(slots=True)
class KindPredictors:
    """Two predictors for one tenant and kind, and their squared errors.

    `plain` is the mean time; `ratio` the mean of real over declared time.
    """

    time: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    ratio: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    time_error: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    ratio_error: DecayingMean = dataclasses.field(default_factory=DecayingMean)


class Estimates:
    """Learn times and speeds; all times in seconds."""

    def __init__(self) -> None:
        """Start without experience."""
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
        """Tell whether enough was learned to refuse work by its time.

        Declared times alone are not: they are wrong by up to ten times.
        """
        row = self.kinds.peek((tenant, kind))
        return row is not None and row.time.weight >= _MIN_TRUSTED_WEIGHT

    def speed(self, worker: ids.MemberId, prior_speed: float = 1.0) -> float:
        """Return the speed of a worker; `rated` is its prior."""
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
        """Take the real time of one task that ended well."""
        tenant, kind = kind_key
        row = self.kinds.get_or_create(kind_key)
        stated = _log_time(declared)
        base = self._log_expected_time(tenant, row, stated)
        own_speed = math.log(self.speed(worker))
        real = _log_time(seconds) + own_speed
        if row.time.weight:
            # The first sample of a kind says nothing of the worker: its
            # declared time may be far off.
            residual = base - _log_time(seconds)
            self.workers.get_or_create(worker).add(residual, now)
            pair = self.pairs.get_or_create((tenant, kind, worker))
            pair.add(real - base, now)
        row.time_error.add((real - row.time.average) ** 2, now)
        row.ratio_error.add((real - stated - row.ratio.average) ** 2, now)
        row.time.add(real, now)
        row.ratio.add(real - stated, now)
        self.tenants.get_or_create(tenant).add(real - stated, now)

    def _log_expected_time(
        self,
        tenant: ids.TenantName,
        row: KindPredictors | None,
        stated: float,
    ) -> float:
        ratio = self.tenants.peek(tenant)
        prior = stated + (ratio.shrunk(0, _PRIOR_WEIGHT) if ratio else 0)
        if row is None:
            return prior
        plain = row.time_error.shrunk(_INITIAL_SQUARED_ERROR, _PRIOR_WEIGHT)
        if plain < row.ratio_error.shrunk(
            _INITIAL_SQUARED_ERROR, _PRIOR_WEIGHT
        ):
            return row.time.shrunk(prior, _PRIOR_WEIGHT)
        return stated + row.ratio.shrunk(prior - stated, _PRIOR_WEIGHT)


def remaining_time(expected: float, elapsed: float) -> float:
    """Return the expected seconds left of a task that has run for a while.

    A task beyond its expected time is expected to run for a part of the time
    that it has run already, as for long-tailed times.
    """
    return max(expected - elapsed, elapsed * _OVERDUE_REMAINING_FRACTION)


def _log_time(seconds: float) -> float:
    return math.log(max(seconds, _MIN_TIME_S))
