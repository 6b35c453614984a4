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

NEED: typing.Final = messages.Resources(1000, 64, 0)
ROOM: typing.Final = messages.Resources(4000, 4096, 0)
JOB: typing.Final = ids.JobId('5c0e7a21d94b36f8')


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
    late: list[typing.Sequence[store.Change]] = dataclasses.field(
        default_factory=list,
    )
    commits: int = 0
    most_rows: int = 0

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
    ) -> store.Commit:
        """Make all changes or none."""
        await asyncio.sleep(0)
        self.commits += 1
        conditions = sum(change.expected is not None for change in changes)
        self.most_rows = max(self.most_rows, len(changes) + conditions)
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'refused':
            raise store.failure('busy', wrote=False)
        if fault == 'late':
            self.late.append(changes)
            raise store.failure('no answer', wrote=True)
        found = self.apply(changes)
        if fault == 'silent':
            raise store.failure('no answer', wrote=True)
        return found

    def apply(self, changes: typing.Sequence[store.Change]) -> store.Commit:
        """Apply a transaction."""
        for change in changes:
            present = self.values.get(change.key)
            index = present.index if present else 0
            if change.expected is not None and change.expected != index:
                return store.Commit(0, dict(self.values))
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
        return store.Commit(self.index)

    def deliver_late(self) -> None:
        """Carry out delayed transactions as far as they still apply."""
        for changes in self.late:
            self.apply(changes)
        self.late.clear()

    def record(self, job: ids.JobId = JOB) -> records.Record:
        """Return the record of a job."""
        found = records.decode(self.values[records.key(job)].value)
        if found is None:
            raise AssertionError('unreadable record')
        return found


class Entry:
    """An entry that owns jobs, with agents of four slots each."""

    def __init__(self, kept: MemoryStore, name: str) -> None:
        """Use a store under the incarnation `name`."""
        self.store = kept
        self.present = True
        self.jobs = coordinator.Coordinator('toledo')
        self.writer = record_writer.RecordWriter(kept, 10_000, f'node-{name}')
        self.ownership = ownership.Ownership(
            ids.Incarnation(name),
            self.jobs,
            self.writer,
            lambda: self.present,
        )
        self.jobs.unclaimed = self.ownership.unclaimed
        self.owners = takeover.Owners()
        self.takeover = takeover.Takeover(kept, self.ownership, self.owners)
        self.running = asyncio.ensure_future(self.writer.run())

    async def close(self) -> None:
        """End all work."""
        self.running.cancel()
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
        self.jobs.attach(agent)
        agent.connected(typing.cast(messages.Link, link))
        if accepting:
            self.accept(agent)
        return agent, link

    def accept(self, agent: fleet.Agent) -> None:
        """Let an agent accept tasks."""
        self.jobs.take(
            agent,
            messages.Load(0, True, ROOM, ROOM, 1.0, 'intake', []),
        )

    def record(self, tasks: int = 2, attempts: int = 2) -> records.Record:
        """Return the record of a new job of one step."""
        return records.Record(
            owner=self.ownership.incarnation,
            epoch=0,
            queue='r-1',
            service='intake',
            urgency=0,
            attempts=attempts,
            aim=10.0,
            specification='specification',
            steps=[jobs.Step(0, 0, tasks, NEED, 0.1)],
        )

    async def own(self, tasks: int = 2, attempts: int = 2) -> ownership.Owned:
        """Store a job and own it."""
        record = self.record(tasks, attempts)
        pending = self.writer.open(JOB, record)
        if (
            await self.writer.put(pending)
            is not record_writer.Outcome.committed
        ):
            raise AssertionError('not committed')
        return self.ownership.own(
            takeover.job_of(JOB, record, self.ownership),
            pending,
        )

    def end(
        self,
        owned: ownership.Owned,
        index: int,
        outcome: messages.Outcome,
        number: int,
    ) -> None:
        """Report the end of the present run of a task."""
        task = owned.job.tasks[index]
        if task.agent is None:
            raise AssertionError('task not placed')
        run = messages.RunId(index, task.run)
        end_id = messages.CompletionId(1, number)
        self.jobs.take(
            task.agent,
            messages.Completion(owned.job.id, run, outcome, end_id),
        )


def noted(link: dispatch_world.FakeLink) -> list[int]:
    """Return the numbers of the ends that were noted over a link."""
    return [
        end_id.number
        for message in link.of(messages.CompletionsAcknowledged)
        for end_id in message.completion_ids
    ]


def is_refusal(error: errors.PoplardrumError) -> bool:
    """Return whether an error says that nothing has run."""
    return error.verdict is errors.Verdict.not_run
