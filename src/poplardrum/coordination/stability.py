"""Whether an agent can have been passed over by an entry."""

from poplardrum import ids


class Stability:
    """Follow the entries' links of one agent.

    An entry that loses its link passes an agent over only after `lease`
    seconds without a frame, or when the agent's address refuses connections.
    So an agent whose frame was seen by the entry less than that time ago has
    not been passed over, even if the link has broken unnoticed since.
    Times are monotonic seconds of the agent.
    """

    def __init__(self, started: float, lease: float) -> None:
        """Begin at the process start, which counts as a loss."""
        self.started = started
        self.lost = started
        self.lease = lease
        self.clean_start = False
        self.echoes: dict[ids.MemberId, float] = {}

    def heard(self, entry: ids.MemberId, echo: float) -> None:
        """Note that an entry has seen the frame sent at time `echo`."""
        self.echoes[entry] = max(echo, self.echoes.get(entry, 0))

    def entry_up(self, entry: ids.MemberId, now: float) -> None:
        """Note a new link; an entry with an earlier one had lost that."""
        if entry in self.echoes:
            self.echoes.pop(entry)
            self.lost = now

    def entry_down(
        self,
        entry: ids.MemberId,
        now: float,
        *,
        ended: bool,
    ) -> None:
        """Note a lost link; `ended` says that the entry stopped as planned."""
        self.echoes.pop(entry, None)
        if not ended:
            self.lost = now

    def passed_over(self, now: float) -> None:
        """Note that entries may have used lower-ranked agents until now."""
        self.lost = now

    def stable(
        self,
        now: float,
        hold: float,
        entries: frozenset[ids.MemberId],
    ) -> bool:
        """Tell whether no entry can have passed this agent over for `hold`.

        `entries` are all entries of the view that have not ended.
        """
        if now - self.lost < hold:
            return False
        return all(
            now - self.echoes.get(entry, float('-inf')) < self.lease
            for entry in entries | self.echoes.keys()
        )

    def clean(self, now: float, hold: float) -> bool:
        """Tell whether no earlier incarnation can matter for `hold`."""
        return self.clean_start or now - self.started >= hold
