"""Configuration state under faults in any order, without an event loop."""

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
    """A compare-and-swap that has not reached the store."""

    process: int
    index: int
    document: document.Document
    edit: edits.Edit | None


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Entries and agents with a store that fails and is restored."""

    def __init__(self) -> None:
        """Start without a configuration."""
        super().__init__()
        self.stored = document.Document()
        self.index = 0
        self.earlier_documents = [self.stored]
        self.processes = [
            config_state.ConfigState() for _ in range(ENTRIES + AGENTS)
        ]
        self.highest_numbers = [0 for _ in self.processes]
        self.writes: list[Write] = []
        self.unconfirmed_edits: list[edits.Edit] = []
        self.confirmed_edits: set[ids.EditId] = set()
        self.encoded_documents: dict[int, bytes] = {}
        self.replaced_numbers: dict[int, set[int]] = collections.defaultdict(
            set
        )
        self.edited_files: dict[int, tuple[str, str | None]] = {}
        self.edit_count = 0

    def plan_write(self, process: int, edit: edits.Edit) -> None:
        """Let an entry plan an edit and send its write."""
        state = self.processes[process]
        target = state.target_document(self.stored)
        plan = edits.plan_edit(self.stored, state, edit, BOUNDS)
        for change in edit.files:
            if plan.document.number == target.number:
                break
            replaced = document.versions(target, change.name)
            self.replaced_numbers[plan.document.number] |= {
                file.number for file in replaced
            }
            self.edited_files[plan.document.number] = (change.name, change.text)
        if plan.needs_write:
            self.writes.append(Write(process, self.index, plan.document, edit))
        else:
            self.confirm_write(process, plan.document, edit)

    def confirm_write(
        self,
        process: int,
        written: document.Document,
        edit: edits.Edit | None,
    ) -> None:
        """Confirm a write to the entry and to its operator."""
        self.processes[process].record_stored(written)
        if edit is not None:
            self.confirmed_edits.add(edit.edit)

    def is_edit_known(self, number: int, excluded: int | None = None) -> bool:
        """Return whether any process includes the edit with a number."""
        return any(
            state.includes_edit(ids.ConfigNumber(number))
            for index, state in enumerate(self.processes)
            if index != excluded
        )

    def documents_in_force(self) -> list[document.Document]:
        """Return the documents of the store and of all processes."""
        return [self.stored, *(state.document for state in self.processes)]

    def keeps_all_edits(
        self,
        stored: document.Document,
        excluded: int | None = None,
    ) -> bool:
        """Return whether every edit in force is in `stored` or a process.

        The process `excluded` does not count.
        """
        return all(
            self.is_edit_known(number, excluded)
            or document.includes_edit(stored, ids.ConfigNumber(number))
            for current in self.documents_in_force()
            for number in current.history
        )

    @stateful.rule(
        process=strategies.integers(0, ENTRIES - 1),
        reader=strategies.integers(0, ENTRIES - 1),
        name=strategies.sampled_from(NAMES),
        remove=strategies.booleans(),
    )
    def edit(self, process: int, reader: int, name: str, remove: bool) -> None:
        """Send an edit to one entry with base numbers read at another."""
        self.edit_count += 1
        read = self.processes[reader].document
        file = read.files.get(name)
        base = file.number if file else ids.ConfigNumber(0)
        text = f'[class c{self.edit_count}]\n'
        change = edits.FileEdit(name, base, None if remove and file else text)
        edit = edits.Edit(
            ids.EditId(f'e{self.edit_count}'),
            [change],
            read.number,
        )
        try:
            self.plan_write(process, edit)
        except edits.ConflictError as error:
            target = self.processes[process].target_document(self.stored)
            theirs = target.files.get(name)
            assert error.conflicts[0].number != base
            assert error.conflicts[0].theirs == (theirs and theirs.text)

    @stateful.precondition(lambda machine: machine.unconfirmed_edits)
    @stateful.rule(
        choice=strategies.integers(0, 99),
        process=strategies.integers(0, ENTRIES - 1),
    )
    def resend_edit(self, choice: int, process: int) -> None:
        """Resend an edit without a reply through any entry."""
        edit = self.unconfirmed_edits.pop(choice % len(self.unconfirmed_edits))
        try:
            self.plan_write(process, edit)
        except edits.ConflictError:
            return

    @stateful.precondition(lambda machine: machine.writes)
    @stateful.rule(
        choice=strategies.integers(0, 99), lost=strategies.booleans()
    )
    def complete_write(self, choice: int, lost: bool) -> None:
        """Let a write reach the store; its reply may be lost."""
        write = self.writes.pop(choice % len(self.writes))
        swapped = write.index == self.index
        if swapped:
            self.replace_stored(write.document)
        if lost or not swapped:
            if write.edit:
                self.unconfirmed_edits.append(write.edit)
            return
        self.confirm_write(write.process, write.document, write.edit)

    def replace_stored(self, stored: document.Document) -> None:
        """Replace the document in the store."""
        self.stored = stored
        self.index += 1
        self.earlier_documents.append(stored)

    @stateful.rule(process=strategies.integers(0, ENTRIES - 1))
    def watch(self, process: int) -> None:
        """Let an entry read the document in the store."""
        self.processes[process].record_stored(self.stored)

    @stateful.rule(process=strategies.integers(0, ENTRIES - 1))
    def write_back(self, process: int) -> None:
        """Let an entry write the edits that the store lacks."""
        state = self.processes[process]
        state.record_stored(self.stored)
        if state.is_store_behind():
            target = state.target_document(self.stored)
            self.writes.append(Write(process, self.index, target, None))

    @stateful.rule(
        sender=strategies.integers(0, ENTRIES + AGENTS - 1),
        receiver=strategies.integers(0, ENTRIES + AGENTS - 1),
    )
    def send_document(self, sender: int, receiver: int) -> None:
        """Send the document in force over a link."""
        source, target = self.processes[sender], self.processes[receiver]
        result = target.receive(source.document)
        if result is config_state.ReceiveResult.fork:
            if receiver < ENTRIES:
                target.add_fork(source.document)
            elif sender < ENTRIES:
                source.add_fork(target.document)

    @stateful.rule(choice=strategies.integers(0, 99))
    def restore(self, choice: int) -> None:
        """Restore an older document if processes have the later edits."""
        older = self.earlier_documents[choice % len(self.earlier_documents)]
        if self.keeps_all_edits(older):
            self.replace_stored(older)

    @stateful.rule(process=strategies.integers(0, ENTRIES + AGENTS - 1))
    def restart(self, process: int) -> None:
        """Restart a process if its edits are elsewhere as well."""
        if self.keeps_all_edits(self.stored, process):
            self.processes[process] = config_state.ConfigState()
            self.highest_numbers[process] = 0
            self.writes = [
                write for write in self.writes if write.process != process
            ]

    @stateful.invariant()
    def numbers_only_grow(self) -> None:
        """Guards against a process whose number decreases."""
        for index, state in enumerate(self.processes):
            assert state.number >= self.highest_numbers[index]
            self.highest_numbers[index] = state.number

    @stateful.invariant()
    def one_number_one_document(self) -> None:
        """Guards against two documents with one number."""
        for current in self.documents_in_force():
            data = document.encode(current)
            assert (
                self.encoded_documents.setdefault(current.number, data) == data
            )

    def teardown(self) -> None:
        """Guards against lost edits and processes that do not converge."""
        for _ in range(3):
            for entry in range(ENTRIES):
                self.writes.clear()
                self.write_back(entry)
                if self.writes:
                    self.complete_write(0, lost=False)
                self.exchange_with_all(entry)
        for state in self.processes:
            assert state.document == self.stored
            assert state.pending is None
        applied = {row.edit for row in self.stored.history.values()}
        assert self.confirmed_edits <= applied
        assert self.final_versions() == self.expected_versions()

    def exchange_with_all(self, entry: int) -> None:
        """Exchange documents over all links of an entry."""
        for peer in range(ENTRIES + AGENTS):
            self.send_document(entry, peer)
            self.send_document(peer, entry)

    def final_versions(self) -> set[tuple[str, str | None]]:
        """Return the file versions in the final document."""
        return {
            (name, file.text)
            for name in NAMES
            for file in document.versions(self.stored, name)
        }

    def expected_versions(self) -> set[tuple[str, str | None]]:
        """Return the file versions that no edit has replaced."""
        history = self.stored.history.keys()
        replaced = set[int]().union(
            *(self.replaced_numbers[number] for number in history),
        )
        return {
            self.edited_files[number]
            for number in history
            if number in self.edited_files
            and number not in replaced
            and self.edited_files[number][1] is not None
        }


ConfigurationMachineTest = ConfigurationMachine.TestCase
ConfigurationMachineTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
