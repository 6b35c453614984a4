"""Model of an endpoint that runs tasks under a lease.

It has no network and no clock; each call passes the present time in seconds.
"""

import dataclasses
import enum
import typing

_MAX_REPORTED_COMPLETIONS: typing.Final = 500
_FULL_PERCENT: typing.Final = 100
_MIN_DURATION_S: typing.Final = 0.001


class Start(enum.Enum):
    """Result of a start request; the values are the reasons on the wire."""

    accepted = 'accepted'
    fenced = 'fence'
    superseded = 'old'
    expired = 'late'


class Name(typing.NamedTuple):
    """Task and number of a run."""

    task: str
    run: int


@dataclasses.dataclass
class Run:
    """One run; times are in seconds of the endpoint's clock.

    A run that `hangs` makes no progress and never ends by itself.
    """

    specification: str
    ends_at: float
    succeeds: bool = True
    hangs: bool = False
    started_at: float = 0.0

    def progress(self, now: float) -> int:
        """Return the progress in percent, 99 at most."""
        if self.hangs:
            return 0
        fraction = (now - self.started_at) / max(
            self.ends_at - self.started_at, _MIN_DURATION_S
        )
        return min(max(int(_FULL_PERCENT * fraction), 0), _FULL_PERCENT - 1)


@dataclasses.dataclass
class End:
    """Outcome of a run that is over, under a number of its own."""

    number: int
    name: Name
    how: str


class LeasedEndpoint:
    """Runs under one lease, their completions and the highest token."""

    def __init__(self, longest_lease: float = 1.0) -> None:
        """Create an endpoint without runs; lease times are in seconds."""
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
        """Complete the runs that are over; all if the lease has expired."""
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
        """Start a run and extend the lease, or return why not.

        A repeated request for a run in progress is accepted again.
        """
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
        """Stop a run and refuse later requests to start it.

        Returns `False` if the token is fenced.
        """
        self.advance(now)
        if not self._accept_token(token):
            return False
        latest = self.latest_run.get(name.task, 0)
        self.latest_run[name.task] = max(latest, name.run)
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
        """Extend the lease and acknowledge completions up to `seen`.

        Returns `False` if the token is fenced.
        """
        self.advance(now)
        if not self._accept_token(token):
            return False
        if until is not None:
            self.extend_lease(now, until)
        self.seen = max(self.seen, seen)
        return True

    def listed(self) -> list[End]:
        """Return the unacknowledged completions that a report lists."""
        # A completion is dropped even if its number was acknowledged before
        # it was assigned.
        self.ends = [end for end in self.ends if end.number > self.seen]
        return self.ends[:_MAX_REPORTED_COMPLETIONS]

    def extend_lease(self, now: float, until: float) -> None:
        """Extend the lease, at most to its longest time after `now`."""
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
