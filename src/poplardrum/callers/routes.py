"""Routes for callers: submit, fetch and cancel jobs."""

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

# Extra time for the coordinator's own reply at the deadline to arrive.
_REPLY_MARGIN: typing.Final = 2.0
_FETCH_SECONDS: typing.Final = 60.0

Handler = typing.Callable[[web.Request], typing.Awaitable[web.Response]]


def routes(process: 'entry.Entry') -> list[web.RouteDef]:
    """Return the routes of the callers' interface."""
    caller = CallerRoutes(process)
    return [
        web.post('/v1/jobs', caller.guarded(caller.submit)),
        web.get('/v1/jobs/{key}', caller.guarded(caller.fetch)),
        web.delete('/v1/jobs/{key}', caller.guarded(caller.cancel)),
    ]


class CallerRoutes:
    """Turn HTTP requests into requests to coordinators."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Serve on behalf of one entry."""
        self.process = process

    def guarded(self, handler: Handler) -> Handler:
        """Wrap a handler so that every path ends in a coded reply."""

        async def guard(request: web.Request) -> web.Response:
            self.process.requests += 1
            try:
                return await handler(request)
            except errors.PoplardrumError as error:
                return replies.from_error(error)
            except web.HTTPRequestEntityTooLarge:
                return replies.from_error(
                    errors.refusal(errors.Code.too_large, 'body is too large'),
                )
            finally:
                self.process.requests -= 1

        return guard

    async def submit(self, request: web.Request) -> web.Response:
        """Run a job and answer with all of its tasks."""
        started = time.monotonic()
        self.process.ready()
        current = self.process.configuration.rules
        tenant = requests.authenticate(
            request.headers.get('Authorization'),
            current,
        )
        body = await request.read()
        job = requests.read_job(body, self.process.settings.limits)
        item = self.submit_item(request, tenant, job, requests.digest_of(body))
        logs.job_id.set(item.key)
        region = self.region(tenant, current)
        ticket = self.process.admission.admit(item, region)
        try:
            answer = await self.process.router.call(
                item,
                region,
                item.deadline_ms / 1000 + _REPLY_MARGIN,
            )
        finally:
            self.process.admission.finished(ticket)
        self.process.admission.learn(ticket, answer)
        self.record(tenant, item.job_class, answer.code, started)
        return replies.from_answer(
            answer,
            item.key,
            [task.idempotent for task in job.tasks] if answer.tasks else [],
        )

    def submit_item(
        self,
        request: web.Request,
        tenant: ids.TenantName,
        job: requests.JobBody,
        digest: bytes,
    ) -> messages.SubmitJob:
        """Build the request to the coordinator."""
        limits = self.process.settings.limits
        current = self.process.configuration.rules
        key_header = request.headers.get('Idempotency-Key')
        key = ids.new_key()
        if key_header is not None:
            key = requests.check_key(key_header, limits.key)
        attempt = request.headers.get('Poplardrum-Attempt', '')
        job_class = ids.ClassName(job.job_class)
        rule = current.classes.get(job_class, rules.ClassRule())
        region = self.region(tenant, current)
        return messages.SubmitJob(
            request=self.process.router.next_request(),
            tenant=tenant,
            key=key,
            digest=digest,
            first=key_header is None or attempt == 'first',
            job_class=job_class,
            urgency=rule.urgency,
            deadline_ms=job.deadline_ms or rule.deadline * 1000,
            tasks=requests.task_specs(job, current),
            wait=job.wait,
            hints=self.process.router.hints(region),
            unreachable=self.process.router.unreachable(region),
        )

    async def fetch(self, request: web.Request) -> web.Response:
        """Answer with a known job; `?wait=1` waits for its end."""
        self.process.ready()
        tenant, key = self.named_job(request)
        item = messages.FetchJob(
            self.process.router.next_request(),
            tenant,
            key,
            request.query.get('wait') == '1',
        )
        return await self.call(item)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a known job and answer with what ran of it."""
        self.process.ready()
        tenant, key = self.named_job(request)
        item = messages.CancelJob(
            self.process.router.next_request(),
            tenant,
            key,
        )
        return await self.call(item)

    async def call(
        self,
        item: messages.FetchJob | messages.CancelJob,
    ) -> web.Response:
        """Send a request about a known job to its coordinator."""
        region = self.region(item.tenant, self.process.configuration.rules)
        answer = await self.process.router.call(item, region, _FETCH_SECONDS)
        return replies.from_answer(answer, item.key, [])

    def named_job(
        self,
        request: web.Request,
    ) -> tuple[ids.TenantName, ids.IdempotencyKey]:
        """Return tenant and key of a request about a known job."""
        tenant = requests.authenticate(
            request.headers.get('Authorization'),
            self.process.configuration.rules,
        )
        limit = self.process.settings.limits.key
        return tenant, requests.check_key(request.match_info['key'], limit)

    def region(self, tenant: ids.TenantName, current: rules.Rules) -> str:
        """Return the home region of a tenant."""
        rule = current.tenants.get(tenant, rules.TenantRule())
        return rule.region or self.process.member.region

    def record(
        self,
        tenant: ids.TenantName,
        job_class: ids.ClassName,
        code: errors.Code,
        started: float,
    ) -> None:
        """Count a reply and its response time."""
        self.process.metrics.replies.labels(tenant, code.value).inc()
        self.process.metrics.latency.record(
            tenant,
            job_class,
            time.monotonic() - started,
        )
