"""HTTP requests of callers at an entry."""

import asyncio
import logging
import math
import typing

from aiohttp import web

from poplardrum import errors, ids, log_events
from poplardrum.callers import replies
from poplardrum.dispatch import (
    admission,
    clocks,
    coordinator,
    estimates,
    jobs,
    messages,
    metrics,
    records,
    reloading,
    routes,
    stored,
)
from poplardrum.platform import callers

logger = logging.getLogger(__name__)

_DEFAULT_PATIENCE: typing.Final = 10.0
_ANSWER_MARGIN: typing.Final = 0.03
_MILLISECONDS: typing.Final = 1000
# A process that has just started does not know the fleet yet.
_START_UP: typing.Final = 2.5
# Requests wait this long for the first configuration, in seconds.
_FIRST_CONFIGURATION: typing.Final = 0.5
_MAX_QUEUES: typing.Final = 256
_JSON: typing.Final = 'application/json'

# The users' callers send a job again after 504 and never after 503.
_STATUS: typing.Final = {
    **replies.STATUS,
    errors.Code.unknown_job: 410,
    errors.Code.key_reused: 504,
    errors.Code.overload: 503,
}
_ANSWERS: typing.Final = {
    jobs.Answer.completed: callers.COMPLETED,
    jobs.Answer.failed: callers.FAILED,
}


class Intake:
    """Take jobs, wait for their end and answer."""

    def __init__(
        self,
        settings: reloading.Settings,
        table: routes.Routes,
        coordinated: coordinator.Coordinator,
        kept: stored.StoredJobs,
    ) -> None:
        """Start ready as soon as configuration and agents are known."""
        self.stored = kept
        self.settings = settings
        self.table = table
        self.jobs = coordinated
        self.open_requests = 0
        self.began = clocks.now()
        self.most_usable = 0
        self.metrics = metrics.Metrics()
        self.metrics.gauges = self._gauges
        self.predictors: dict[str, estimates.WorkPredictor] = {}
        self.stop_at = math.inf
        self.stopping = False

    def stop(self, stop_at: float) -> None:
        """Take only what can be answered before `stop_at`."""
        self.stopping = True
        self.stop_at = stop_at

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Answer the balancer."""
        usable = (
            not self.stopping
            and self.table.configuration is not None
            and any(agent.link for agent in self.jobs.agents.values())
        )
        return web.Response(status=200 if usable else 503)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request of a caller."""
        self.open_requests += 1
        arrived = asyncio.get_running_loop().time()
        try:
            response = await self._answer(request, arrived)
        except errors.PoplardrumError as error:
            self.metrics.increment('replies', error.code.value)
            response = _refuse(request, error, arrived)
        finally:
            self.open_requests -= 1
        if self.stopping:
            response.force_close()
        return response

    async def _answer(
        self,
        request: web.BaseRequest,
        arrived: float,
    ) -> web.Response:
        if self.table.configuration is None:
            await self.table.first(_FIRST_CONFIGURATION)
        route = self._route(request)
        job_id = callers.job_id(route, request.path)
        if request.method != 'POST':
            return await self._other(request, route, job_id)
        if job_id is None:
            raise errors.refusal(errors.Code.bad_request, 'malformed id')
        if route.advice:
            raise errors.refusal(
                errors.Code.unsupported,
                'queues with advice are not served',
            )
        wanted = callers.decode_submission(await request.read())
        if not wanted.unstored:
            return await self._store(request, route, job_id, wanted)
        job = self._job(request, route, job_id, wanted, arrived)
        self.jobs.submit(job)
        try:
            answer = await job.answer
        finally:
            self.jobs.finish(job)
        single = len(job.steps) == 1
        if answer is jobs.Answer.completed and single and job.ran_once():
            self._predictor(job.queue).learn(
                job.estimate,
                job.patience,
                [task.work for task in job.tasks],
            )
        self._account(job, answer, arrived)
        return _body(_ANSWERS[answer])

    def _account(
        self,
        job: jobs.Job,
        answer: jobs.Answer,
        arrived: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.metrics.increment('replies', answer.value)
        self.metrics.observe('response_seconds', job.queue, now - arrived)
        self.metrics.observe(
            'first_start_seconds',
            job.queue,
            job.started_at - arrived,
        )
        _log(job, answer.value, now)

    def busy(self) -> bool:
        """Return whether requests or stored jobs are open here."""
        return bool(self.open_requests or self.stored.ownership.owned)

    def _gauges(self) -> dict[str, float]:
        configuration = self.table.configuration
        agents = self.jobs.agents.values()
        return {
            'agents_usable': sum(agent.usable() for agent in agents),
            'jobs_in_progress': len(self.jobs.jobs),
            'jobs_waiting': len(self.jobs.queue),
            'stored_jobs_owned': len(self.stored.ownership.owned),
            'records_to_commit': len(self.stored.ownership.writer.dirty),
            'configuration_number': configuration.number
            if configuration
            else 0,
            'store_reachable': self.table.reachable,
            'stopping': self.stopping,
        }

    def _route(self, request: web.BaseRequest) -> callers.Route:
        configuration = self.table.configuration
        if configuration is None:
            raise errors.refusal(
                errors.Code.no_configuration,
                'no configuration yet',
                retry_after=1,
            )
        host = request.headers.get('Host', '').partition(':')[0]
        route = configuration.match(host, request.path)
        if route is not None:
            return route
        if not self.table.fresh(self.settings.config.config_bound):
            raise errors.refusal(
                errors.Code.unavailable,
                'route unknown here, and the store cannot be asked',
                retry_after=1,
            )
        raise errors.refusal(errors.Code.unknown_route, 'no such route')

    async def _store(
        self,
        request: web.BaseRequest,
        route: callers.Route,
        job_id: ids.JobId,
        wanted: callers.Submission,
    ) -> web.Response:
        steps = _steps(wanted)
        aim = route.stretch * jobs.chain(steps)
        aim += route.target_ms / _MILLISECONDS
        self._refuse_beyond_stop(aim)
        record = records.Record(
            owner=self.stored.ownership.incarnation,
            epoch=0,
            queue=route.name,
            service=route.service,
            urgency=route.urgency,
            attempts=max(route.attempts, 1),
            aim=aim,
            specification=wanted.specification,
            steps=steps,
        )
        patience = callers.patience(request.headers, _DEFAULT_PATIENCE)
        await self.stored.submit(job_id, record, patience - _ANSWER_MARGIN)
        self.metrics.increment('replies', 'stored')
        return _body(callers.ACCEPTED)

    async def _other(
        self,
        request: web.BaseRequest,
        route: callers.Route,
        job_id: ids.JobId | None,
    ) -> web.Response:
        if request.method == 'GET' and request.path == route.prefix:
            count = await self.stored.waiting(route.name)
            return _body(callers.encode_waiting(count))
        if job_id is None:
            raise errors.refusal(errors.Code.unknown_job, 'no such job')
        if request.method == 'DELETE':
            await self.stored.cancel(job_id)
            return _body(callers.ACCEPTED)
        state = await self.stored.state(job_id)
        return _body(callers.encode_state(state))

    def _job(
        self,
        request: web.BaseRequest,
        route: callers.Route,
        job_id: ids.JobId,
        wanted: callers.Submission,
        arrived: float,
    ) -> jobs.Job:
        steps = _steps(wanted)
        estimate = jobs.chain(steps)
        patience = callers.patience(request.headers, _DEFAULT_PATIENCE)
        predictor = self._predictor(route.name)
        work = predictor.predict(estimate, patience)
        nominal = work * predictor.scale()
        aim = route.stretch * nominal + route.target_ms / _MILLISECONDS
        self._refuse_beyond_stop(aim)
        return jobs.Job(
            id=job_id,
            queue=route.name,
            urgency=route.urgency,
            attempts=max(route.attempts, 1),
            specification=wanted.specification,
            service=route.service,
            steps=steps,
            estimate=estimate,
            patience=patience,
            work=work,
            predicted=predictor.known(),
            tasks=jobs.make_tasks(steps),
            arrived=arrived,
            aim=aim,
            refuse_at=arrived + self._longest_wait(aim, work, patience),
            give_up_at=arrived + patience - _ANSWER_MARGIN,
            answer=asyncio.get_running_loop().create_future(),
        )

    def _refuse_beyond_stop(self, aim: float) -> None:
        """Refuse a job that cannot end before this entry does."""
        if clocks.now() + aim > self.stop_at:
            raise errors.refusal(
                errors.Code.stopping,
                'this entry is stopping',
                retry_after=1,
            )

    def _predictor(self, queue: str) -> estimates.WorkPredictor:
        found = self.predictors.get(queue)
        if found is None:
            if len(self.predictors) >= _MAX_QUEUES:
                self.predictors.clear()
            found = estimates.WorkPredictor()
            self.predictors[queue] = found
        return found

    def _longest_wait(
        self,
        aim: float,
        work: float,
        patience: float,
    ) -> float:
        agents = self.jobs.agents.values()
        usable = sum(agent.usable() for agent in agents)
        self.most_usable = max(self.most_usable, usable)
        starting = clocks.now() - self.began < _START_UP
        return admission.longest_wait(
            aim,
            work,
            patience,
            admission.fastest(agents),
            starting or admission.recovering(agents, self.most_usable),
        )


def _body(content: bytes) -> web.Response:
    return web.Response(body=content, content_type=_JSON)


def _steps(wanted: callers.Submission) -> list[jobs.Step]:
    found = []
    first = 0
    for number, step in enumerate(wanted.steps):
        found.append(
            jobs.Step(
                number,
                first,
                step.count,
                messages.Resources(step.cpu, step.memory_mb, step.gpus),
                step.estimate_ms / _MILLISECONDS,
                step.label,
                step.data_rack,
                step.spread_limit,
                tuple(step.after),
            ),
        )
        first += step.count
    return found


def _refuse(
    request: web.BaseRequest,
    error: errors.PoplardrumError,
    arrived: float,
) -> web.Response:
    waited = asyncio.get_running_loop().time() - arrived
    log_events.emit(
        logger,
        'request refused',
        job=request.path.rpartition('/')[2],
        code=error.code.value,
        verdict=error.verdict.value,
        why=error.message,
        after_ms=_milliseconds(waited),
        host=request.headers.get('Host', ''),
        path=request.path,
    )
    headers = {}
    if error.retry_after is not None:
        headers[callers.RETRY_HEADER] = str(math.ceil(error.retry_after))
    return web.Response(
        status=_STATUS[error.code],
        headers=headers,
        body=b'{}',
        content_type=_JSON,
    )


def _log(job: jobs.Job, outcome: str, now: float) -> None:
    log_events.emit(
        logger,
        'job answered',
        job=job.id,
        outcome=outcome,
        queue=job.queue,
        tasks=len(job.tasks),
        runs=sum(task.run for task in job.tasks),
        time_ms=_milliseconds(now - job.arrived),
        aim_ms=_milliseconds(job.aim),
        first_start_ms=_milliseconds(job.started_at - job.arrived),
        last_start_ms=_milliseconds(job.placed_at - job.arrived),
        patience_ms=_milliseconds(job.patience),
        estimate_ms=_milliseconds(job.estimate),
        predicted_ms=_milliseconds(job.work),
    )


def _milliseconds(seconds: float) -> int:
    return int(seconds * _MILLISECONDS)
