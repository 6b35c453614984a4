"""Submissions under reordering, loss, duplication, delay and crashes."""

import random
import typing
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from poplardrum import ids
from tests import profiles, submission_stops, submission_world

AGENTS: typing.Final = 4
ENTRIES: typing.Final = 2
KEYS: typing.Final = 2
AGENT: typing.Final = st.integers(0, AGENTS - 1).map(
    lambda number: ids.MemberId(f'a{number}'),
)
ENTRY: typing.Final = st.integers(0, ENTRIES - 1).map(
    lambda number: ids.MemberId(f'e{number}'),
)
NODE: typing.Final = st.one_of(AGENT, ENTRY)
KEY: typing.Final = st.integers(0, KEYS - 1)
INDEX: typing.Final = st.integers(0, 50)
DURATIONS_S: typing.Final = st.sampled_from(
    (0.5, 1.0, 4.0, 6.0, 60.0, 200.0, 370.0),
)

WALKS: typing.Final = 2000
WALK_STEPS: typing.Final = 70
# Steps of a random walk: their weights and their arguments.
STEPS: typing.Final[dict[str, tuple[int, str]]] = {
    'submit': (4, 'key entry'),
    'complete': (8, 'key entry'),
    'deliver_attempt': (6, 'index double'),
    'deliver': (6, 'index double'),
    'settle': (2, ''),
    'cut': (1, 'one other'),
    'time_out': (1, 'agent'),
    'reset': (2, 'entry agent'),
    'notice': (2, 'index'),
    'connect': (2, 'entry agent'),
    'connect_all': (3, ''),
    'block': (2, 'one other'),
    'heal': (2, ''),
    'pause': (3, 'agent'),
    'kill': (2, 'agent restart'),
    'start': (3, 'agent'),
    'stop': (2, 'agent restart'),
    'leave': (1, 'agent leaving'),
    'restart_entry': (1, 'entry'),
    'finish': (2, 'agent key'),
    'advance': (4, 'seconds'),
}


class SubmissionMachine(stateful.RuleBasedStateMachine):
    """Guards against a second start of any key and a false `not_run`."""

    def __init__(self) -> None:
        """Start all processes and advance until they are stable."""
        super().__init__()
        self.world = submission_world.World(AGENTS, ENTRIES, KEYS)
        self.world.advance(400)

    @stateful.rule(key=KEY, entry=ENTRY)
    def submit(self, key: int, entry: ids.MemberId) -> None:
        """A caller submits or resubmits."""
        self.world.submit(self.world.keys[key], entry)

    @stateful.rule(key=KEY, entry=ENTRY)
    def complete(self, key: int, entry: ids.MemberId) -> None:
        """A caller submits, and all reachable agents reply."""
        self.world.submit(self.world.keys[key], entry)
        for _ in range(4):
            self.world.deliver_all()
            for agent in self.world.names:
                self.time_out(agent)

    @stateful.rule(index=INDEX, double=st.booleans())
    def deliver_attempt(self, index: int, double: bool) -> None:
        """An agent reads one attempt, perhaps twice, from any link."""
        links = self.world.links_with_attempts()
        if links:
            link = links[index % len(links)]
            if double:
                link.queue.appendleft(link.queue[0])
            self.world.deliver_attempt(link)

    @stateful.rule(index=INDEX, double=st.booleans())
    def deliver(self, index: int, double: bool) -> None:
        """An agent reads one message, perhaps twice, of another agent."""
        queues = [
            pair
            for pair, items in self.world.messages_in_flight.items()
            if items
        ]
        if queues:
            pair = queues[index % len(queues)]
            if double:
                queue = self.world.messages_in_flight[pair]
                queue.appendleft(queue[0])
            self.world.deliver(*pair)

    @stateful.rule()
    def settle(self) -> None:
        """All messages between agents arrive."""
        self.world.deliver_all()

    @stateful.rule(one=AGENT, other=AGENT)
    def cut(self, one: ids.MemberId, other: ids.MemberId) -> None:
        """The connection of two agents breaks with all that is on it."""
        self.world.messages_in_flight[(one, other)].clear()
        self.world.messages_in_flight[(other, one)].clear()

    @stateful.rule(agent=AGENT)
    def time_out(self, agent: ids.MemberId) -> None:
        """The pending requests of an agent time out."""
        asker = self.world.agents.get(agent)
        if asker is not None and not asker.is_paused:
            for number in list(asker.pending):
                if number in asker.pending:
                    asker.fail_request(number)

    @stateful.rule(entry=ENTRY, agent=AGENT)
    def reset(self, entry: ids.MemberId, agent: ids.MemberId) -> None:
        """A link breaks at the entry."""
        self.world.reset(entry, agent)

    @stateful.rule(index=INDEX)
    def notice(self, index: int) -> None:
        """An agent detects a broken link."""
        if self.world.broken_links:
            self.world.notice_break(index % len(self.world.broken_links))

    @stateful.rule(entry=ENTRY, agent=AGENT)
    def connect(self, entry: ids.MemberId, agent: ids.MemberId) -> None:
        """An entry dials an agent."""
        self.world.connect(entry, agent)

    @stateful.rule()
    def connect_all(self) -> None:
        """All possible links are established."""
        for entry in self.world.entries:
            for agent in self.world.names:
                self.world.connect(entry, agent)

    @stateful.rule(one=NODE, other=NODE)
    def block(self, one: ids.MemberId, other: ids.MemberId) -> None:
        """The network partitions two processes, or reconnects them."""
        self.world.blocked ^= {frozenset((one, other))}

    @stateful.rule()
    def heal(self) -> None:
        """The network reconnects all processes."""
        self.world.blocked.clear()

    @stateful.rule(agent=AGENT)
    def pause(self, agent: ids.MemberId) -> None:
        """An agent is paused, or resumes."""
        paused = self.world.agents.get(agent)
        if paused is not None:
            paused.is_paused = not paused.is_paused

    @stateful.rule(agent=AGENT, restart=st.booleans())
    def kill(self, agent: ids.MemberId, restart: bool) -> None:
        """An agent crashes and may be started again."""
        self.world.kill(agent)
        if restart:
            self.world.start_agent(agent, clean=agent in self.world.gone)

    @stateful.rule(agent=AGENT)
    def start(self, agent: ids.MemberId) -> None:
        """An agent that has ended starts again."""
        if agent not in self.world.agents:
            self.world.start_agent(agent, clean=agent in self.world.gone)

    @stateful.rule(agent=AGENT, restart=st.booleans())
    def stop(self, agent: ids.MemberId, restart: bool) -> None:
        """An agent stops as planned and may be started again."""
        if (
            agent in self.world.agents
            and submission_stops.stop(self.world, agent)
            and restart
        ):
            self.world.start_agent(agent, clean=True)

    @stateful.rule(agent=AGENT, leaving=st.booleans())
    def leave(self, agent: ids.MemberId, leaving: bool) -> None:
        """An operator makes an agent leave or return."""
        if agent in self.world.agents:
            submission_stops.set_leaving(self.world, agent, leaving=leaving)

    @stateful.rule(entry=ENTRY)
    def restart_entry(self, entry: ids.MemberId) -> None:
        """An entry crashes and starts again."""
        for agent in self.world.names:
            self.world.reset(entry, agent)
        self.world.start_entry(entry)

    @stateful.rule(agent=AGENT, key=KEY)
    def finish(self, agent: ids.MemberId, key: int) -> None:
        """A job ends."""
        if agent in self.world.agents:
            self.world.finish(agent, self.world.keys[key])

    @stateful.rule(seconds=DURATIONS_S)
    def advance(self, seconds: float) -> None:
        """Time passes."""
        self.world.advance(seconds)

    @stateful.invariant()
    def starts_at_most_once(self) -> None:
        """Check the starts of every key."""
        assert all(count <= 1 for count in self.world.starts.values())

    @stateful.invariant()
    def refusals_are_true(self) -> None:
        """Check the verdict `not_run`."""
        assert not self.world.false_refusals


SubmissionMachine.TestCase.settings = profiles.settings(
    max_examples=300,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SubmissionMachineTest: type[unittest.TestCase] = SubmissionMachine.TestCase


class RandomWalkTest(unittest.TestCase):
    """Guards against second starts that need long chains of events.

    Steps are drawn evenly over long histories, which the search of hypothesis
    for short ones reaches rarely.
    """

    def test_walks(self) -> None:
        """Check both invariants after every step of many walks."""
        starts = 0
        for seed in range(WALKS):
            machine = SubmissionMachine()
            draw = random.Random(seed)
            for _ in range(WALK_STEPS):
                take_step(machine, draw)
                machine.starts_at_most_once()
                machine.refusals_are_true()
            starts += sum(machine.world.starts.values())
        self.assertGreater(starts, WALKS)


def take_step(machine: SubmissionMachine, draw: random.Random) -> None:
    """Take one step of a walk."""
    agents, entries = machine.world.names, list(machine.world.entries)
    values: dict[str, typing.Any] = {
        'agent': draw.choice(agents),
        'entry': draw.choice(entries),
        'one': draw.choice(agents + entries),
        'other': draw.choice(agents),
        'key': draw.randrange(KEYS),
        'index': draw.randrange(50),
        'seconds': draw.choice((0.5, 1.0, 4.0, 6.0, 6.0, 60.0, 200.0, 370.0)),
        'double': draw.randrange(10) < 3,
        'restart': draw.randrange(10) < 3,
        'leaving': draw.randrange(10) < 3,
    }
    step = draw.choices(list(STEPS), [weight for weight, _ in STEPS.values()])
    names = STEPS[step[0]][1].split()
    getattr(machine, step[0])(**{name: values[name] for name in names})
