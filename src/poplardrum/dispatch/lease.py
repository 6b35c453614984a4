"""Lease on everything that an endpoint runs, and its fencing token."""

import typing

from poplardrum.dispatch import timing

_MS_PER_S: typing.Final = 1000


class Lease:
    """Track the endpoint's clock, the lease's end and the token.

    Times are in seconds on our own steady clock, but for `clock` values and
    `until`, which are milliseconds on the endpoint's.
    """

    def __init__(self, length: float) -> None:
        """Start without a clock; `length` is the longest lease granted."""
        self.length = length
        self.clock_offset_ms: float | None = None
        self.clock_offset_updated_at = 0.0
        self.fencing_token = 0
        self.token_step = 1
        self.renewed_at = 0.0
        self.suspended = False

    def reset(self, clock: int, now: float) -> None:
        """Start over for an endpoint that knows no lease and no token.

        The token still rises: an order on its way may reach the new life.
        """
        self.clock_offset_ms = None
        self.fencing_token += bool(self.fencing_token)
        self.suspended = False
        self.observe_clock(clock, now)

    def observe_clock(self, clock: int, now: float) -> None:
        """Learn from a clock value that was received at `now`.

        Delays make a value look old, so the highest offset is the truest;
        a slow clock falls behind, so it counts for less the older it is.
        Values of the clock are also tokens above those of a predecessor,
        whose token was such a value of an earlier time.
        """
        if not clock:
            return
        offset = clock - now * _MS_PER_S
        known = self._min_clock_offset(now)
        self.clock_offset_ms = offset if known is None else max(known, offset)
        self.clock_offset_updated_at = now
        if not self.fencing_token:
            self.fencing_token = clock

    def raise_token(self, clock: int = 0) -> None:
        """Make earlier orders void once a later one arrives."""
        self.fencing_token = max(self.fencing_token + 1, clock)

    def raise_token_after_fencing(self, clock: int) -> None:
        """Raise the token after an order was refused for a lower one.

        An earlier process may have used a token far above the clock, so
        the steps double until one is accepted.
        """
        self.raise_token(clock)
        self.fencing_token += self.token_step
        self.token_step *= 2

    def reset_token_step(self) -> None:
        """Take note of an order that was not fenced."""
        self.token_step = 1

    def renew(self, now: float) -> int | None:
        """Return the end of a lease that is renewed now, or `None`."""
        offset = self._min_clock_offset(now)
        if self.suspended or offset is None:
            return None
        self.renewed_at = now
        return int(now * _MS_PER_S + offset) + int(
            self.length * _MS_PER_S,
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether the last renewal has certainly run out."""
        return now > self.lapses_at()

    def lapses_at(self) -> float:
        """Return from when on the last renewal has certainly run out."""
        return self.renewed_at + timing.max_lease_duration(self.length)

    def _min_clock_offset(self, now: float) -> float | None:
        """Return the least offset that the clock can have by now."""
        if self.clock_offset_ms is None:
            return None
        age = (now - self.clock_offset_updated_at) * _MS_PER_S
        return self.clock_offset_ms - timing.MAX_CLOCK_DRIFT * age
