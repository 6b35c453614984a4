"""Configuration decisions under any order of faults, without an event loop."""

import collections
import dataclasses
import typing

from hypothesis import settings, stateful, strategies

from poplardrum import ids
from poplardrum.operators import config_state, document, edits

ENTRIES: typing.Final = 3
AGENTS: typing.Final = 3
NAMES: typing.Final = ('10-a.ini', '20-b.ini', '30-c.ini')
BOUNDS: typing.Final = document.Bounds()


@dataclasses.dataclass(frozen=True)
class Write:
    """A compare-and-swap on its way to the platform."""

    process: int
    index: int
    document: document.Document
    edit: edits.Edit | None


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Run entries and agents against a platform that fails and restores."""

    def __init__(self) -> None:
        """Start everything empty."""
        super().__init__()
        self.stored = document.Document()
        self.index = 0
        self.past = [self.stored]
        self.processes = [
            config_state.ConfigState() for _ in range(ENTRIES + AGENTS)
        ]
        self.reached = [0 for _ in self.processes]
        self.writes: list[Write] = []
        self.unsettled: list[edits.Edit] = []
        self.confirmed: set[ids.EditId] = set()
        self.documents: dict[int, bytes] = {}
        self.replaced: dict[int, set[int]] = collections.defaultdict(set)
        self.texts: dict[int, tuple[str, str | None]] = {}
        self.counter = 0

    def plan(self, process: int, edit: edits.Edit) -> None:
        """Let an entry read, decide and send its write."""
        held = self.processes[process]
        target = held.target_document(self.stored)
        found = edits.plan_edit(self.stored, held, edit, BOUNDS)
        for change in edit.files:
            if found.document.number == target.number:
                break
            known = document.versions(target, change.name)
            self.replaced[found.document.number] |= {
                kept.number for kept in known
            }
            self.texts[found.document.number] = (change.name, change.text)
        if found.needs_write:
            self.writes.append(Write(process, self.index, found.document, edit))
        else:
            self.finish(process, found.document, edit)

    def finish(
        self,
        process: int,
        found: document.Document,
        edit: edits.Edit | None,
    ) -> None:
        """Tell the entry, and its operator, that a write is confirmed."""
        self.processes[process].record_stored(found)
        if edit is not None:
            self.confirmed.add(edit.edit)

    def holds(self, number: int, without: int | None = None) -> bool:
        """Tell whether some process knows the edit that made a number."""
        return any(
            held.includes_edit(ids.ConfigNumber(number))
            for index, held in enumerate(self.processes)
            if index != without
        )

    def in_force(self) -> list[document.Document]:
        """Return the documents of the platform and of all processes."""
        return [self.stored, *(held.document for held in self.processes)]

    def is_safe(
        self,
        stored: document.Document,
        without: int | None = None,
    ) -> bool:
        """Tell whether every edit in force is still held somewhere."""
        return all(
            self.holds(number, without)
            or document.includes_edit(stored, ids.ConfigNumber(number))
            for found in self.in_force()
            for number in found.history
        )

    @stateful.rule(
        process=strategies.integers(0, ENTRIES - 1),
        reader=strategies.integers(0, ENTRIES - 1),
        name=strategies.sampled_from(NAMES),
        remove=strategies.booleans(),
    )
    def edit(self, process: int, reader: int, name: str, remove: bool) -> None:
        """Send an edit to one entry with bases read at another."""
        self.counter += 1
        read = self.processes[reader].document
        known = read.files.get(name)
        base = known.number if known else ids.ConfigNumber(0)
        text = f'[class c{self.counter}]\n'
        change = edits.FileEdit(name, base, None if remove and known else text)
        edit = edits.Edit(
            ids.EditId(f'e{self.counter}'),
            [change],
            read.number,
        )
        try:
            self.plan(process, edit)
        except edits.ConflictError as error:
            target = self.processes[process].target_document(self.stored)
            theirs = target.files.get(name)
            assert error.conflicts[0].number != base
            assert error.conflicts[0].theirs == (theirs and theirs.text)

    @stateful.precondition(lambda machine: machine.unsettled)
    @stateful.rule(
        choice=strategies.integers(0, 99),
        process=strategies.integers(0, ENTRIES - 1),
    )
    def send_again(self, choice: int, process: int) -> None:
        """Settle an edit without an answer through any entry."""
        edit = self.unsettled.pop(choice % len(self.unsettled))
        try:
            self.plan(process, edit)
        except edits.ConflictError:
            return

    @stateful.precondition(lambda machine: machine.writes)
    @stateful.rule(
        choice=strategies.integers(0, 99), lost=strategies.booleans()
    )
    def land(self, choice: int, lost: bool) -> None:
        """Let a write reach the platform; its answer may be lost."""
        write = self.writes.pop(choice % len(self.writes))
        swapped = write.index == self.index
        if swapped:
            self.store(write.document)
        if lost or not swapped:
            if write.edit:
                self.unsettled.append(write.edit)
            return
        self.finish(write.process, write.document, write.edit)

    def store(self, stored: document.Document) -> None:
        """Put a document into the platform."""
        self.stored = stored
        self.index += 1
        self.past.append(stored)

    @stateful.rule(process=strategies.integers(0, ENTRIES - 1))
    def watch(self, process: int) -> None:
        """Let an entry see the document in the platform."""
        self.processes[process].record_stored(self.stored)

    @stateful.rule(process=strategies.integers(0, ENTRIES - 1))
    def write_back(self, process: int) -> None:
        """Let an entry write what the platform lacks."""
        held = self.processes[process]
        held.record_stored(self.stored)
        if held.is_store_behind():
            target = held.target_document(self.stored)
            self.writes.append(Write(process, self.index, target, None))

    @stateful.rule(
        sender=strategies.integers(0, ENTRIES + AGENTS - 1),
        receiver=strategies.integers(0, ENTRIES + AGENTS - 1),
    )
    def tell(self, sender: int, receiver: int) -> None:
        """Send the document in force over a link."""
        one, two = self.processes[sender], self.processes[receiver]
        outcome = two.receive(one.document)
        if outcome is config_state.ReceiveResult.fork:
            if receiver < ENTRIES:
                two.add_fork(one.document)
            elif sender < ENTRIES:
                one.add_fork(two.document)

    @stateful.rule(choice=strategies.integers(0, 99))
    def restore(self, choice: int) -> None:
        """Bring an older document back, if its edits are held elsewhere."""
        older = self.past[choice % len(self.past)]
        if self.is_safe(older):
            self.store(older)

    @stateful.rule(process=strategies.integers(0, ENTRIES + AGENTS - 1))
    def restart(self, process: int) -> None:
        """Start a process anew if its edits are held elsewhere."""
        if self.is_safe(self.stored, process):
            self.processes[process] = config_state.ConfigState()
            self.reached[process] = 0
            self.writes = [
                write for write in self.writes if write.process != process
            ]

    @stateful.invariant()
    def numbers_only_grow(self) -> None:
        """Guards against a process that goes back to a lower number."""
        for index, held in enumerate(self.processes):
            assert held.number >= self.reached[index]
            self.reached[index] = held.number

    @stateful.invariant()
    def one_number_one_document(self) -> None:
        """Guards against two documents under one number."""
        for found in self.in_force():
            data = document.encode(found)
            assert self.documents.setdefault(found.number, data) == data

    def teardown(self) -> None:
        """Guards against lost edits and processes that do not converge."""
        for _ in range(3):
            for entry in range(ENTRIES):
                self.writes.clear()
                self.write_back(entry)
                if self.writes:
                    self.land(0, lost=False)
                self.tell_all(entry)
        for held in self.processes:
            assert held.document == self.stored
            assert held.pending is None
        known = {applied.edit for applied in self.stored.history.values()}
        assert self.confirmed <= known
        assert self.live() == self.expected()

    def tell_all(self, entry: int) -> None:
        """Exchange documents over all links of an entry."""
        for peer in range(ENTRIES + AGENTS):
            self.tell(entry, peer)
            self.tell(peer, entry)

    def live(self) -> set[tuple[str, str | None]]:
        """Return the file versions in the final document."""
        return {
            (name, kept.text)
            for name in NAMES
            for kept in document.versions(self.stored, name)
        }

    def expected(self) -> set[tuple[str, str | None]]:
        """Return the file versions that no edit has replaced."""
        history = self.stored.history.keys()
        replaced = set[int]().union(
            *(self.replaced[number] for number in history),
        )
        return {
            self.texts[number]
            for number in history
            if number in self.texts
            and number not in replaced
            and self.texts[number][1] is not None
        }


ConfigurationMachineTest = ConfigurationMachine.TestCase
ConfigurationMachineTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
