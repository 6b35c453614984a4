"""Promises that are checked while a soak runs."""

import collections
import time
import typing

from poplardrum.standins import leased

_DRAIN_TIMEOUT_S: typing.Final = 2.0


class Ledger:
    """What callers sent and got, and what endpoints started."""

    def __init__(self) -> None:
        """Start without jobs."""
        self.violations: list[str] = []
        self.submitted_jobs: set[str] = set()
        self.started_jobs: set[str] = set()
        self.reply_statuses: dict[str, list[int]] = collections.defaultdict(
            list
        )
        # Tasks of stored jobs that were accepted.
        self.stored_jobs: dict[str, int] = {}
        # Tasks whose end was noted, or may have been.
        self.acknowledged_tasks: set[str] = set()
        self.finished_tasks: set[str] = set()
        self.endpoints: list[WatchedEndpoint] = []
        self.started_at = time.monotonic()

    def record_violation(self, rule: str, details: str) -> None:
        """Take note of a broken promise."""
        at = time.monotonic() - self.started_at
        self.violations.append(f'{at:.3f} s {rule}: {details}')

    def check_start(
        self,
        endpoint: 'WatchedEndpoint',
        name: leased.Name,
        specification: str,
        now: float,
    ) -> None:
        """Check a start against all that runs elsewhere."""
        job = name.task.partition('.')[0]
        self.started_jobs.add(job)
        if specification not in self.submitted_jobs or specification != job:
            self.record_violation('unasked start', f'{name} {specification}')
        if len(endpoint.running) > endpoint.capacity_tasks:
            self.record_violation('capacity', f'{len(endpoint.running)} tasks')
        if now > endpoint.drained_at:
            self.record_violation('start at a draining endpoint', str(name))
        if name.task in self.acknowledged_tasks:
            self.record_violation('start after a noted end', str(name))
        for other in self.endpoints:
            other.advance(now)
            twice = sum(run.task == name.task for run in other.running)
            if twice > (other is endpoint):
                self.record_violation('two runs at once', str(name))

    def check_at_end(self) -> None:
        """Check what can be told only at the end."""
        for job, statuses in self.reply_statuses.items():
            refused = all(status in {429, 503} for status in statuses)
            if refused and job in self.started_jobs:
                self.record_violation('refused job has run', job)

        for endpoint in self.endpoints:
            if endpoint.listed():
                self.record_violation(
                    'ends not noted', str(len(endpoint.listed()))
                )
        for job, tasks in self.stored_jobs.items():
            names = {f'{job}.0.0.{place}' for place in range(tasks)}
            if not names <= self.finished_tasks:
                self.record_violation(
                    'stored job completed without its ends', job
                )


class WatchedEndpoint(leased.LeasedEndpoint):
    """An endpoint that reports its starts to the ledger."""

    def __init__(self, ledger: Ledger, room: int, lease: float) -> None:
        """Report to `ledger`; there is room for `room` tasks."""
        super().__init__(lease)
        self.ledger = ledger
        self.capacity_tasks = room
        self.drained_at = float('inf')
        ledger.endpoints.append(self)

    def advance(self, now: float) -> None:
        """End what is over and take note of it."""
        super().advance(now)
        self.ledger.finished_tasks.update(self.done)

    def drain(self, now: float) -> None:
        """Say from now on that this endpoint leaves."""
        self.drained_at = now + _DRAIN_TIMEOUT_S

    def listed(self) -> list[leased.End]:
        """Take note of the ends of stored jobs that are forgotten."""
        self.ledger.acknowledged_tasks |= {
            end.name.task
            for end in self.ends
            if end.how == 'done'
            and end.number <= self.seen
            and end.name.task.partition('.')[0] in self.ledger.stored_jobs
        }
        return super().listed()

    def start(
        self,
        name: leased.Name,
        run: leased.Run,
        *,
        now: float,
        until: float,
        token: int,
    ) -> leased.Start:
        """Start a run and check it."""
        known = name in self.running
        found = super().start(name, run, now=now, until=until, token=token)
        if found is leased.Start.accepted and not known:
            self.ledger.check_start(self, name, run.specification, now)
        return found
