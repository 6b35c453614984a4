"""Measure what two tenants keep while a third one floods the fleet.

Run `python -m bench.policy_flood`; prints `name value unit` and, where the
design page states a target, `bound ok|short`.
"""

import dataclasses
import random
import typing

from bench import policy_callers as callers
from bench import policy_model as model
from bench import policy_parts as parts
from bench import policy_workload as workload
from poplardrum import ids
from poplardrum.scheduling import admission

FLOOD: typing.Final = ids.TenantName('flood')
OTHERS: typing.Final = ('lakeshore', 'consorcio')
SHARES: typing.Final = {ids.TenantName(name): 1.0 for name in OTHERS}
START: typing.Final = 15.0
STOP: typing.Final = 30.0
END: typing.Final = 45.0
# Part of the capacity that each of the other tenants uses.
OTHER_LOAD: typing.Final = 0.2
FLOOD_LOAD: typing.Final = 10.0
LARGEST_JOB: typing.Final = 40
SAMPLE_SECONDS: typing.Final = 0.1
KEPT_BOUND: typing.Final = 0.98
P99_BOUND: typing.Final = 1.25
ONE_FLOOD: typing.Final = ('first_come', 'capacity_rate', 'graded')
URGENCIES: typing.Final = {'least_urgent': 9, 'most_urgent': 1}


@dataclasses.dataclass(frozen=True)
class Run:
    """One run: the others' jobs during the flood, and the fleet."""

    jobs: list[workload.Job]
    flood: list[workload.Job]
    busy: float
    recovery: float
    entry: callers.Entry

    def goodput(self) -> float:
        """Return the others' work that was answered in time."""
        return sum(job.work for job in self.jobs if _good(job))

    def p99(self) -> float:
        """Return the others' p99 response time in seconds."""
        waits = [
            (job.answered if _good(job) else job.deadline) - job.arrival
            for job in self.jobs
        ]
        return workload.quantile(waits, 0.99)

    def report(self, name: str, calm: 'Run', *, bounds: bool) -> None:
        """Print the figures of the run against those without a flood."""
        kept = self.goodput() / calm.goodput()
        slower = self.p99() / calm.p99()
        verdict = f' {KEPT_BOUND} ' + ('ok' if kept >= KEPT_BOUND else 'short')
        print(f'{name}.kept {kept:.3f} ratio{verdict if bounds else ""}')
        verdict = f' {P99_BOUND} ' + ('ok' if slower <= P99_BOUND else 'short')
        print(f'{name}.p99 {slower:.3f} ratio{verdict if bounds else ""}')
        print(f'{name}.slots_used {self.busy:.3f} ratio')
        refusals = [job.first_refusal for job in self.flood]
        known = [wait for wait in refusals if wait < END]
        served = sum(_good(job) for job in self.flood) / len(self.flood)
        tries = sum(job.attempts for job in self.flood) / len(self.flood)
        late = [job for job in self.flood if job.failed]
        print(f'{name}.refusal_p99 {workload.quantile(known, 0.99):.3f} s')
        print(f'{name}.flood_served {served:.3f} ratio')
        print(f'{name}.flood_expired {len(late) / len(self.flood):.3f} ratio')
        print(f'{name}.flood_attempts {tries:.2f} per_job')
        print(f'{name}.recovery {self.recovery:.1f} s', flush=True)


def _good(job: workload.Job) -> bool:
    return not job.failed and job.answered <= job.deadline


class Sampler:
    """Sample slots in use and the flood's backlog."""

    def __init__(self, fleet: model.Model) -> None:
        """Start sampling."""
        self.fleet = fleet
        self.used: list[float] = []
        self.recovered = END
        self.sample()

    def sample(self) -> None:
        """Take one sample."""
        fleet = self.fleet
        if START + 1 < fleet.now < STOP:
            running = sum(len(worker.running) for worker in fleet.workers)
            self.used.append(running / len(fleet.workers) / parts.SLOTS)
        waiting = sum(len(worker.queue) for worker in fleet.workers)
        if fleet.now > STOP and waiting < parts.SLOTS:
            self.recovered = min(self.recovered, fleet.now)
        fleet.after(SAMPLE_SECONDS, self.sample)


def measure(
    plan: parts.Plan,
    rule: callers.Rule,
    urgency: int | None,
) -> Run:
    """Run with a flood of the given urgency, or without one."""
    fleet = model.Model(plan)
    entry = callers.Entry(fleet, rule, {**SHARES, FLOOD: 1.0})
    sampler = Sampler(fleet)
    jobs = _jobs(plan, OTHERS, OTHER_LOAD, (0, END - 10))
    flood: list[workload.Job] = []
    if urgency is not None:
        flood = _jobs(plan, (FLOOD,), FLOOD_LOAD, (START, STOP))
        for job in flood:
            job.urgency = urgency
    for job in (*jobs, *flood):
        job.deadline = job.arrival + callers.PATIENCE_SECONDS
        fleet.after(job.arrival, entry.arrive, job)
    fleet.run(END)
    used = sum(sampler.used) / len(sampler.used)
    chosen = [job for job in jobs if START <= job.arrival < STOP]
    return Run(chosen, flood, used, sampler.recovered - STOP, entry)


def _jobs(
    plan: parts.Plan,
    tenants: tuple[str, ...],
    load: float,
    span: tuple[float, float],
) -> list[workload.Job]:
    found = []
    for tenant in tenants:
        choice = random.Random(f'{plan.seed} {tenant}')
        rate = load * plan.capacity
        kinds = workload.Kinds(choice)
        found += workload.stream(kinds, tenant, rate, span, LARGEST_JOB)
    return found


def main() -> None:
    """Compare the baselines and the admission rules."""
    fair = parts.Plan()
    plans: dict[str, tuple[parts.Plan, callers.Rule]] = {
        'first_come': (
            parts.Plan(shared_queue=True, heed_urgency=False),
            callers.QueueBound(),
        ),
        'priority': (parts.Plan(shared_queue=True), callers.QueueBound()),
        'capacity_rate': (fair, admission.LeakyBucket()),
        'expected_wait': (fair, admission.ExpectedWaitLimit()),
        'graded': (fair, admission.GradedRefusal()),
    }
    calm = measure(fair, admission.ExpectedWaitLimit(), None)
    print(f'calm.p99 {calm.p99():.3f} s')
    print(f'calm.slots_used {calm.busy:.3f} ratio')
    for name, (plan, rule) in plans.items():
        for label, urgency in URGENCIES.items():
            # Urgency does not count between tenants in a fair queue, so one
            # flood tells enough of the rules that are only compared.
            if name in ONE_FLOOD and label != 'least_urgent':
                continue
            run = measure(plan, rule, urgency)
            bounds = name == 'expected_wait'
            run.report(f'{name}.{label}', calm, bounds=bounds)


if __name__ == '__main__':
    main()
