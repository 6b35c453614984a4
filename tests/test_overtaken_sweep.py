"""Random cuts, losses and takeovers around the tasks of a stored job."""

import asyncio
import dataclasses
import itertools
import random
import typing

from poplardrum.dispatch import connections, fleet, messages
from tests import dispatch_world, stored_world

JOB_ID: typing.Final = stored_world.JOB_ID
SEEDS: typing.Final = range(1, 81)
STEPS: typing.Final = 60
TASKS: typing.Final = 3
MAX_ATTEMPTS: typing.Final = 3
TAKEOVER_SHARE: typing.Final = 0.04
REFUSAL_SHARE: typing.Final = 0.2
# Passes of the event loop in which a commit and its consequences are done.
PASSES: typing.Final = 12


@dataclasses.dataclass
class End:
    """End of a run that an endpoint lists, and what the agent was told of it."""

    run: messages.RunId
    outcome: messages.Outcome
    at: int
    is_dropped: bool = False
    has_lapsed: bool = False

    def counts(self) -> bool:
        """Return whether it was dropped without a lapse of the lease."""
        return self.is_dropped and not self.has_lapsed


class Endpoint:
    """An endpoint with its agent, which has a link to the owner or not."""

    def __init__(self, node: str) -> None:
        """Create an endpoint without runs and without a link."""
        self.node = node
        self.running: list[messages.RunId] = []
        self.ends: list[End] = []
        self.link = dispatch_world.FakeLink()
        self.agent: fleet.Agent | None = None

    def is_linked(self) -> bool:
        """Return whether the owner can be reached."""
        return self.agent is not None and self.agent.link is not None

    def awaiting_answer(self) -> list[tuple[int, End]]:
        """Return the numbered ends that are retained and not answered yet."""
        return [
            (number, end)
            for number, end in enumerate(self.ends, start=1)
            if not end.is_dropped
            and end.outcome in {messages.Outcome.done, messages.Outcome.failed}
        ]


class Play:
    """One random sequence of events; `violations` has what is wrong."""

    def __init__(self, seed: int, case: stored_world.StoredCase) -> None:
        """Create two endpoints and no entry."""
        self.random = random.Random(seed)
        self.case = case
        self.endpoints = [Endpoint('side-1'), Endpoint('side-2')]
        self.clock = itertools.count(1)
        self.starts: list[tuple[int, messages.RunId]] = []
        self.names = map('owner-{0}'.format, itertools.count())
        self.entry = self.start_entry()
        self.violations: list[str] = []

    def start_entry(self) -> stored_world.Entry:
        """Start an entry that writes without pauses."""
        entry = self.case.start(next(self.names))
        entry.writer.commit_interval = 0
        return entry

    async def run(self) -> None:
        """Play all steps; then let everything be answered."""
        await self.entry.create_owned_job(TASKS, MAX_ATTEMPTS)
        for endpoint in self.endpoints:
            self.link(endpoint)
        looking_up = asyncio.ensure_future(self.look_up())
        steps = (self.end, self.end, self.cut, self.link_again, self.expire)
        for _ in range(STEPS):
            if self.random.random() < TAKEOVER_SHARE:
                await self.take_over()
            self.random.choice(steps)()
            await self.settle()
        await self.conclude()
        looking_up.cancel()

    async def look_up(self) -> None:
        """Let the present owner look up unclaimed completions."""
        while True:
            await asyncio.sleep(0)
            unclaimed = self.entry.ownership.unclaimed
            for job in unclaimed.pop_jobs_to_look_up(20):
                await self.entry.takeover._look_up_job(job)

    async def settle(self) -> None:
        """Carry out what the owner sends."""
        for _ in range(PASSES):
            await asyncio.sleep(0)
        for endpoint in self.endpoints:
            sent, endpoint.link.sent = endpoint.link.sent, []
            if endpoint.is_linked():
                for message in sent:
                    self.carry_out(endpoint, message)

    def carry_out(self, endpoint: Endpoint, message: messages.Message) -> None:
        """Carry out a message of the owner."""
        match message:
            case messages.StartTasks():
                for run in message.runs:
                    self.start(endpoint, run)
            case messages.StopTasks():
                for run in message.runs:
                    self.end_run(endpoint, run, messages.Outcome.stopped)
            case messages.CompletionsAcknowledged():
                self.drop(endpoint, message.completion_ids, lapse=False)
            case messages.CompletionsOvertaken():
                self.drop(endpoint, message.completion_ids, lapse=True)

    def start(self, endpoint: Endpoint, run: messages.RunId) -> None:
        """Start a run or refuse it."""
        if self.random.random() < REFUSAL_SHARE:
            refusal = messages.Refusal.endpoint
            self.send(endpoint, messages.Refused(JOB_ID, [run], refusal))
            return
        for other in self.endpoints:
            if run.task_index in {each.task_index for each in other.running}:
                self.violations.append(f'two runs at once: {run}')
        self.starts.append((next(self.clock), run))
        endpoint.running.append(run)

    def end(self) -> None:
        """Let a random run be done or fail."""
        endpoint = self.random.choice(self.endpoints)
        if endpoint.running:
            is_done = self.random.choice((True, False))
            self.end_run(
                endpoint,
                self.random.choice(endpoint.running),
                messages.Outcome.done if is_done else messages.Outcome.failed,
            )

    def end_run(
        self,
        endpoint: Endpoint,
        run: messages.RunId,
        outcome: messages.Outcome,
    ) -> None:
        """End a run; the owner hears of it if it can be reached."""
        if run not in endpoint.running:
            return
        endpoint.running.remove(run)
        endpoint.ends.append(End(run, outcome, next(self.clock)))
        completion_id = messages.CompletionId(1, len(endpoint.ends))
        is_retained = outcome in {
            messages.Outcome.done,
            messages.Outcome.failed,
        }
        self.send(
            endpoint,
            messages.Completion(
                JOB_ID, run, outcome, completion_id if is_retained else None
            ),
        )

    def drop(
        self,
        endpoint: Endpoint,
        completion_ids: list[messages.CompletionId],
        *,
        lapse: bool,
    ) -> None:
        """Drop ends, after a lapse of the lease or without one."""
        for completion_id in completion_ids:
            end = endpoint.ends[completion_id.number - 1]
            if not end.is_dropped:
                end.is_dropped = True
                end.has_lapsed = lapse
        if lapse:
            self.lapse(endpoint)

    def lapse(self, endpoint: Endpoint) -> None:
        """End all runs of an endpoint."""
        for end in endpoint.ends:
            end.has_lapsed = end.has_lapsed or not end.is_dropped
        for run in list(endpoint.running):
            self.end_run(endpoint, run, messages.Outcome.lost)

    def send(self, endpoint: Endpoint, message: messages.AnyMessage) -> None:
        """Send a message of an agent, if it has a link."""
        if endpoint.agent is not None and endpoint.is_linked():
            self.entry.coordinator.handle_message(endpoint.agent, message)

    def cut(self) -> None:
        """Cut an agent from the owner."""
        endpoint = self.random.choice(self.endpoints)
        if endpoint.agent is not None:
            endpoint.agent.on_disconnected()

    def expire(self) -> None:
        """Let the owner give up the runs of an agent that is cut off."""
        for endpoint in self.endpoints:
            if endpoint.agent is not None and not endpoint.is_linked():
                self.stop_all(endpoint)
                self.entry.coordinator._remove_agent(endpoint.agent)

    def stop_all(self, endpoint: Endpoint) -> None:
        """Stop the runs of an agent that has lost its owner."""
        for run in list(endpoint.running):
            outcome = self.random.choice(
                (messages.Outcome.stopped, messages.Outcome.done)
            )
            self.end_run(endpoint, run, outcome)

    def link_again(self) -> None:
        """Link an agent that is cut off."""
        for endpoint in self.endpoints:
            if not endpoint.is_linked():
                self.link(endpoint)
                return

    def link(self, endpoint: Endpoint) -> None:
        """Link an agent to the owner, and tell of what is retained."""
        known = self.entry.coordinator.agents
        if endpoint.agent is None or endpoint.agent.incarnation not in known:
            name = typing.cast(typing.Any, endpoint.node)
            endpoint.agent = fleet.Agent(endpoint.node, 'toledo', name)
            self.entry.coordinator.add_agent(endpoint.agent)
        endpoint.link = dispatch_world.FakeLink()
        endpoint.agent.on_connected(
            typing.cast(connections.Link, endpoint.link)
        )
        for number, end in endpoint.awaiting_answer():
            self.send(
                endpoint,
                messages.UnackedCompletion(
                    JOB_ID,
                    0,
                    end.run.task_index,
                    end.run.number,
                    end.outcome,
                    messages.CompletionId(1, number),
                ),
            )
        active = [(JOB_ID, run) for run in endpoint.running]
        self.send(endpoint, messages.ActiveRuns(active))
        self.entry.report_load(endpoint.agent)

    async def take_over(self) -> None:
        """Lose the owner; a new one is linked to some of the agents."""
        earlier = self.entry
        await earlier.close()
        for endpoint in self.endpoints:
            if endpoint.agent is not None:
                endpoint.agent.on_disconnected()
            self.stop_all(endpoint)
            endpoint.agent = None
        self.entry = self.start_entry()
        owner = earlier.ownership.incarnation
        self.case.store.values.pop(f'poplardrum/entries/node-{owner}', None)
        self.entry.owner_tracker.missing_since[owner] = -1000.0
        for endpoint in self.endpoints:
            if self.random.choice((True, False)):
                self.link(endpoint)
        await stored_world.take_over(self.entry)

    async def conclude(self) -> None:
        """Link all agents until the job is over and all ends are dropped."""
        for _ in range(200):
            for endpoint in self.endpoints:
                self.link(endpoint)
                for run in list(endpoint.running):
                    self.end_run(endpoint, run, messages.Outcome.done)
            await self.settle()
            if self.case.store.record().is_over() and not any(
                endpoint.awaiting_answer() for endpoint in self.endpoints
            ):
                return
        self.violations.append('the job or an end is left over')

    def check(self) -> list[str]:
        """Return all violations."""
        ends = [end for each in self.endpoints for end in each.ends]
        counted = [end for end in ends if end.counts()]
        for started_at, run in self.starts:
            earlier = [
                end
                for end in counted
                if end.run.task_index == run.task_index and end.at < started_at
            ]
            outcomes = [end.outcome for end in earlier]
            if messages.Outcome.done in outcomes:
                self.violations.append(f'start after a done run: {run}')
            if outcomes.count(messages.Outcome.failed) >= MAX_ATTEMPTS:
                self.violations.append(f'start after all attempts: {run}')
        return self.violations


class TestSweep(stored_world.StoredCase):
    """Losses in any order, with each answer that the owner gives."""

    async def test_seeds(self) -> None:
        """Guards against starts after an acknowledged completion, and lost ones."""
        overtaken = 0
        for seed in SEEDS:
            self.store = stored_world.MemoryStore()
            play = Play(seed, self)
            await play.run()
            overtaken += sum(
                end.has_lapsed for each in play.endpoints for end in each.ends
            )
            self.assertEqual(play.check(), [], f'seed {seed}')
            await play.entry.close()
        # The plays reach the paths that they are about.
        self.assertGreater(overtaken, len(SEEDS) / 4)
