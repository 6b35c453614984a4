"""In-memory store, entry and agents for tests of stored jobs."""

import asyncio
import dataclasses
import typing
import unittest

import msgspec

from poplardrum import errors, ids
from poplardrum.dispatch import (
    clocks,
    coordinator,
    fleet,
    jobs,
    membership,
    messages,
    owned_jobs,
    ownership,
    record_writer,
    records,
    takeover,
    waiting_jobs,
)
from poplardrum.platform import store
from tests import dispatch_world

DEMAND: typing.Final = messages.Resources(1000, 64, 0)
CAPACITY: typing.Final = messages.Resources(4000, 4096, 0)
JOB_ID: typing.Final = ids.JobId('5c0e7a21d94b36f8')


@dataclasses.dataclass
class MemoryStore:
    """Key-value store in memory; each commit uses up one of `faults`.

    `refused` does not commit, `silent` commits and loses the reply, and
    `late` commits when `deliver_delayed` is called.
    """

    values: dict[str, store.StoredValue] = dataclasses.field(
        default_factory=dict,
    )
    index: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    delayed: list[typing.Sequence[store.Change]] = dataclasses.field(
        default_factory=list,
    )
    commits: int = 0
    reads: int = 0
    # No call is carried out.
    is_away: bool = False
    max_rows: int = 0

    async def get(self, key: str) -> store.StoredValue | None:
        """Return one value."""
        await asyncio.sleep(0)
        self.reads += 1
        self._check_present()
        return self.values.get(key)

    async def list(self, prefix: str) -> list[store.StoredValue]:
        """Return the values below a prefix."""
        await asyncio.sleep(0)
        return [
            value
            for key, value in sorted(self.values.items())
            if key.startswith(prefix)
        ]

    async def commit(
        self,
        changes: typing.Sequence[store.Change],
    ) -> store.CommitResult:
        """Apply all changes or none."""
        await asyncio.sleep(0)
        self.commits += 1
        conditions = sum(
            change.expected_index is not None for change in changes
        )
        self.max_rows = max(self.max_rows, len(changes) + conditions)
        self._check_present()
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'refused':
            raise store.platform_error('busy', may_have_written=False)
        if fault == 'late':
            self.delayed.append(changes)
            raise store.platform_error('no answer', may_have_written=True)
        result = self.apply(changes)
        if fault == 'silent':
            raise store.platform_error('no answer', may_have_written=True)
        return result

    def apply(
        self, changes: typing.Sequence[store.Change]
    ) -> store.CommitResult:
        """Apply a transaction."""
        for change in changes:
            current = self.values.get(change.key)
            index = current.index if current else 0
            if (
                change.expected_index is not None
                and change.expected_index != index
            ):
                return store.CommitResult(0, dict(self.values))
        self.index += 1
        for change in changes:
            if change.value is None:
                self.values.pop(change.key, None)
            else:
                self.values[change.key] = store.StoredValue(
                    change.key,
                    change.value,
                    self.index,
                )
        return store.CommitResult(self.index)

    def _check_present(self) -> None:
        if self.is_away:
            raise store.platform_error('busy', may_have_written=False)

    def deliver_delayed(self) -> None:
        """Apply delayed transactions whose conditions still hold."""
        for changes in self.delayed:
            self.apply(changes)
        self.delayed.clear()

    def record(self, job: ids.JobId = JOB_ID) -> records.Record:
        """Return the record of a job."""
        record = records.decode(self.values[records.record_key(job)].value)
        if record is None:
            raise AssertionError('unreadable record')
        return record


class Entry:
    """An entry that owns jobs, with agents of four slots each."""

    def __init__(self, memory_store: MemoryStore, name: str) -> None:
        """Start an entry with the incarnation `name`."""
        self.store = memory_store
        self.can_own_jobs = True
        self.coordinator = coordinator.Coordinator('toledo')
        self.writer = record_writer.RecordWriter(
            memory_store, 10_000, f'node-{name}'
        )
        self.ownership = ownership.Ownership(
            ids.Incarnation(name),
            self.coordinator,
            self.writer,
            lambda: self.can_own_jobs,
            dispatch_world.unbounded_cancel_reads(),
        )
        self.coordinator.on_owner_message = self.ownership.handle_message
        self.owner_tracker = takeover.OwnerTracker()
        self.takeover = takeover.Takeover(
            memory_store, self.ownership, self.owner_tracker
        )
        self.waiting = waiting_jobs.WaitingJobs(memory_store, self.ownership)
        self.writer_task = asyncio.ensure_future(self.writer.run())

    async def close(self) -> None:
        """Cancel all background tasks."""
        self.writer_task.cancel()
        self.ownership.close()
        await asyncio.sleep(0)

    def connect(
        self,
        node: str,
        accepting: bool = True,
    ) -> tuple[fleet.Agent, dispatch_world.FakeLink]:
        """Connect an agent; report its load if it accepts tasks."""
        agent = fleet.Agent(node, 'toledo', ids.new_incarnation())
        link = dispatch_world.FakeLink()
        self.coordinator.add_agent(agent)
        agent.on_connected(link.as_link())
        if accepting:
            self.report_load(agent)
        return agent, link

    def report_load(self, agent: fleet.Agent) -> None:
        """Report that an agent accepts tasks."""
        self.coordinator.handle_message(
            agent,
            messages.Load(0, True, CAPACITY, CAPACITY, 1.0, 'intake', []),
        )

    def new_record(
        self, tasks: int = 2, max_attempts: int = 2
    ) -> records.Record:
        """Return the record of a new job of one step."""
        return records.Record(
            owner=self.ownership.incarnation,
            epoch=0,
            queue='r-1',
            service='intake',
            urgency=0,
            max_attempts=max_attempts,
            target_latency=10.0,
            specification='specification',
            steps=[jobs.Step(0, 0, tasks, DEMAND, 0.1)],
        )

    async def create_owned_job(
        self,
        tasks: int = 2,
        max_attempts: int = 2,
        *,
        job: ids.JobId = JOB_ID,
        queue: str = 'r-1',
    ) -> owned_jobs.OwnedJob:
        """Store a job that this entry owns, and run it."""
        record = self.new_record(tasks, max_attempts)
        record.queue = queue
        pending = self.writer.open(job, record)
        if (
            await self.writer.put(pending)
            is not record_writer.WriteResult.committed
        ):
            raise AssertionError('not committed')
        return self.ownership.take_ownership(
            takeover.make_job(job, record, self.ownership),
            pending,
            clocks.now(),
        )

    def complete(
        self,
        owned: owned_jobs.OwnedJob,
        index: int,
        outcome: messages.Outcome,
        number: int,
    ) -> None:
        """Send the completion of the current run of a task."""
        task = owned.job.tasks[index]
        if task.agent is None:
            raise AssertionError('task not placed')
        run_id = messages.RunId(index, task.run_number)
        completion_id = messages.CompletionId(1, number)
        self.coordinator.handle_message(
            task.agent,
            messages.Completion(owned.job.id, run_id, outcome, completion_id),
        )


def acknowledged_numbers(link: dispatch_world.FakeLink) -> list[int]:
    """Return the numbers of the completions acknowledged over a link."""
    return [
        completion_id.number
        for message in link.sent_of(messages.CompletionsAcknowledged)
        for completion_id in message.completion_ids
    ]


def is_not_run(error: errors.PoplardrumError) -> bool:
    """Return whether an error guarantees that nothing has run."""
    return error.verdict is errors.Verdict.not_run


async def take_over(entry: Entry) -> typing.Any:
    """Make an entry take over all jobs of owners that are gone."""
    entry.owner_tracker.last_read_at = clocks.now()
    entry.owner_tracker.missing_since[ids.Incarnation('a')] = -1000.0
    name = entry.ownership.incarnation
    member = membership.Member('10.0.0.1', 1, name)
    entry.store.apply(
        [
            store.Change(
                f'{membership.PREFIX}node-{name}',
                msgspec.json.encode(member),
            ),
        ],
    )
    await entry.takeover.scan()
    return entry.ownership.owned_jobs.get(JOB_ID)


class StoredCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: one entry with one agent."""

    async def asyncSetUp(self) -> None:
        """Start the entry."""
        self.store = MemoryStore()
        self.entry = self.start('a')
        self.agent, self.link = self.entry.connect('side-1')

    def start(self, name: str) -> Entry:
        """Start an entry on the same store."""
        entry = Entry(self.store, name)
        self.addAsyncCleanup(entry.close)
        return entry

    def started_runs(self, link: dispatch_world.FakeLink) -> list[int]:
        """Return the numbers of the runs started over a link."""
        return [
            run.number
            for request in link.sent_of(messages.StartTasks)
            for run in request.runs
        ]
