"""Tests of admission rules, quotas and the retry times of refused jobs."""

import dataclasses
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import errors, ids
from poplardrum.scheduling import admission, admission_policies
from tests import profiles

DETERMINISTIC: typing.Final = profiles.settings(max_examples=100)
FLOODING: typing.Final = ids.TenantName('flooding')
OTHER: typing.Final = ids.TenantName('other')
RULES: typing.Final[tuple[admission_policies.AdmissionPolicy, ...]] = (
    admission_policies.LeakyBucket(),
    admission_policies.ExpectedWaitLimit(),
    admission_policies.GradedRefusal(),
)
JOB: typing.Final = admission_policies.JobRequest(
    FLOODING, 10, 4.0, 0.4, 60, is_first_attempt=True
)


def fleet_load(**backlog: float) -> admission.FleetLoad:
    """Return the load of 80 busy slots with this backlog by tenant."""
    by_tenant = {ids.TenantName(name): time for name, time in backlog.items()}
    return admission.FleetLoad(80, 0, by_tenant)


class Flood:
    """Simulation of a tenant that offers ten times the fleet's capacity."""

    def __init__(self, rule: admission_policies.AdmissionPolicy) -> None:
        """Start without backlog; another tenant is always active."""
        self.admission = admission.AdmissionController(rule, random.Random(1))
        self.backlog = 0.0
        self.peak_backlog = 0.0
        self.idle_slot_seconds = 0.0
        self.other_refusals = 0

    def run(self, seconds: float) -> None:
        """Offer jobs of both tenants in steps of 50 ms."""
        other_job = dataclasses.replace(JOB, tenant=OTHER, slot_seconds=1.0)
        for step in range(int(seconds * 20)):
            now = step / 20
            for _ in range(10):
                self.backlog += self.offer(JOB, now)
            self.other_refusals += not self.offer(other_job, now)
            # The other tenant uses 20 of 80 slots, which leaves 60 slots.
            served = min(self.backlog, 3.0)
            self.idle_slot_seconds += 3.0 - served
            self.backlog -= served
            self.peak_backlog = max(self.peak_backlog, self.backlog)

    def offer(self, job: admission_policies.JobRequest, now: float) -> float:
        """Offer one job; return the work admitted."""
        load = fleet_load(flooding=self.backlog)
        try:
            self.admission.admit(job, load, now)
        except errors.PoplardrumError:
            return 0
        self.admission.release(job.tenant, job.task_count)
        return job.slot_seconds


class RuleTest(unittest.TestCase):
    """Guards against an unbounded backlog and against idle slots."""

    def test_flood_is_bounded_and_slots_are_used(self) -> None:
        """Fails if the backlog grows without bound or slots become idle."""
        for rule in RULES:
            with self.subTest(rule):
                flood = Flood(rule)
                flood.run(30)
                self.assertLess(flood.peak_backlog, 60 * 7)
                self.assertLess(flood.idle_slot_seconds, 60 * 30 * 0.1)

    def test_tenant_within_its_share_is_not_refused(self) -> None:
        """Fails if the load of one tenant causes refusals of another one."""
        for rule in RULES:
            with self.subTest(rule):
                flood = Flood(rule)
                flood.run(10)
                self.assertEqual(flood.other_refusals, 0)

    def test_wait_limit_exempts_a_tenant_within_its_share(self) -> None:
        """Fails if a burst of a tenant with little usage is refused."""
        for rule in RULES[1:]:
            controller = admission.AdmissionController(rule, random.Random(1))
            controller.admit(JOB, fleet_load(flooding=400, other=400), 0)

    @DETERMINISTIC
    @hypothesis.given(
        backlog=strategies.floats(0, 5000),
        share=strategies.floats(0.1, 10),
        seed=strategies.integers(0, 99),
    )
    def test_retry_after_is_when_the_backlog_has_drained(
        self,
        backlog: float,
        share: float,
        seed: int,
    ) -> None:
        """Fails if a retry after the stated time is refused, or is late."""
        rule = admission_policies.ExpectedWaitLimit(2)
        controller = admission.AdmissionController(rule, random.Random(seed))
        controller.set_limits({FLOODING: admission.TenantLimits(share)})
        job = dataclasses.replace(JOB, slot_seconds=4000, time_left_s=1e9)
        load = fleet_load(flooding=backlog, other=1)
        wait = controller.expected_wait(FLOODING, load, 0)
        try:
            controller.admit(job, load, 0)
        except errors.PoplardrumError as error:
            self.assertIs(error.verdict, errors.Verdict.not_run)
            self.assertIs(error.code, errors.Code.overload)
            retry_at = error.retry_after or 0
            self.assertGreaterEqual(retry_at, wait - 2)
            self.assertLessEqual(retry_at, max(0.1, wait - 2) * 1.5)
            remaining = max(0, backlog - retry_at * backlog / wait)
            controller.admit(
                job, fleet_load(flooding=remaining, other=1), retry_at
            )
            return
        self.assertLessEqual(wait, rule.limit_s)

    @DETERMINISTIC
    @hypothesis.given(
        waits=strategies.lists(strategies.floats(0, 4), min_size=2),
    )
    def test_graded_rule_refuses_more_at_longer_waits(
        self,
        waits: list[float],
    ) -> None:
        """Fails if fewer arrivals are refused at a longer wait."""
        rule = admission_policies.GradedRefusal(2)
        refused = []
        for wait in sorted(waits):
            count = 0
            for percent in range(100):
                context = admission_policies.AdmissionContext(
                    admission_policies.TenantState(),
                    JOB,
                    admission_policies.Rates(80, 80, 0),
                    wait,
                    0,
                    percent / 100,
                    is_within_share=False,
                )
                count += bool(admission_policies.retry_delay(rule, context))
            refused.append(count)
        self.assertEqual(refused, sorted(refused))
        longest = max(waits)
        if longest > rule.limit_s:
            self.assertEqual(refused[-1], 100)

    def test_graded_fractions(self) -> None:
        """Fails if the steps do not refuse 20, 40, 60 and 80 percent."""
        rule = admission_policies.GradedRefusal(5)
        for step, fraction in enumerate((0, 0.2, 0.4, 0.6, 0.8, 1)):
            for draw, refused in ((fraction - 0.01, True), (fraction, False)):
                if not 0 <= draw < 1:
                    continue
                context = admission_policies.AdmissionContext(
                    admission_policies.TenantState(),
                    JOB,
                    admission_policies.Rates(80, 80, 0),
                    step + 0.5,
                    0,
                    draw,
                    is_within_share=False,
                )
                is_refused = bool(admission_policies.retry_delay(rule, context))
                self.assertEqual(is_refused, refused)


class QuotaTest(unittest.TestCase):
    """Guards against wrong quota counts and jobs that miss deadlines."""

    @DETERMINISTIC
    @hypothesis.given(
        sizes=strategies.lists(strategies.integers(1, 30), max_size=40),
        seed=strategies.integers(0, 99),
    )
    def test_jobs_and_tasks_in_flight_stay_within_quota(
        self,
        sizes: list[int],
        seed: int,
    ) -> None:
        """Fails if a refused or finished job is counted wrongly."""
        controller = admission.AdmissionController(
            RULES[1], random.Random(seed)
        )
        controller.set_limits({FLOODING: admission.TenantLimits(1, 5, 60)})
        rng = random.Random(seed)
        in_flight: list[int] = []
        for size in sizes:
            job = dataclasses.replace(JOB, task_count=size, slot_seconds=0.01)
            fits = len(in_flight) < 5 and sum(in_flight) + size <= 60
            try:
                controller.admit(job, fleet_load(), 0)
            except errors.PoplardrumError as error:
                self.assertFalse(fits)
                self.assertIs(error.code, errors.Code.quota)
            else:
                self.assertTrue(fits)
                in_flight.append(size)
            if in_flight and rng.randrange(10) < 4:
                controller.release(FLOODING, in_flight.pop())

    def test_work_that_would_miss_its_deadline_is_refused(self) -> None:
        """Fails if a job is admitted that would expire in a queue."""
        controller = admission.AdmissionController(RULES[1], random.Random(1))
        late = dataclasses.replace(JOB, time_left_s=1.0)
        with self.assertRaises(errors.PoplardrumError) as caught:
            controller.admit(late, fleet_load(flooding=120), 0)
        self.assertIs(caught.exception.code, errors.Code.overload)
        controller.admit(late, fleet_load(flooding=20), 0)

    def test_only_active_tenant_may_queue_up_to_its_deadline(self) -> None:
        """Fails if a burst is refused while no other tenant is active."""
        controller = admission.AdmissionController(RULES[1], random.Random(1))
        burst = dataclasses.replace(JOB, slot_seconds=4000, time_left_s=60)
        controller.admit(burst, fleet_load(flooding=800), 0)
        with self.assertRaises(errors.PoplardrumError):
            controller.admit(burst, fleet_load(flooding=800, other=1), 0)
        with self.assertRaises(errors.PoplardrumError):
            controller.admit(burst, fleet_load(flooding=80 * 61), 0)

    def test_fleet_without_slots(self) -> None:
        """Fails if jobs are admitted to a fleet without slots."""
        controller = admission.AdmissionController(RULES[1], random.Random(1))
        with self.assertRaises(errors.PoplardrumError) as caught:
            controller.admit(JOB, admission.FleetLoad(0, 0, {}), 0)
        self.assertIs(caught.exception.code, errors.Code.unavailable)

    def test_retries_beyond_the_budget_get_longer_retry_times(self) -> None:
        """Fails if immediate retries do not lengthen the retry time."""
        controller = admission.AdmissionController(RULES[1], random.Random(1))
        job = dataclasses.replace(JOB, slot_seconds=4000)
        times = []
        for is_first in (True, *[False for _ in range(30)]):
            attempt = dataclasses.replace(job, is_first_attempt=is_first)
            with self.assertRaises(errors.PoplardrumError) as caught:
                controller.admit(attempt, fleet_load(flooding=800, other=1), 0)
            times.append(caught.exception.retry_after or 0)
        self.assertGreater(min(times[-5:]), 2 * max(times[:5]))

    def test_unreported_work_counts(self) -> None:
        """Fails if a burst between two load reports is admitted entirely."""
        controller = admission.AdmissionController(RULES[1], random.Random(1))
        admitted = 0
        for _ in range(1000):
            try:
                controller.admit(JOB, fleet_load(other=1), 0)
            except errors.PoplardrumError:
                break
            admitted += 1
        self.assertLess(admitted, 2 + 80 * 5 / JOB.slot_seconds)
