"""HTTP routes for callers: submit, fetch and cancel jobs."""

import logging
import time
import typing

from aiohttp import web

from poplardrum import errors, ids, logs
from poplardrum.callers import replies, requests
from poplardrum.operators import rules
from poplardrum.peers import messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry

logger = logging.getLogger(__name__)

# Time for the coordinator's reply to arrive if it is sent at the deadline.
_REPLY_MARGIN_S: typing.Final = 2.0
_FETCH_TIMEOUT_S: typing.Final = 60.0

# Items that handlers store in the request.
_TENANT_ITEM: typing.Final = 'tenant'
_KEY_ITEM: typing.Final = 'key'

Handler = typing.Callable[[web.Request], typing.Awaitable[web.Response]]


def routes(process: 'entry.Entry') -> list[web.RouteDef]:
    """Return the routes that an entry serves to callers."""
    handlers = CallerRoutes(process)
    return [
        web.post('/v1/jobs', handlers.with_error_replies(handlers.submit)),
        web.get('/v1/jobs/{key}', handlers.with_error_replies(handlers.fetch)),
        web.delete(
            '/v1/jobs/{key}', handlers.with_error_replies(handlers.cancel)
        ),
    ]


class CallerRoutes:
    """Handlers that forward HTTP requests to coordinators."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Serve the requests that arrive at one entry."""
        self.process = process

    def with_error_replies(self, handler: Handler) -> Handler:
        """Wrap a handler so that its errors are counted and get a reply."""

        async def handle(request: web.Request) -> web.Response:
            self.process.requests_in_flight += 1
            request[_TENANT_ITEM] = ids.TenantName('')
            try:
                return await handler(request)
            except errors.PoplardrumError as error:
                return self.refuse(request, error)
            except web.HTTPRequestEntityTooLarge:
                return self.refuse(
                    request,
                    errors.refusal(errors.Code.too_large, 'body is too large'),
                )
            finally:
                self.process.requests_in_flight -= 1

        return handle

    def refuse(
        self,
        request: web.Request,
        error: errors.PoplardrumError,
    ) -> web.Response:
        """Count and log a request that failed; return its reply."""
        logger.info(
            '%s %s: %s: %s',
            request.method,
            request.path,
            error.code.value,
            error.message,
        )
        self.process.metrics.count_reply(
            request[_TENANT_ITEM],
            error.code.value,
            refused=error.verdict is errors.Verdict.not_run,
        )
        return replies.from_error(error, request.get(_KEY_ITEM, ''))

    async def submit(self, request: web.Request) -> web.Response:
        """Submit a job; reply with the outcomes of all its tasks."""
        started_at = time.monotonic()
        self.process.check_ready()
        current = self.process.configuration.rules
        tenant = requests.authenticate(
            request.headers.get('Authorization'),
            current,
        )
        request[_TENANT_ITEM] = tenant
        limits = self.process.settings.limits
        body = await requests.read_body(request, limits.body_time)
        job = requests.decode_job(
            body, limits, current.limits.max_tasks_per_job
        )
        message = self.build_submit_request(
            request, tenant, job, requests.job_digest(body)
        )
        request[_KEY_ITEM] = message.key
        logs.job_id.set(message.key)
        region = self.home_region(tenant, current)
        ticket = self.process.admission.admit(message, region)
        try:
            answer = await self.process.router.call(
                message,
                region,
                message.deadline_ms / 1000 + _REPLY_MARGIN_S,
            )
        finally:
            self.process.admission.release(ticket)
        self.process.admission.learn(ticket, answer)
        self.record_reply(message, answer, started_at)
        return replies.from_answer(
            answer,
            message.key,
            [task.idempotent for task in job.tasks] if answer.tasks else [],
        )

    def build_submit_request(
        self,
        request: web.Request,
        tenant: ids.TenantName,
        job: requests.JobBody,
        digest: bytes,
    ) -> messages.SubmitJob:
        """Build the message that submits a job to a coordinator."""
        limits = self.process.settings.limits
        current = self.process.configuration.rules
        job_class = ids.JobClassName(job.job_class)
        rule = current.classes.get(job_class, rules.ClassRule())
        region = self.home_region(tenant, current)
        return messages.SubmitJob(
            request=self.process.router.next_request(),
            tenant=tenant,
            key=requests.read_key(request, limits.key),
            digest=digest,
            first=requests.is_first_attempt(request),
            job_class=job_class,
            urgency=rule.urgency,
            deadline_ms=job.deadline_ms or rule.deadline * 1000,
            tasks=requests.build_task_specs(job, current),
            wait=job.wait,
            hints=self.process.router.hints(region),
            unreachable=self.process.router.unreachable(region),
        )

    async def fetch(self, request: web.Request) -> web.Response:
        """Reply with the state of a job; `?wait=1` waits until it has ended.

        The wait ends at the operators' limit. The reply for a job that has
        not ended by then says that it is running.
        """
        self.process.check_ready()
        tenant, key = self.identify_job(request)
        if requests.read_wait(request.query):
            max_wait = self.process.configuration.rules.limits.max_wait
            try:
                return await self.call_coordinator(
                    self.build_fetch_request(tenant, key, True), max_wait
                )
            except errors.PoplardrumError as error:
                if error.code is not errors.Code.deadline:
                    raise
        return await self.call_coordinator(
            self.build_fetch_request(tenant, key, False),
            _FETCH_TIMEOUT_S,
        )

    def build_fetch_request(
        self,
        tenant: ids.TenantName,
        key: ids.IdempotencyKey,
        wait: bool,
    ) -> messages.FetchJob:
        """Build the message that requests the state of a job."""
        return messages.FetchJob(
            self.process.router.next_request(),
            tenant,
            key,
            wait,
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a job; reply with the outcomes of its tasks."""
        self.process.check_ready()
        tenant, key = self.identify_job(request)
        message = messages.CancelJob(
            self.process.router.next_request(),
            tenant,
            key,
        )
        return await self.call_coordinator(message, _FETCH_TIMEOUT_S)

    async def call_coordinator(
        self,
        message: messages.FetchJob | messages.CancelJob,
        timeout_s: float,
    ) -> web.Response:
        """Send a message about an existing job to its coordinator."""
        region = self.home_region(
            message.tenant, self.process.configuration.rules
        )
        answer = await self.process.router.call(message, region, timeout_s)
        self.count_reply(message.tenant, answer)
        return replies.from_answer(answer, message.key, [])

    def identify_job(
        self,
        request: web.Request,
    ) -> tuple[ids.TenantName, ids.IdempotencyKey]:
        """Return the tenant and key of a request about an existing job."""
        tenant = requests.authenticate(
            request.headers.get('Authorization'),
            self.process.configuration.rules,
        )
        request[_TENANT_ITEM] = tenant
        max_length = self.process.settings.limits.key
        key = requests.check_key(request.match_info['key'], max_length)
        request[_KEY_ITEM] = key
        logs.job_id.set(key)
        return tenant, key

    def home_region(self, tenant: ids.TenantName, current: rules.Rules) -> str:
        """Return a tenant's region, by default that of this process."""
        rule = current.tenants.get(tenant, rules.TenantRule())
        return rule.region or self.process.member.region

    def record_reply(
        self,
        message: messages.SubmitJob,
        answer: messages.Answer,
        started_at: float,
    ) -> None:
        """Count and log a reply and record its response time."""
        response_time = time.monotonic() - started_at
        self.count_reply(message.tenant, answer)
        self.process.metrics.latency.record(
            message.tenant,
            message.job_class,
            response_time,
        )
        logger.info(
            'tenant %s key %s: %s after %.3f s, %d tasks',
            message.tenant,
            message.key,
            answer.code.value,
            response_time,
            len(message.tasks),
            extra={'job': answer.job or message.key},
        )

    def count_reply(
        self, tenant: ids.TenantName, answer: messages.Answer
    ) -> None:
        """Count a reply in the metrics."""
        self.process.metrics.count_reply(
            tenant,
            answer.code.value,
            refused=(
                answer.verdict is errors.Verdict.not_run and not answer.tasks
            ),
        )
