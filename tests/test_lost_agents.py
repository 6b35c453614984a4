"""Tasks of stored jobs at agents whose links are lost all at once."""

import asyncio
import typing
from unittest import mock

from poplardrum.dispatch import connections, fleet, messages, timing
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
TIMEOUT_S: typing.Final = 0.03


class TestCutEntry(stored_world.StoredCase):
    """An entry that was cut off from all agents, which come back one by one."""

    async def asyncSetUp(self) -> None:
        """Place a task at the first of two agents and lose both links."""
        await super().asyncSetUp()
        for name in ('LOST_AGENT_TIMEOUT_S', 'RELINK_TIMEOUT_S'):
            self.enterContext(mock.patch.object(timing, name, TIMEOUT_S))
        await self.entry.create_owned_job(tasks=1)
        await dispatch_world.wait_until(lambda: self.started_runs(self.link))
        self.other, self.other_link = self.entry.connect('side-2')
        for agent in (self.agent, self.other):
            agent.on_disconnected()
            self.entry.coordinator.schedule_expiry(agent)
        await asyncio.sleep(3 * TIMEOUT_S)

    def link_again(self, agent: fleet.Agent) -> dispatch_world.FakeLink:
        """Link an agent again, which has room and no runs."""
        link = dispatch_world.FakeLink()
        if agent.incarnation not in self.entry.coordinator.agents:
            self.entry.coordinator.add_agent(agent)
        agent.on_connected(typing.cast(connections.Link, link))
        return link

    async def test_agent_that_comes_back_with_a_completion(self) -> None:
        """Guards against a done task that starts again after a cut.

        Its agent linked later than another one, which had room.
        """
        self.other_link = self.link_again(self.other)
        self.entry.report_load(self.other)
        for _ in range(5):
            await asyncio.sleep(0)
        self.link_again(self.agent)
        for message in (
            messages.UnackedCompletion(
                JOB_ID,
                0,
                0,
                1,
                messages.Outcome.done,
                messages.CompletionId(1, 5),
            ),
            messages.ActiveRuns([]),
        ):
            self.entry.coordinator.handle_message(self.agent, message)
        await dispatch_world.wait_until(
            lambda: JOB_ID in self.entry.ownership.finished_jobs
        )
        self.assertEqual(self.started_runs(self.other_link), [])

    async def test_agent_that_does_not_come_back(self) -> None:
        """Guards against a task that waits for an agent for ever."""
        self.other_link = self.link_again(self.other)
        self.entry.report_load(self.other)
        await dispatch_world.wait_until(
            lambda: self.started_runs(self.other_link)
        )
        self.assertNotIn(self.agent.incarnation, self.entry.coordinator.agents)
