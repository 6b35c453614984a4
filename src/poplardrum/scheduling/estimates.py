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
from poplardrum.scheduling import tables

# Sizes of the tables: 320 tenants with 20 kinds each, and 700 workers. A row
# takes about 350 bytes with its key, so all tables stay below 7 MB.
_MAX_KINDS: typing.Final = 6400
_MAX_WORKERS: typing.Final = 1400
_MAX_PAIRS: typing.Final = 8192
_MAX_TENANTS: typing.Final = 640
_HALF_LIFE_SECONDS: typing.Final = 120.0
_MIN_SECONDS: typing.Final = 0.0001
# Weights at which a learned value counts as much as its prior.
_PRIOR_WEIGHT: typing.Final = 1.0
_WORKER_PRIOR: typing.Final = 4.0
_PAIR_PRIOR: typing.Final = 8.0
# The newest value counts at least this much once much has been seen.
_MAX_WEIGHT: typing.Final = 64.0
# Squared errors of a predictor that has not been tried; ln(10) squared, for
# declared times that are wrong by ten times.
_UNTRIED_ERROR: typing.Final = 5.3
_TRUSTED_WEIGHT: typing.Final = 3.0
# Part of the elapsed time that an overdue task is expected to need yet.
_LONG_TAIL: typing.Final = 0.2

KindKey = tuple[ids.TenantName, ids.KindName]
PairKey = tuple[ids.TenantName, ids.KindName, ids.MemberId]


@dataclasses.dataclass(slots=True)
class Mean:
    """Decaying mean of logarithms; `at` is the last update in seconds."""

    weight: float = 0
    average: float = 0
    at: float = 0

    def add(self, sample: float, now: float) -> None:
        """Take one more sample."""
        age = max(0, now - self.at)
        faded = self.weight * 0.5 ** (age / _HALF_LIFE_SECONDS)
        self.weight = min(faded, _MAX_WEIGHT) + 1
        self.average += (sample - self.average) / self.weight
        self.at = now

    def shrunk(self, prior: float, prior_weight: float) -> float:
        """Return the mean drawn towards a prior by the prior's weight."""
        total = self.weight + prior_weight
        return (self.average * self.weight + prior * prior_weight) / total


@dataclasses.dataclass(slots=True)
class KindRow:
    """Two predictors for one tenant and kind, and their squared errors.

    `plain` is the mean time; `ratio` the mean of real over declared time.
    """

    plain: Mean = dataclasses.field(default_factory=Mean)
    ratio: Mean = dataclasses.field(default_factory=Mean)
    plain_error: Mean = dataclasses.field(default_factory=Mean)
    ratio_error: Mean = dataclasses.field(default_factory=Mean)


class Estimates:
    """Learn times and speeds; all times in seconds."""

    def __init__(self) -> None:
        """Start without experience."""
        self.kinds = tables.RecentTable[KindKey, KindRow](_MAX_KINDS, KindRow)
        self.tenants = tables.RecentTable[ids.TenantName, Mean](
            _MAX_TENANTS,
            Mean,
        )
        self.workers = tables.RecentTable[ids.MemberId, Mean](
            _MAX_WORKERS,
            Mean,
        )
        self.pairs = tables.RecentTable[PairKey, Mean](_MAX_PAIRS, Mean)

    def expected(
        self,
        tenant: ids.TenantName,
        kind: ids.KindName,
        declared: float,
    ) -> float:
        """Return the expected time on a worker of speed 1."""
        row = self.kinds.find((tenant, kind))
        return math.exp(self._base(tenant, row, _log(declared)))

    def trusted(self, tenant: ids.TenantName, kind: ids.KindName) -> bool:
        """Tell whether enough was learned to refuse work by its time.

        Declared times alone are not: they are wrong by up to ten times.
        """
        row = self.kinds.find((tenant, kind))
        return row is not None and row.plain.weight >= _TRUSTED_WEIGHT

    def speed(self, worker: ids.MemberId, rated: float = 1.0) -> float:
        """Return the speed of a worker; `rated` is its prior."""
        row = self.workers.find(worker)
        prior = math.log(rated)
        if row is None:
            return rated
        return math.exp(row.shrunk(prior, _WORKER_PRIOR))

    def expected_on(
        self,
        kind_key: KindKey,
        declared: float,
        worker: ids.MemberId,
        rated: float = 1.0,
    ) -> float:
        """Return the expected time of a task on one worker."""
        tenant, kind = kind_key
        pair = self.pairs.find((tenant, kind, worker))
        factor = pair.shrunk(0, _PAIR_PRIOR) if pair else 0
        base = self.expected(tenant, kind, declared)
        return base / self.speed(worker, rated) * math.exp(factor)

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
        row = self.kinds.use(kind_key)
        stated = _log(declared)
        base = self._base(tenant, row, stated)
        own_speed = math.log(self.speed(worker))
        real = _log(seconds) + own_speed
        if row.plain.weight:
            # The first sample of a kind says nothing of the worker: its
            # declared time may be far off.
            residual = base - _log(seconds)
            self.workers.use(worker).add(residual, now)
            pair = self.pairs.use((tenant, kind, worker))
            pair.add(real - base, now)
        row.plain_error.add((real - row.plain.average) ** 2, now)
        row.ratio_error.add((real - stated - row.ratio.average) ** 2, now)
        row.plain.add(real, now)
        row.ratio.add(real - stated, now)
        self.tenants.use(tenant).add(real - stated, now)

    def _base(
        self,
        tenant: ids.TenantName,
        row: KindRow | None,
        stated: float,
    ) -> float:
        ratio = self.tenants.find(tenant)
        prior = stated + (ratio.shrunk(0, _PRIOR_WEIGHT) if ratio else 0)
        if row is None:
            return prior
        plain = row.plain_error.shrunk(_UNTRIED_ERROR, _PRIOR_WEIGHT)
        if plain < row.ratio_error.shrunk(_UNTRIED_ERROR, _PRIOR_WEIGHT):
            return row.plain.shrunk(prior, _PRIOR_WEIGHT)
        return stated + row.ratio.shrunk(prior - stated, _PRIOR_WEIGHT)


def left(expected: float, elapsed: float) -> float:
    """Return the expected seconds left of a task that has run for a while.

    A task beyond its expected time is expected to run for a part of the time
    that it has run already, as for long-tailed times.
    """
    return max(expected - elapsed, elapsed * _LONG_TAIL)


def _log(seconds: float) -> float:
    return math.log(max(seconds, _MIN_SECONDS))
