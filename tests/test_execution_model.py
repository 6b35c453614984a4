"""Grants under faults, without an event loop: starts and verdicts."""

import typing
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from poplardrum import errors, ids
from poplardrum.peers import messages
from tests import execution_model, profiles

COORDINATORS: typing.Final = st.sampled_from(('c0', 'c1'))
WORKERS: typing.Final = st.sampled_from(('w0', 'w1'))
SECONDS: typing.Final = st.sampled_from((0.01, 0.3, 3.0, 11.0))


# With more faults than this, too few tasks start for the checks to matter.
MAX_FAULTS: typing.Final = 8


def _may_fail(machine: 'GrantMachine') -> bool:
    return machine.faults < MAX_FAULTS


def _may_lose_jobs(machine: 'GrantMachine') -> bool:
    return machine.faults < MAX_FAULTS and _has_many_jobs(machine)


def _has_many_jobs(machine: 'GrantMachine') -> bool:
    return len(machine.world.submitted) > 3


class GrantMachine(stateful.RuleBasedStateMachine):
    """Take random steps of all processes and of the links between them."""

    def __init__(self) -> None:
        """Start a world without jobs."""
        super().__init__()
        self.world = execution_model.World()
        self.faults = 0

    @stateful.initialize()
    def load(self) -> None:
        """Start with jobs at both coordinators."""
        for coordinator in self.world.coordinators.values():
            self.world.submit(coordinator.name, 4)

    @stateful.rule(name=COORDINATORS, count=st.integers(1, 4))
    def submit(self, name: str, count: int) -> None:
        """Start a job, with few at once, so that steps affect the same ones."""
        coordinator = self.world.coordinators[ids.MemberId(name)]
        if len(coordinator.grants.jobs) < 3:
            self.world.submit(coordinator.name, count)

    @stateful.rule(name=COORDINATORS, worker=WORKERS, count=st.integers(1, 4))
    def grant(self, name: str, worker: str, count: int) -> None:
        """Grant waiting tasks at once."""
        coordinator = self.world.coordinators[ids.MemberId(name)]
        waiting = [
            job for job in coordinator.grants.jobs.values() if job.waiting
        ]
        for job in waiting:
            for _ in range(min(count, len(job.waiting))):
                coordinator.grant(job, ids.MemberId(worker))

    @stateful.rule(count=st.integers(1, 3))
    def deliver_all(self, count: int) -> None:
        """Deliver some items on all links."""
        for pair in count * self.world.pairs():
            self.world.deliver_to_worker(*pair)
            self.world.deliver_to_coordinator(*pair)

    @stateful.rule(worker=WORKERS)
    def deliver_to(self, worker: str) -> None:
        """Deliver all items to one worker, none back."""
        for name in self.world.coordinators:
            for _ in range(20):
                self.world.deliver_to_worker(name, ids.MemberId(worker))

    @stateful.rule(name=COORDINATORS, worker=WORKERS)
    def reserve(self, name: str, worker: str) -> None:
        """Reserve slots for a waiting job."""
        coordinator = self.world.coordinators[ids.MemberId(name)]
        for job in coordinator.grants.jobs.values():
            if job.waiting:
                tenant = job.submission.tenant
                item = messages.Reserve(job.id, tenant, 5, 0, 2, 100)
                coordinator.send(ids.MemberId(worker), item)
                return

    @stateful.rule(
        name=COORDINATORS,
        worker=WORKERS,
        count=st.integers(1, 6),
    )
    def deliver(self, name: str, worker: str, count: int) -> None:
        """Deliver some items both ways."""
        for _ in range(count):
            self.world.deliver_to_worker(
                ids.MemberId(name), ids.MemberId(worker)
            )
            self.world.deliver_to_coordinator(
                ids.MemberId(name), ids.MemberId(worker)
            )

    @stateful.precondition(_may_fail)
    @stateful.rule(name=COORDINATORS, worker=WORKERS, back=st.booleans())
    def double(self, name: str, worker: str, back: bool) -> None:
        """Queue an item for a second delivery."""
        self.faults += 1
        link = self.world.link(name, worker)
        items = link.to_coordinator if back else link.to_worker
        if items:
            items.append(items[0])

    @stateful.rule(worker=WORKERS)
    def finish(self, worker: str) -> None:
        """End a task at the endpoint."""
        worker_model = self.world.workers[ids.MemberId(worker)]
        if worker_model.at_endpoint and not worker_model.paused:
            worker_model.finish(
                next(iter(worker_model.at_endpoint)), errors.Code.ok
            )

    @stateful.precondition(_may_fail)
    @stateful.rule(name=COORDINATORS, worker=WORKERS)
    def cut(self, name: str, worker: str) -> None:
        """Break a link; the worker has not detected it yet."""
        self.faults += 1
        self.world.break_link(ids.MemberId(name), ids.MemberId(worker))

    @stateful.rule(name=COORDINATORS, worker=WORKERS, lost=st.booleans())
    def connect(self, name: str, worker: str, lost: bool) -> None:
        """Establish a link again; items in flight may be lost."""
        worker_model = self.world.workers[ids.MemberId(worker)]
        link = self.world.link(name, worker)
        if link.coordinator_epoch or worker_model.paused:
            return
        if lost:
            link.to_worker.clear()
            link.to_coordinator.clear()
        self.world.connect(ids.MemberId(name), ids.MemberId(worker))

    @stateful.precondition(_may_fail)
    @stateful.rule(worker=WORKERS)
    def pause(self, worker: str) -> None:
        """Pause a worker's agent."""
        self.faults += 1
        worker_model = self.world.workers[ids.MemberId(worker)]
        worker_model.paused = True

    @stateful.rule(worker=WORKERS)
    def wake(self, worker: str) -> None:
        """Resume a paused agent."""
        self.world.workers[ids.MemberId(worker)].paused = False

    @stateful.precondition(_may_fail)
    @stateful.rule(worker=WORKERS)
    def restart_worker(self, worker: str) -> None:
        """Restart a worker's agent."""
        self.faults += 1
        self.world.restart_worker(ids.MemberId(worker))

    @stateful.precondition(_may_lose_jobs)
    @stateful.rule(name=COORDINATORS)
    def restart_coordinator(self, name: str) -> None:
        """Restart a coordinator."""
        self.faults += 1
        self.world.restart_coordinator(ids.MemberId(name))

    @stateful.precondition(_may_fail)
    @stateful.rule(worker=WORKERS, leaves=st.booleans())
    def offer(self, worker: str, leaves: bool) -> None:
        """Make the endpoint leave or return."""
        self.faults += 1
        worker_model = self.world.workers[ids.MemberId(worker)]
        if not worker_model.paused:
            offered = 0 if leaves else execution_model.SLOTS
            worker_model.slots.set_slots(offered, self.world.now)

    @stateful.rule(name=COORDINATORS)
    def withdraw(self, name: str) -> None:
        """Withdraw all granted tasks that have not started."""
        coordinator = self.world.coordinators[ids.MemberId(name)]
        for job in list(coordinator.grants.jobs.values()):
            coordinator.grants.withdraw(list(job.granted.values()))

    @stateful.precondition(_has_many_jobs)
    @stateful.rule(name=COORDINATORS)
    def cancel(self, name: str) -> None:
        """Cancel the oldest job."""
        coordinator = self.world.coordinators[ids.MemberId(name)]
        for job_id in list(coordinator.grants.jobs)[:1]:
            coordinator.grants.cancel(job_id)

    @stateful.rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        """Advance the time."""
        self.world.advance(seconds)

    @stateful.invariant()
    def starts_once(self) -> None:
        """No task starts twice; "not run" and "ran" are true."""
        duplicates = [
            task for task, count in self.world.starts.items() if count > 1
        ]
        assert not duplicates, duplicates
        for job_id, answer in self.world.answers.items():
            for position, outcome in enumerate(answer.tasks):
                starts = self.world.starts[ids.TaskId(job_id, position)]
                if outcome.verdict is errors.Verdict.not_run:
                    assert not starts, (job_id, position, outcome)
                if outcome.verdict is errors.Verdict.ran:
                    assert starts, (job_id, position, outcome)

    def teardown(self) -> None:
        """Check that every job of a live coordinator is answered."""
        self.world.recover_all()
        self.starts_once()
        unanswered = self.world.submitted.keys() - self.world.answers.keys()
        assert not unanswered, unanswered


class GrantModelTest(unittest.TestCase):
    """Guards against second starts and false verdicts under any faults."""

    def test_random_faults(self) -> None:
        """Guards against orders of faults that no other test covers."""
        stateful.run_state_machine_as_test(
            GrantMachine,
            settings=profiles.settings(
                max_examples=300,
                stateful_step_count=80,
                phases=(hypothesis.Phase.generate,),
            ),
        )
