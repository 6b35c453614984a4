"""The agents known to an entry and their capacity."""

import collections
import dataclasses
import typing

from poplardrum import ids
from poplardrum.dispatch import clocks, connections, messages, timing

_NO_RESOURCES: typing.Final = messages.Resources(0, 0, 0)


TaskKey = tuple[ids.JobId, int]


@dataclasses.dataclass(eq=False)
class Agent:
    """One incarnation of an agent.

    `free` is the free capacity that it last reported, less the demand of tasks
    that have been sent since. `in_flight` has that demand for each `StartTasks`
    message that no report accounts for yet.
    """

    node: str
    zone: str
    incarnation: ids.Incarnation
    link: connections.Link | None = None
    accepting: bool = False
    # Whether its zone is evacuated, as far as this entry knows.
    is_evacuated: bool = False
    free: messages.Resources = _NO_RESOURCES
    capacity: messages.Resources = _NO_RESOURCES
    slowness: float = 1.0
    service: str = ''
    labels: list[str] = dataclasses.field(default_factory=list)
    starts_sent: int = 0
    # How often its link was lost.
    losses: int = 0
    linked_at: float = 0.0
    lost_at: float = 0.0
    # Cores that its runs are expected to leave, as of `forecast_at`.
    forecast: tuple[int, ...] = ()
    forecast_at: float = 0.0
    # Tasks that are placed here, by job and index.
    placed: set[TaskKey] = dataclasses.field(default_factory=set)
    in_flight: collections.deque[tuple[int, messages.Resources]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    # Called after each change of what placement looks at.
    on_change: typing.Callable[['Agent'], None] = lambda _: None

    def is_usable(self) -> bool:
        """Return whether tasks may be sent to it."""
        return (
            self.accepting
            and not self.is_evacuated
            and self.link is not None
            and not self.link.is_stale
        )

    def track(self, key: TaskKey) -> None:
        """Record that a task is placed here."""
        self.placed.add(key)
        if self.link is not None:
            self.link.set_busy(True)

    def untrack(self, key: TaskKey) -> None:
        """Record that a task is no longer placed here."""
        self.placed.discard(key)
        if self.link is not None and not self.placed:
            self.link.set_busy(False)

    def matches(self, service: str, label: str) -> bool:
        """Return whether its endpoint belongs to a service and has a label."""
        return self.service == service and (not label or label in self.labels)

    def count_fitting(self, demand: messages.Resources) -> int:
        """Return how many tasks of a demand fit into the free capacity."""
        return min(
            _count_fitting(self.free.cpu_millicores, demand.cpu_millicores),
            _count_fitting(self.free.memory_mb, demand.memory_mb),
            _count_fitting(self.free.gpus, demand.gpus),
        )

    def free_fraction(self) -> float:
        """Return the free fraction of the CPU."""
        return self.free.cpu_millicores / max(self.capacity.cpu_millicores, 1)

    def reserve(self, demand: messages.Resources, count: int) -> None:
        """Reserve capacity for tasks that are being sent in one message."""
        self.starts_sent += 1
        total = messages.Resources(
            demand.cpu_millicores * count,
            demand.memory_mb * count,
            demand.gpus * count,
        )
        self.in_flight.append((self.starts_sent, total))
        self.free = self.free.minus(total)
        self.on_change(self)

    def release(self, demand: messages.Resources) -> None:
        """Release the capacity of a completed task ahead of the next report."""
        self.free = self.free.minus(
            messages.Resources(
                -demand.cpu_millicores, -demand.memory_mb, -demand.gpus
            ),
        )
        self.on_change(self)

    def apply_load(self, load: messages.Load) -> None:
        """Apply a load report, less what was sent after it was made."""
        self.accepting = load.accepting
        self.slowness = load.slowness
        self.service = load.service
        self.labels = load.labels
        self.capacity = load.capacity
        while self.in_flight and self.in_flight[0][0] <= load.starts_received:
            self.in_flight.popleft()
        self.forecast = load.forecast
        self.forecast_at = clocks.now()
        self.free = load.free
        for _, total in self.in_flight:
            self.free = self.free.minus(total)
        self.on_change(self)

    def on_connected(self, link: connections.Link) -> None:
        """Use a new connection, on which no tasks have been sent yet."""
        self.link = link
        self.linked_at = clocks.now()
        link.set_busy(bool(self.placed))
        self.starts_sent = 0
        self.in_flight.clear()
        self.accepting = False
        self.forecast = ()
        self.on_change(self)

    def on_disconnected(self) -> None:
        """Remove the lost connection; the agent is unusable without one."""
        self.link = None
        self.lost_at = clocks.now()
        self.accepting = False
        self.on_change(self)


def has_settled_links(agents: typing.Iterable[Agent], now: float) -> bool:
    """Return whether agents without a link are not just yet to come back.

    After a cut of this host they link again one by one, and those that have
    completions to report may be later than others that have room. `now` is a
    time of `clocks.now`.
    """
    return any(
        agent.link is not None
        and now - agent.linked_at >= timing.RELINK_TIMEOUT_S
        for agent in agents
    )


def _count_fitting(available: int, demanded: int) -> int:
    return (
        max(available // demanded, 0)
        if demanded > 0
        else _MAX_FITTING_WITHOUT_DEMAND
    )


# Count for a resource of which the tasks need none. The count of an agent is the
# lowest over all resources, so it is at most this for such tasks.
_MAX_FITTING_WITHOUT_DEMAND: typing.Final = 64
