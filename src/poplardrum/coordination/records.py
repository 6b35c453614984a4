"""Submission records of one coordinator."""

import dataclasses
import enum

from poplardrum import errors, ids
from poplardrum.peers import messages

RecordKey = tuple[ids.TenantName, ids.IdempotencyKey]


class RecordPhase(enum.Enum):
    """Phase of a record."""

    running = 'running'
    finished = 'finished'


@dataclasses.dataclass
class Record:
    """What is kept of one submission; `expires` is monotonic seconds."""

    job: ids.JobId
    digest: bytes
    phase: RecordPhase = RecordPhase.running
    answer: messages.Answer | None = None
    expires: float = 0


class Records:
    """Keep records for the resubmission window after the end of a job."""

    def __init__(self, limit: int, window: float) -> None:
        """Keep at most `limit` records, each for `window` seconds."""
        self.limit = limit
        self.window = window
        self.by_key: dict[RecordKey, Record] = {}

    def get(self, key: RecordKey) -> Record | None:
        """Return the record of a key."""
        return self.by_key.get(key)

    def add(self, key: RecordKey, record: Record, now: float) -> None:
        """Add a record; raise `records_full` at the bound."""
        if len(self.by_key) >= self.limit:
            self.expire(now)
        if len(self.by_key) >= self.limit:
            raise errors.refusal(
                errors.Code.records_full,
                'too many submissions are kept for resubmission',
                retry_after=self.window,
            )
        self.by_key[key] = record

    def finish(
        self,
        key: RecordKey,
        answer: messages.Answer,
        now: float,
    ) -> None:
        """Keep the answer of a finished job."""
        record = self.by_key[key]
        record.phase = RecordPhase.finished
        record.answer = answer
        record.expires = now + self.window

    def expire(self, now: float) -> None:
        """Drop the records whose window has ended."""
        for key, record in list(self.by_key.items()):
            finished = record.phase is RecordPhase.finished
            if finished and record.expires <= now:
                self.by_key.pop(key)
