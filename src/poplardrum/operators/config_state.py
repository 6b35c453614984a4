"""The configuration in force at a process."""

import enum

from poplardrum import ids
from poplardrum.operators import document as documents
from poplardrum.operators import rules


class ReceiveResult(enum.Enum):
    """What a process did with a document that it received.

    A document is `known` if the document in force includes it. It is a `fork`
    if each of the two has edits that the other one lacks. Neither is adopted.
    """

    adopted = 'adopted'
    known = 'known'
    fork = 'fork'


class ConfigState:
    """The document in force, whose number never decreases, and its rules.

    `stored` is the document last read from the store. `pending` is the join
    of the forks that peers have sent; it comes into force only after it was
    written to the store. After `settle_deadline` (monotonic seconds), edits
    no longer wait for agents without a link; `daemons.configuration` sets and
    reads it.
    """

    def __init__(self, bounds: documents.Bounds | None = None) -> None:
        """Start without a configuration."""
        self.bounds = bounds or documents.Bounds()
        self.document = documents.Document()
        self.rules = rules.Rules()
        self.stored: documents.Document | None = None
        self.pending: documents.Document | None = None
        self.settle_deadline = 0.0

    @property
    def number(self) -> ids.ConfigNumber:
        """Return the number in force, 0 before the first document."""
        return self.document.number

    def receive(self, received: documents.Document) -> ReceiveResult:
        """Put a document in force if it includes the current one.

        Raises a `PoplardrumError` with code `rules` if its rules are invalid.
        """
        if documents.includes(self.document, received):
            return ReceiveResult.known
        if not documents.includes(received, self.document):
            return ReceiveResult.fork
        merged = rules.merge(received.texts())
        self.document = received
        self.rules = merged
        self._drop_pending_if_included(received)
        return ReceiveResult.adopted

    def add_fork(self, received: documents.Document) -> None:
        """Join a fork into `pending`, so that the next write includes it."""
        self.pending = documents.join(
            self.pending or received,
            received,
            self.bounds,
        )

    def record_stored(self, stored: documents.Document) -> ReceiveResult:
        """Note the document that the store holds; put it in force if possible.

        Raises as `receive` does.
        """
        self.stored = stored
        self._drop_pending_if_included(stored)
        return self.receive(stored)

    def target_document(self, stored: documents.Document) -> documents.Document:
        """Return the join of all known documents, which should be stored."""
        target = documents.join(stored, self.document, self.bounds)
        if self.pending:
            target = documents.join(target, self.pending, self.bounds)
        return target

    def includes_edit(self, number: ids.ConfigNumber) -> bool:
        """Return whether the edit that created a number is known here."""
        if self.pending and documents.includes_edit(self.pending, number):
            return True
        return documents.includes_edit(self.document, number)

    def is_store_behind(self) -> bool:
        """Return whether the store lacks an edit that is known here.

        Returns `False` until the store has been read.
        """
        if self.stored is None:
            return False
        return self.target_document(self.stored).number != self.stored.number

    def _drop_pending_if_included(self, received: documents.Document) -> None:
        if self.pending and documents.includes(received, self.pending):
            self.pending = None
