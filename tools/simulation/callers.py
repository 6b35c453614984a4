"""Simulated callers, which submit a job again when it has no answer."""

import asyncio
import random
import typing

from poplardrum import ids
from tools.simulation import checks, fleet, processes, virtual_time

_NETWORK_DELAY_S: typing.Final = 0.002
# Some requests are held up until about the time of the next attempt. The end of
# the connection follows them after this delay at most.
_LATE_SHARE: typing.Final = 0.1
# Only first attempts with a short timeout, so that all jobs end in a scenario.
_MAX_TIMEOUT_S: typing.Final = 3.0
_LATE_RANGE_S: typing.Final = (-0.1, 0.5)
_MAX_END_DELAY_S: typing.Final = 0.006
_MAX_ATTEMPTS: typing.Final = 4
_RETRIED: typing.Final = frozenset((None, 504))
_MEAN_DURATIONS_S: typing.Final = (0.1, 0.4, 1.5)
_DURATION_FACTORS: typing.Final = (0.3, 1.0, 2.0)
_MAX_TASKS: typing.Final = 6


class Connection(asyncio.BaseTransport):
    """The connection of a caller to an entry."""


class Attempt:
    """One attempt to have a job run, at one entry."""

    def __init__(
        self,
        entry: processes.EntryProcess,
        request: checks.JobRequest,
        on_answer: typing.Callable[['Attempt', int | None], None],
        delay_s: float,
        end_delay_s: float,
    ) -> None:
        """Send a job to an entry; the answer is `None` if there is none.

        The request arrives `delay_s` later than others do.
        """
        self.process: virtual_time.Process = entry.process
        self.on_answer = on_answer
        self.end_delay_s = end_delay_s
        self.is_over = False
        self.has_left = False
        self.task: asyncio.Task[object] | None = None
        self.connection = Connection()
        simulation = self.process.simulation
        simulation.call_later(
            _NETWORK_DELAY_S,
            lambda: self.process.call(
                entry.stale_requests.record_response, self.connection
            ),
        )
        simulation.call_later(
            _NETWORK_DELAY_S + delay_s,
            lambda: self.process.call(self._arrive, entry, request),
        )
        simulation.call_later(request.client_timeout, self.leave)

    def settle(self, answer: int | None) -> None:
        """Take the first answer."""
        if not self.is_over:
            self.is_over = True
            self.on_answer(self, answer)

    def leave(self) -> None:
        """Close the connection, as a caller does that waits no longer."""
        if not self.is_over:
            self.has_left = True
            self.process.call(self._cancel)
            self.settle(None)

    def _arrive(
        self, entry: processes.EntryProcess, request: checks.JobRequest
    ) -> None:
        self.task = entry.submit(request, self.connection, self._answer)
        if self.has_left:
            # The end of the connection closely follows a request that is late.
            self.process.simulation.call_later(
                self.end_delay_s, lambda: self.process.call(self._cancel)
            )

    def _answer(self, status: int) -> None:
        if self.process.is_alive:
            self.process.simulation.call_later(
                _NETWORK_DELAY_S, lambda: self.settle(status)
            )

    def _cancel(self) -> None:
        if self.task is not None:
            self.task.cancel()


class Callers:
    """Submit jobs at random times until stopped."""

    def __init__(self, simulated: fleet.Fleet, jobs_per_s: float) -> None:
        """Submit to random entries of a fleet."""
        self.fleet = simulated
        self.random = random.Random(simulated.random.random())
        self.mean_duration = self.random.choice(_MEAN_DURATIONS_S)
        self.jobs_per_s = min(jobs_per_s, jobs_per_s * 0.4 / self.mean_duration)
        self.stopped = False
        self.last_job = 0
        self.served = 0
        self.open_attempts: dict[Attempt, tuple[checks.JobRequest, int]] = {}
        simulated.on_end = self._on_process_end

    def submit_next(self) -> None:
        """Submit a job now and others later."""
        if self.stopped:
            return
        self.last_job += 1
        duration = self.mean_duration * self.random.choice(_DURATION_FACTORS)
        request = checks.JobRequest(
            ids.JobId(f'{self.last_job:016x}'),
            self.random.randint(1, _MAX_TASKS),
            self.random.choice((500, 1000, 2000)),
            duration,
            self.random.uniform(0.5, 3) + 2 * duration,
        )
        self.fleet.ledger.submitted[request.id] = request
        self._attempt(request, 1)
        self.fleet.simulation.call_later(
            self.random.expovariate(self.jobs_per_s), self.submit_next
        )

    def _attempt(self, request: checks.JobRequest, number: int) -> None:
        node = self.random.choice(self.fleet.entry_nodes)
        entry = self.fleet.entries.get(node)
        if entry is None:
            is_dark = node in self.fleet.network.dark_hosts
            self.fleet.ledger.answers[request.id].append(None)
            self._retry(
                request, number, request.client_timeout if is_dark else 0
            )
            return
        attempt = Attempt(
            entry,
            request,
            self._on_answer,
            self._request_delay(request, number),
            self.random.uniform(0, _MAX_END_DELAY_S),
        )
        self.open_attempts[attempt] = request, number

    def _request_delay(self, request: checks.JobRequest, number: int) -> float:
        may_be_late = number == 1 and request.client_timeout < _MAX_TIMEOUT_S
        if not may_be_late or self.random.random() >= _LATE_SHARE:
            return 0
        return (
            request.client_timeout
            + processes.RESUBMISSION_S
            + self.random.uniform(*_LATE_RANGE_S)
        )

    def _on_answer(self, attempt: Attempt, answer: int | None) -> None:
        request, number = self.open_attempts.pop(attempt)
        self.fleet.ledger.answers[request.id].append(answer)
        self.served += answer == 200
        if answer in _RETRIED:
            self._retry(request, number, 0)

    def _retry(
        self, request: checks.JobRequest, number: int, delay: float
    ) -> None:
        if number < _MAX_ATTEMPTS:
            self.fleet.simulation.call_later(
                delay + processes.RESUBMISSION_S,
                lambda: self._attempt(request, number + 1),
            )

    def _on_process_end(
        self, process: virtual_time.Process, noticed: bool
    ) -> None:
        for attempt in list(self.open_attempts):
            if noticed and attempt.process is process:
                attempt.settle(None)
