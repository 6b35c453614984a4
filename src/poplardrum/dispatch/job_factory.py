"""Jobs that are not stored, as an entry creates them from submissions."""

import asyncio
import typing

from poplardrum import ids
from poplardrum.dispatch import (
    admission,
    clocks,
    estimates,
    jobs,
    room_index,
    run_numbers,
    submissions,
)
from poplardrum.platform import job_api

# Time for the response to reach its caller.
RESPONSE_MARGIN_S: typing.Final = 0.03
_MS_PER_S: typing.Final = 1000
# A process that has just started does not know the whole fleet yet, so the
# fleet counts as recovering.
_STARTUP_PERIOD_S: typing.Final = 2.5


class JobFactory:
    """Create jobs with predicted durations, time limits and run numbers."""

    def __init__(self, index: room_index.RoomIndex, time_of_day: float) -> None:
        """Create jobs for the agents of an index.

        `time_of_day` is in seconds since 1970.
        """
        self.index = index
        self.predictors = estimates.PredictorTable()
        self.run_numbers = run_numbers.RunNumbers(time_of_day)
        self.started_at = clocks.now()
        self.peak_usable = 0

    def make(
        self,
        job_id: ids.JobId,
        route: job_api.Route,
        submission: job_api.Submission,
        client_timeout: float,
        arrived_at: float,
    ) -> jobs.Job:
        """Return the job of a submission that arrived at `arrived_at`.

        Its caller waits for `client_timeout` seconds.
        """
        steps = submissions.make_steps(submission)
        estimate = jobs.critical_path_duration(steps)
        predictor = self.predictors.get(route.name)
        predicted_duration = predictor.predict(estimate, client_timeout)
        nominal_duration = predicted_duration * predictor.scale()
        target_latency = (
            route.stretch * nominal_duration + route.base_latency_ms / _MS_PER_S
        )
        return jobs.Job(
            id=job_id,
            queue=route.name,
            urgency=route.urgency,
            max_attempts=max(route.max_attempts, 1),
            specification=submission.specification,
            service=route.service,
            steps=steps,
            estimate=estimate,
            client_timeout=client_timeout,
            predicted_duration=predicted_duration,
            has_prediction=predictor.is_trained(),
            tasks=jobs.make_tasks(steps, self.run_numbers.next_attempt()),
            arrived_at=arrived_at,
            target_latency=target_latency,
            refuse_at=arrived_at
            + self._longest_wait(
                target_latency, predicted_duration, client_timeout
            ),
            deadline=arrived_at + client_timeout - RESPONSE_MARGIN_S,
            outcome=asyncio.get_running_loop().create_future(),
        )

    def _longest_wait(
        self,
        target_latency: float,
        predicted_duration: float,
        client_timeout: float,
    ) -> float:
        usable = self.index.usable_count()
        self.peak_usable = max(self.peak_usable, usable)
        is_starting = clocks.now() - self.started_at < _STARTUP_PERIOD_S
        if is_starting and not usable:
            return admission.wait_for_first_agents(client_timeout)
        return admission.longest_wait(
            target_latency,
            predicted_duration,
            client_timeout,
            self.index.min_slowness(),
            is_starting or admission.is_recovering(usable, self.peak_usable),
        )
