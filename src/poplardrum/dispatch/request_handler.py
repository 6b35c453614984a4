"""HTTP requests of callers at an entry."""

import asyncio
import logging
import math
import time
import typing

from aiohttp import web_request, web_response

from poplardrum import errors, ids
from poplardrum.dispatch import (
    clocks,
    coordinator,
    job_factory,
    job_widths,
    jobs,
    metrics,
    reloading,
    responses,
    routes,
    stale_requests,
    stored_jobs,
    submissions,
)
from poplardrum.platform import job_api

logger = logging.getLogger(__name__)

_DEFAULT_CLIENT_TIMEOUT_S: typing.Final = 10.0
_MS_PER_S: typing.Final = 1000
_FIRST_CONFIGURATION_TIMEOUT_S: typing.Final = 0.5


class RequestHandler:
    """Accept jobs, wait for their outcome and respond."""

    def __init__(
        self,
        settings: reloading.Settings,
        route_table: routes.RouteTable,
        job_coordinator: coordinator.Coordinator,
        stored: stored_jobs.StoredJobs,
    ) -> None:
        """Create a handler; it is ready once it has a configuration and agents."""
        self.stored_jobs = stored
        self.settings = settings
        self.route_table = route_table
        self.coordinator = job_coordinator
        self.open_requests = 0
        self.metrics = metrics.Metrics()
        self.metrics.gauges = self._read_gauges
        if job_coordinator.placer.look_ahead is not None:
            job_coordinator.placer.look_ahead.count = self.metrics.increment
        self.factory = job_factory.JobFactory(
            job_coordinator.index, time.time()
        )
        self.predictors = self.factory.predictors
        self.stop_at = math.inf
        self.stopping = False
        # Raises a refusal while no job can be run anywhere.
        self.check_open: typing.Callable[[], None] = _allow
        self.stale_requests = stale_requests.StaleRequests(
            job_coordinator.continuity, settings.config.resubmission
        )

    def drain(self, stop_at: float) -> None:
        """Accept only jobs that can be over before `stop_at`."""
        self.stopping = True
        self.stop_at = stop_at

    async def handle_readiness(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        """Respond to a readiness check of the load balancer."""
        is_ready = (
            not self.stopping
            and self.route_table.configuration is not None
            and any(agent.link for agent in self.coordinator.agents.values())
        )
        return web_response.Response(status=200 if is_ready else 503)

    async def handle_request(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        """Handle one request of a caller."""
        self.open_requests += 1
        arrived_at = asyncio.get_running_loop().time()
        try:
            response = await self._dispatch(request, arrived_at)
        except errors.PoplardrumError as error:
            self.metrics.increment('replies', error.code.value)
            response = responses.error_response(request, error, arrived_at)
        finally:
            self.open_requests -= 1
        self.stale_requests.record_response(request.transport)
        if self.stopping:
            response.force_close()
        return response

    async def _dispatch(
        self,
        request: web_request.BaseRequest,
        arrived_at: float,
    ) -> web_response.Response:
        if self.route_table.configuration is None:
            await self.route_table.wait_for_first(
                _FIRST_CONFIGURATION_TIMEOUT_S
            )
        route = self._match_route(request)
        job_id = job_api.parse_job_id(route, request.path)
        if request.method != 'POST':
            return await self._handle_query(request, route, job_id)
        if job_id is None:
            raise errors.refusal(errors.Code.bad_request, 'malformed id')
        if route.advice:
            raise errors.refusal(
                errors.Code.unsupported,
                'queues with advice are not served',
            )
        submission = await submissions.receive(
            request, _DEFAULT_CLIENT_TIMEOUT_S
        )
        if not submission.best_effort:
            return await self._submit_stored(request, route, job_id, submission)
        self.check_open()
        client_timeout = job_api.read_client_timeout(
            request.headers, _DEFAULT_CLIENT_TIMEOUT_S
        )
        job = self.factory.make(
            job_id, route, submission, client_timeout, arrived_at
        )
        self._refuse_beyond_stop(job.target_latency)
        return await self._run_job(job, request.transport)

    async def _run_job(
        self, job: jobs.Job, transport: asyncio.BaseTransport | None
    ) -> web_response.Response:
        try:
            await self.stale_requests.hold(job, transport)
            self.check_open()
            self.coordinator.submit(job)
            outcome = await job.outcome
        except asyncio.CancelledError:
            self._record_disconnect(job)
            raise
        except errors.PoplardrumError as error:
            self._record_unserved(job, error)
            raise
        finally:
            self.coordinator.finish(job)
        is_single_step = len(job.steps) == 1
        if (
            outcome is jobs.JobOutcome.completed
            and is_single_step
            and job.ran_once()
        ):
            self.predictors.get(job.queue).learn(
                job.estimate,
                job.client_timeout,
                [task.normalized_duration for task in job.tasks],
            )
        self._record_response(job, outcome)
        return responses.outcome_response(outcome)

    def _record_response(
        self,
        job: jobs.Job,
        outcome: jobs.JobOutcome,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.metrics.increment('replies', outcome.value)
        self.metrics.observe(
            'response_seconds', job.queue, now - job.arrived_at
        )
        self.metrics.observe(
            'first_start_seconds',
            job.queue,
            job.started_at - job.arrived_at,
        )
        if self.coordinator.placer.look_ahead is not None:
            self.metrics.observe(
                'placement_wait_seconds',
                job_widths.label(len(job.tasks)),
                job.last_placed_at - job.arrived_at,
            )
        responses.log_job(job, outcome.value, now)

    def _record_unserved(
        self, job: jobs.Job, error: errors.PoplardrumError
    ) -> None:
        waited = asyncio.get_running_loop().time() - job.arrived_at
        self.metrics.increment(
            'unserved', f'{job.queue} {job.urgency} {error.code.value}'
        )
        self.metrics.observe('unserved_seconds', job.queue, waited)
        self.metrics.increment(
            'refused_by_width', job_widths.label(len(job.tasks))
        )

    def _record_disconnect(self, job: jobs.Job) -> None:
        """Record that the caller has gone; the runs of its job are stopped."""
        self.metrics.increment('replies', 'caller_gone')
        responses.log_disconnect(job, asyncio.get_running_loop().time())

    def is_busy(self) -> bool:
        """Return whether this entry has open requests or owns stored jobs."""
        return bool(self.open_requests or self.stored_jobs.ownership.owned_jobs)

    def _read_gauges(self) -> dict[str, float]:
        configuration = self.route_table.configuration
        agents = self.coordinator.agents.values()
        return {
            'agents_usable': sum(agent.is_usable() for agent in agents),
            'jobs_in_progress': len(self.coordinator.jobs),
            'jobs_waiting': len(self.coordinator.placer.pending_jobs),
            'stored_jobs_owned': len(self.stored_jobs.ownership.owned_jobs),
            'records_to_commit': len(
                self.stored_jobs.ownership.writer.dirty_records
            ),
            'configuration_number': configuration.number
            if configuration
            else 0,
            'store_reachable': self.route_table.store_reachable,
            'stopping': self.stopping,
        }

    def _match_route(self, request: web_request.BaseRequest) -> job_api.Route:
        configuration = self.route_table.configuration
        if configuration is None:
            raise errors.refusal(
                errors.Code.no_configuration,
                'no configuration yet',
                retry_after=1,
            )
        host = request.headers.get('Host', '').partition(':')[0]
        route = configuration.find_route(host, request.path)
        if route is not None:
            return route
        if not self.route_table.is_fresh(self.settings.config.config_bound):
            raise errors.refusal(
                errors.Code.unavailable,
                'route unknown here, and the store cannot be asked',
                retry_after=1,
            )
        raise errors.refusal(errors.Code.unknown_route, 'no such route')

    async def _submit_stored(
        self,
        request: web_request.BaseRequest,
        route: job_api.Route,
        job_id: ids.JobId,
        submission: job_api.Submission,
    ) -> web_response.Response:
        steps = submissions.make_steps(submission)
        target_latency = route.stretch * jobs.critical_path_duration(steps)
        target_latency += route.base_latency_ms / _MS_PER_S
        self._refuse_beyond_stop(target_latency)
        record = submissions.make_record(
            submission,
            route,
            steps,
            target_latency,
            self.stored_jobs.ownership.incarnation,
        )
        client_timeout = job_api.read_client_timeout(
            request.headers, _DEFAULT_CLIENT_TIMEOUT_S
        )
        try:
            self.check_open()
        except errors.PoplardrumError:
            # A job that was accepted before and comes again is not refused.
            if not await self.stored_jobs.is_known(job_id):
                raise
        await self.stored_jobs.submit(
            job_id, record, client_timeout - job_factory.RESPONSE_MARGIN_S
        )
        self.metrics.increment('replies', 'stored')
        return responses.json_response(job_api.ACCEPTED_BODY)

    async def _handle_query(
        self,
        request: web_request.BaseRequest,
        route: job_api.Route,
        job_id: ids.JobId | None,
    ) -> web_response.Response:
        if request.method == 'GET' and request.path == route.prefix:
            count = await self.stored_jobs.waiting.count(route.name)
            return responses.json_response(job_api.encode_waiting_count(count))
        if job_id is None:
            raise errors.refusal(errors.Code.unknown_job, 'no such job')
        if request.method == 'DELETE':
            await self.stored_jobs.cancel(job_id)
            return responses.json_response(job_api.ACCEPTED_BODY)
        state = await self.stored_jobs.state(job_id)
        return responses.json_response(job_api.encode_state(state))

    def _refuse_beyond_stop(self, target_latency: float) -> None:
        """Refuse a job that cannot be over before this entry stops."""
        if clocks.now() + target_latency > self.stop_at:
            raise errors.refusal(
                errors.Code.stopping,
                'this entry is stopping',
                retry_after=1,
            )


def _allow() -> None:
    """Refuse nothing."""
