"""Health, slowness and stragglers of an endpoint, judged by its runs."""

import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import endpoint_runs, health, messages, stragglers

logger = logging.getLogger(__name__)

# Minimum time between two reports of one straggler.
_REPORT_INTERVAL_S: typing.Final = 0.3


class EndpointMonitor:
    """Judge an endpoint by its runs."""

    def __init__(self) -> None:
        """Assume a healthy endpoint of usual speed."""
        self.health = health.EndpointHealth()
        self.learned_slowness = health.LearnedSlowness()
        self.recent_slowness = health.RecentSlowness()

    def slowness(self, now: float) -> float:
        """Return the expected ratio of actual to estimated duration."""
        return self.recent_slowness.value(self.learned_slowness.value(), now)

    def record_completion(
        self,
        run: endpoint_runs.Run,
        outcome: messages.Outcome,
        now: float,
    ) -> None:
        """Update health and slowness from a completed run."""
        if outcome is messages.Outcome.done:
            self.learned_slowness.observe(now - run.started_at, run.estimate)
            self.health.record_success(run.job)
        elif outcome is messages.Outcome.failed:
            self._count_failure(run, now)

    def report_stragglers(
        self,
        runs: typing.Collection[endpoint_runs.Run],
        now: float,
    ) -> bool:
        """Report stragglers to their entries; return whether there are any."""
        slowness = self.learned_slowness.value()
        measured = [
            run for run in runs if run.run_progress and run.estimate > 0
        ]
        active_slowness = stragglers.active_slowness(
            (run.run_progress, run.estimate)
            for run in measured
            if run.run_progress
        )
        if active_slowness is not None:
            self.recent_slowness.observe(active_slowness, slowness, now)
        has_stragglers = False
        for run in measured:
            remaining = self._check_straggler(run, slowness, now)
            if remaining is not None:
                has_stragglers = True
                run.session.send(messages.Straggler(run.job, run.id, remaining))
        return has_stragglers

    def _check_straggler(
        self,
        run: endpoint_runs.Run,
        slowness: float,
        now: float,
    ) -> float | None:
        """Return the time left to a straggler that is due for a report.

        A run that has stalled also counts as a failure, once.
        """
        if run.run_progress is None or run.stopping:
            return None
        expected_duration = run.estimate * slowness
        remaining = run.run_progress.straggler_remaining(now, expected_duration)
        if (
            remaining is None
            or now - run.straggler_reported_at < _REPORT_INTERVAL_S
        ):
            return None
        if remaining == stragglers.STALLED and not run.straggler_reported_at:
            self._count_failure(run, now)
        run.straggler_reported_at = now
        log_events.emit(
            logger,
            'straggler detected',
            job=run.job,
            task=run.id.task_index,
            progress=run.run_progress.percent,
            after=round(now - run.started_at, 3),
            expected=round(expected_duration, 3),
        )
        return remaining

    def _count_failure(self, run: endpoint_runs.Run, now: float) -> None:
        if self.health.record_failure(run.job, now):
            log_events.emit(
                logger,
                'endpoint ejected',
                job=run.job,
                level=logging.WARNING,
            )
