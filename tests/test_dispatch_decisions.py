"""Tests of admission, placement, prediction, health and leases."""

import math
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.dispatch import (
    admission,
    connections,
    estimates,
    fleet,
    health,
    lease,
    messages,
    placement,
    room_index,
    timing,
)
from tests import dispatch_world, profiles

CAPACITY: typing.Final = messages.Resources(16000, 65536, 0)
DEMAND: typing.Final = messages.Resources(1600, 64, 0)


def agent(
    node: str,
    slowness: float,
    free: int = 16000,
    zone: str = 'toledo',
    labels: typing.Sequence[str] = (),
) -> fleet.Agent:
    """Return a connected agent with `free` thousandths of a core."""
    connected = fleet.Agent(node, zone, ids.new_incarnation())
    connected.link = typing.cast(connections.Link, dispatch_world.FakeLink())
    load = messages.Load(
        0,
        True,
        messages.Resources(free, 65536, 0),
        CAPACITY,
        slowness,
        'intake',
        list(labels),
    )
    connected.apply_load(load)
    return connected


def choose_agents(
    agents: typing.Iterable[fleet.Agent],
    request: placement.PlacementRequest,
) -> list[placement.Placement]:
    """Place tasks on agents that an entry in `toledo` knows."""
    index = room_index.RoomIndex('toledo', random.Random(1))
    for each in agents:
        index.update(each)
    return placement.choose_agents(index, request)


def counts_by_node(
    placements: list[placement.Placement],
) -> list[tuple[str, int]]:
    """Return the nodes and task counts of placements."""
    return [(chosen.node, count) for chosen, count in placements]


class TestAdmission(unittest.TestCase):
    """How long a job may wait for capacity."""

    def test_minimum_wait_of_slow_service(self) -> None:
        """Guards against refusals while endpoints are free.

        Tasks that took five times their estimate left no job able to meet its
        target latency, so all jobs were refused at once.
        """
        wait = admission.longest_wait(0.14, 0.25, 4.0, 1.0, recovering=False)
        self.assertGreater(wait, 0.02)

    def test_overload(self) -> None:
        """Guards against waits that make all jobs late under overload."""
        wait = admission.longest_wait(3.0, 1.8, 12.0, 0.7, recovering=False)
        self.assertLessEqual(wait, 0.5 * 3.0)
        self.assertLessEqual(wait + 1.8 * 0.7, 3.0)

    def test_recovering_fleet(self) -> None:
        """Guards against refusals while capacity is about to appear."""
        normal_wait = admission.longest_wait(
            0.6, 0.3, 3.0, 1.0, recovering=False
        )
        wait = admission.longest_wait(0.6, 0.3, 3.0, 1.0, recovering=True)
        self.assertGreater(wait, normal_wait)
        self.assertLessEqual(wait, 0.4 * 3.0)

    def test_no_agent_has_linked_yet(self) -> None:
        """Guards against refusals just before the first agents link.

        After a loss of power, callers with short targets were refused within
        0.05 s, though the fleet linked within 0.3 s.
        """
        self.assertGreater(admission.wait_for_first_agents(1.5), 0.3)
        self.assertLessEqual(admission.wait_for_first_agents(1.5), 0.75)
        self.assertLessEqual(admission.wait_for_first_agents(60.0), 1.0)

    def test_third_of_fleet_unavailable(self) -> None:
        """Guards against long waits during the whole outage of a part of the fleet."""
        self.assertFalse(admission.is_recovering(7, 10))
        self.assertTrue(admission.is_recovering(4, 10))


class TestPlacement(unittest.TestCase):
    """Selection among endpoints of different speeds."""

    def test_fastest_first(self) -> None:
        """Guards against using slow endpoints while fast ones are free."""
        placements = choose_agents(
            [agent('slow', 1.7), agent('fast', 0.6), agent('usual', 1.0)],
            placement.PlacementRequest(DEMAND, 12, 'intake'),
        )
        self.assertEqual(
            counts_by_node(placements), [('fast', 10), ('usual', 2)]
        )

    def test_long_job_waits_for_a_fast_endpoint(self) -> None:
        """Guards against long jobs on endpoints too slow for their target latency."""
        request = placement.PlacementRequest(
            DEMAND, 2, 'intake', max_slowness=1.5, is_last_resort=False
        )
        agents = [agent('slow', 1.7), agent('fast', 0.6, free=0)]
        self.assertEqual(choose_agents(agents, request), [])

    def test_short_job_uses_slow_endpoint_when_fast_are_scarce(self) -> None:
        """Guards against short jobs using the fast endpoints that long jobs need."""
        request = placement.PlacementRequest(
            DEMAND, 1, 'intake', max_slowness=2.0
        )
        agents = [agent('slow', 1.7), agent('fast', 0.6, free=1600)]
        placements = choose_agents(agents, request)
        self.assertEqual(counts_by_node(placements), [('slow', 1)])

    def test_own_zone_first(self) -> None:
        """Guards against traffic between zones for a negligible gain in speed."""
        agents = [
            agent('far', 1.0, zone='erie'),
            agent('near', 1.01, free=1600),
        ]
        placements = choose_agents(
            agents, placement.PlacementRequest(DEMAND, 1, 'intake')
        )
        self.assertEqual(counts_by_node(placements), [('near', 1)])

    def test_service_and_label(self) -> None:
        """Guards against tasks at endpoints of another service or without the label."""
        agents = [agent('a', 1.0), agent('b', 1.7, labels=('gpu', 'r1-3'))]
        request = placement.PlacementRequest(DEMAND, 1, 'intake', label='gpu')
        placements = choose_agents(agents, request)
        self.assertEqual(counts_by_node(placements), [('b', 1)])
        other = placement.PlacementRequest(DEMAND, 1, 'ledger')
        self.assertEqual(choose_agents(agents, other), [])

    def test_rack_of_the_data(self) -> None:
        """Guards against tasks away from their data, or waiting for a full rack."""
        near = agent('near', 1.0, labels=('r1-3',))
        far = agent('far', 0.9)
        request = placement.PlacementRequest(
            DEMAND, 1, 'intake', data_rack='r1-3', far_factor=1.5
        )
        placements = choose_agents([near, far], request)
        self.assertEqual(counts_by_node(placements), [('near', 1)])
        full = agent('near', 1.0, free=0, labels=('r1-3',))
        placements = choose_agents([full, far], request)
        self.assertEqual(counts_by_node(placements), [('far', 1)])

    def test_endpoint_that_failed_the_job(self) -> None:
        """Guards against all attempts of a task at one failing endpoint."""
        request = placement.PlacementRequest(
            DEMAND, 1, 'intake', avoided_nodes=frozenset(('bad',))
        )
        agents = [agent('bad', 0.6), agent('good', 1.7)]
        placements = choose_agents(agents, request)
        self.assertEqual(counts_by_node(placements), [('good', 1)])

    @profiles.settings()
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.3, 4.0),
                strategies.integers(-2000, 16000),
            ),
            max_size=8,
        ),
        strategies.integers(1, 20),
        strategies.floats(0, 3),
        strategies.booleans(),
    )
    def test_never_exceeds_free_capacity(
        self,
        endpoints: list[tuple[float, int]],
        count: int,
        tolerated: float,
        last_resort: bool,
    ) -> None:
        """Guards against placements that an agent has to refuse."""
        agents = [
            agent(f'side-{number}', slowness, free)
            for number, (slowness, free) in enumerate(endpoints)
        ]
        request = placement.PlacementRequest(
            DEMAND,
            count,
            'intake',
            max_slowness=tolerated,
            is_last_resort=last_resort,
        )
        placements = choose_agents(agents, request)
        self.assertLessEqual(sum(taken for _, taken in placements), count)
        for chosen, taken in placements:
            self.assertLessEqual(
                taken * DEMAND.cpu_millicores, chosen.free.cpu_millicores
            )


class TestPrediction(unittest.TestCase):
    """Prediction of durations from inaccurate estimates."""

    def test_client_timeout_predicts_better_than_estimate(self) -> None:
        """Guards against using estimates that are off by half."""
        source = random.Random(5)
        predictor = estimates.DurationPredictor()
        errors = []
        for _ in range(300):
            duration = source.lognormvariate(math.log(0.4), 0.4)
            estimate = duration * source.lognormvariate(0, 0.4)
            client_timeout = 1.7 + 4 * duration
            predicted = predictor.predict(estimate, client_timeout)
            errors.append(abs(predicted - duration) / duration)
            predictor.learn(estimate, client_timeout, [duration])
        self.assertLess(sorted(errors[50:])[200], 0.2)

    def test_untrained(self) -> None:
        """Guards against predictions without data."""
        predictor = estimates.DurationPredictor()
        self.assertEqual(predictor.predict(0.4, 3.0), 0.4)
        self.assertFalse(predictor.is_trained())

    def test_constant_client_timeout(self) -> None:
        """Guards against a division by a variance of zero."""
        predictor = estimates.DurationPredictor()
        for duration in range(1, 30):
            predictor.learn(float(duration), 2.0, [float(duration)])
        self.assertGreater(predictor.predict(20.0, 2.0), 10)


class TestEndpointHealth(unittest.TestCase):
    """Ejection of failing endpoints, but not because of one failing job."""

    def setUp(self) -> None:
        """Create a healthy endpoint."""
        self.health = health.EndpointHealth()

    def fail(self, *jobs: str) -> bool:  # type: ignore[override]
        """Record a failure of each job; return whether one ejects the endpoint."""
        return any(
            [self.health.record_failure(ids.JobId(job), 10.0) for job in jobs],
        )

    def test_two_jobs_in_a_row(self) -> None:
        """Guards against more tasks for an endpoint at which all tasks fail."""
        self.assertTrue(self.fail('a', 'b'))
        self.assertFalse(self.health.can_start(10.1, 0))

    def test_one_failing_job(self) -> None:
        """Guards against an ejection because of one failing job."""
        self.assertFalse(self.fail('a', 'a', 'a', 'a'))

    def test_failure_among_successes(self) -> None:
        """Guards against an ejection because of occasional failures."""
        for number in range(10):
            self.health.record_success(ids.JobId(str(number)))
        self.assertFalse(self.fail('a'))

    def test_probe_ends_ejection(self) -> None:
        """Guards against a permanent ejection, and many tasks right after one."""
        self.fail('a', 'b')
        self.assertTrue(self.health.can_start(11.0, 0))
        self.assertFalse(self.health.can_start(11.0, 1))
        self.health.record_success(ids.JobId('c'))
        self.assertTrue(self.health.can_start(11.0, 9))

    def test_ejection_is_bounded(self) -> None:
        """Guards against probing a recovered endpoint too rarely."""
        now = 0.0
        for number in range(20):
            self.health.record_failure(ids.JobId(str(number)), now)
            now += 5
        self.assertTrue(self.health.can_start(now + 4.1, 0))


class TestLease(unittest.TestCase):
    """Leases, clock offsets and fencing tokens of an endpoint."""

    def test_delayed_clock_shortens_the_lease(self) -> None:
        """Guards against leases longer than the endpoint allows."""
        endpoint_lease = lease.Lease(1.0)
        endpoint_lease.observe_clock(5000, 10.0)
        endpoint_lease.observe_clock(5900, 11.0)
        self.assertEqual(endpoint_lease.renew(11.0), 6980)

    @hypothesis.given(
        strategies.floats(1 - timing.MAX_CLOCK_DRIFT, 1),
        strategies.lists(strategies.floats(0, 0.3), min_size=1, max_size=40),
        strategies.floats(0.05, 2),
    )
    def test_slow_clock_over_long_incarnation(
        self,
        rate: float,
        delays: list[float],
        pause: float,
    ) -> None:
        """Guards against runs that go on after their lease counts as expired.

        A clock that is 2% slow falls behind by 20 ms each second. With the
        clock offset of the first second, leases ended later each second.
        """
        endpoint_lease = lease.Lease(timing.LEASE_S)
        now = 100.0
        for delay in delays:
            read_at = now
            now += delay
            endpoint_lease.observe_clock(int(1000 * rate * read_at), now)
            now += pause
        until = endpoint_lease.renew(now)
        self.assertIsNotNone(until)
        # The time at which the endpoint's clock shows the end of the lease.
        ends_at = (until or 0) / 1000 / rate
        self.assertLessEqual(ends_at, endpoint_lease.lapses_at())

    def test_lapse_allows_for_a_slow_clock(self) -> None:
        """Guards against a restart before the lease ends by a slow clock."""
        endpoint_lease = lease.Lease(1.0)
        endpoint_lease.observe_clock(5000, 10.0)
        endpoint_lease.renew(10.0)
        self.assertFalse(endpoint_lease.has_lapsed(11.02))
        self.assertTrue(endpoint_lease.has_lapsed(11.2))

    def test_token_never_decreases(self) -> None:
        """Guards against requests to an earlier incarnation being carried out."""
        endpoint_lease = lease.Lease(1.0)
        endpoint_lease.observe_clock(900000, 10.0)
        before = endpoint_lease.fencing_token
        endpoint_lease.reset(5, 11.0)
        self.assertGreater(endpoint_lease.fencing_token, before)

    def test_far_higher_token(self) -> None:
        """Guards against requests that stay fenced forever."""
        endpoint_lease = lease.Lease(1.0)
        endpoint_lease.observe_clock(5, 1.0)
        tries = 0
        while endpoint_lease.fencing_token < 10**12:
            endpoint_lease.raise_token_after_fencing(7)
            tries += 1
        self.assertLess(tries, 60)
