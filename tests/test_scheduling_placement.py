"""Tests of placement policies and job orders."""

import copy
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import ids
from poplardrum.scheduling import ordering, placement
from tests import profiles

DETERMINISTIC: typing.Final = profiles.settings(max_examples=150)
CANDIDATES: typing.Final = strategies.lists(
    strategies.builds(
        placement.Candidate,
        worker=strategies.just(ids.MemberId('')),
        slots=strategies.integers(0, 8),
        free_slots=strategies.integers(0, 8),
        queued_tasks=strategies.integers(0, 50),
        speed=strategies.floats(0.1, 4),
        backlog_s=strategies.floats(0, 100),
        linked=strategies.booleans(),
        ejected=strategies.booleans(),
        next_free_s=strategies.none() | strategies.floats(0, 5),
    ),
    max_size=8,
)
TIMES: typing.Final = strategies.lists(
    strategies.floats(0.001, 10),
    min_size=1,
    max_size=50,
)
SEEDS: typing.Final = strategies.integers(0, 99)


def with_ids(
    candidates: list[placement.Candidate],
) -> list[placement.Candidate]:
    """Give the candidates distinct ids; limit free slots to the slots."""
    for number, candidate in enumerate(candidates):
        candidate.worker = ids.MemberId(str(number))
        candidate.free_slots = min(candidate.free_slots, candidate.slots)
    return candidates


def make_tasks(times: list[float]) -> list[placement.Task]:
    """Return a waiting task for each expected time."""
    return [placement.Task(*pair) for pair in enumerate(times)]


def busy_worker(
    name: str, queued: int, next_free: float
) -> placement.Candidate:
    """Return a worker without free slots."""
    return placement.Candidate(
        ids.MemberId(name), 8, 0, queued, next_free_s=next_free
    )


def is_usable(candidate: placement.Candidate) -> bool:
    """Return whether tasks may be sent to a candidate, by its fields."""
    return candidate.linked and not candidate.ejected and candidate.slots > 0


class PlaceTest(unittest.TestCase):
    """Guards against tasks placed twice, not at all or at unusable workers."""

    @DETERMINISTIC
    @hypothesis.given(CANDIDATES, TIMES, SEEDS)
    def test_every_policy_places_each_task_once(
        self,
        candidates: list[placement.Candidate],
        times: list[float],
        seed: int,
    ) -> None:
        """Fails if a task is granted twice or neither granted nor reserved."""
        usable = {
            candidate.worker
            for candidate in with_ids(candidates)
            if is_usable(candidate)
        }
        for policy in placement.POLICIES.values():
            plan = placement.place(
                policy,
                make_tasks(times),
                copy.deepcopy(candidates),
                random.Random(seed),
            )
            granted = [grant.index for grant in plan.grants]
            self.assertEqual(len(granted), len(set(granted)))
            reserved = sum(item.count for item in plan.reservations)
            self.assertEqual(
                len(granted) + reserved >= len(times),
                bool(usable),
            )
            spare = len(granted) + reserved - len(times)
            self.assertLessEqual(spare, 0.02 * len(times) + 1)
            chosen = {item.worker for item in plan.reservations}
            chosen.update(grant.worker for grant in plan.grants)
            self.assertLessEqual(chosen, usable)

    @DETERMINISTIC
    @hypothesis.given(CANDIDATES, TIMES, SEEDS)
    def test_late_binding_grants_only_to_free_slots(
        self,
        candidates: list[placement.Candidate],
        times: list[float],
        seed: int,
    ) -> None:
        """Fails if a task is granted to a worker without a free slot."""
        free = {
            candidate.worker: candidate.free_slots
            for candidate in with_ids(candidates)
        }
        plan = placement.place(
            placement.LateBinding(),
            make_tasks(times),
            candidates,
            random.Random(seed),
        )
        for grant in plan.grants:
            free[grant.worker] -= 1
        self.assertGreaterEqual(min(free.values(), default=0), 0)

    @DETERMINISTIC
    @hypothesis.given(CANDIDATES, TIMES)
    def test_fill_uses_only_free_slots(
        self,
        candidates: list[placement.Candidate],
        times: list[float],
    ) -> None:
        """Fails if a free slot receives more than one task."""
        usable = [
            candidate for candidate in with_ids(candidates) if candidate.usable
        ]
        free = {candidate.worker: candidate.free_slots for candidate in usable}
        grants = placement.fill_free_slots(make_tasks(times), candidates)
        for grant in grants:
            free[grant.worker] -= 1
        self.assertGreaterEqual(min(free.values(), default=0), 0)
        indexes = {grant.index for grant in grants}
        self.assertEqual(len(indexes), len(grants))

    def test_short_job_goes_where_a_slot_is_free_first(self) -> None:
        """Fails if a short job is placed by the length of the queue.

        It runs before the large jobs that wait, so only the time until a slot
        becomes free matters.
        """
        rows = (
            ('later slot', 0, 2.0, 0, 0.1),
            ('later slot without queue', 0, 1.0, 60, 0.1),
        )
        for name, queued, later_s, other_queued, sooner_s in rows:
            with self.subTest(name):
                plan = placement.place(
                    placement.LateBinding(spare_reservations_per_task=0),
                    make_tasks([0.05]),
                    [
                        busy_worker('later', queued, later_s),
                        busy_worker('sooner', other_queued, sooner_s),
                    ],
                    random.Random(1),
                )
                chosen = [item.worker for item in plan.reservations]
                self.assertEqual(chosen, ['sooner'])

    def test_slow_worker_receives_the_shortest_task(self) -> None:
        """Fails if a slow worker receives a long task at the end of a job."""
        waiting = make_tasks([0.3, 2.0, 0.1])
        self.assertEqual(
            placement.choose_claimed_task(waiting, 0.5, 1).index, 2
        )
        self.assertEqual(placement.choose_claimed_task(waiting, 2, 1).index, 1)


class OrderTest(unittest.TestCase):
    """Guards against an ordering that does not sort as described."""

    def test_orders(self) -> None:
        """Fails if a small late job is not sorted as the ordering requires."""
        early = ordering.JobTimes(0, 50, 1)
        late = ordering.JobTimes(2, 1, 0.1)
        rows: tuple[tuple[ordering.Ordering, bool], ...] = (
            (ordering.FirstComeFirstServed(), False),
            (ordering.ShortestRemaining(), True),
            (ordering.StretchedFinish(1), False),
            (ordering.StretchedFinish(8), True),
        )
        for order, late_first in rows:
            with self.subTest(order):
                ahead = ordering.sort_key(order, late) < ordering.sort_key(
                    order, early
                )
                self.assertEqual(ahead, late_first)
