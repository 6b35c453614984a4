"""Records of stored jobs in the store, and their keys."""

import enum
import typing

import msgspec

from poplardrum import decoding, ids
from poplardrum.dispatch import jobs, messages
from poplardrum.platform import store

JOBS_PREFIX: typing.Final = 'poplardrum/jobs/'
# One marker for each unfinished job, below the incarnation of its owner.
OWNED_PREFIX: typing.Final = 'poplardrum/owned/'
CANCELS_PREFIX: typing.Final = 'poplardrum/cancels/'
# Each owner numbers its runs from a higher multiple of this, and thus above
# those of all earlier owners. Refused runs take numbers too.
RUNS_PER_OWNER: typing.Final = 10**6
# Bounds of what a record may say, above those of submissions.
_MAX_TASKS: typing.Final = 100_000
_MAX_NEED: typing.Final = 2**31
_MAX_EPOCH: typing.Final = 10**6


class State(enum.Enum):
    """State of a stored job."""

    active = 'active'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


class Record(msgspec.Struct, array_like=True):
    """State of a job that the next owner needs to continue it.

    `owner` is the incarnation of the entry that runs the job, and `epoch`
    counts the owners before it. `done_tasks` has the indexes of tasks that
    are done. By index of the task, `failure_counts` has how many runs failed,
    `failed_runs` the numbers of these runs, `checkpoints` the last checkpoint,
    `crashes` the crashes of endpoints that the task may have caused,
    `done_runs` the number of the run that was done and `given_up_runs` that of
    the last run whose completion was not waited for. `target_latency` is in
    seconds.

    New fields come last, with a default: entries of the previous version read
    and write the same records.
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
    failed_runs: dict[int, list[int]] = {}
    crashes: dict[int, list[ids.CrashId]] = {}
    done_runs: dict[int, int] = {}
    given_up_runs: dict[int, int] = {}

    def is_over(self) -> bool:
        """Return whether the job has finished or was cancelled."""
        return self.state is not State.active

    def has_same_owner(self, other: 'Record') -> bool:
        """Return whether another version of the record has the same owner."""
        return (self.owner, self.epoch) == (other.owner, other.epoch)

    def with_next_owner(self, owner: ids.Incarnation) -> 'Record':
        """Return a copy of the record for the next owner."""
        return msgspec.structs.replace(
            self,
            owner=owner,
            epoch=self.epoch + 1,
            done_tasks=list(self.done_tasks),
            failure_counts=dict(self.failure_counts),
            checkpoints=dict(self.checkpoints),
            failed_runs={
                task: list(runs) for task, runs in self.failed_runs.items()
            },
            crashes={
                task: list(crashes) for task, crashes in self.crashes.items()
            },
            done_runs=dict(self.done_runs),
            given_up_runs=dict(self.given_up_runs),
        )

    def add_completion(self, run: messages.RunId, *, is_done: bool) -> None:
        """Add the completion of a run, which is done or has failed."""
        if is_done:
            self.done_tasks.append(run.task_index)
            self.done_runs[run.task_index] = run.number
            self.checkpoints.pop(run.task_index, None)
            return
        failed_runs = self.failed_runs.setdefault(run.task_index, [])
        failed_runs.append(run.number)
        previous_count = self.failure_counts.get(run.task_index, 0)
        self.failure_counts[run.task_index] = previous_count + 1

    def has_begun(self) -> bool:
        """Return whether its completions show that a task has started."""
        return bool(self.done_tasks or self.failure_counts)

    def has_completion(self, run: messages.RunId) -> bool:
        """Return whether the completion of a run was added before."""
        return run.number in self.failed_runs.get(
            run.task_index, ()
        ) or run.number == self.done_runs.get(run.task_index)

    def run_at(
        self, step: int, position: int, number: int
    ) -> messages.RunId | None:
        """Return the id of a run by its task's position in a step."""
        if step >= len(self.steps) or position >= self.steps[step].count:
            return None
        return messages.RunId(self.steps[step].first + position, number)

    def make_tasks(self) -> list[jobs.Task]:
        """Return the tasks in the state in which the owner starts."""
        tasks = jobs.make_tasks(self.steps, self.epoch * RUNS_PER_OWNER)
        for task in tasks:
            task.failures = self.failure_counts.get(task.index, 0)
            task.checkpoint = self.checkpoints.get(task.index, '')
        for index in self.done_tasks:
            tasks[index].phase = jobs.Phase.done
        return tasks


class MarkerContent(msgspec.Struct, frozen=True, array_like=True):
    """What the marker of an unfinished job says.

    `node` is that of the owner. The queue is empty in markers of the previous
    version. `has_begun` may lag behind the first start of a task. An owner that has
    ended its runs and will start no more has set `is_released`.
    """

    node: str
    queue: str = ''
    has_begun: bool = False
    is_released: bool = False


class Marker(typing.NamedTuple):
    """Marker of an unfinished job, and the store's index of its last write."""

    owner: ids.Incarnation
    job: ids.JobId
    written_at: int
    content: MarkerContent


def record_key(job: ids.JobId) -> str:
    """Return the key of a record."""
    return JOBS_PREFIX + job


def marker_key(owner: ids.Incarnation, job: ids.JobId) -> str:
    """Return the key of the marker that an owner has a job."""
    return f'{OWNED_PREFIX}{owner}/{job}'


def parse_marker(item: store.StoredValue) -> Marker | None:
    """Return a stored marker, `None` if its key is malformed."""
    owner, slash, job = item.key.removeprefix(OWNED_PREFIX).partition('/')
    if not slash or not owner or not job:
        return None
    return Marker(
        ids.Incarnation(owner),
        ids.JobId(job),
        item.index,
        _decode_marker_content(item.value),
    )


def _decode_marker_content(encoded: bytes) -> MarkerContent:
    try:
        return decoding.decode_json(encoded, MarkerContent)
    except ValueError:
        # Markers of the previous version have the node alone.
        return MarkerContent(encoded.decode('utf-8', 'replace'))


def encode_marker(content: MarkerContent) -> bytes:
    """Encode the content of a marker for the store."""
    return msgspec.json.encode(content)


def encode(record: Record) -> bytes:
    """Encode a record for the store."""
    return _encoder.encode(record)


def decode(content: bytes) -> Record | None:
    """Decode a stored record; return `None` if it is no record."""
    try:
        record = decoding.decode_message(_decoder, content)
    except ValueError:
        return None
    return record if _is_consistent(record) else None


def _is_consistent(record: Record) -> bool:
    """Return whether a record of another writer can be of a job."""
    task_count = 0
    for number, step in enumerate(record.steps):
        if step.first != task_count or not 0 <= step.count <= _MAX_TASKS:
            return False
        if not all(0 <= earlier < number for earlier in step.after):
            return False
        if not all(0 <= need <= _MAX_NEED for need in _needs(step)):
            return False
        task_count += step.count
    indexes = (
        *record.done_tasks,
        *record.failure_counts,
        *record.checkpoints,
        *record.crashes,
        *record.done_runs,
        *record.given_up_runs,
    )
    return (
        task_count <= _MAX_TASKS
        and 0 <= record.epoch <= _MAX_EPOCH
        and all(0 <= index < task_count for index in indexes)
    )


def _needs(step: jobs.Step) -> tuple[int, int, int]:
    return step.need.cpu_millicores, step.need.memory_mb, step.need.gpus


_encoder: typing.Final = msgspec.msgpack.Encoder()
_decoder: typing.Final = msgspec.msgpack.Decoder(Record)
