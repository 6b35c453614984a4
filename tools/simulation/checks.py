"""Invariants that hold at any time of a simulation."""

import collections
import typing

from poplardrum import ids
from poplardrum.standins import leased_endpoint
from tools.simulation import virtual_time

if typing.TYPE_CHECKING:
    from tools.simulation import endpoint


class JobRequest(typing.NamedTuple):
    """A job that a caller submits; its tasks take `duration` seconds each."""

    id: ids.JobId
    tasks: int
    cpu_millicores: int
    duration: float
    client_timeout: float


class Ledger:
    """What endpoints and callers have seen, and the violations."""

    def __init__(self, simulation: virtual_time.Simulation) -> None:
        """Start without endpoints and jobs."""
        self.simulation = simulation
        self.endpoints: list[endpoint.Endpoint] = []
        self.violations: list[str] = []
        self.started_jobs: set[str] = set()
        # The final answers to each job's attempts; `None` is no answer.
        self.answers: dict[str, list[int | None]] = collections.defaultdict(
            list
        )
        self.submitted: dict[str, JobRequest] = {}

    def record_violation(self, rule: str, details: str) -> None:
        """Record a violation with the time since the start."""
        at = self.simulation.now
        self.violations.append(f'{at:.3f} s {rule}: {details}')

    def check_start(
        self, started_at: 'endpoint.Endpoint', run_id: leased_endpoint.RunId
    ) -> None:
        """Check that a run that starts is the only one and has room."""
        job = run_id.task.partition('.')[0]
        self.started_jobs.add(job)
        if job not in self.submitted:
            self.record_violation('start that nobody submitted', str(run_id))
            return
        used = sum(
            self.submitted[each.task.partition('.')[0]].cpu_millicores
            for each in started_at.leased.running
        )
        if used > started_at.capacity.cpu_millicores:
            self.record_violation('capacity', f'{started_at.name} {used}')
        for other in self.endpoints:
            other.advance()
            same_task = sum(
                each.task == run_id.task for each in other.leased.running
            )
            if same_task > (other is started_at):
                self.record_violation(
                    'two runs at once',
                    f'{run_id} at {started_at.name}, also at {other.name}',
                )

    def check_refusals(self) -> None:
        """Check that no job has started whose attempts were all refused."""
        for job, answers in self.answers.items():
            refused = bool(answers) and all(each == 503 for each in answers)
            if refused and job in self.started_jobs:
                self.record_violation('refused job has run', job)
