"""A store of records, an entry that owns jobs and agents, without a network."""

import asyncio
import dataclasses
import typing

from poplardrum import errors, ids
from poplardrum.dispatch import (
    coordinator,
    fleet,
    jobs,
    messages,
    ownership,
    record_writer,
    records,
    takeover,
)
from poplardrum.platform import store
from tests import dispatch_world

DEMAND: typing.Final = messages.Resources(1000, 64, 0)
CAPACITY: typing.Final = messages.Resources(4000, 4096, 0)
JOB_ID: typing.Final = ids.JobId('5c0e7a21d94b36f8')


@dataclasses.dataclass
class MemoryStore:
    """Keys in memory; `faults` are taken one a commit.

    `refused` does nothing, `silent` commits without an answer and `late`
    commits when `deliver_late` is called.
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
    max_rows: int = 0

    async def get(self, key: str) -> store.StoredValue | None:
        """Return one value."""
        await asyncio.sleep(0)
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
        """Make all changes or none."""
        await asyncio.sleep(0)
        self.commits += 1
        conditions = sum(
            change.expected_index is not None for change in changes
        )
        self.max_rows = max(self.max_rows, len(changes) + conditions)
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'refused':
            raise store.platform_error('busy', may_have_written=False)
        if fault == 'late':
            self.delayed.append(changes)
            raise store.platform_error('no answer', may_have_written=True)
        found = self.apply(changes)
        if fault == 'silent':
            raise store.platform_error('no answer', may_have_written=True)
        return found

    def apply(
        self, changes: typing.Sequence[store.Change]
    ) -> store.CommitResult:
        """Apply a transaction."""
        for change in changes:
            present = self.values.get(change.key)
            index = present.index if present else 0
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

    def deliver_delayed(self) -> None:
        """Carry out delayed transactions as far as they still apply."""
        for changes in self.delayed:
            self.apply(changes)
        self.delayed.clear()

    def record(self, job: ids.JobId = JOB_ID) -> records.Record:
        """Return the record of a job."""
        found = records.decode(self.values[records.record_key(job)].value)
        if found is None:
            raise AssertionError('unreadable record')
        return found


class Entry:
    """An entry that owns jobs, with agents of four slots each."""

    def __init__(self, kept: MemoryStore, name: str) -> None:
        """Use a store under the incarnation `name`."""
        self.store = kept
        self.can_own_jobs = True
        self.coordinator = coordinator.Coordinator('toledo')
        self.writer = record_writer.RecordWriter(kept, 10_000, f'node-{name}')
        self.ownership = ownership.Ownership(
            ids.Incarnation(name),
            self.coordinator,
            self.writer,
            lambda: self.can_own_jobs,
        )
        self.coordinator.on_unclaimed_completion = (
            self.ownership.handle_unclaimed
        )
        self.owner_tracker = takeover.OwnerTracker()
        self.takeover = takeover.Takeover(
            kept, self.ownership, self.owner_tracker
        )
        self.writer_task = asyncio.ensure_future(self.writer.run())

    async def close(self) -> None:
        """End all work."""
        self.writer_task.cancel()
        self.ownership.close()
        await asyncio.sleep(0)

    def connect(
        self,
        node: str,
        accepting: bool = True,
    ) -> tuple[fleet.Agent, dispatch_world.FakeLink]:
        """Connect an agent that accepts tasks, or will later."""
        agent = fleet.Agent(node, 'toledo', ids.new_incarnation())
        link = dispatch_world.FakeLink()
        self.coordinator.add_agent(agent)
        agent.on_connected(typing.cast(messages.Link, link))
        if accepting:
            self.report_load(agent)
        return agent, link

    def report_load(self, agent: fleet.Agent) -> None:
        """Let an agent accept tasks."""
        self.coordinator.handle_message(
            agent,
            messages.Load(0, True, CAPACITY, CAPACITY, 1.0, 'intake', []),
        )

    def new_record(self, tasks: int = 2, attempts: int = 2) -> records.Record:
        """Return the record of a new job of one step."""
        return records.Record(
            owner=self.ownership.incarnation,
            epoch=0,
            queue='r-1',
            service='intake',
            urgency=0,
            max_attempts=attempts,
            target_latency=10.0,
            specification='specification',
            steps=[jobs.Step(0, 0, tasks, DEMAND, 0.1)],
        )

    async def create_owned_job(
        self, tasks: int = 2, attempts: int = 2
    ) -> ownership.OwnedJob:
        """Store a job and own it."""
        record = self.new_record(tasks, attempts)
        pending = self.writer.open(JOB_ID, record)
        if (
            await self.writer.put(pending)
            is not record_writer.WriteResult.committed
        ):
            raise AssertionError('not committed')
        return self.ownership.take_ownership(
            takeover.make_job(JOB_ID, record, self.ownership),
            pending,
        )

    def complete(
        self,
        owned: ownership.OwnedJob,
        index: int,
        outcome: messages.Outcome,
        number: int,
    ) -> None:
        """Report the end of the present run of a task."""
        task = owned.job.tasks[index]
        if task.agent is None:
            raise AssertionError('task not placed')
        run = messages.RunId(index, task.run_number)
        end_id = messages.CompletionId(1, number)
        self.coordinator.handle_message(
            task.agent,
            messages.Completion(owned.job.id, run, outcome, end_id),
        )


def acknowledged_numbers(link: dispatch_world.FakeLink) -> list[int]:
    """Return the numbers of the ends that were noted over a link."""
    return [
        end_id.number
        for message in link.sent_of(messages.CompletionsAcknowledged)
        for end_id in message.completion_ids
    ]


def is_not_run(error: errors.PoplardrumError) -> bool:
    """Return whether an error says that nothing has run."""
    return error.verdict is errors.Verdict.not_run
