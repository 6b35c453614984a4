"""Decisions of an entry about tasks that may crash endpoints."""

import asyncio
import typing

from poplardrum import ids
from poplardrum.dispatch import crash_suspects, jobs, messages, records
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
TASK: typing.Final = ids.TaskId(JOB_ID, 0)
NEIGHBOUR: typing.Final = ids.TaskId(ids.JobId('00000000000000aa'), 0)
SUSPECTED: typing.Final = messages.CrashState.suspected
CONFIRMED: typing.Final = messages.CrashState.confirmed
REFUTED: typing.Final = messages.CrashState.refuted
LONG_S: typing.Final = 60.0


def notice(
    incarnation: int, state: messages.CrashState, *tasks: ids.TaskId
) -> messages.CrashNotice:
    """Return a notice of an agent."""
    return messages.CrashNotice(incarnation, state, list(tasks or (TASK,)))


class TestCrashSuspects(stored_world.StoredCase):
    """Suspicions by notices in any order and number."""

    def setUp(self) -> None:
        """Suspect no task."""
        self.suspects = crash_suspects.CrashSuspects()
        self.now = 0.0

    def apply(self, node: str, message: messages.CrashNotice) -> None:
        """Apply a notice of an agent."""
        self.suspects.apply(node, message, self.now)

    def test_limit(self) -> None:
        """Guards against more starts than two crashes allow (BUDGET)."""
        self.apply('side-1', notice(1, SUSPECTED))
        self.assertTrue(self.suspects.is_suspected(TASK, self.now))
        self.assertTrue(self.suspects.may_start(TASK, self.now))
        self.apply('side-2', notice(1, SUSPECTED))
        # Both losses may turn out to be crashes.
        self.assertFalse(self.suspects.may_start(TASK, self.now))
        self.assertFalse(self.suspects.is_guilty(TASK))
        self.apply('side-1', notice(1, CONFIRMED))
        self.apply('side-2', notice(1, CONFIRMED))
        self.assertTrue(self.suspects.is_guilty(TASK))

    def test_repeated_notices(self) -> None:
        """Guards against one crash that counts twice, as after a reconnect."""
        for _ in range(3):
            self.apply('side-1', notice(1, CONFIRMED))
        self.apply('side-1', notice(1, SUSPECTED))
        self.assertTrue(self.suspects.may_start(TASK, self.now))
        self.assertFalse(self.suspects.is_guilty(TASK))
        self.apply('side-1', notice(2, CONFIRMED))
        self.assertTrue(self.suspects.is_guilty(TASK))

    def test_neighbour(self) -> None:
        """Guards against the end of a job that was near one crash only."""
        self.apply('side-1', notice(1, CONFIRMED, TASK, NEIGHBOUR))
        self.apply('side-2', notice(1, CONFIRMED, TASK))
        self.assertFalse(self.suspects.is_guilty(NEIGHBOUR))

    def test_bystander(self) -> None:
        """Guards against the end of long tasks that others take down.

        One at which endpoints crash again and again is given up all the same.
        """
        for incarnation in range(1, 5):
            self.assertFalse(self.suspects.is_guilty(NEIGHBOUR))
            self.assertFalse(self.suspects.is_suspected(NEIGHBOUR, self.now))
            self.apply(
                'side-1',
                messages.CrashNotice(incarnation, CONFIRMED, [], [NEIGHBOUR]),
            )
        self.assertTrue(self.suspects.is_guilty(NEIGHBOUR))

    def test_refuted(self) -> None:
        """Guards against suspicion after a cut."""
        self.apply('side-1', notice(1, SUSPECTED))
        self.apply('side-1', notice(1, REFUTED))
        self.assertFalse(self.suspects.is_suspected(TASK, self.now))
        self.assertEqual(len(self.suspects.by_job), 0)

    def test_endpoint_that_does_not_come_back(self) -> None:
        """Guards against a task that waits for ever for an explanation."""
        self.apply('side-1', notice(1, SUSPECTED))
        self.apply('side-2', notice(1, SUSPECTED))
        self.now = self.suspects.next_expiry(TASK, self.now)
        self.assertTrue(self.suspects.may_start(TASK, self.now))

    def test_isolation_by_force(self) -> None:
        """Guards against a suspected task that is put off for ever."""
        self.apply('side-1', notice(1, SUSPECTED))
        isolations = [
            self.suspects.isolation(TASK, now) for now in (self.now, LONG_S)
        ]
        self.assertEqual(
            isolations,
            [messages.Isolation.when_quiet, messages.Isolation.by_force],
        )

    def test_memory(self) -> None:
        """Guards against suspicions without a bound."""
        for number in range(crash_suspects.MAX_JOBS + 1):
            task = ids.TaskId(ids.JobId(f'{number:016x}'), 0)
            self.apply('side-1', notice(1, CONFIRMED, task))
        self.assertEqual(len(self.suspects.by_job), crash_suspects.MAX_JOBS)


class TestPlacement(stored_world.StoredCase):
    """Starts of suspected tasks by an entry with two agents."""

    async def asyncSetUp(self) -> None:
        """Own a job, of which a task runs at the first agent."""
        await super().asyncSetUp()
        await self.entry.create_owned_job(tasks=2)
        await dispatch_world.wait_until(
            lambda: len(self.started_runs(self.link)) == 2
        )
        self.other, self.other_link = self.entry.connect('side-2')

    def notify(self, node: str, state: messages.CrashState) -> None:
        """Tell of the loss of the endpoint of an agent, by its name."""
        agent = self.agent if node == 'side-1' else self.other
        tasks = [ids.TaskId(JOB_ID, index) for index in range(2)]
        self.entry.coordinator.handle_message(agent, notice(1, state, *tasks))

    async def lose_runs(self) -> None:
        """Lose the endpoint of the first agent with both runs."""
        self.notify('side-1', SUSPECTED)
        self.agent.accepting = False
        for index in range(2):
            self.entry.coordinator.handle_message(
                self.agent,
                messages.Completion(
                    JOB_ID,
                    messages.RunId(index, 1),
                    messages.Outcome.lost,
                ),
            )

    def isolated_starts(self) -> list[messages.StartTasks]:
        """Return the starts at the second agent."""
        return self.other_link.sent_of(messages.StartTasks)

    async def test_one_at_a_time(self) -> None:
        """Guards against suspected tasks that start together."""
        await self.lose_runs()
        await dispatch_world.wait_until(self.isolated_starts)
        for _ in range(5):
            self.entry.coordinator.placer.schedule()
            await asyncio.sleep(0)
        self.assertEqual(len(self.isolated_starts()), 1)
        await dispatch_world.wait_until(
            lambda: len(self.isolated_starts()) == 2
        )
        for start in self.isolated_starts():
            self.assertEqual(len(start.runs), 1)
            self.assertIs(start.isolation, messages.Isolation.when_quiet)

    async def test_no_start_before_two_losses_are_explained(self) -> None:
        """Guards against a third crash before the first two are known as such."""
        await self.lose_runs()
        self.notify('side-2', SUSPECTED)
        await asyncio.sleep(0.2)
        self.assertEqual(self.isolated_starts(), [])
        self.notify('side-2', REFUTED)
        await dispatch_world.wait_until(self.isolated_starts)

    async def test_record_outlives_its_owner(self) -> None:
        """Guards against crashes that are forgotten at a takeover (BUDGET)."""
        self.notify('side-1', CONFIRMED)
        await dispatch_world.wait_until(
            lambda: self.entry.store.record().crashes
        )
        record = self.entry.store.record().with_next_owner(
            ids.Incarnation('next')
        )
        suspects = crash_suspects.CrashSuspects()
        suspects.restore(JOB_ID, record.crashes)
        suspects.apply('side-2', notice(1, CONFIRMED), 0)
        self.assertTrue(suspects.is_guilty(TASK))

    async def test_second_crash_ends_the_job(self) -> None:
        """Guards against a job without an end; it is stored as failed."""
        self.notify('side-1', CONFIRMED)
        self.notify('side-2', CONFIRMED)
        await dispatch_world.wait_until(
            lambda: self.entry.store.record().state is records.State.failed
        )

    async def test_job_that_is_known_to_crash_endpoints(self) -> None:
        """Guards against another start by an entry that hears of the job later."""
        other_entry = self.start('b')
        agent, link = other_entry.connect('side-1')
        for incarnation in (1, 2):
            other_entry.coordinator.handle_message(
                agent, notice(incarnation, CONFIRMED)
            )
        self.store.values.clear()
        owned = await other_entry.create_owned_job(tasks=2)
        self.assertIs(owned.job.outcome.result(), jobs.JobOutcome.failed)
        await asyncio.sleep(0.05)
        self.assertEqual(self.started_runs(link), [])
