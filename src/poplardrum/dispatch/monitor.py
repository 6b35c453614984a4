"""EndpointMonitor of an endpoint by its runs: health, speed and stragglers."""

import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import endpoint_runs, health, messages, stragglers

logger = logging.getLogger(__name__)

# Seconds between two messages about one straggler.
_REPORT_INTERVAL_S: typing.Final = 0.3


class EndpointMonitor:
    """What the runs of an endpoint tell about it."""

    def __init__(self) -> None:
        """Start with a healthy endpoint of usual speed."""
        self.health = health.EndpointHealth()
        self.learned_slowness = health.LearnedSlowness()
        self.recent_slowness = health.RecentSlowness()

    def slowness(self, now: float) -> float:
        """Return the ratio of real to estimated times to expect."""
        return self.recent_slowness.value(self.learned_slowness.value(), now)

    def record_completion(
        self,
        task: endpoint_runs.Run,
        outcome: messages.Outcome,
        now: float,
    ) -> None:
        """Learn from a run that the endpoint listed as ended."""
        if outcome is messages.Outcome.done:
            self.learned_slowness.observe(now - task.started_at, task.estimate)
            self.health.record_success(task.job)
        elif outcome is messages.Outcome.failed:
            self._count_failure(task, now)

    def report_stragglers(
        self,
        runs: typing.Collection[endpoint_runs.Run],
        now: float,
    ) -> bool:
        """Tell entries of runs that lag; return whether there are any."""
        usual = self.learned_slowness.value()
        known = [
            task for task in runs if task.run_progress and task.estimate > 0
        ]
        live = stragglers.active_slowness(
            (task.run_progress, task.estimate)
            for task in known
            if task.run_progress
        )
        if live is not None:
            self.recent_slowness.observe(live, usual, now)
        found = False
        for task in known:
            left = self._check_straggler(task, usual, now)
            if left is not None:
                found = True
                task.session.send(messages.Straggler(task.job, task.id, left))
        return found

    def _check_straggler(
        self,
        task: endpoint_runs.Run,
        usual: float,
        now: float,
    ) -> float | None:
        if task.run_progress is None or task.stopping:
            return None
        expected = task.estimate * usual
        left = task.run_progress.straggler_remaining(now, expected)
        if (
            left is None
            or now - task.straggler_reported_at < _REPORT_INTERVAL_S
        ):
            return None
        if left == stragglers.STALLED and not task.straggler_reported_at:
            self._count_failure(task, now)
        task.straggler_reported_at = now
        log_events.emit(
            logger,
            'task lags',
            job=task.job,
            task=task.id.task_index,
            progress=task.run_progress.percent,
            after=round(now - task.started_at, 3),
            expected=round(expected, 3),
        )
        return left

    def _count_failure(self, task: endpoint_runs.Run, now: float) -> None:
        if self.health.record_failure(task.job, now):
            log_events.emit(
                logger,
                'endpoint ejected',
                job=task.job,
                level=logging.WARNING,
            )
