"""Queue of a worker: granted tasks and reservations in one order (pure)."""

import dataclasses
import typing

from poplardrum import ids
from poplardrum.peers import messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import slots

Rank = tuple[int, float]


@dataclasses.dataclass
class QueuedTask:
    """A granted task that waits for a slot."""

    task: ids.TaskId
    rank: Rank


@dataclasses.dataclass
class Reservation:
    """A job of which up to `count` tasks may be claimed."""

    owner: 'slots.Owner'
    job: ids.JobId
    tenant: ids.TenantName
    rank: Rank
    count: int


Entry = QueuedTask | Reservation


class Backlog:
    """Order what waits for a slot."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[ids.TaskId | ids.JobId, Entry] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.entries)

    def push_task(
        self,
        task: ids.TaskId,
        item: messages.Start,
        now: float,
    ) -> None:
        """Add a granted task."""
        rank = (item.urgency, now + item.order)
        self.entries[task] = QueuedTask(task, rank)

    def push_reservation(
        self,
        owner: 'slots.Owner',
        item: messages.Reserve,
        now: float,
    ) -> None:
        """Add a reservation, in place of an earlier one of the job."""
        self.entries[item.job] = Reservation(
            owner,
            item.job,
            item.tenant,
            (item.urgency, now + item.order),
            item.count,
        )

    def pop(self, now: float) -> Entry | None:
        """Take the next entry; a reservation stays for its further tasks."""
        if not self.entries:
            return None
        key = min(self.entries, key=self.rank)
        entry = self.entries[key]
        if isinstance(entry, Reservation):
            entry.count -= 1
            if entry.count > 0:
                return entry
        self.entries.pop(key)
        return entry

    def rank(self, key: ids.TaskId | ids.JobId) -> Rank:
        """Return the sort key of an entry."""
        return self.entries[key].rank

    def remove_task(self, task: ids.TaskId) -> None:
        """Remove a granted task, if it is queued."""
        self.entries.pop(task, None)

    def release(
        self,
        owner: 'slots.Owner',
        released: typing.Iterable[ids.JobId],
    ) -> None:
        """Remove the reservations of jobs."""
        for job in released:
            entry = self.entries.get(job)
            if isinstance(entry, Reservation) and entry.owner == owner:
                self.entries.pop(job)

    def drop_owner(self, member: ids.MemberId) -> None:
        """Remove the reservations of a coordinator."""
        for key, entry in list(self.entries.items()):
            if isinstance(entry, Reservation):
                if entry.owner.member == member:
                    self.entries.pop(key)

    def clear_reservations(self) -> None:
        """Remove all reservations."""
        for key, entry in list(self.entries.items()):
            if isinstance(entry, Reservation):
                self.entries.pop(key)

    def charge(
        self,
        tenant: ids.TenantName,
        seconds: float,
        now: float,
    ) -> None:
        """Note used slot time of a tenant."""
