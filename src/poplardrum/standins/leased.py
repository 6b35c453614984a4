"""Stand-in for an endpoint that runs tasks under a lease.

The rules of the endpoint without a network: time is given by the caller.
"""

import dataclasses
import enum
import typing

_MAX_REPORTED_COMPLETIONS: typing.Final = 500
_FULL_PERCENT: typing.Final = 100
_MIN_DURATION_S: typing.Final = 0.001


class Start(enum.Enum):
    """Answer to a start order; the values are the wire's reasons."""

    accepted = 'accepted'
    fenced = 'fence'
    superseded = 'old'
    expired = 'late'


class Name(typing.NamedTuple):
    """A run of a task."""

    task: str
    run: int


@dataclasses.dataclass
class Run:
    """One run; times in seconds of the endpoint's clock.

    A `standing` run makes no progress and never ends by itself.
    """

    specification: str
    ends_at: float
    succeeds: bool = True
    hangs: bool = False
    started_at: float = 0.0

    def progress(self, now: float) -> int:
        """Return the share of the work that is done, in percent."""
        if self.hangs:
            return 0
        share = (now - self.started_at) / max(
            self.ends_at - self.started_at, _MIN_DURATION_S
        )
        return min(max(int(_FULL_PERCENT * share), 0), _FULL_PERCENT - 1)


@dataclasses.dataclass
class End:
    """One listed end."""

    number: int
    name: Name
    how: str


class LeasedEndpoint:
    """Keep runs, their common lease, ends and the highest token."""

    def __init__(self, longest_lease: float = 1.0) -> None:
        """Start without runs."""
        self.longest_lease = longest_lease
        self.token = 0
        self.lease_expires_at = 0.0
        self.running: dict[Name, Run] = {}
        self.latest_run: dict[str, int] = {}
        self.ends: list[End] = []
        self.seen = 0
        self.last_completion_id = 0
        self.starts: list[Name] = []
        self.done: list[str] = []
        self.most_running = 0

    def advance(self, now: float) -> None:
        """End what is over at `now`."""
        if self.running and now >= self.lease_expires_at:
            for name in list(self.running):
                self._complete_run(name, 'lapsed')
        for name, run in list(self.running.items()):
            if run.ends_at <= now and not run.hangs:
                self._complete_run(name, 'done' if run.succeeds else 'failed')

    def start(
        self,
        name: Name,
        run: Run,
        *,
        now: float,
        until: float,
        token: int,
    ) -> Start:
        """Start a run, or tell why not."""
        self.advance(now)
        if not self._accept_token(token):
            return Start.fenced
        self.extend_lease(now, until)
        if name in self.running:
            return Start.accepted
        if name.run <= self.latest_run.get(name.task, 0):
            return Start.superseded
        if until <= now:
            return Start.expired
        run.started_at = now
        self.running[name] = run
        self.starts.append(name)
        self.most_running = max(self.most_running, len(self.running))
        return Start.accepted

    def stop(self, name: Name, *, now: float, token: int) -> bool:
        """Stop a run and all its orders to come; `False` when fenced."""
        self.advance(now)
        if not self._accept_token(token):
            return False
        known = self.latest_run.get(name.task, 0)
        self.latest_run[name.task] = max(known, name.run)
        if name in self.running:
            self._complete_run(name, 'stopped')
        return True

    def hold(
        self,
        *,
        now: float,
        token: int,
        seen: int,
        until: float | None,
    ) -> bool:
        """Renew the lease and forget ends that were seen."""
        self.advance(now)
        if not self._accept_token(token):
            return False
        if until is not None:
            self.extend_lease(now, until)
        self.seen = max(self.seen, seen)
        return True

    def listed(self) -> list[End]:
        """Return the ends that a report lists."""
        # An end is forgotten even if the number was seen before it was.
        self.ends = [end for end in self.ends if end.number > self.seen]
        return self.ends[:_MAX_REPORTED_COMPLETIONS]

    def extend_lease(self, now: float, until: float) -> None:
        """Extend the lease, at most by its longest time."""
        self.lease_expires_at = max(
            self.lease_expires_at, min(until, now + self.longest_lease)
        )

    def _accept_token(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _complete_run(self, name: Name, how: str) -> None:
        self.running.pop(name)
        if how == 'done':
            self.done.append(name.task)
        self.latest_run[name.task] = max(
            self.latest_run.get(name.task, 0),
            name.run,
        )
        self.last_completion_id += 1
        self.ends.append(End(self.last_completion_id, name, how))
