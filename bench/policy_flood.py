"""Measure how a flood of one tenant affects two others, on the fleet model.

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
from poplardrum.scheduling import admission_policies

FLOOD_TENANT: typing.Final = ids.TenantName('flood')
OTHER_TENANTS: typing.Final = ('lakeshore', 'consorcio')
OTHER_SHARES: typing.Final = {
    ids.TenantName(name): 1.0 for name in OTHER_TENANTS
}
FLOOD_START_S: typing.Final = 15.0
FLOOD_END_S: typing.Final = 30.0
RUN_END_S: typing.Final = 45.0
# Offered load of each of the other tenants, as a ratio of the capacity.
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
    """Result of one simulation.

    `jobs` are the jobs of the other tenants that arrived during the flood.
    """

    jobs: list[workload.Job]
    flood: list[workload.Job]
    slots_used: float
    recovery_s: float
    entry: callers.Entry

    def goodput(self) -> float:
        """Return the slot-seconds of the others' jobs replied to in time."""
        return sum(job.slot_seconds for job in self.jobs if _is_in_time(job))

    def p99_response_s(self) -> float:
        """Return the others' p99 response time in seconds.

        A job without a reply in time counts with its time to the deadline.
        """
        waits = [
            (job.replied_at if _is_in_time(job) else job.deadline) - job.arrival
            for job in self.jobs
        ]
        return workload.quantile(waits, 0.99)

    def report(
        self, name: str, unflooded: 'RunResult', *, bounds: bool
    ) -> None:
        """Print the figures of the run against those without a flood."""
        kept_ratio = self.goodput() / unflooded.goodput()
        p99_ratio = self.p99_response_s() / unflooded.p99_response_s()
        verdict = f' {KEPT_RATIO_BOUND} ' + (
            'ok' if kept_ratio >= KEPT_RATIO_BOUND else 'short'
        )
        print(f'{name}.kept {kept_ratio:.3f} ratio{verdict if bounds else ""}')
        verdict = f' {P99_RATIO_BOUND} ' + (
            'ok' if p99_ratio <= P99_RATIO_BOUND else 'short'
        )
        print(f'{name}.p99 {p99_ratio:.3f} ratio{verdict if bounds else ""}')
        print(f'{name}.slots_used {self.slots_used:.3f} ratio')
        refusals = [job.first_refusal_s for job in self.flood]
        refused = [wait for wait in refusals if wait < RUN_END_S]
        served = sum(_is_in_time(job) for job in self.flood) / len(self.flood)
        attempts = sum(job.attempts for job in self.flood) / len(self.flood)
        expired = [job for job in self.flood if job.failed_tasks]
        print(f'{name}.refusal_p99 {workload.quantile(refused, 0.99):.3f} s')
        print(f'{name}.flood_served {served:.3f} ratio')
        print(
            f'{name}.flood_expired {len(expired) / len(self.flood):.3f} ratio'
        )
        print(f'{name}.flood_attempts {attempts:.2f} per_job')
        print(f'{name}.recovery {self.recovery_s:.1f} s', flush=True)


def _is_in_time(job: workload.Job) -> bool:
    return not job.failed_tasks and job.replied_at <= job.deadline


class Sampler:
    """Samples the share of slots in use, and when the queues drain."""

    def __init__(self, fleet: model.FleetModel) -> None:
        """Take the first sample and schedule the next one."""
        self.fleet = fleet
        self.used_ratios: list[float] = []
        self.recovered_at = RUN_END_S
        self.sample()

    def sample(self) -> None:
        """Take one sample and schedule the next one."""
        fleet = self.fleet
        if FLOOD_START_S + 1 < fleet.now < FLOOD_END_S:
            running = sum(len(worker.running_until) for worker in fleet.workers)
            self.used_ratios.append(
                running / len(fleet.workers) / parts.SLOTS_PER_WORKER
            )
        queued = sum(len(worker.queue) for worker in fleet.workers)
        if fleet.now > FLOOD_END_S and queued < parts.SLOTS_PER_WORKER:
            self.recovered_at = min(self.recovered_at, fleet.now)
        fleet.schedule(SAMPLE_INTERVAL_S, self.sample)


def measure(
    scenario: parts.Scenario,
    rule: callers.AdmissionRule,
    urgency: int | None,
) -> RunResult:
    """Simulate a flood of the given urgency, or no flood if it is `None`."""
    fleet = model.FleetModel(scenario)
    entry = callers.Entry(fleet, rule, {**OTHER_SHARES, FLOOD_TENANT: 1.0})
    sampler = Sampler(fleet)
    jobs = _draw_jobs(
        scenario, OTHER_TENANTS, OTHER_LOAD_RATIO, (0, RUN_END_S - 10)
    )
    flood: list[workload.Job] = []
    if urgency is not None:
        flood = _draw_jobs(
            scenario,
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
    slots_used = sum(sampler.used_ratios) / len(sampler.used_ratios)
    measured = [
        job for job in jobs if FLOOD_START_S <= job.arrival < FLOOD_END_S
    ]
    return RunResult(
        measured, flood, slots_used, sampler.recovered_at - FLOOD_END_S, entry
    )


def _draw_jobs(
    scenario: parts.Scenario,
    tenants: tuple[str, ...],
    load: float,
    span: tuple[float, float],
) -> list[workload.Job]:
    jobs = []
    for tenant in tenants:
        rng = random.Random(f'{scenario.seed} {tenant}')
        rate = load * scenario.capacity
        kinds = workload.TaskKinds(rng)
        jobs += workload.draw_jobs(kinds, tenant, rate, span, MAX_JOB_TASKS)
    return jobs


def main() -> None:
    """Compare the admission rules with two baselines."""
    fair_scenario = parts.Scenario()
    scenarios: dict[str, tuple[parts.Scenario, callers.AdmissionRule]] = {
        'first_come': (
            parts.Scenario(has_shared_queue=True, uses_urgency=False),
            callers.BacklogLimit(),
        ),
        'priority': (
            parts.Scenario(has_shared_queue=True),
            callers.BacklogLimit(),
        ),
        'capacity_rate': (fair_scenario, admission_policies.LeakyBucket()),
        'expected_wait': (
            fair_scenario,
            admission_policies.ExpectedWaitLimit(),
        ),
        'graded': (fair_scenario, admission_policies.GradedRefusal()),
    }
    unflooded = measure(
        fair_scenario, admission_policies.ExpectedWaitLimit(), None
    )
    print(f'calm.p99 {unflooded.p99_response_s():.3f} s')
    print(f'calm.slots_used {unflooded.slots_used:.3f} ratio')
    for name, (scenario, rule) in scenarios.items():
        for label, urgency in FLOOD_URGENCIES.items():
            # A fair queue ignores urgency between tenants, and the first-come
            # queue ignores it altogether, so one urgency suffices for rules
            # that are only compared.
            if name in SINGLE_URGENCY_RULES and label != 'least_urgent':
                continue
            run = measure(scenario, rule, urgency)
            bounds = name == 'expected_wait'
            run.report(f'{name}.{label}', unflooded, bounds=bounds)


if __name__ == '__main__':
    main()
