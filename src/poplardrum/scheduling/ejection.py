"""Ejection of workers that fail tasks which succeed elsewhere.

Each outcome at a worker is compared with the failure rate of the same tenant
and kind on other workers. The score of a worker is a cumulative sum of
log-likelihood ratios (Page's CUSUM test) between a worker that fails almost
all tasks and one that is as good as the others.
"""

import dataclasses
import math
import typing

from poplardrum import ids
from poplardrum.scheduling import lru

_MAX_KINDS: typing.Final = 6400
_MAX_PAIRS: typing.Final = 16384
_MAX_WORKERS: typing.Final = 1400
_HALF_LIFE_S: typing.Final = 60.0
# A failure rate elsewhere is used only with at least this many outcomes.
_MIN_OTHER_OUTCOMES: typing.Final = 3.0
_FAULTY_FAILURE_RATE: typing.Final = 0.9
_MIN_FAILURE_RATE: typing.Final = 0.02
# One failure of a reliable kind adds ln(0.9 / 0.02) = 3.8, so three in a row
# eject a worker. Three failures by chance have a probability of 8 in a million
# at the lowest failure rate considered.
_EJECTION_SCORE: typing.Final = 10.0

KindKey = tuple[ids.TenantName, ids.TaskKindName]
PairKey = tuple[ids.TenantName, ids.TaskKindName, ids.MemberId]


@dataclasses.dataclass(frozen=True)
class EjectionSettings:
    """Limits and probe intervals of ejection.

    At most `max_ejected_fraction` of the fleet is ejected at once, but always
    one worker if there are others. A probe is one task sent to an ejected
    worker. The probe interval doubles with each failed probe, up to
    `max_probe_interval_s`, and returns to `probe_interval_s` with a success;
    `recovery_probes` successes in a row end the ejection.
    """

    max_ejected_fraction: float = 0.2
    probe_interval_s: float = 1.0
    max_probe_interval_s: float = 30.0
    recovery_probes: int = 3


DEFAULT_SETTINGS: typing.Final = EjectionSettings()


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Number of outcomes and of failures, with exponential decay."""

    total: float = 0
    failed: float = 0
    updated_at: float = 0

    def add(self, failed: bool, now: float) -> None:
        """Count an outcome."""
        self.decay(now)
        self.total += 1
        self.failed += failed

    def decay(self, now: float) -> None:
        """Reduce the weight of past outcomes by their age."""
        factor = 0.5 ** (max(0, now - self.updated_at) / _HALF_LIFE_S)
        self.total *= factor
        self.failed *= factor
        self.updated_at = max(self.updated_at, now)


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """CUSUM score of one worker, and the state of its probes."""

    score: float = 0
    is_ejected: bool = False
    probe_interval_s: float = 0
    next_probe_at: float = 0
    probe_successes: int = 0


class Ejector:
    """Decide from outcomes which workers temporarily receive no tasks."""

    def __init__(self, settings: EjectionSettings = DEFAULT_SETTINGS) -> None:
        """Start without ejected workers."""
        self.settings = settings
        self.kinds = lru.LruTable[KindKey, OutcomeCounts](
            _MAX_KINDS, OutcomeCounts
        )
        self.pairs = lru.LruTable[PairKey, OutcomeCounts](
            _MAX_PAIRS, OutcomeCounts
        )
        self.ejected: set[ids.MemberId] = set()
        # Nothing is known of an evicted worker, not even that it was ejected.
        self.workers = lru.LruTable[ids.MemberId, WorkerHealth](
            _MAX_WORKERS,
            WorkerHealth,
            self.ejected.discard,
        )

    def record(
        self,
        worker: ids.MemberId,
        kind_key: KindKey,
        *,
        failed: bool,
        now: float,
        fleet_size: int,
    ) -> bool:
        """Record an outcome; return whether it ejected the worker.

        `fleet_size` is the number of known workers. Ejects the worker, or ends
        its ejection, if the evidence suffices.
        """
        rate = self.failure_rate_elsewhere(worker, kind_key, now)
        tenant, kind = kind_key
        self.kinds.get_or_create(kind_key).add(failed, now)
        self.pairs.get_or_create((tenant, kind, worker)).add(failed, now)
        health = self.workers.get_or_create(worker)
        if health.is_ejected:
            # Without a failure rate elsewhere, a failure is no evidence
            # against the worker, so the probe counts as a success.
            self._record_probe(worker, health, failed and rate is not None, now)
            return False
        if rate is None:
            return False
        health.score = max(
            0, health.score + _log_likelihood_ratio(failed, rate)
        )
        if health.score < _EJECTION_SCORE or not self._may_eject(fleet_size):
            return False
        self._eject(worker, health, now)
        return True

    def failure_rate_elsewhere(
        self,
        worker: ids.MemberId,
        kind_key: KindKey,
        now: float,
    ) -> float | None:
        """Return the failure rate on other workers.

        `None` means that there are too few outcomes.
        """
        everywhere = self.kinds.peek(kind_key)
        if everywhere is None:
            return None
        everywhere.decay(now)
        count, failures = everywhere.total, everywhere.failed
        at_worker = self.pairs.peek((*kind_key, worker))
        if at_worker is not None:
            at_worker.decay(now)
            count -= at_worker.total
            failures -= at_worker.failed
        if count < _MIN_OTHER_OUTCOMES:
            return None
        rate = (max(0, failures) + _MIN_FAILURE_RATE) / (
            count + 2 * _MIN_FAILURE_RATE
        )
        return min(1 - _MIN_FAILURE_RATE, max(_MIN_FAILURE_RATE, rate))

    def is_ejected(self, worker: ids.MemberId) -> bool:
        """Return whether a worker is ejected."""
        return worker in self.ejected

    def try_start_probe(self, worker: ids.MemberId, now: float) -> bool:
        """Return whether a probe may be sent to an ejected worker now.

        If so, the probe counts as started and the next interval begins.
        """
        health = self.workers.peek(worker)
        if (
            health is None
            or not health.is_ejected
            or now < health.next_probe_at
        ):
            return False
        health.next_probe_at = now + health.probe_interval_s
        return True

    def clear(self, worker: ids.MemberId) -> None:
        """Remove the score and the ejection of a worker."""
        self.ejected.discard(worker)
        self.workers.rows.pop(worker, None)

    def _may_eject(self, fleet_size: int) -> bool:
        # One worker may be ejected from a small fleet if others remain.
        allowed = max(
            int(fleet_size * self.settings.max_ejected_fraction),
            int(fleet_size > 1),
        )
        return len(self.ejected) < allowed

    def _eject(
        self,
        worker: ids.MemberId,
        health: WorkerHealth,
        now: float,
    ) -> None:
        health.is_ejected = True
        health.probe_interval_s = self.settings.probe_interval_s
        health.next_probe_at = now + health.probe_interval_s
        health.probe_successes = 0
        self.ejected.add(worker)

    def _record_probe(
        self,
        worker: ids.MemberId,
        health: WorkerHealth,
        failed: bool,
        now: float,
    ) -> None:
        if failed:
            health.probe_successes = 0
            health.probe_interval_s = min(
                2 * health.probe_interval_s,
                self.settings.max_probe_interval_s,
            )
            health.next_probe_at = now + health.probe_interval_s
            return
        health.probe_successes += 1
        health.probe_interval_s = self.settings.probe_interval_s
        health.next_probe_at = min(
            health.next_probe_at, now + health.probe_interval_s
        )
        if health.probe_successes >= self.settings.recovery_probes:
            self.clear(worker)


def _log_likelihood_ratio(failed: bool, rate: float) -> float:
    # A success must never raise the score, even if a faulty worker has driven
    # up the failure rate of the kind, and a failure must never lower it.
    if failed:
        return max(0, math.log(_FAULTY_FAILURE_RATE / rate))
    return min(-1, math.log((1 - _FAULTY_FAILURE_RATE) / (1 - rate)))
