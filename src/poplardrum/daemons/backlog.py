"""Queue of a worker: granted tasks and reservations in one order, no I/O."""

import dataclasses
import typing

from poplardrum import ids
from poplardrum.peers import messages
from poplardrum.scheduling import queue

if typing.TYPE_CHECKING:
    from poplardrum.daemons import worker_tasks


@dataclasses.dataclass(frozen=True)
class QueuedTask:
    """Granted task that waits for a slot."""

    task: ids.TaskId


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Job whose tasks may be claimed from its coordinator."""

    coordinator: 'worker_tasks.CoordinatorRef'
    job: ids.JobId


Payload = QueuedTask | Reservation
BacklogItem = queue.QueueItem[Payload]


class Backlog:
    """Fair queue of the tasks and reservations that wait for a slot.

    The order is by tenant share, urgency and job.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.fair_queue: queue.FairQueue[Payload] = queue.FairQueue()

    def __len__(self) -> int:
        """Return the number of waiting tasks, including reserved ones."""
        return len(self.fair_queue)

    def push_task(
        self,
        item: messages.Start,
        expected_s: float,
        start_by: float,
        now: float,
    ) -> None:
        """Add a granted task that must start before `start_by`."""
        self.fair_queue.push(
            queue.QueueItem(
                id=item.task,
                tenant=item.tenant,
                urgency=item.urgency,
                order=now + item.order,
                expected_s=expected_s,
                payload=QueuedTask(item.task),
                deadline=start_by,
            ),
        )

    def push_reservation(
        self,
        coordinator: 'worker_tasks.CoordinatorRef',
        item: messages.Reserve,
        now: float,
    ) -> None:
        """Add a reservation; it replaces an earlier one of the same job."""
        self.fair_queue.remove(item.job)
        self.fair_queue.push(
            queue.QueueItem(
                id=item.job,
                tenant=item.tenant,
                urgency=item.urgency,
                order=now + item.order,
                expected_s=item.expected_ms / 1000,
                payload=Reservation(coordinator, item.job),
                count=item.count,
            ),
        )

    def release(
        self,
        coordinator: 'worker_tasks.CoordinatorRef',
        released: typing.Iterable[ids.JobId],
    ) -> None:
        """Remove the reservations of released jobs."""
        for job in released:
            queue_item = self.fair_queue.items.get(job)
            if queue_item and queue_item.payload == Reservation(
                coordinator, job
            ):
                self.fair_queue.remove(job)

    def remove_coordinator(self, member: ids.MemberId) -> None:
        """Remove the reservations of a coordinator."""
        self.fair_queue.remove_if(
            lambda queue_item: (
                isinstance(queue_item.payload, Reservation)
                and queue_item.payload.coordinator.member == member
            ),
        )

    def clear_reservations(self) -> None:
        """Remove all reservations."""
        self.fair_queue.remove_if(_is_reservation)


def _is_reservation(queue_item: BacklogItem) -> bool:
    return isinstance(queue_item.payload, Reservation)
