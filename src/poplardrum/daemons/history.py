"""What a worker remembers of tasks that it has ended or refused (pure)."""

import collections
import dataclasses
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.peers import messages

# Longer than a coordinator waits for a lost worker, so that every query of
# an ordinary outage finds its tasks.
RETENTION_S: typing.Final = 60.0
# Clocks of two processes are compared by frame ages; this covers the part
# of a frame's way that the estimate does not see.
_CLOCK_MARGIN_S: typing.Final = 5.0


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """A finished task, or with no outcome a refused grant."""

    grant_number: int
    recorded_at: float
    outcome: messages.TaskOutcome | None = None

    @property
    def size(self) -> int:
        """Return the bytes of output that the entry retains."""
        return len(self.outcome.output) if self.outcome else 0


class TaskHistory:
    """Keep finished and refused tasks within bounds; times in seconds."""

    def __init__(self, limit: int, size_limit: int) -> None:
        """Keep at most `limit` entries with `size_limit` bytes of output."""
        self.limit = limit
        self.size_limit = size_limit
        self.size = 0
        self.entries: collections.OrderedDict[ids.TaskId, HistoryEntry] = (
            collections.OrderedDict()
        )
        self.with_output: collections.deque[ids.TaskId] = collections.deque()
        self.complete_since = float('-inf')

    def get(self, task: ids.TaskId) -> HistoryEntry | None:
        """Return what is known of a task."""
        return self.entries.get(task)

    def record_refusal(self, task: ids.TaskId, grant: int, now: float) -> None:
        """Remember that a grant of a task will never start here."""
        known = self.entries.get(task)
        if known is not None and known.outcome is not None:
            return
        number = max(grant, known.grant_number if known else 0)
        self.add(task, HistoryEntry(number, now))

    def record_outcome(
        self,
        task: ids.TaskId,
        grant: int,
        outcome: messages.TaskOutcome,
        now: float,
    ) -> None:
        """Remember the end of a task."""
        self.add(task, HistoryEntry(grant, now, outcome))

    def add(self, task: ids.TaskId, entry: HistoryEntry) -> None:
        """Add an entry and drop the oldest ones beyond the bounds."""
        replaced = self.entries.pop(task, None)
        self.size += entry.size - (replaced.size if replaced else 0)
        self.entries[task] = entry
        if entry.size:
            self.with_output.append(task)
        while self.size > self.size_limit:
            self.drop_output(self.with_output.popleft())
        while len(self.entries) > self.limit:
            self.drop_oldest()

    def drop_output(self, task: ids.TaskId) -> None:
        """Drop the output of a task; that it has run stays known."""
        entry = self.entries.get(task)
        if entry is None or entry.outcome is None:
            return
        self.size -= entry.size
        outcome = msgspec.structs.replace(
            entry.outcome,
            output='',
            code=errors.Code.indeterminate,
        )
        self.entries[task] = dataclasses.replace(entry, outcome=outcome)

    def expire(self, now: float) -> None:
        """Drop the entries that were kept long enough."""
        while self.entries:
            oldest = next(iter(self.entries.values()))
            if oldest.recorded_at + RETENTION_S > now:
                return
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop one entry; earlier tasks are no longer known for certain."""
        _, entry = self.entries.popitem(last=False)
        self.size -= entry.size
        self.complete_since = max(self.complete_since, entry.recorded_at)

    def covers(self, granted_at: float) -> bool:
        """Tell whether a task granted then would still be known here."""
        return granted_at - _CLOCK_MARGIN_S > self.complete_since
