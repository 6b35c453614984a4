"""Client of a worker's endpoint, and the heartbeats that the endpoint sends."""

import asyncio
import enum
import typing

import aiohttp
import msgspec

from poplardrum import decoding, network_address

_HTTP_OK: typing.Final = 200
_HTTP_CONFLICT: typing.Final = 409
_HTTP_BUSY: typing.Final = frozenset((429, 503))
_JSON_HEADERS: typing.Final = {'Content-Type': 'application/json'}
_MS_PER_S: typing.Final = 1000
_HEARTBEAT_PATH_PREFIX: typing.Final = '/instances/'

_MIN_RUN_FIELDS: typing.Final = 4
# In one report.
MAX_LISTED_COMPLETIONS: typing.Final = 500

READY: typing.Final = 'ready'
DRAINING: typing.Final = 'draining'


class RequestResult(enum.Enum):
    """Result of a request to the endpoint.

    After `unanswered` the endpoint may still carry out the request. `unsent`
    means that nothing was sent, since the expected connection was closed.
    """

    accepted = 'accepted'
    fenced = 'fenced'
    superseded = 'superseded'
    expired = 'expired'
    no_capacity = 'no_room'
    unhealthy = 'unhealthy'
    invalid = 'invalid'
    unanswered = 'unanswered'
    unsent = 'unsent'


_RESULTS_BY_REASON: typing.Final = {
    'fence': RequestResult.fenced,
    'old': RequestResult.superseded,
    'late': RequestResult.expired,
    'room': RequestResult.no_capacity,
    'ticket': RequestResult.invalid,
}


class RunOutcome(enum.Enum):
    """How a run ended, as the endpoint lists it."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lease_expired = 'lapsed'
    broken = 'broken'
    alone = 'alone'


class StartRequest(typing.NamedTuple):
    """A run to start; without a checkpoint it starts from the beginning."""

    task: str
    run: int
    specification: str
    checkpoint: str = ''


class ActiveRun(typing.NamedTuple):
    """One run in progress, as a report lists it."""

    task: str
    run: int
    progress_percent: int


class Completion(typing.NamedTuple):
    """One ended run, as a report lists it.

    `number` counts the completions of the endpoint's incarnation.
    `checkpoint` is empty if the run has saved none.
    """

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str = ''


class Capacity(msgspec.Struct, frozen=True):
    """Resources of an endpoint when it runs nothing."""

    cpu_millicores: decoding.Amount = msgspec.field(name='Cpu')
    memory_mb: decoding.Amount = msgspec.field(name='RequestedMemoryMb')
    gpus: decoding.Amount = msgspec.field(default=0, name='Gpus')


class Heartbeat(msgspec.Struct, frozen=True):
    """State and capacity that an endpoint reports about itself.

    `born` is the Unix time of its start in milliseconds and identifies the
    incarnation. `clock_ms` is a reading of the endpoint's monotonic clock.
    """

    service: str = msgspec.field(name='Service')
    state: typing.Literal['ready', 'draining'] = msgspec.field(name='State')
    sequence: decoding.Sequence = msgspec.field(name='Sequence')
    capacity: Capacity = msgspec.field(name='Capacity')
    born: decoding.Sequence = 0
    clock_ms: decoding.Sequence = msgspec.field(default=0, name='ClockMs')
    labels: list[str] = msgspec.field(default_factory=list, name='Labels')
    # How much longer it is slow after a start.
    cold_remaining_ms: float = msgspec.field(default=0, name='ColdRemainingMs')


class _ReplyBody(msgspec.Struct):
    clock_ms: int = msgspec.field(default=0, name='ClockMs')
    reason: str = msgspec.field(default='', name='Reason')
    born: int = 0


class _ReportBody(msgspec.Struct):
    clock_ms: int = msgspec.field(name='ClockMs')
    running: list[list[typing.Any]] = msgspec.field(
        default_factory=list,
        name='Running',
    )
    finished: list[tuple[int, str, int, RunOutcome, typing.Any]] = (
        msgspec.field(
            default_factory=list,
            name='Finished',
        )
    )
    born: int = 0


class Reply(msgspec.Struct, frozen=True):
    """Reply to a request; `clock_ms` is 0 if the endpoint sent none."""

    result: RequestResult
    clock_ms: int = 0
    incarnation: int = 0


class Report(msgspec.Struct, frozen=True):
    """Active runs of an endpoint and the completions that it still keeps.

    Unless it is `complete`, the endpoint may keep more completions than the
    report lists.
    """

    clock_ms: int
    incarnation: int
    active_runs: list[ActiveRun]
    completions: list[Completion]
    complete: bool = True


def decode_heartbeat(body: bytes) -> Heartbeat | None:
    """Return the heartbeat, or `None` if it is malformed."""
    try:
        return decoding.decode_json(body, Heartbeat)
    except ValueError:
        return None


def parse_instance_id(path: str) -> str | None:
    """Return the endpoint's id in a request path, `None` if it has none."""
    if not path.startswith(_HEARTBEAT_PATH_PREFIX):
        return None
    return path.removeprefix(_HEARTBEAT_PATH_PREFIX) or None


class EndpointClient:
    """Client of the endpoint on an agent's host.

    A call that gets no reply in time returns `RequestResult.unanswered`.
    """

    def __init__(
        self, address: network_address.Address, max_connections: int
    ) -> None:
        """Use at most `max_connections` connections to `address`."""
        host, port = address
        self.base_url = f'http://{host}:{port}'
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=max_connections),
        )
        # One connection carries all report requests. Each incarnation of the
        # endpoint accepts its own, so a request on the connection of the last
        # report reaches the incarnation that sent that report, or none.
        self.report_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1),
            trace_configs=[_forbid_new_connections()],
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()
        await self.report_session.close()

    async def start(
        self,
        start: StartRequest,
        *,
        until_ms: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Reply:
        """Start a run and extend the lease to `until_ms`.

        `until_ms` is a time on the endpoint's clock.
        """
        request_body = {
            'Task': start.task,
            'Run': start.run,
            'Specification': start.specification,
            'UntilMs': until_ms,
            'FencingToken': fencing_token,
        }
        if start.checkpoint:
            request_body['Checkpoint'] = start.checkpoint
        return await self._send('/run-start', request_body, timeout_s)

    async def stop(
        self,
        task: str,
        run: int,
        *,
        fencing_token: int,
        timeout_s: float,
    ) -> Reply:
        """Stop a run; if it has not started, prevent its start."""
        request_body = {'Task': task, 'Run': run, 'FencingToken': fencing_token}
        return await self._send('/run-stop', request_body, timeout_s)

    async def fetch_report(
        self,
        *,
        fencing_token: int,
        last_seen: int,
        until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> Report | Reply:
        """Renew the lease of all runs and return the endpoint's report.

        The lease stays as it is if `until_ms` is `None`. The endpoint waits
        up to `wait_s` for a completion. It drops those up to the number
        `last_seen`, so they are not reported again. Such a number is valid
        for one incarnation of the endpoint: unless it is 0, the request is
        sent only on the connection of the last report, else it is `unsent`.
        """
        request_body = {'FencingToken': fencing_token, 'LastSeen': last_seen}
        if until_ms is not None:
            request_body['UntilMs'] = until_ms
        if wait_s:
            request_body['WaitMs'] = int(wait_s * _MS_PER_S)
        try:
            status, body = await self._post(
                '/hold',
                request_body,
                timeout_s,
                session=self.report_session,
                reuse_connection=last_seen > 0,
            )
        except _NewConnectionError:
            return Reply(RequestResult.unsent)
        if status != _HTTP_OK:
            return _decode_reply(status, body)
        try:
            return _build_report(decoding.decode_json(body, _ReportBody))
        except ValueError:
            return Reply(RequestResult.unanswered)

    async def _send(
        self,
        path: str,
        request_body: dict[str, typing.Any],
        timeout_s: float,
    ) -> Reply:
        status, body = await self._post(path, request_body, timeout_s)
        return _decode_reply(status, body)

    async def _post(
        self,
        path: str,
        request_body: dict[str, typing.Any],
        timeout_s: float,
        *,
        session: aiohttp.ClientSession | None = None,
        reuse_connection: bool = False,
    ) -> tuple[int, bytes]:
        try:
            async with (session or self.session).post(
                self.base_url + path,
                data=msgspec.json.encode(request_body),
                headers=_JSON_HEADERS,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                trace_request_ctx=reuse_connection,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return 0, b''


class _NewConnectionError(Exception):
    """A request that must reuse a connection would open a new one."""


def _forbid_new_connections() -> aiohttp.TraceConfig:
    """Return a trace that aborts such a request before it is sent."""

    async def check(
        session: aiohttp.ClientSession,
        context: typing.Any,
        details: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        if context.trace_request_ctx:
            raise _NewConnectionError

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(check)
    return trace


def _decode_reply(status: int, body: bytes) -> Reply:
    if not status:
        return Reply(RequestResult.unanswered)
    try:
        decoded = (
            decoding.decode_json(body, _ReplyBody) if body else _ReplyBody()
        )
    except ValueError:
        decoded = _ReplyBody()
    if status == _HTTP_OK:
        result = RequestResult.accepted
    elif status == _HTTP_CONFLICT:
        result = _RESULTS_BY_REASON.get(decoded.reason, RequestResult.invalid)
    elif status in _HTTP_BUSY:
        result = RequestResult.unhealthy
    else:
        result = RequestResult.invalid
    return Reply(result, decoded.clock_ms, decoded.born)


def _build_report(body: _ReportBody) -> Report:
    """Return the report; raise `ValueError` if a row is malformed.

    A report without one of its rows would end a run that is still active.
    """
    for row in body.running:
        if len(row) < _MIN_RUN_FIELDS or not (
            isinstance(row[0], str)
            and isinstance(row[1], int)
            and isinstance(row[3], int)
        ):
            raise ValueError(f'malformed run {row!r}')
    return Report(
        body.clock_ms,
        body.born,
        [ActiveRun(row[0], row[1], row[3]) for row in body.running],
        [Completion(*row[:4], _text_or_empty(row[4])) for row in body.finished],
        len(body.finished) < MAX_LISTED_COMPLETIONS,
    )


def _text_or_empty(value: object) -> str:
    return value if isinstance(value, str) else ''
