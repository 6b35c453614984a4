"""A simulated endpoint with a clock of its own and faulty requests."""

import random
import typing

from poplardrum.platform import endpoints
from poplardrum.standins import leased_endpoint
from tools.simulation import checks, virtual_time

_MS_PER_S: typing.Final = 1000
_HEARTBEAT_INTERVAL_S: typing.Final = 1.5
_MAX_CLOCK_DRIFT: typing.Final = 0.02
_LATENESS_S: typing.Final = (0.1, 3.0)
_EXTENDED_LATENESS_S: typing.Final = (2.0, 12.0)
_MAX_LEASE_S: typing.Final = 1.0

SendHeartbeat = typing.Callable[[endpoints.Heartbeat], object]


class Faults(typing.NamedTuple):
    """Probabilities of what happens to a request."""

    lost: float = 0.0
    unanswered: float = 0.0
    late: float = 0.0
    # Late, with a lease that counts from the arrival.
    extended: float = 0.0
    until: float = 0.0


Request = typing.Callable[[float], typing.Callable[[], None]]


class Endpoint:
    """An endpoint with a clock of its own, which may be restarted.

    Requests are carried out at once, late, or not at all; each may lose its
    answer.
    """

    def __init__(
        self,
        simulation: virtual_time.Simulation,
        ledger: checks.Ledger,
        rng: random.Random,
        name: str,
        capacity: endpoints.Capacity,
    ) -> None:
        """Create an endpoint that runs nothing."""
        self.simulation = simulation
        self.ledger = ledger
        self.random = rng
        self.name = name
        self.capacity = capacity
        self.faults = Faults()
        self.speed = 1.0
        self.state: typing.Literal['ready', 'draining'] = endpoints.READY
        self.sequence = 0
        # What an agent has saved for its next process.
        self.last_heartbeat: endpoints.Heartbeat | None = None
        self.is_down = False
        # Receives heartbeats; `None` while the agent cannot.
        self.send_heartbeat: SendHeartbeat | None = None
        # Reports that wait for a completion.
        self.waiting: list[typing.Callable[[], None]] = []
        self.start()

    def crash(self, seconds: float) -> None:
        """End all runs; be back as a new incarnation after some seconds."""
        if self.is_down:
            return
        self.is_down = True
        self.leased.running.clear()
        self.simulation.call_later(seconds, self.start)

    def start(self) -> None:
        """Begin a new incarnation, which knows nothing of earlier runs."""
        self.is_down = False
        self.born_at = self.simulation.now
        self.drift = self.random.uniform(0, _MAX_CLOCK_DRIFT)
        self.leased = leased_endpoint.LeasedEndpoint(_MAX_LEASE_S)
        self.state = endpoints.READY
        self.waiting.clear()

    @property
    def incarnation(self) -> int:
        """Return the time of its start in milliseconds."""
        return int(self.born_at * _MS_PER_S)

    def clock(self) -> float:
        """Return its steady clock in seconds, which may be slow."""
        return (self.simulation.now - self.born_at + 1) * (1 - self.drift)

    def clock_ms(self) -> int:
        """Return its steady clock in milliseconds."""
        return int(self.clock() * _MS_PER_S)

    def advance(self) -> None:
        """End the runs that are over; answer reports that wait for it."""
        listed = self.leased.last_completion_id
        self.leased.advance(self.clock())
        if self.leased.last_completion_id != listed:
            waiting, self.waiting = self.waiting, []
            for answer in waiting:
                answer()

    def beat(self) -> None:
        """Send heartbeats from now on."""
        self.sequence += 1
        if self.send_heartbeat is not None and not self.is_down:
            self.last_heartbeat = endpoints.Heartbeat(
                'service',
                self.state,
                self.sequence,
                self.capacity,
                self.incarnation,
                self.clock_ms(),
            )
            self.send_heartbeat(self.last_heartbeat)
        self.simulation.call_later(_HEARTBEAT_INTERVAL_S, self.beat)

    def start_run(
        self, request: endpoints.StartRequest, until: float, token: int
    ) -> leased_endpoint.StartResult:
        """Carry out a request to start a run."""
        self.advance()
        now = self.clock()
        run_id = leased_endpoint.RunId(request.task, request.run)
        was_running = run_id in self.leased.running
        submitted = self.ledger.submitted.get(request.specification)
        duration = (submitted.duration if submitted else 0.1) / self.speed
        result = self.leased.start(
            run_id,
            leased_endpoint.Run(request.specification, now + duration),
            now=now,
            lease_until=until,
            token=token,
        )
        if run_id in self.leased.running and not was_running:
            self.ledger.check_start(self, run_id)
            self.simulation.call_later(
                duration * (1 + 2 * _MAX_CLOCK_DRIFT), self.advance
            )
        return result

    def carry_out(self, request: Request) -> None:
        """Carry out a request that arrives, subject to the faults in force.

        `request` takes the time by which to extend its lease in seconds and
        returns how to answer it.
        """
        is_faulty = self.simulation.now < self.faults.until
        faults = self.faults if is_faulty else Faults()
        chance = self.random.random()
        if self.is_down or chance < faults.lost:
            return
        chance -= faults.lost
        if chance < faults.unanswered:
            request(0)
            return
        chance -= faults.unanswered
        if chance < faults.late:
            self._delay(request, _LATENESS_S, 0)
        elif chance - faults.late < faults.extended:
            self._delay(request, _EXTENDED_LATENESS_S, 1)
        else:
            request(0)()

    def _delay(
        self, request: Request, lateness: tuple[float, float], extension: int
    ) -> None:
        incarnation = self.incarnation
        delay = self.random.uniform(*lateness)
        self.simulation.call_later(
            delay,
            lambda: (
                incarnation == self.incarnation and request(extension * delay)
            ),
        )
