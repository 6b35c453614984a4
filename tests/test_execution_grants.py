"""Specific orders of events between a coordinator and a worker."""

import unittest

from poplardrum import errors, ids
from poplardrum.daemons import grants, history, worker_tasks
from poplardrum.peers import messages
from tests import execution_model

C0 = ids.MemberId('c0')
W0 = ids.MemberId('w0')
W1 = ids.MemberId('w1')


class GrantTest(unittest.TestCase):
    """Guards against second starts in orders that a real link allows."""

    def setUp(self) -> None:
        """Start a job of four tasks at one coordinator."""
        self.world = execution_model.World()
        self.coordinator = self.world.coordinators[C0]
        self.job = self.world.submit(C0, 4)
        self.worker = self.world.workers[W0]

    def deliver(self, worker: ids.MemberId = W0) -> None:
        """Deliver everything both ways."""
        for _ in range(20):
            self.world.deliver_to_worker(C0, worker)
            self.world.deliver_to_coordinator(C0, worker)

    def grant(self, count: int, worker: ids.MemberId = W0) -> None:
        """Grant waiting tasks."""
        for _ in range(count):
            self.coordinator.grant(self.job, worker)

    def test_query_refuses_for_good(self) -> None:
        """Guards against a start after "not started" was reported.

        The query overtakes the grant, which is read later from the buffer
        of a connection that has broken.
        """
        self.grant(1)
        link = self.world.link(C0, W0)
        late_grant = link.to_worker.popleft()
        self.world.break_link(C0, W0)
        self.world.connect(C0, W0)
        self.deliver()
        self.assertEqual(len(self.job.waiting), 4)
        self.worker.receive(
            worker_tasks.CoordinatorRef(C0, self.coordinator.incarnation),
            late_grant,
        )
        self.assertEqual(self.world.starts.total(), 0)
        self.grant(4, W1)
        self.deliver(W1)
        self.assertEqual(self.world.starts.total(), execution_model.SLOTS)

    def test_doubled_grant(self) -> None:
        """Guards against a second start by a grant that arrives twice."""
        self.grant(1)
        link = self.world.link(C0, W0)
        grant = link.to_worker[0]
        owner = worker_tasks.CoordinatorRef(C0, self.coordinator.incarnation)
        self.worker.receive(owner, grant)
        self.worker.receive(owner, grant)
        self.worker.finish(grant.item.task, errors.Code.ok)
        self.worker.receive(owner, grant)
        self.assertEqual(self.world.starts.total(), 1)
        self.assertIsInstance(link.to_coordinator[-1].item, messages.Done)

    def test_old_refusal(self) -> None:
        """Guards against a duplicate refusal that returns a later grant."""
        self.grant(1)
        self.worker.slots.set_slots(0, self.world.now)
        self.world.deliver_to_worker(C0, W0)
        link = self.world.link(C0, W0)
        refusal = link.to_coordinator[0]
        self.deliver()
        self.worker.slots.set_slots(execution_model.SLOTS, self.world.now)
        self.grant(1)
        self.deliver()
        self.coordinator.receive(W0, refusal.item)
        self.assertEqual(len(self.job.granted), 1)
        self.assertEqual(len(self.job.waiting), 3)

    def test_lapsed_in_buffer(self) -> None:
        """Guards against a start by a frame that waited during a pause."""
        self.grant(1)
        self.world.now += execution_model.LEASE_S
        self.deliver()
        self.assertEqual(self.world.starts.total(), 0)
        self.assertEqual(len(self.job.waiting), 4)

    def test_lapsed_in_queue(self) -> None:
        """Guards against a start of a queued task after a pause."""
        self.grant(3)
        self.deliver()
        self.world.now += execution_model.LEASE_S
        self.worker.finish(next(iter(self.worker.at_endpoint)), errors.Code.ok)
        self.deliver()
        self.assertEqual(self.world.starts.total(), execution_model.SLOTS)

    def test_lease_of_claim(self) -> None:
        """Guards against a lease that starts with a late answer to a claim.

        The coordinator pauses between claim and answer, so the frame is
        recent although the worker's claim is old.
        """
        tenant = self.job.submission.tenant
        item = messages.Reserve(self.job.id, tenant, 5, 0, 1, 100)
        self.coordinator.send(W0, item)
        self.world.deliver_to_worker(C0, W0)
        self.world.now += execution_model.LEASE_S
        self.deliver()
        self.assertEqual(self.world.starts.total(), 0)
        self.assertEqual(len(self.job.waiting), 4)

    def test_queued_too_long(self) -> None:
        """Guards against a task that waits at a busy worker."""
        for position in range(3):
            target = grants.Target(
                position,
                W0,
                self.worker.incarnation,
                1000 * execution_model.LEASE_S,
                queue_timeout_ms=250,
            )
            self.coordinator.grants.grant(self.job, target, self.world.now)
        self.deliver()
        self.world.advance(0.3)
        self.deliver()
        self.assertEqual(self.world.starts.total(), execution_model.SLOTS)
        self.assertEqual(sorted(self.job.waiting), [2, 3])

    def test_lost_worker_is_bounded(self) -> None:
        """Guards against a job that waits for a worker that never returns."""
        self.grant(4)
        self.world.break_link(C0, W0)
        self.world.advance(grants.LOST_WORKER_TIMEOUT_S + 1)
        answer = self.world.answers[self.job.id]
        verdicts = {task.verdict for task in answer.tasks}
        self.assertEqual(verdicts, {errors.Verdict.may_have_run})

    def test_expired_in_queue(self) -> None:
        """Guards against starts and untrue verdicts after a deadline.

        The deadline ends before the leases, so only the coordinator's own
        request brings the queued task back.
        """
        self.job.deadline = self.world.now + execution_model.LEASE_S / 2
        self.grant(3)
        self.deliver()
        self.world.advance(self.job.deadline - 0.05 - self.world.now)
        self.deliver()
        self.world.advance(0.1)
        answer = self.world.answers[self.job.id]
        verdicts = [task.verdict for task in answer.tasks]
        self.assertEqual(verdicts.count(errors.Verdict.may_have_run), 2)
        self.assertEqual(verdicts.count(errors.Verdict.not_run), 2)


class SlotTest(unittest.TestCase):
    """Guards against more tasks at an endpoint than it has slots."""

    def test_tasks_of_an_earlier_agent(self) -> None:
        """Guards against starts in slots that a killed agent's tasks use."""
        world = execution_model.World()
        job = world.submit(C0, 3)
        worker = world.workers[W0]
        worker.slots.update_orphans(['job-9.0', 'job-9.1'], world.now)
        for _ in range(3):
            world.coordinators[C0].grant(job, W0)
            world.deliver_to_worker(C0, W0)
        self.assertEqual(world.starts.total(), 0)
        worker.slots.update_orphans(['job-9.1'], world.now)
        self.assertEqual(world.starts.total(), 1)
        own = next(iter(worker.at_endpoint))
        worker.slots.update_orphans([f'{own.job}.{own.position}'], world.now)
        self.assertEqual(world.starts.total(), execution_model.SLOTS)


class HistoryTest(unittest.TestCase):
    """Guards against "not run" for tasks that the history has dropped."""

    def test_forgotten_is_not_certain(self) -> None:
        """Guards against a history that seems to cover dropped tasks."""
        task_history = history.TaskHistory(max_entries=1, max_output_size=100)
        job = ids.JobId('job')
        task_history.record_refusal(ids.TaskId(job, 0), 1, now=50)
        self.assertTrue(task_history.covers(40))
        task_history.record_refusal(ids.TaskId(job, 1), 2, now=60)
        self.assertFalse(task_history.covers(40))
        self.assertTrue(task_history.covers(70))

    def test_output_is_bounded(self) -> None:
        """Guards against outputs that fill the memory of an agent."""
        task_history = history.TaskHistory(max_entries=10, max_output_size=100)
        job = ids.JobId('job')
        outcome = messages.TaskOutcome(
            errors.Verdict.ran,
            errors.Code.ok,
            'x' * 80,
        )
        for position in range(3):
            task = ids.TaskId(job, position)
            task_history.record_outcome(task, position, outcome, now=50)
        self.assertLessEqual(task_history.output_size, 100)
        first = task_history.get(ids.TaskId(job, 0))
        assert first and first.outcome
        self.assertEqual(first.outcome.verdict, errors.Verdict.ran)
