"""Lease on all runs of an endpoint, and its fencing token."""

import asyncio
import math
import typing

from poplardrum.dispatch import clocks, timing

_MS_PER_S: typing.Final = 1000
# Intervals of checks for pauses, while there are runs and otherwise.
_CLOCK_CHECK_INTERVAL_S: typing.Final = 0.05
_IDLE_CLOCK_CHECK_INTERVAL_S: typing.Final = 0.2


class Lease:
    """Lease on the runs of an endpoint, as far as the agent knows it.

    The endpoint stops all runs when the lease ends. Each start request, and
    each report request while there are runs, carries a later end. While the
    lease is `suspended`, none does, so that it runs out and with it all runs.

    Times are in seconds on this host's steady clock. Values of the endpoint's
    clock, and the end of the lease that `renew` returns, are in milliseconds
    on the endpoint's steady clock. `clock_offset_ms` is the endpoint's clock
    less this host's.

    The endpoint's clock does not count a suspension of its host, and this
    process can't tell one from other pauses of itself. So each pause may be time
    in which the endpoint's clock stood still.
    """

    def __init__(self, duration_s: float) -> None:
        """Create a lease that lasts `duration_s` seconds from each renewal."""
        self.duration_s = duration_s
        self.clock_offset_ms: float | None = None
        self.clock_offset_updated_at = 0.0
        self.fencing_token = 0
        self.token_step = 1
        # An earlier process of the agent may have renewed it just before.
        self.renewed_at = clocks.now()
        self.suspended = False
        # Time after this is one in which this process should have run, and did
        # not. Pauses are noticed while `watch_clock` runs.
        self.expected_until = math.inf

    async def watch_clock(self, list_runs: typing.Callable[[], object]) -> None:
        """Notice pauses of this process until cancelled.

        `list_runs` returns the runs that need the lease.
        """
        while True:
            interval = (
                _CLOCK_CHECK_INTERVAL_S
                if list_runs()
                else _IDLE_CLOCK_CHECK_INTERVAL_S
            )
            self.tick(clocks.now(), interval)
            await asyncio.sleep(interval)

    def tick(self, now: float, interval: float) -> None:
        """Expect the next tick after `interval` seconds."""
        self.check_clock(now)
        self.expected_until = now + interval

    def check_clock(self, now: float) -> None:
        """Allow for a pause of this process since the last tick.

        The lease may last for longer by it, and the endpoint's clock may be
        behind by it, until a new value of that clock is known.
        """
        pause = now - self.expected_until
        if pause <= 0:
            return
        self.expected_until = now
        self.renewed_at += pause
        if self.clock_offset_ms is not None:
            self.clock_offset_ms -= pause * _MS_PER_S

    def reset(self, clock_ms: int, now: float) -> None:
        """Start over for a new incarnation of the endpoint.

        It knows no lease and no token. The token still rises, since a delayed
        request may reach the new incarnation.
        """
        self.clock_offset_ms = None
        self.fencing_token += bool(self.fencing_token)
        self.suspended = False
        self.observe_clock(clock_ms, now)

    def observe_clock(self, clock_ms: int, now: float) -> None:
        """Update the clock offset from a value received at `now`.

        Delays make a clock value look old, so the highest offset is the most
        accurate. The endpoint's clock may be slow, so a known offset is first
        lowered by the largest drift since it was updated. The first clock
        value also serves as the fencing token: it usually exceeds that of an
        earlier process of the agent, which started from an earlier clock
        value. `raise_token_after_fencing` handles the other case. A value of 0
        means that the reply had no clock value.
        """
        self.check_clock(now)
        if not clock_ms:
            return
        offset_ms = clock_ms - now * _MS_PER_S
        previous_ms = self._min_clock_offset_ms(now)
        self.clock_offset_ms = (
            offset_ms if previous_ms is None else max(previous_ms, offset_ms)
        )
        self.clock_offset_updated_at = now
        if not self.fencing_token:
            self.fencing_token = clock_ms

    def raise_token(self, clock_ms: int = 0) -> None:
        """Raise the token, so that a later request voids all earlier ones."""
        self.fencing_token = max(self.fencing_token + 1, clock_ms)

    def raise_token_after_fencing(self, clock_ms: int) -> None:
        """Raise the token after the endpoint refused it as too low.

        An earlier process may have used a token far above the clock, so
        the step doubles until a token is accepted.
        """
        self.raise_token(clock_ms)
        self.fencing_token += self.token_step
        self.token_step *= 2

    def reset_token_step(self) -> None:
        """Reset the step after a token was accepted."""
        self.token_step = 1

    def renew(self, now: float) -> int | None:
        """Return the lease end to send with a request, on the endpoint's clock.

        The lease counts as renewed, whether or not the request arrives. Return
        `None` while it is suspended or the clock is unknown.
        """
        self.check_clock(now)
        offset_ms = self._min_clock_offset_ms(now)
        if self.suspended or offset_ms is None:
            return None
        self.renewed_at = now
        return int(now * _MS_PER_S + offset_ms) + int(
            self.duration_s * _MS_PER_S,
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether the last renewal has certainly lapsed."""
        self.check_clock(now)
        return now > self.lapses_at()

    def lapses_at(self) -> float:
        """Return the time after which the last renewal has certainly lapsed."""
        return self.renewed_at + timing.max_lease_duration(self.duration_s)

    def _min_clock_offset_ms(self, now: float) -> float | None:
        """Return the lowest offset in ms that the clock may have by now."""
        if self.clock_offset_ms is None:
            return None
        age_ms = (now - self.clock_offset_updated_at) * _MS_PER_S
        return self.clock_offset_ms - timing.MAX_CLOCK_DRIFT * age_ms
