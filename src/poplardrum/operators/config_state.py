"""The copy of the document that a process runs by."""

import enum

from poplardrum import ids
from poplardrum.operators import document as documents
from poplardrum.operators import rules


class ReceiveResult(enum.Enum):
    """What a process did with a document that it received."""

    adopted = 'adopted'
    known = 'known'
    fork = 'fork'


class ConfigState:
    """Hold the document in force; it never goes to a lower number.

    `stored` is the document last seen in the platform. `pending` joins the
    documents of peers that lack an edit of the one in force; it is not in
    force until the platform has confirmed it. After `settle_by` (monotonic
    seconds) peers without a link are no longer waited for.
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
        """Return the number in force; 0 before the first document."""
        return self.document.number

    def receive(self, received: documents.Document) -> ReceiveResult:
        """Put a document in force if it includes the one in force.

        Raises `rules` when it includes it but cannot be put in force.
        """
        if documents.includes(self.document, received):
            return ReceiveResult.known
        if not documents.includes(received, self.document):
            return ReceiveResult.fork
        merged = rules.merge(received.texts())
        self.document = received
        self.rules = merged
        self._drop_pending(received)
        return ReceiveResult.adopted

    def add_fork(self, received: documents.Document) -> None:
        """Keep a document of another history for the next write."""
        self.pending = documents.join(
            self.pending or received,
            received,
            self.bounds,
        )

    def record_stored(self, stored: documents.Document) -> ReceiveResult:
        """Take note of a document that the platform holds."""
        self.stored = stored
        self._drop_pending(stored)
        return self.receive(stored)

    def target_document(self, stored: documents.Document) -> documents.Document:
        """Return the document that the platform should hold."""
        target = documents.join(stored, self.document, self.bounds)
        if self.pending:
            target = documents.join(target, self.pending, self.bounds)
        return target

    def includes_edit(self, number: ids.ConfigNumber) -> bool:
        """Tell whether the edits up to a number are known here."""
        if self.pending and documents.includes_edit(self.pending, number):
            return True
        return documents.includes_edit(self.document, number)

    def is_store_behind(self) -> bool:
        """Tell whether the platform lacks an edit that is known here."""
        if self.stored is None:
            return False
        return self.target_document(self.stored).number != self.stored.number

    def _drop_pending(self, received: documents.Document) -> None:
        if self.pending and documents.includes(received, self.pending):
            self.pending = None
