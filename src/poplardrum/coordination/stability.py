"""Tracking of whether an entry can have passed over an agent."""

from poplardrum import ids


class StabilityTracker:
    """Track the links between one agent and all entries.

    An entry passes over an agent, that is, it uses a lower-ranked one
    instead, only after `lease_s` seconds without a frame from it or when its
    address refuses connections. So an entry that received a frame of the
    agent less than `lease_s` ago has not passed it over, even if the link has
    broken unnoticed since. Times are monotonic seconds of the agent.
    """

    def __init__(self, started_at: float, lease_s: float) -> None:
        """Start tracking; the process start counts as a lost link."""
        self.started_at = started_at
        self.last_loss_at = started_at
        self.lease_s = lease_s
        self.has_clean_start = False
        self.last_echoes: dict[ids.MemberId, float] = {}

    def record_echo(self, entry: ids.MemberId, echo: float) -> None:
        """Record that an entry received the frame sent at time `echo`."""
        self.last_echoes[entry] = max(echo, self.last_echoes.get(entry, 0))

    def record_link_up(self, entry: ids.MemberId, now: float) -> None:
        """Record a new link; an earlier link of the entry was lost."""
        if entry in self.last_echoes:
            self.last_echoes.pop(entry)
            self.last_loss_at = now

    def record_link_down(
        self,
        entry: ids.MemberId,
        now: float,
        *,
        planned: bool,
    ) -> None:
        """Record a lost link; `planned` is true if the entry was stopped."""
        self.last_echoes.pop(entry, None)
        if not planned:
            self.last_loss_at = now

    def record_bypass(self, now: float) -> None:
        """Record that entries may have passed over this agent until now."""
        self.last_loss_at = now

    def is_stable(
        self,
        now: float,
        retention_s: float,
        entries: frozenset[ids.MemberId],
    ) -> bool:
        """Return whether no entry can have passed over this agent recently.

        The time considered is `retention_s`. `entries` are all entries of the
        membership view that have not ended.
        """
        if now - self.last_loss_at < retention_s:
            return False
        return all(
            now - self.last_echoes.get(entry, float('-inf')) < self.lease_s
            for entry in entries | self.last_echoes.keys()
        )

    def is_clean(self, now: float, retention_s: float) -> bool:
        """Return whether no earlier incarnation ran within `retention_s`."""
        return self.has_clean_start or now - self.started_at >= retention_s
