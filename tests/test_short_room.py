"""Tests of who is served when room is short, without a network."""

import asyncio
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from poplardrum import errors, ids
from poplardrum.dispatch import (
    connections,
    coordinator,
    fleet,
    jobs,
    messages,
    queue_order,
    shares,
    shortage_log,
)
from tests import dispatch_world, profiles

NEED: typing.Final = messages.Resources(1000, 64, 0)
CAPACITY: typing.Final = messages.Resources(8000, 4096, 0)
QUEUES: typing.Final = ('quote', 'print', 'settle')
_numbers = random.Random(5)


def make_job(
    queue: str = 'quote',
    urgency: int = 0,
    width: int = 1,
    duration: float = 0.1,
    now: float = 0.0,
    target: float = 0.2,
) -> jobs.Job:
    """Return a job that came at `now`, with a prediction."""
    step = jobs.Step(0, 0, width, NEED, duration)
    loop = asyncio.get_running_loop()
    return jobs.Job(
        id=ids.JobId(f'{_numbers.getrandbits(64):016x}'),
        queue=queue,
        urgency=urgency,
        max_attempts=2,
        specification='specification',
        service='intake',
        steps=[step],
        estimate=duration,
        client_timeout=5.0,
        predicted_duration=duration,
        has_prediction=True,
        tasks=jobs.make_tasks([step]),
        arrived_at=now,
        target_latency=target,
        refuse_at=now + 0.35 * target,
        deadline=now + 5.0,
        outcome=loop.create_future(),
    )


def first_queue(
    order: queue_order.ShortRoomOrder, waiting: list[jobs.Job], now: float = 0
) -> str:
    """Return the queue of the job that is placed first."""
    order.sort(waiting, now, 0.6)
    return waiting[0].queue


class TestShortRoomOrder(unittest.IsolatedAsyncioTestCase):
    """Order of the waiting jobs."""

    def record(
        self, order: queue_order.ShortRoomOrder, queue: str, came: int, ran: int
    ) -> None:
        """Record jobs of a queue of which some were started."""
        for number in range(came):
            job = make_job(queue)
            order.record_arrival(job, 0)
            if number < ran:
                order.record_start(job, 1.0, 0)

    async def test_three_queues_with_third_of_room_gone(self) -> None:
        """Guards against a queue that pays alone for the lost room."""
        order = queue_order.ShortRoomOrder()
        self.record(order, 'quote', 30, 28)
        self.record(order, 'print', 30, 28)
        self.record(order, 'settle', 30, 4)
        waiting = [
            make_job('quote'),
            make_job('print'),
            make_job('settle', 2, duration=1.0, target=1.6),
        ]
        self.assertEqual(first_queue(order, waiting), 'settle')

    async def test_bursts(self) -> None:
        """Guards against a burst that pushes out a queue, urgent or not."""
        for burst, urgency in (('settle', 2), ('quote', 0)):
            order = queue_order.ShortRoomOrder()
            self.record(order, burst, 72, 60)
            self.record(order, 'print', 30, 5)
            waiting = [make_job(burst, urgency) for _ in range(5)]
            waiting.append(make_job('print', 1, target=0.25))
            self.assertEqual(first_queue(order, waiting), 'print')

    async def test_equal_parts(self) -> None:
        """Guards against a loss of order by need while no queue is behind."""
        order = queue_order.ShortRoomOrder()
        for queue in QUEUES:
            self.record(order, queue, 30, 20)
        waiting = [make_job('settle', 0, target=1.6), make_job('quote', 2)]
        self.assertEqual(first_queue(order, waiting), 'quote')

    async def test_equals_by_urgency(self) -> None:
        """Guards against an urgency that decides nothing."""
        waiting = [
            make_job('settle', 2, target=0.202),
            make_job('quote', 0, target=0.204),
        ]
        order = queue_order.ShortRoomOrder()
        self.assertEqual(first_queue(order, waiting), 'quote')

    async def test_wide_among_narrow(self) -> None:
        """Guards against wide jobs that begin to gather room too late."""
        order = queue_order.ShortRoomOrder()
        order.record_start(make_job(), 100.0, 0)
        waiting = [
            make_job('quote', width=1, target=0.2),
            make_job('print', width=16, target=0.25),
        ]
        self.assertEqual(first_queue(order, waiting), 'print')

    async def test_entry_that_knows_little(self) -> None:
        """Guards against an order that needs a memory."""
        order = queue_order.ShortRoomOrder()
        waiting = [make_job('print', target=0.4), make_job('quote', width=16)]
        self.assertEqual(first_queue(order, waiting), 'quote')

    @profiles.settings()
    @hypothesis.given(
        rounds=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(QUEUES),
                strategies.integers(1, 8),
                strategies.integers(0, 3),
            ),
            max_size=40,
        )
    )
    def test_starvation_bound(self, rounds: list[tuple[str, int, int]]) -> None:
        """Guards against a queue below its floor that another one passes."""
        asyncio.run(self.check_starvation_bound(rounds))

    async def check_starvation_bound(
        self, rounds: list[tuple[str, int, int]]
    ) -> None:
        """Let jobs come and start by the order; check who goes first."""
        order = queue_order.ShortRoomOrder()
        waiting: list[jobs.Job] = []
        for number, (queue, came, room) in enumerate(rounds):
            now = number * 0.01
            for _ in range(came):
                job = make_job(queue, QUEUES.index(queue), now=now)
                order.record_arrival(job, now)
                waiting.append(job)
            for _ in range(min(room, len(waiting))):
                order.sort(waiting, now, 0.6)
                job = waiting.pop(0)
                starved = order.shares.behind() & {
                    each.queue for each in waiting
                }
                if starved:
                    self.assertIn(job.queue, order.shares.behind())
                order.record_start(job, 1.0, now)


class TestShares(unittest.TestCase):
    """Parts of the work of each queue."""

    def test_forgotten(self) -> None:
        """Guards against a queue that is favoured for an old shortage."""
        queue_shares = shares.QueueShares()
        queue_shares.record_arrival('settle', 10, 0)
        queue_shares.record_arrival('quote', 10, 0)
        queue_shares.record_start('quote', 10, 0)
        self.assertEqual(queue_shares.behind(), {'settle'})
        queue_shares.record_arrival('settle', 1, 10)
        queue_shares.record_start('settle', 1, 10)
        self.assertEqual(queue_shares.behind(), set())

    def test_bounded(self) -> None:
        """Guards against a memory that grows with the names of queues."""
        queue_shares = shares.QueueShares()
        for number in range(1000):
            queue_shares.record_arrival(f'q{number}', 1, 0)
        self.assertLessEqual(len(queue_shares.arrived), 256)


class TestShortageLog(unittest.IsolatedAsyncioTestCase):
    """Log lines on refusals."""

    async def test_one_line_a_second(self) -> None:
        """Guards against a line for each refusal."""
        log = shortage_log.ShortageLog()
        with self.assertLogs(shortage_log.logger) as caught:
            for number in range(50):
                log.record(make_job(), shares.QueueShares(), number * 0.03)
        self.assertEqual(len(caught.records), 2)


class TestSlowEndpoints(unittest.IsolatedAsyncioTestCase):
    """Which endpoints jobs accept while room is short."""

    async def asyncSetUp(self) -> None:
        """Connect a fast agent with room for one task and a slow one."""
        self.now = asyncio.get_running_loop().time()
        self.links: dict[str, dispatch_world.FakeLink] = {}
        self.agents: dict[str, fleet.Agent] = {}

    def connect(self, *, has_short_room: bool) -> coordinator.Coordinator:
        """Return a coordinator with both agents."""
        entry = coordinator.Coordinator('erie', has_short_room=has_short_room)
        for node, free, slowness in (('fast', 1000, 0.6), ('slow', 8000, 5.0)):
            agent = fleet.Agent(node, 'erie', ids.new_incarnation())
            self.agents[node] = agent
            link = self.links[node] = dispatch_world.FakeLink()
            entry.add_agent(agent)
            agent.on_connected(typing.cast(connections.Link, link))
            self.report_load(entry, node, free, slowness)
        return entry

    def report_load(
        self,
        entry: coordinator.Coordinator,
        node: str,
        free: int,
        slowness: float,
    ) -> None:
        """Send a load report with the free CPU of an agent."""
        load = messages.Load(
            self.agents[node].starts_sent,
            True,
            messages.Resources(free, 4096, 0),
            CAPACITY,
            slowness,
            'intake',
            [],
        )
        entry.handle_message(self.agents[node], load)

    async def wait_for_slow_start(self) -> None:
        """Wait until a task was sent to the slow agent."""
        async with asyncio.timeout(5):
            while not self.count_starts('slow'):
                await asyncio.sleep(0.01)

    def count_starts(self, node: str) -> int:
        """Return the number of tasks that were sent to an agent."""
        starts = self.links[node].sent_of(messages.StartTasks)
        return sum(len(start.runs) for start in starts)

    async def test_started_job_waits_for_speed(self) -> None:
        """Guards against started jobs that are late by their last tasks."""
        entry = self.connect(has_short_room=True)
        job = make_job(width=2, now=self.now, target=0.4)
        entry.submit(job)
        await asyncio.sleep(0.02)
        self.assertEqual(self.count_starts('fast'), 1)
        self.assertEqual(self.count_starts('slow'), 0)
        await self.wait_for_slow_start()
        self.assertGreaterEqual(
            asyncio.get_running_loop().time(), job.any_speed_at
        )

    async def test_other_deployments(self) -> None:
        """Guards against a change where room is not short."""
        entry = self.connect(has_short_room=False)
        job = make_job(width=2, now=self.now, target=0.4)
        entry.submit(job)
        await self.wait_for_slow_start()
        self.assertLess(
            asyncio.get_running_loop().time(), job.last_in_time(0.6)
        )

    async def test_refused_job_never_starts(self) -> None:
        """Guards against a refusal as not run of a job that runs."""
        entry = self.connect(has_short_room=True)
        first, second = (make_job(now=self.now, target=0.3) for _ in range(2))
        entry.submit(first)
        entry.submit(second)
        with self.assertRaises(errors.PoplardrumError):
            await second.outcome
        self.assertFalse(second.started)
        self.report_load(entry, 'fast', 1000, 0.6)
        await asyncio.sleep(0.02)
        self.assertFalse(second.started)
        self.assertEqual(self.count_starts('slow'), 0)


if __name__ == '__main__':
    unittest.main()
