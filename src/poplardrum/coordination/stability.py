"""Whether an agent can have been passed over by an entry."""

from poplardrum import ids


class StabilityTracker:
    """Follow the entries' links of one agent.

    An entry that loses its link passes an agent over only after `lease`
    seconds without a frame, or when the agent's address refuses connections.
    So an agent whose frame was seen by the entry less than that time ago has
    not been passed over, even if the link has broken unnoticed since.
    Times are monotonic seconds of the agent.
    """

    def __init__(self, started_at: float, lease_s: float) -> None:
        """Begin at the process start, which counts as a loss."""
        self.started_at = started_at
        self.last_loss_at = started_at
        self.lease_s = lease_s
        self.has_clean_start = False
        self.last_echoes: dict[ids.MemberId, float] = {}

    def record_echo(self, entry: ids.MemberId, echo: float) -> None:
        """Note that an entry has seen the frame sent at time `echo`."""
        self.last_echoes[entry] = max(echo, self.last_echoes.get(entry, 0))

    def record_link_up(self, entry: ids.MemberId, now: float) -> None:
        """Note a new link; an entry with an earlier one had lost that."""
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
        """Note a lost link; `ended` says that the entry stopped as planned."""
        self.last_echoes.pop(entry, None)
        if not planned:
            self.last_loss_at = now

    def record_bypass(self, now: float) -> None:
        """Note that entries may have used lower-ranked agents until now."""
        self.last_loss_at = now

    def is_stable(
        self,
        now: float,
        retention_s: float,
        entries: frozenset[ids.MemberId],
    ) -> bool:
        """Tell whether no entry can have passed this agent over for `hold`.

        `entries` are all entries of the view that have not ended.
        """
        if now - self.last_loss_at < retention_s:
            return False
        return all(
            now - self.last_echoes.get(entry, float('-inf')) < self.lease_s
            for entry in entries | self.last_echoes.keys()
        )

    def is_clean(self, now: float, retention_s: float) -> bool:
        """Tell whether no earlier incarnation can matter for `hold`."""
        return self.has_clean_start or now - self.started_at >= retention_s
