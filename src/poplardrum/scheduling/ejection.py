"""Ejection of workers that fail what succeeds elsewhere.

Each outcome at a worker is compared with the failures that the same tenant
and kind show on other workers. The evidence is a cumulative sum of
log-likelihood ratios (Page's CUSUM test) between a worker that fails almost
everything and one that is as good as the others.
"""

import dataclasses
import math
import typing

from poplardrum import ids
from poplardrum.scheduling import tables

_MAX_KINDS: typing.Final = 6400
_MAX_PAIRS: typing.Final = 16384
_MAX_WORKERS: typing.Final = 1400
_HALF_LIFE_SECONDS: typing.Final = 60.0
# Outcomes elsewhere that a comparison needs before it counts.
_MIN_ELSEWHERE: typing.Final = 3.0
_FAULTY_FAILS: typing.Final = 0.9
_MIN_RATE: typing.Final = 0.02
# One failure of a reliable kind adds ln(0.9 / 0.02) = 3.8, so three in a row
# eject; a false ejection needs three failures by chance, 8 in a million at
# the least failure rate considered.
_EJECT_SCORE: typing.Final = 10.0

KindKey = tuple[ids.TenantName, ids.KindName]
PairKey = tuple[ids.TenantName, ids.KindName, ids.MemberId]


@dataclasses.dataclass(frozen=True)
class Settings:
    """Bounds of ejection; times in seconds.

    `fraction` bounds the ejected part of the fleet. A probe is one task; the
    interval doubles with each failed probe up to `max_probe_interval`.
    """

    fraction: float = 0.2
    probe_interval: float = 1.0
    max_probe_interval: float = 30.0
    recovery_probes: int = 3


DEFAULT: typing.Final = Settings()


@dataclasses.dataclass(slots=True)
class Count:
    """Decaying numbers of outcomes and failures."""

    total: float = 0
    failed: float = 0
    at: float = 0

    def add(self, failed: bool, now: float) -> None:
        """Take one more outcome."""
        self.fade(now)
        self.total += 1
        self.failed += failed

    def fade(self, now: float) -> None:
        """Let older outcomes count less."""
        factor = 0.5 ** (max(0, now - self.at) / _HALF_LIFE_SECONDS)
        self.total *= factor
        self.failed *= factor
        self.at = max(self.at, now)


@dataclasses.dataclass(slots=True)
class Health:
    """Evidence against one worker, and its probes if it is ejected."""

    score: float = 0
    ejected: bool = False
    interval: float = 0
    next_probe: float = 0
    successes: int = 0


class Ejector:
    """Decide from outcomes which workers receive no work for a time."""

    def __init__(self, settings: Settings = DEFAULT) -> None:
        """Start with all workers in use."""
        self.settings = settings
        self.kinds = tables.RecentTable[KindKey, Count](_MAX_KINDS, Count)
        self.pairs = tables.RecentTable[PairKey, Count](_MAX_PAIRS, Count)
        self.workers = tables.RecentTable[ids.MemberId, Health](
            _MAX_WORKERS,
            Health,
        )
        self.ejected: set[ids.MemberId] = set()

    def record(
        self,
        worker: ids.MemberId,
        kind_key: KindKey,
        *,
        failed: bool,
        now: float,
        fleet: int,
    ) -> None:
        """Take one outcome; `fleet` is the number of workers in view."""
        rate = self.elsewhere(worker, kind_key, now)
        tenant, kind = kind_key
        self.kinds.use(kind_key).add(failed, now)
        self.pairs.use((tenant, kind, worker)).add(failed, now)
        health = self.workers.use(worker)
        if health.ejected:
            self._probed(worker, health, failed and rate is not None, now)
            return
        if rate is None:
            return
        health.score = max(0, health.score + _evidence(failed, rate))
        if health.score >= _EJECT_SCORE and self._room(fleet):
            self._eject(worker, health, now)

    def elsewhere(
        self,
        worker: ids.MemberId,
        kind_key: KindKey,
        now: float,
    ) -> float | None:
        """Return the failure rate on other workers, `None` if unknown."""
        total = self.kinds.find(kind_key)
        if total is None:
            return None
        total.fade(now)
        count, failures = total.total, total.failed
        own = self.pairs.find((*kind_key, worker))
        if own is not None:
            own.fade(now)
            count -= own.total
            failures -= own.failed
        if count < _MIN_ELSEWHERE:
            return None
        rate = (max(0, failures) + _MIN_RATE) / (count + 2 * _MIN_RATE)
        return min(1 - _MIN_RATE, max(_MIN_RATE, rate))

    def is_ejected(self, worker: ids.MemberId) -> bool:
        """Tell whether a worker is ejected."""
        return worker in self.ejected

    def take_probe(self, worker: ids.MemberId, now: float) -> bool:
        """Return whether one task may go to an ejected worker now.

        A true answer counts as the probe's start.
        """
        health = self.workers.find(worker)
        if health is None or not health.ejected or now < health.next_probe:
            return False
        health.next_probe = now + health.interval
        return True

    def forget(self, worker: ids.MemberId) -> None:
        """Drop all evidence against a worker that left or restarted."""
        self.ejected.discard(worker)
        self.workers.rows.pop(worker, None)

    def _room(self, fleet: int) -> bool:
        # A small fleet can spare one worker if others remain.
        allowed = max(int(fleet * self.settings.fraction), int(fleet > 1))
        return len(self.ejected) < allowed

    def _eject(
        self,
        worker: ids.MemberId,
        health: Health,
        now: float,
    ) -> None:
        health.ejected = True
        health.interval = self.settings.probe_interval
        health.next_probe = now + health.interval
        health.successes = 0
        self.ejected.add(worker)

    def _probed(
        self,
        worker: ids.MemberId,
        health: Health,
        failed: bool,
        now: float,
    ) -> None:
        if failed:
            health.successes = 0
            health.interval = min(
                2 * health.interval,
                self.settings.max_probe_interval,
            )
            health.next_probe = now + health.interval
            return
        health.successes += 1
        health.interval = self.settings.probe_interval
        health.next_probe = min(health.next_probe, now + health.interval)
        if health.successes >= self.settings.recovery_probes:
            self.forget(worker)


def _evidence(failed: bool, rate: float) -> float:
    # A success never counts against a worker, even where a faulty one has
    # driven up the failure rate, nor a failure in its favour.
    if failed:
        return max(0, math.log(_FAULTY_FAILS / rate))
    return min(-1, math.log((1 - _FAULTY_FAILS) / (1 - rate)))
