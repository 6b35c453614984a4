"""Slots and queue of a worker: which task starts when, without I/O.

Times are monotonic seconds of the worker's process.
"""

import itertools
import typing

from poplardrum import errors, ids
from poplardrum.daemons import backlog, history, worker_tasks
from poplardrum.peers import messages

# A coordinator replies to a claim within a round trip; one that is paused must
# not block a slot for the other items of the queue.
_CLAIM_SLOT_TIMEOUT_S: typing.Final = 0.25
_CLAIM_EXPIRY_S: typing.Final = 10.0


class Slots:
    """Start granted tasks in free slots; claim reserved ones for the rest."""

    def __init__(
        self, port: worker_tasks.Port, limits: worker_tasks.WorkerLimits
    ) -> None:
        """Create the table without slots and tasks."""
        self.port = port
        self.limits = limits
        self.history = history.TaskHistory(
            limits.max_records, limits.max_answer_bytes
        )
        self.queue = backlog.Backlog()
        self.tasks: dict[ids.TaskId, worker_tasks.WorkerTask] = {}
        self.claims: dict[int, worker_tasks.OpenClaim] = {}
        self.claim_numbers = itertools.count(1)
        self.slot_count = 0
        self.unconfirmed_stops: set[ids.TaskId] = set()
        self.orphan_count = 0
        self.only_coordinator: ids.MemberId | None = None

    @property
    def running_count(self) -> int:
        """Return the number of tasks at the endpoint."""
        return sum(
            task.phase is not worker_tasks.Phase.queued
            for task in self.tasks.values()
        )

    @property
    def free_slots(self) -> int:
        """Return the number of slots that no task or claim uses."""
        claimed = sum(claim.reserves_slot for claim in self.claims.values())
        used = (
            self.running_count
            + claimed
            + len(self.unconfirmed_stops)
            + self.orphan_count
        )
        return self.slot_count - used

    def update_orphans(self, names: typing.Iterable[str], now: float) -> None:
        """Reserve slots for tasks of an earlier agent at the endpoint.

        `names` are all tasks that the endpoint runs. One that has just ended
        here may still be among them.
        """
        task_ids = [_task_id(name) for name in names]
        self.orphan_count = sum(
            task_id not in self.tasks and self.history.get(task_id) is None
            for task_id in task_ids
        )
        self.fill_slots(now)

    def drain(self, own: ids.MemberId, now: float) -> None:
        """Accept work only from coordinator `own`; refuse others' tasks."""
        self.only_coordinator = own
        self.queue.clear_reservations()
        for task in list(self.tasks.values()):
            if (
                task.phase is worker_tasks.Phase.queued
                and task.coordinator.member != own
            ):
                self.refuse(task, errors.Code.stopping, now)

    def accepts_from(self, coordinator: ids.MemberId) -> bool:
        """Return whether new work of a coordinator is accepted."""
        return self.slot_count > 0 and self.only_coordinator in {
            None,
            coordinator,
        }

    def set_slots(self, slots: int, now: float) -> None:
        """Set the number of usable slots; with 0, refuse queued tasks."""
        self.slot_count = slots
        if slots:
            self.fill_slots(now)
            return
        self.queue.clear_reservations()
        for task in list(self.tasks.values()):
            if task.phase is worker_tasks.Phase.queued:
                self.refuse(task, errors.Code.unavailable, now)

    def accept_grant(
        self, item: messages.Start, age: float, now: float
    ) -> None:
        """Handle a grant whose frame was sent `age` seconds ago.

        The lease starts when the claim that the grant answers was sent, by
        this worker's own clock, else when the frame was sent.
        """
        claim = self.claims.pop(item.claim_number, None)
        granted_at = claim.sent_at if claim else now - age
        task = worker_tasks.WorkerTask(
            start=item,
            lease_expires_at=granted_at + item.lease_ms / 1000,
            deadline=now - age + item.deadline_ms / 1000,
        )
        if self.answer_if_known(task):
            self.refund_claim(claim)
            return
        reason = task.lapse_reason(now)
        if not self.accepts_from(item.coordinator):
            reason = errors.Code.unavailable
        elif len(self.tasks) >= self.limits.max_queue:
            reason = errors.Code.overload
        self.tasks[task.task_id] = task
        if reason is not None:
            self.refund_claim(claim)
            self.refuse(task, reason, now)
        elif claim and claim.tenant == item.tenant and self.free_slots > 0:
            self.start_task(task, claim.expected_s, now)
        else:
            self.refund_claim(claim)
            self.enqueue(task, now)
            self.fill_slots(now)

    def enqueue(self, task: worker_tasks.WorkerTask, now: float) -> None:
        """Queue a granted task until a slot is free."""
        start_by = min(task.lease_expires_at, task.deadline)
        if task.start.queue_timeout_ms:
            start_by = min(start_by, now + task.start.queue_timeout_ms / 1000)
        self.queue.push_task(
            task.start,
            self.port.expected_time(task.start),
            start_by,
            now,
        )

    def refund_claim(self, claim: worker_tasks.OpenClaim | None) -> None:
        """Refund the charge of a claim that starts no task to its tenant."""
        if claim is not None:
            self.queue.fair_queue.charge(claim.tenant, 0, claim.expected_s)

    def answer_if_known(self, task: worker_tasks.WorkerTask) -> bool:
        """Return whether a grant must not start its task here.

        This holds if the task is queued or running, has finished or was
        refused on this grant; the latter two are reported to the coordinator.
        """
        start = task.start
        if task.task_id in self.tasks:
            return True
        known = self.history.get(task.task_id)
        if known is None:
            return False
        if known.outcome is not None:
            done = messages.Done(task.task_id, known.outcome)
            self.port.send(task.coordinator, done)
            return True
        if start.grant_number > known.grant_number:
            return False
        self.port.send(
            task.coordinator,
            messages.NotStarted(
                [task.task_id],
                errors.Code.cancelled,
                [start.grant_number],
            ),
        )
        return True

    def reserve(
        self,
        item: messages.Reserve,
        coordinator: worker_tasks.CoordinatorRef,
        now: float,
    ) -> None:
        """Queue a reservation, to be claimed when it is next in the queue."""
        if not self.accepts_from(coordinator.member):
            return
        if len(self.queue) >= self.limits.max_queue:
            return
        self.queue.push_reservation(coordinator, item, now)
        self.fill_slots(now)

    def no_task(
        self,
        item: messages.NoTask,
        coordinator: worker_tasks.CoordinatorRef,
        now: float,
    ) -> None:
        """Free the slot of a claim for which no task is granted.

        The reservation of the job that the reply names is removed as well.
        """
        self.refund_claim(self.claims.pop(item.claim_number, None))
        self.queue.release(coordinator, [item.job])
        self.fill_slots(now)

    def fill_slots(self, now: float) -> None:
        """Start or claim tasks in queue order while slots are free."""
        while self.free_slots > 0:
            queue_item = self.queue.fair_queue.pop(now)
            if queue_item is None:
                return
            payload = queue_item.payload
            if isinstance(payload, backlog.Reservation):
                self.send_claim(queue_item, payload, now)
            else:
                self.start_task(
                    self.tasks[payload.task], queue_item.expected_s, now
                )

    def start_task(
        self, task: worker_tasks.WorkerTask, expected_s: float, now: float
    ) -> None:
        """Start a task unless its lease or deadline has passed."""
        task.expected_s = expected_s
        reason = task.lapse_reason(now)
        if reason is not None:
            self.queue.fair_queue.charge(task.start.tenant, 0, expected_s)
            self.refuse(task, reason, now)
            return
        task.phase = worker_tasks.Phase.running
        self.port.run(task)

    def send_claim(
        self,
        queue_item: backlog.BacklogItem,
        reservation: backlog.Reservation,
        now: float,
    ) -> None:
        """Send a claim for one task of a reserved job."""
        number = next(self.claim_numbers)
        claim = worker_tasks.OpenClaim(
            reservation.coordinator,
            queue_item.tenant,
            queue_item.expected_s,
            now,
        )
        item = messages.Claim(reservation.job, number, queue_item.tenant)
        if self.port.send(reservation.coordinator, item):
            self.claims[number] = claim
        else:
            self.refund_claim(claim)

    def refuse(
        self, task: worker_tasks.WorkerTask, reason: errors.Code, now: float
    ) -> None:
        """Refuse a task that has not started and never will on this grant.

        It may be granted to this worker again, with a higher grant number.
        """
        self.tasks.pop(task.task_id)
        self.queue.fair_queue.remove(task.task_id)
        self.history.record_refusal(task.task_id, task.start.grant_number, now)
        self.port.send(
            task.coordinator,
            messages.NotStarted(
                [task.task_id], reason, [task.start.grant_number]
            ),
        )

    def start_failed(
        self, task: worker_tasks.WorkerTask, reason: errors.Code, now: float
    ) -> None:
        """Return a task whose start did not reach the endpoint."""
        self.queue.fair_queue.charge(task.start.tenant, 0, task.expected_s)
        self.refuse(task, reason, now)

    def task_ended(
        self,
        task: worker_tasks.WorkerTask,
        outcome: messages.TaskOutcome,
        now: float,
    ) -> None:
        """Report the outcome of a task and reuse its slot."""
        self.tasks.pop(task.task_id)
        self.queue.fair_queue.charge(
            task.start.tenant,
            outcome.seconds,
            task.expected_s,
        )
        self.history.record_outcome(
            task.task_id, task.start.grant_number, outcome, now
        )
        self.port.send(task.coordinator, messages.Done(task.task_id, outcome))
        self.fill_slots(now)

    def enforce_timeouts(self, now: float) -> None:
        """Refuse tasks that have queued too long; free slots of old claims.

        A claim without a reply first gives up its slot and is later removed.
        Expired entries of the history are removed as well.
        """
        self.history.expire(now)
        for number, claim in list(self.claims.items()):
            claim.reserves_slot = now - claim.sent_at < _CLAIM_SLOT_TIMEOUT_S
            if now - claim.sent_at > _CLAIM_EXPIRY_S:
                self.refund_claim(self.claims.pop(number))
        for queue_item in self.queue.fair_queue.remove_expired(now):
            payload = queue_item.payload
            if isinstance(payload, backlog.QueuedTask):
                task = self.tasks[payload.task]
                # Otherwise its queue timeout has passed.
                reason = task.lapse_reason(now) or errors.Code.overload
                self.refuse(task, reason, now)
        self.fill_slots(now)

    def coordinator_lost(self, member: ids.MemberId, now: float) -> None:
        """Drop a coordinator's reservations and claims, not its tasks."""
        self.queue.remove_coordinator(member)
        for number, claim in list(self.claims.items()):
            if claim.coordinator.member == member:
                self.refund_claim(self.claims.pop(number))
        self.fill_slots(now)

    def coordinator_reconnected(
        self, coordinator: worker_tasks.CoordinatorRef, now: float
    ) -> None:
        """Refuse queued tasks of a coordinator's earlier incarnations.

        Reservations and claims at the coordinator are dropped.
        """
        for task in list(self.tasks.values()):
            if (
                task.coordinator.member != coordinator.member
                or task.coordinator == coordinator
            ):
                continue
            if task.phase is worker_tasks.Phase.queued:
                self.refuse(task, errors.Code.link_lost, now)
        self.coordinator_lost(coordinator.member, now)


def _task_id(name: str) -> ids.TaskId:
    job, _, position = name.rpartition('.')
    return ids.TaskId(ids.JobId(job), int(position))
