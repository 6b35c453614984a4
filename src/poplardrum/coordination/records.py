"""Submission records and tombstones of one agent."""

import dataclasses
import enum
import typing

from poplardrum import errors, ids
from poplardrum.peers import messages

RecordKey = tuple[ids.TenantName, ids.IdempotencyKey]

# Estimated memory of a stored answer and of each task outcome in it, both
# without their strings.
_ANSWER_OVERHEAD_BYTES: typing.Final = 256
_OUTCOME_OVERHEAD_BYTES: typing.Final = 128
# Limit for the stored answers of all records together.
_DEFAULT_MAX_TOTAL_ANSWER_BYTES: typing.Final = 16_777_216


class RecordPhase(enum.Enum):
    """Whether the job of a record has ended."""

    running = 'running'
    finished = 'finished'


@dataclasses.dataclass
class Record:
    """Record of one submission.

    `digest` is that of the submitted job without its `wait` field; a
    submission of the same key with another digest is refused as `key_reused`.
    `answer`, `expires_at` (in monotonic seconds) and `answer_size_bytes` are
    set when the job has finished.
    """

    job: ids.JobId
    digest: bytes
    phase: RecordPhase = RecordPhase.running
    answer: messages.Answer | None = None
    expires_at: float = 0
    answer_size_bytes: int = 0


class Tombstone(typing.NamedTuple):
    """Promise to another agent that this one starts no job for a key.

    It holds until `expires_at`, in monotonic seconds; `owner` is the agent
    that may start the job.
    """

    owner: ids.MemberId
    expires_at: float


class RecordTable:
    """Records, kept for the resubmission window after the end of a job.

    No record is evicted before it expires; at a limit, new keys are refused.
    """

    def __init__(
        self,
        max_records: int,
        window_s: float,
        max_total_answer_bytes: int = _DEFAULT_MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        """Limit the number of records and the size of stored answers.

        The number of tombstones has the same limit as that of records. New
        keys are refused while stored answers take `max_total_answer_bytes`
        or more together.
        """
        self.max_records = max_records
        self.window_s = window_s
        self.max_total_answer_bytes = max_total_answer_bytes
        self.answer_bytes = 0
        self.by_key: dict[RecordKey, Record] = {}
        self.tombstones: dict[RecordKey, Tombstone] = {}

    def get(self, key: RecordKey) -> Record | None:
        """Return the record of a key, `None` if there is none."""
        return self.by_key.get(key)

    def tombstone_owner(
        self, key: RecordKey, now: float
    ) -> ids.MemberId | None:
        """Return the agent named by an unexpired tombstone of a key."""
        tombstone = self.tombstones.get(key)
        if tombstone is None or tombstone.expires_at <= now:
            return None
        return tombstone.owner

    def add(self, key: RecordKey, record: Record, now: float) -> None:
        """Add a record of a job that is about to start.

        Raises a `PoplardrumError` with code `records_full` if a limit is
        reached, and with `unavailable` if a tombstone promises another agent
        that the job does not start here.
        """
        if self.tombstone_owner(key, now) is not None:
            raise errors.refusal(
                errors.Code.unavailable,
                'the key was ceded to another agent',
                retry_after=1,
            )
        if self.is_full():
            self.remove_expired(now)
        if self.is_full():
            raise errors.refusal(
                errors.Code.records_full,
                'too many submissions are kept for resubmission',
                retry_after=self.seconds_to_next_expiry(now),
            )
        self.by_key[key] = record
        self.tombstones.pop(key, None)

    def is_full(self) -> bool:
        """Return whether a limit is reached."""
        return (
            len(self.by_key) >= self.max_records
            or self.answer_bytes >= self.max_total_answer_bytes
        )

    def seconds_to_next_expiry(self, now: float) -> float:
        """Return the seconds until the next record expires.

        Returns the whole window if no job has finished. The result is at
        least 1, since it becomes the `retry_after` of a refusal.
        """
        expiry_times = [
            record.expires_at
            for record in self.by_key.values()
            if record.phase is RecordPhase.finished
        ]
        return max(1, min(expiry_times, default=now + self.window_s) - now)

    def add_tombstone(
        self,
        key: RecordKey,
        owner: ids.MemberId,
        expires_at: float,
        now: float,
    ) -> bool:
        """Add a tombstone, or return `False` if the limit is reached.

        An existing tombstone of the key is never shortened.
        """
        if (
            len(self.tombstones) >= self.max_records
            and key not in self.tombstones
        ):
            self.remove_expired(now)
            if len(self.tombstones) >= self.max_records:
                return False
        known = self.tombstones.get(key)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
        self.tombstones[key] = Tombstone(owner, expires_at)
        return True

    def finish_record(
        self,
        key: RecordKey,
        answer: messages.Answer,
        now: float,
    ) -> None:
        """Store the answer of a finished job.

        The resubmission window starts now.
        """
        record = self.by_key[key]
        record.phase = RecordPhase.finished
        record.answer = answer
        record.expires_at = now + self.window_s
        record.answer_size_bytes = answer_size_bytes(answer)
        self.answer_bytes += record.answer_size_bytes

    def add_transferred(self, key: RecordKey, record: Record) -> None:
        """Add a finished record that another agent hands over.

        It counts towards the limits but is never refused, since its owner is
        about to stop. A tombstone of the key is removed, since the record
        already has the answer to each further submission.
        """
        if key in self.by_key:
            return
        self.by_key[key] = record
        self.answer_bytes += record.answer_size_bytes
        self.tombstones.pop(key, None)

    def remove_expired(self, now: float) -> None:
        """Remove expired records and tombstones."""
        for key, record in list(self.by_key.items()):
            finished = record.phase is RecordPhase.finished
            if finished and record.expires_at <= now:
                self.by_key.pop(key)
                self.answer_bytes -= record.answer_size_bytes
        for tombstone_key, tombstone in list(self.tombstones.items()):
            if tombstone.expires_at <= now:
                self.tombstones.pop(tombstone_key)


def answer_size_bytes(answer: messages.Answer) -> int:
    """Return the approximate size of a stored answer in bytes."""
    outcomes = sum(
        _OUTCOME_OVERHEAD_BYTES + len(task.output.encode())
        for task in answer.tasks
    )
    return _ANSWER_OVERHEAD_BYTES + len(answer.message) + outcomes
