"""Event loops in virtual time, one for each simulated process.

A loop runs until it has nothing to do, then the simulation advances the time to
the next event or timer. A process that is paused keeps its callbacks, so all its
timers are overdue when it continues, as after SIGSTOP.
"""

import asyncio
import heapq
import itertools
import math
import selectors
import typing

Callback = typing.Callable[[], object]
# More iterations of a loop at one point in time mean that it never idles.
_MAX_TURNS_AT_ONCE: typing.Final = 20_000
_MAX_CANCEL_ROUNDS: typing.Final = 10
# Times of 0 mean 'never' in parts of the product.
_START_S: typing.Final = 1000.0


class _IdleSelector(selectors.SelectSelector):
    """A selector that reports when its event loop has nothing to do."""

    def __init__(
        self, on_idle: typing.Callable[[float | None], object]
    ) -> None:
        super().__init__()
        self.on_idle = on_idle

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout > 0:
            self.on_idle(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is that of a simulation."""

    def __init__(self, simulation: 'Simulation') -> None:
        """Create a loop without callbacks."""
        self.simulation = simulation
        # When the loop has to run again.
        self.wakes_at = math.inf
        super().__init__(_IdleSelector(self._idle))

    def time(self) -> float:
        """Return the time of the simulation in seconds."""
        return self.simulation.now

    def run_until_idle(self) -> None:
        """Run all callbacks and timers that are due."""
        self.wakes_at = math.inf
        self.run_forever()

    def _idle(self, timeout: float | None) -> None:
        if timeout is not None:
            self.wakes_at = self.simulation.now + timeout
        self.stop()


class Process:
    """A simulated process: an event loop that can be paused and killed."""

    def __init__(self, simulation: 'Simulation', name: str) -> None:
        """Add a process to a simulation."""
        self.simulation = simulation
        self.name = name
        self.is_alive = True
        self.paused_until = 0.0
        self.loop = VirtualLoop(simulation)
        self.loop.set_exception_handler(self._record_exception)
        simulation.processes.append(self)

    def call(
        self, callback: typing.Callable[..., object], *args: object
    ) -> None:
        """Run a callback in the process, as soon as it is not paused."""
        if self.is_alive:
            self.loop.call_soon(callback, *args)
            self.loop.wakes_at = self.simulation.now

    def spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, object]
    ) -> 'asyncio.Task[object]':
        """Start a task in the process."""
        self.loop.wakes_at = self.simulation.now
        return self.loop.create_task(coroutine)

    def pause(self, seconds: float) -> None:
        """Stop the process for a while without ending it."""
        self.paused_until = max(
            self.paused_until, self.simulation.now + seconds
        )

    def kill(self) -> None:
        """End the process at once; nothing of it runs any more."""
        self.is_alive = False
        self.simulation.processes.remove(self)

    def runs_at(self) -> float:
        """Return when it has to run again."""
        return max(self.loop.wakes_at, self.paused_until)

    def close(self) -> None:
        """Release the event loop; its tasks end without running on."""
        for _ in range(_MAX_CANCEL_ROUNDS):
            # A task that ends may start others.
            tasks = asyncio.all_tasks(self.loop)
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            self.loop.run_until_idle()
        self.loop.close()

    def _record_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        if self.is_alive:
            self.simulation.record_exception(self.name, context)


class Simulation:
    """The clock, the events that are due and the processes."""

    def __init__(self) -> None:
        """Start without processes and events."""
        self.now = _START_S
        self.processes: list[Process] = []
        self.exceptions: list[str] = []
        self.events: list[tuple[float, int, Callback]] = []
        self.sequence = itertools.count()

    def call_later(self, delay: float, callback: Callback) -> None:
        """Call back after `delay` seconds, outside of any process."""
        event = (self.now + delay, next(self.sequence), callback)
        heapq.heappush(self.events, event)

    def run_until(self, stop_at: float) -> None:
        """Run events and processes up to a point in time."""
        turns = 0
        while True:
            due_at = self._next_due()
            if due_at > stop_at:
                self.now = stop_at
                return
            turns = turns + 1 if due_at <= self.now else 0
            if turns > _MAX_TURNS_AT_ONCE:
                raise RuntimeError(f'no progress at {self.now}')
            self.now = max(self.now, due_at)
            self._run_due()

    def record_exception(
        self, process: str, context: dict[str, typing.Any]
    ) -> None:
        """Record an exception that no task of a process has handled."""
        details = context.get('exception') or context.get('message')
        self.exceptions.append(f'{process}: {details!r}')

    def _next_due(self) -> float:
        times = [process.runs_at() for process in self.processes]
        if self.events:
            times.append(self.events[0][0])
        return min(times, default=math.inf)

    def _run_due(self) -> None:
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()
        for process in list(self.processes):
            if process.is_alive and process.runs_at() <= self.now:
                process.loop.run_until_idle()
