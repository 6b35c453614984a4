"""Admission rules, quotas and the times told to refused callers."""

import dataclasses
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import errors, ids
from poplardrum.scheduling import admission

EXACT: typing.Final = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=100,
    deadline=None,
)
LOUD: typing.Final = ids.TenantName('loud')
CALM: typing.Final = ids.TenantName('calm')
RULES: typing.Final[tuple[admission.Rule, ...]] = (
    admission.LeakyBucket(),
    admission.ExpectedWaitLimit(),
    admission.GradedRefusal(),
)
JOB: typing.Final = admission.JobRequest(LOUD, 10, 4.0, 0.4, 60, is_first=True)


def capacity(**backlog: float) -> admission.FleetLoad:
    """Return a busy fleet of 80 slots with this backlog by tenant."""
    named = {ids.TenantName(name): time for name, time in backlog.items()}
    return admission.FleetLoad(80, 0, named)


class Flood:
    """A tenant that offers ten times the capacity; a fleet that drains."""

    def __init__(self, rule: admission.Rule) -> None:
        """Start idle, with a calm tenant that is always active."""
        self.admission = admission.AdmissionController(rule, random.Random(1))
        self.backlog = 0.0
        self.peak = 0.0
        self.idle = 0.0
        self.calm_refused = 0

    def run(self, seconds: float) -> None:
        """Offer jobs of both tenants in steps of 50 ms."""
        calm = dataclasses.replace(JOB, tenant=CALM, slot_seconds=1.0)
        for step in range(int(seconds * 20)):
            now = step / 20
            for _ in range(10):
                self.backlog += self.offer(JOB, now)
            self.calm_refused += not self.offer(calm, now)
            # The calm tenant uses 20 of 80 slots, so that 60 are lent.
            served = min(self.backlog, 3.0)
            self.idle += 3.0 - served
            self.backlog -= served
            self.peak = max(self.peak, self.backlog)

    def offer(self, job: admission.JobRequest, now: float) -> float:
        """Offer one job; return the work admitted."""
        load = capacity(loud=self.backlog)
        try:
            self.admission.admit(job, load, now)
        except errors.PoplardrumError:
            return 0
        self.admission.release(job.tenant, job.task_count)
        return job.slot_seconds


class RuleTest(unittest.TestCase):
    """Guards against a flood that fills the queues, or idle slots."""

    def test_flood_is_bounded_and_slots_are_used(self) -> None:
        """Fails if the backlog grows with the flood or slots go idle."""
        for rule in RULES:
            with self.subTest(rule):
                flood = Flood(rule)
                flood.run(30)
                self.assertLess(flood.peak, 60 * 7)
                self.assertLess(flood.idle, 60 * 30 * 0.1)

    def test_tenant_within_its_share_is_not_refused(self) -> None:
        """Fails if another tenant's flood uses up a tenant's admission."""
        for rule in RULES:
            with self.subTest(rule):
                flood = Flood(rule)
                flood.run(10)
                self.assertEqual(flood.calm_refused, 0)

    def test_wait_limit_spares_a_tenant_within_its_share(self) -> None:
        """Fails if a burst of a tenant that used little is refused."""
        for rule in RULES[1:]:
            judge = admission.AdmissionController(rule, random.Random(1))
            judge.admit(JOB, capacity(loud=400, calm=400), 0)

    @EXACT
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
        """Fails if a caller that obeys is refused again, or waits long."""
        rule = admission.ExpectedWaitLimit(2)
        judge = admission.AdmissionController(rule, random.Random(seed))
        judge.set_limits({LOUD: admission.TenantLimits(share)})
        job = dataclasses.replace(JOB, slot_seconds=4000, deadline_s=1e9)
        load = capacity(loud=backlog, calm=1)
        wait = judge.expected_wait(LOUD, load, 0)
        try:
            judge.admit(job, load, 0)
        except errors.PoplardrumError as error:
            self.assertIs(error.verdict, errors.Verdict.not_run)
            self.assertIs(error.code, errors.Code.overload)
            back = error.retry_after or 0
            self.assertGreaterEqual(back, wait - 2)
            self.assertLessEqual(back, max(0.1, wait - 2) * 1.5)
            left = max(0, backlog - back * backlog / wait)
            judge.admit(job, capacity(loud=left, calm=1), back)
            return
        self.assertLessEqual(wait, rule.limit_s)

    @EXACT
    @hypothesis.given(
        waits=strategies.lists(strategies.floats(0, 4), min_size=2),
    )
    def test_graded_rule_refuses_more_at_longer_waits(
        self,
        waits: list[float],
    ) -> None:
        """Fails if a longer queue refuses fewer arrivals."""
        rule = admission.GradedRefusal(2)
        refused = []
        for wait in sorted(waits):
            count = 0
            for percent in range(100):
                view = admission.AdmissionContext(
                    admission.TenantState(),
                    JOB,
                    admission.Rates(80, 80, 0),
                    wait,
                    0,
                    percent / 100,
                    is_within_share=False,
                )
                count += bool(admission.retry_delay(rule, view))
            refused.append(count)
        self.assertEqual(refused, sorted(refused))
        longest = max(waits)
        if longest > rule.limit_s:
            self.assertEqual(refused[-1], 100)

    def test_graded_parts(self) -> None:
        """Fails if the steps differ from 20, 40, 60 and 80 per cent."""
        rule = admission.GradedRefusal(5)
        for step, part in enumerate((0, 0.2, 0.4, 0.6, 0.8, 1)):
            for chance, refused in ((part - 0.01, True), (part, False)):
                if not 0 <= chance < 1:
                    continue
                view = admission.AdmissionContext(
                    admission.TenantState(),
                    JOB,
                    admission.Rates(80, 80, 0),
                    step + 0.5,
                    0,
                    chance,
                    is_within_share=False,
                )
                judged = bool(admission.retry_delay(rule, view))
                self.assertEqual(judged, refused)


class QuotaTest(unittest.TestCase):
    """Guards against quotas that leak, or deadlines met too late."""

    @EXACT
    @hypothesis.given(
        sizes=strategies.lists(strategies.integers(1, 30), max_size=40),
        seed=strategies.integers(0, 99),
    )
    def test_jobs_and_tasks_in_flight_stay_within_quota(
        self,
        sizes: list[int],
        seed: int,
    ) -> None:
        """Fails if a refusal or an end is counted wrongly."""
        judge = admission.AdmissionController(RULES[1], random.Random(seed))
        judge.set_limits({LOUD: admission.TenantLimits(1, 5, 60)})
        choice = random.Random(seed)
        flying: list[int] = []
        for size in sizes:
            job = dataclasses.replace(JOB, task_count=size, slot_seconds=0.01)
            fits = len(flying) < 5 and sum(flying) + size <= 60
            try:
                judge.admit(job, capacity(), 0)
            except errors.PoplardrumError as error:
                self.assertFalse(fits)
                self.assertIs(error.code, errors.Code.quota)
            else:
                self.assertTrue(fits)
                flying.append(size)
            if flying and choice.randrange(10) < 4:
                judge.release(LOUD, flying.pop())

    def test_work_that_would_miss_its_deadline_is_refused(self) -> None:
        """Fails if a job waits only to expire in a queue."""
        judge = admission.AdmissionController(RULES[1], random.Random(1))
        late = dataclasses.replace(JOB, deadline_s=1.0)
        with self.assertRaises(errors.PoplardrumError) as caught:
            judge.admit(late, capacity(loud=120), 0)
        self.assertIs(caught.exception.code, errors.Code.overload)
        judge.admit(late, capacity(loud=20), 0)

    def test_tenant_alone_waits_up_to_its_deadline(self) -> None:
        """Fails if a rush is refused while nobody else wants the slots."""
        judge = admission.AdmissionController(RULES[1], random.Random(1))
        rush = dataclasses.replace(JOB, slot_seconds=4000, deadline_s=60)
        judge.admit(rush, capacity(loud=800), 0)
        with self.assertRaises(errors.PoplardrumError):
            judge.admit(rush, capacity(loud=800, calm=1), 0)
        with self.assertRaises(errors.PoplardrumError):
            judge.admit(rush, capacity(loud=80 * 61), 0)

    def test_no_slot_anywhere(self) -> None:
        """Fails if jobs wait for a fleet without slots."""
        judge = admission.AdmissionController(RULES[1], random.Random(1))
        with self.assertRaises(errors.PoplardrumError) as caught:
            judge.admit(JOB, admission.FleetLoad(0, 0, {}), 0)
        self.assertIs(caught.exception.code, errors.Code.unavailable)

    def test_retries_beyond_the_budget_are_told_longer_times(self) -> None:
        """Fails if callers that retry at once keep the flood going."""
        judge = admission.AdmissionController(RULES[1], random.Random(1))
        job = dataclasses.replace(JOB, slot_seconds=4000)
        times = []
        for first in (True, *[False for _ in range(30)]):
            again = dataclasses.replace(job, is_first=first)
            with self.assertRaises(errors.PoplardrumError) as caught:
                judge.admit(again, capacity(loud=800, calm=1), 0)
            times.append(caught.exception.retry_after or 0)
        self.assertGreater(min(times[-5:]), 2 * max(times[:5]))

    def test_unseen_work_counts(self) -> None:
        """Fails if a burst between two load reports is admitted whole."""
        judge = admission.AdmissionController(RULES[1], random.Random(1))
        admitted = 0
        for _ in range(1000):
            try:
                judge.admit(JOB, capacity(calm=1), 0)
            except errors.PoplardrumError:
                break
            admitted += 1
        self.assertLess(admitted, 2 + 80 * 5 / JOB.slot_seconds)
