"""Records of stored jobs in the platform's store."""

import enum
import typing

import msgspec

from poplardrum import ids
from poplardrum.dispatch import jobs

JOBS_PREFIX: typing.Final = 'poplardrum/jobs/'
# One key for each job that is not over, below the start of its owner.
OWNED_PREFIX: typing.Final = 'poplardrum/owned/'
CANCELS_PREFIX: typing.Final = 'poplardrum/cancels/'
WAITING_PREFIX: typing.Final = 'poplardrum/waiting/'
# Runs of one owner are numbered above those of all owners before.
RUNS_PER_OWNER: typing.Final = 1000


class State(enum.Enum):
    """State of a stored job."""

    active = 'active'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


class Record(msgspec.Struct, array_like=True):
    """What has to outlive the entry that runs a job.

    `owner` is the process start that runs it and `epoch` counts the owners
    before. `done` has the indexes of tasks that have ended well, `failures`
    the failed runs and `saved` the last checkpoints, by index. `aim` is in
    seconds.
    """

    owner: ids.Incarnation
    epoch: int
    queue: str
    service: str
    urgency: int
    max_attempts: int
    target_latency: float
    specification: str
    steps: list[jobs.Step]
    state: State = State.active
    done_tasks: list[int] = []
    failure_counts: dict[int, int] = {}
    checkpoints: dict[int, str] = {}

    def is_over(self) -> bool:
        """Return whether nothing of the job will start any more."""
        return self.state is not State.active

    def has_same_owner(self, other: 'Record') -> bool:
        """Return whether another form of it is of the same owner."""
        return (self.owner, self.epoch) == (other.owner, other.epoch)

    def with_next_owner(self, owner: ids.Incarnation) -> 'Record':
        """Return the record for its next owner."""
        return msgspec.structs.replace(
            self,
            owner=owner,
            epoch=self.epoch + 1,
            done_tasks=list(self.done_tasks),
            failure_counts=dict(self.failure_counts),
            checkpoints=dict(self.checkpoints),
        )

    def make_tasks(self) -> list[jobs.Task]:
        """Return the tasks as its owner starts with them."""
        found = jobs.make_tasks(self.steps)
        for task in found:
            task.run_number = self.epoch * RUNS_PER_OWNER
            task.failures = self.failure_counts.get(task.index, 0)
            task.checkpoint = self.checkpoints.get(task.index, '')
        for index in self.done_tasks:
            found[index].phase = jobs.Phase.done
        return found


def record_key(job: ids.JobId) -> str:
    """Return the key of a record."""
    return JOBS_PREFIX + job


def marker_key(owner: ids.Incarnation, job: ids.JobId) -> str:
    """Return the key that names a job as work of an owner."""
    return f'{OWNED_PREFIX}{owner}/{job}'


def parse_marker_key(found: str) -> tuple[ids.Incarnation, ids.JobId] | None:
    """Return owner and job of a marker, `None` for another writer's key."""
    owner, slash, job = found.removeprefix(OWNED_PREFIX).partition('/')
    if not slash or not owner or not job:
        return None
    return ids.Incarnation(owner), ids.JobId(job)


def encode(record: Record) -> bytes:
    """Return the stored form of a record."""
    return _encoder.encode(record)


def decode(content: bytes) -> Record | None:
    """Return a record, or `None` if another writer left something else."""
    try:
        return _decoder.decode(content)
    except ValueError:
        return None


_encoder: typing.Final = msgspec.msgpack.Encoder()
_decoder: typing.Final = msgspec.msgpack.Decoder(Record)
