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

FLOOD_TENANT: typing.Final = ids.TenantName('flood')
OTHER_TENANTS: typing.Final = ('lakeshore', 'consorcio')
OTHER_SHARES: typing.Final = {
    ids.TenantName(name): 1.0 for name in OTHER_TENANTS
}
FLOOD_START_S: typing.Final = 15.0
FLOOD_END_S: typing.Final = 30.0
RUN_END_S: typing.Final = 45.0
# Part of the capacity that each of the other tenants uses.
OTHER_LOAD_RATIO: typing.Final = 0.2
FLOOD_LOAD_RATIO: typing.Final = 10.0
MAX_JOB_TASKS: typing.Final = 40
SAMPLE_INTERVAL_S: typing.Final = 0.1
KEPT_RATIO_BOUND: typing.Final = 0.98
P99_RATIO_BOUND: typing.Final = 1.25
SINGLE_URGENCY_RULES: typing.Final = ('first_come', 'capacity_rate', 'graded')
FLOOD_URGENCIES: typing.Final = {'least_urgent': 9, 'most_urgent': 1}


@dataclasses.dataclass(frozen=True)
class RunResult:
    """One run: the others' jobs during the flood, and the fleet."""

    jobs: list[workload.Job]
    flood: list[workload.Job]
    slots_used: float
    recovery_s: float
    entry: callers.Entry

    def goodput(self) -> float:
        """Return the others' work that was answered in time."""
        return sum(job.slot_seconds for job in self.jobs if _is_in_time(job))

    def p99_response_s(self) -> float:
        """Return the others' p99 response time in seconds."""
        waits = [
            (job.replied_at if _is_in_time(job) else job.deadline) - job.arrival
            for job in self.jobs
        ]
        return workload.quantile(waits, 0.99)

    def report(self, name: str, calm: 'RunResult', *, bounds: bool) -> None:
        """Print the figures of the run against those without a flood."""
        kept = self.goodput() / calm.goodput()
        slower = self.p99_response_s() / calm.p99_response_s()
        verdict = f' {KEPT_RATIO_BOUND} ' + (
            'ok' if kept >= KEPT_RATIO_BOUND else 'short'
        )
        print(f'{name}.kept {kept:.3f} ratio{verdict if bounds else ""}')
        verdict = f' {P99_RATIO_BOUND} ' + (
            'ok' if slower <= P99_RATIO_BOUND else 'short'
        )
        print(f'{name}.p99 {slower:.3f} ratio{verdict if bounds else ""}')
        print(f'{name}.slots_used {self.slots_used:.3f} ratio')
        refusals = [job.first_refusal_s for job in self.flood]
        known = [wait for wait in refusals if wait < RUN_END_S]
        served = sum(_is_in_time(job) for job in self.flood) / len(self.flood)
        tries = sum(job.attempts for job in self.flood) / len(self.flood)
        late = [job for job in self.flood if job.failed_tasks]
        print(f'{name}.refusal_p99 {workload.quantile(known, 0.99):.3f} s')
        print(f'{name}.flood_served {served:.3f} ratio')
        print(f'{name}.flood_expired {len(late) / len(self.flood):.3f} ratio')
        print(f'{name}.flood_attempts {tries:.2f} per_job')
        print(f'{name}.recovery {self.recovery_s:.1f} s', flush=True)


def _is_in_time(job: workload.Job) -> bool:
    return not job.failed_tasks and job.replied_at <= job.deadline


class Sampler:
    """Sample slots in use and the flood's backlog."""

    def __init__(self, fleet: model.FleetModel) -> None:
        """Start sampling."""
        self.fleet = fleet
        self.used_ratios: list[float] = []
        self.recovered_at = RUN_END_S
        self.sample()

    def sample(self) -> None:
        """Take one sample."""
        fleet = self.fleet
        if FLOOD_START_S + 1 < fleet.now < FLOOD_END_S:
            running = sum(len(worker.running_until) for worker in fleet.workers)
            self.used_ratios.append(
                running / len(fleet.workers) / parts.SLOTS_PER_WORKER
            )
        waiting = sum(len(worker.queue) for worker in fleet.workers)
        if fleet.now > FLOOD_END_S and waiting < parts.SLOTS_PER_WORKER:
            self.recovered_at = min(self.recovered_at, fleet.now)
        fleet.schedule(SAMPLE_INTERVAL_S, self.sample)


def measure(
    plan: parts.Scenario,
    rule: callers.AdmissionRule,
    urgency: int | None,
) -> RunResult:
    """Run with a flood of the given urgency, or without one."""
    fleet = model.FleetModel(plan)
    entry = callers.Entry(fleet, rule, {**OTHER_SHARES, FLOOD_TENANT: 1.0})
    sampler = Sampler(fleet)
    jobs = _draw_jobs(
        plan, OTHER_TENANTS, OTHER_LOAD_RATIO, (0, RUN_END_S - 10)
    )
    flood: list[workload.Job] = []
    if urgency is not None:
        flood = _draw_jobs(
            plan,
            (FLOOD_TENANT,),
            FLOOD_LOAD_RATIO,
            (FLOOD_START_S, FLOOD_END_S),
        )
        for job in flood:
            job.urgency = urgency
    for job in (*jobs, *flood):
        job.deadline = job.arrival + callers.CLIENT_TIMEOUT_S
        fleet.schedule(job.arrival, entry.receive, job)
    fleet.run(RUN_END_S)
    used = sum(sampler.used_ratios) / len(sampler.used_ratios)
    chosen = [job for job in jobs if FLOOD_START_S <= job.arrival < FLOOD_END_S]
    return RunResult(
        chosen, flood, used, sampler.recovered_at - FLOOD_END_S, entry
    )


def _draw_jobs(
    plan: parts.Scenario,
    tenants: tuple[str, ...],
    load: float,
    span: tuple[float, float],
) -> list[workload.Job]:
    found = []
    for tenant in tenants:
        choice = random.Random(f'{plan.seed} {tenant}')
        rate = load * plan.capacity
        kinds = workload.TaskKinds(choice)
        found += workload.draw_jobs(kinds, tenant, rate, span, MAX_JOB_TASKS)
    return found


def main() -> None:
    """Compare the baselines and the admission rules."""
    fair = parts.Scenario()
    plans: dict[str, tuple[parts.Scenario, callers.AdmissionRule]] = {
        'first_come': (
            parts.Scenario(has_shared_queue=True, uses_urgency=False),
            callers.BacklogLimit(),
        ),
        'priority': (
            parts.Scenario(has_shared_queue=True),
            callers.BacklogLimit(),
        ),
        'capacity_rate': (fair, admission.LeakyBucket()),
        'expected_wait': (fair, admission.ExpectedWaitLimit()),
        'graded': (fair, admission.GradedRefusal()),
    }
    calm = measure(fair, admission.ExpectedWaitLimit(), None)
    print(f'calm.p99 {calm.p99_response_s():.3f} s')
    print(f'calm.slots_used {calm.slots_used:.3f} ratio')
    for name, (plan, rule) in plans.items():
        for label, urgency in FLOOD_URGENCIES.items():
            # Urgency does not count between tenants in a fair queue, so one
            # flood tells enough of the rules that are only compared.
            if name in SINGLE_URGENCY_RULES and label != 'least_urgent':
                continue
            run = measure(plan, rule, urgency)
            bounds = name == 'expected_wait'
            run.report(f'{name}.{label}', calm, bounds=bounds)


if __name__ == '__main__':
    main()
