"""Health, slowness, crashes and stragglers of an endpoint, judged by its runs."""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import (
    clocks,
    crash_watch,
    endpoint_runs,
    health,
    messages,
    stragglers,
    timing,
)

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
        self.crashes = crash_watch.CrashWatch()
        # Until then no other task starts, so that a crash shows its cause.
        self.reserved_until = 0.0
        self.isolated_start_at = 0.0

    def can_start(self, now: float, active_runs: int) -> bool:
        """Return whether another run may start beside the active ones."""
        return now >= self.reserved_until and self.health.can_start(
            now, active_runs
        )

    def reserve_starts(
        self,
        runs: typing.Iterable[endpoint_runs.Run],
        isolation: messages.Isolation,
        on_end: typing.Callable[[], object],
    ) -> bool:
        """Let no task start for a while but one that may crash the endpoint.

        Return whether it may start, after `wait_for_isolation`; call `on_end`
        when others may start again.
        """
        now = clocks.now()
        self.isolated_start_at = now
        if not self._is_quiet(runs):
            if isolation is not messages.Isolation.by_force:
                return False
            self.isolated_start_at = now + timing.CRASH_WINDOW_S
        self.reserved_until = self.isolated_start_at + timing.CRASH_WINDOW_S
        asyncio.get_running_loop().call_later(self.reserved_until - now, on_end)
        return True

    async def wait_for_isolation(self) -> None:
        """Wait until the task for which starts are reserved may start."""
        await asyncio.sleep(max(self.isolated_start_at - clocks.now(), 0))

    def _is_quiet(self, runs: typing.Iterable[endpoint_runs.Run]) -> bool:
        """Return whether no run is just starting."""
        since = clocks.now() - timing.CRASH_WINDOW_S
        return all(
            run.added_at < since and run.state is endpoint_runs.RunState.running
            for run in runs
        )

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
