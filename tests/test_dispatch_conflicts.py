"""Starts that an agent refuses since it still has another run of the task."""

import asyncio
import typing

from poplardrum.dispatch import messages, records
from tests import dispatch_world, stored_world, test_dispatch_coordinator

DURATION_S: typing.Final = 0.2
# A retry every 20 ms, and some slack for timers that fire together.
MOST_STARTS: typing.Final = 20


class TestConflicts(test_dispatch_coordinator.CoordinatorCase):
    """The only agent with room refuses a task as a conflict for a while."""

    async def test_not_retried_at_once(self) -> None:
        """Guards against hundreds of starts, each with a number of its own.

        A load report that came with the refusal placed the task again.
        """
        job = await self.submit_job(1, 1)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answered = 0
        while loop.time() < started_at + DURATION_S:
            starts = self.link.sent_of(messages.StartTasks)
            for start in starts[answered:]:
                self.coordinator.handle_message(
                    self.agent,
                    messages.Refused(
                        job.id, start.runs, messages.Refusal.conflict
                    ),
                )
                self.report_load(self.agent, test_dispatch_coordinator.CAPACITY)
            answered = len(starts)
            await asyncio.sleep(0)
        self.assertGreater(answered, 1)
        self.assertLess(answered, MOST_STARTS)


class TestRunNumbers(stored_world.StoredCase):
    """Run numbers of one owner after another."""

    async def test_owner_with_many_refused_runs(self) -> None:
        """Guards against runs of two owners with the same number."""
        owned = await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        refused = 5000
        for number in range(1, refused):
            self.entry.coordinator.handle_message(
                self.agent,
                messages.Refused(
                    owned.job.id,
                    [messages.RunId(0, number)],
                    messages.Refusal.no_room,
                ),
            )
            owned.job.tasks[0].place(owned.job.id, self.agent, 0)
        other = self.start('b')
        _, link = other.connect('side-2')
        await stored_world.take_over(other)
        await dispatch_world.wait_until(lambda: self.started_runs(link))
        self.assertGreater(
            self.started_runs(link)[0], owned.job.tasks[0].run_number
        )
        self.assertEqual(self.started_runs(link), [records.RUNS_PER_OWNER + 1])
