"""History of the tasks that a worker has finished or refused, no I/O."""

import collections
import dataclasses
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.peers import messages

# Longer than a coordinator waits for a lost worker, so that every query after
# a short outage finds its tasks.
RETENTION_S: typing.Final = 60.0
# Clocks of two processes are compared by frame ages; this covers the part of
# a frame's delay that the estimate leaves out.
_CLOCK_MARGIN_S: typing.Final = 5.0


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """Finished task or, without an outcome, refused grant."""

    grant_number: int
    recorded_at: float
    outcome: messages.TaskOutcome | None = None

    @property
    def output_size(self) -> int:
        """Return the length of the output that the entry retains."""
        return len(self.outcome.output) if self.outcome else 0


class TaskHistory:
    """Bounded history of finished and refused tasks; times in seconds.

    Every grant after `complete_since` that ended here is in the history.
    """

    def __init__(self, max_entries: int, max_output_size: int) -> None:
        """Keep at most `max_entries` entries and `max_output_size` of output.

        The size of an output is its length in characters.
        """
        self.max_entries = max_entries
        self.max_output_size = max_output_size
        self.output_size = 0
        self.entries: collections.OrderedDict[ids.TaskId, HistoryEntry] = (
            collections.OrderedDict()
        )
        self.with_output: collections.deque[ids.TaskId] = collections.deque()
        self.complete_since = float('-inf')

    def get(self, task: ids.TaskId) -> HistoryEntry | None:
        """Return the entry of a task."""
        return self.entries.get(task)

    def record_refusal(
        self, task: ids.TaskId, grant_number: int, now: float
    ) -> None:
        """Record that a grant of a task will never start here."""
        previous = self.entries.get(task)
        if previous is not None and previous.outcome is not None:
            return
        latest_grant = max(
            grant_number, previous.grant_number if previous else 0
        )
        self.add(task, HistoryEntry(latest_grant, now))

    def record_outcome(
        self,
        task: ids.TaskId,
        grant_number: int,
        outcome: messages.TaskOutcome,
        now: float,
    ) -> None:
        """Record the outcome of a task."""
        self.add(task, HistoryEntry(grant_number, now, outcome))

    def add(self, task: ids.TaskId, entry: HistoryEntry) -> None:
        """Add an entry and drop the oldest ones beyond the limits."""
        replaced = self.entries.pop(task, None)
        self.output_size += entry.output_size - (
            replaced.output_size if replaced else 0
        )
        self.entries[task] = entry
        if entry.output_size:
            self.with_output.append(task)
        while self.output_size > self.max_output_size:
            self.drop_output(self.with_output.popleft())
        while len(self.entries) > self.max_entries:
            self.drop_oldest()

    def drop_output(self, task: ids.TaskId) -> None:
        """Drop the output of a task; its verdict is kept, not its code."""
        entry = self.entries.get(task)
        if entry is None or entry.outcome is None:
            return
        self.output_size -= entry.output_size
        outcome = msgspec.structs.replace(
            entry.outcome,
            output='',
            code=errors.Code.indeterminate,
        )
        self.entries[task] = dataclasses.replace(entry, outcome=outcome)

    def expire(self, now: float) -> None:
        """Drop the entries that are older than the retention time."""
        while self.entries:
            oldest = next(iter(self.entries.values()))
            if oldest.recorded_at + RETENTION_S > now:
                return
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the oldest entry; the history is complete only after it."""
        _, entry = self.entries.popitem(last=False)
        self.output_size -= entry.output_size
        self.complete_since = max(self.complete_since, entry.recorded_at)

    def covers(self, granted_at: float) -> bool:
        """Return whether a task granted at that time would still be known."""
        return granted_at - _CLOCK_MARGIN_S > self.complete_since
