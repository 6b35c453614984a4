"""Completions of endpoints that started at the same moment.

The id of a completion has the start of its endpoint and a number, so those of two
endpoints may be equal.
"""

import typing

from poplardrum.dispatch import messages
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
COMPLETION_ID: typing.Final = messages.CompletionId(1, 5)


class TestEqualIds(stored_world.StoredCase):
    """An entry with two agents, each with a done task of one job."""

    async def asyncSetUp(self) -> None:
        """Connect the second agent, which has no room."""
        await super().asyncSetUp()
        self.other, self.other_link = self.entry.connect(
            'side-2', accepting=False
        )

    def complete(self, task: int) -> None:
        """Tell of a done task: the first at the first agent, and so on."""
        agent = (self.agent, self.other)[task]
        self.entry.coordinator.handle_message(
            agent,
            messages.UnackedCompletion(
                JOB_ID, 0, task, 1, messages.Outcome.done, COMPLETION_ID
            ),
        )

    async def test_before_a_takeover(self) -> None:
        """Guards against a start of a done task by the next owner (TWICE)."""
        for task in range(2):
            self.complete(task)
        await self.entry.create_owned_job(tasks=2)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        self.assertEqual(self.started_runs(self.link), [])

    async def test_acknowledgements(self) -> None:
        """Guards against a completion that its endpoint retains for ever."""
        self.entry.report_load(self.other)
        owned = await self.entry.create_owned_job(tasks=3)
        await dispatch_world.wait_until(
            lambda: (
                len(
                    self.started_runs(self.link)
                    + self.started_runs(self.other_link)
                )
                == 3
            )
        )
        for index, agent in enumerate((self.agent, self.other)):
            self.entry.ownership.record_completion(
                owned.job,
                owned.job.tasks[index],
                agent,
                messages.Completion(
                    JOB_ID,
                    owned.job.tasks[index].run_id(),
                    messages.Outcome.done,
                    COMPLETION_ID,
                ),
            )
        await dispatch_world.wait_until(
            lambda: all(
                stored_world.acknowledged_numbers(link)
                for link in (self.link, self.other_link)
            )
        )
