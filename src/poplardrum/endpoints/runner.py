"""HTTP calls to an endpoint that run and stop single tasks."""

import asyncio
import time
import typing

import aiohttp
import msgspec

from poplardrum import decoding, errors, ids
from poplardrum.peers import messages

_STATUS_OK: typing.Final = 200
_STATUS_STOPPED: typing.Final = 410
_STATUS_NOT_RUNNING: typing.Final = 404
_MAX_OUTPUT_CHARS: typing.Final = 65536
_STOP_TIMEOUT_S: typing.Final = 2
_HEADERS: typing.Final = {'Content-Type': 'application/json'}


class EndpointReply(msgspec.Struct, frozen=True):
    """Body of an endpoint's reply to a request to run a task."""

    output: str = ''
    error: str = ''


class Runner:
    """Run tasks at one endpoint over pooled connections."""

    def __init__(self, worker: ids.MemberId, connections: int) -> None:
        """Open at most `connections` connections.

        The caller sets the timeout of each call, so that of aiohttp, which
        would only add a timer, is disabled.
        """
        self.worker = worker
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connections),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def run(
        self,
        address: str,
        task: ids.TaskId,
        spec: messages.TaskSpec,
        timeout: asyncio.Timeout,
    ) -> messages.TaskOutcome:
        """Run a task within `timeout`; a failure is returned, not raised.

        The verdict is `not_run` only if no connection could be opened.
        """
        started_at = time.monotonic()
        try:
            async with timeout:
                status, reply = await self._post(address, task, spec)
        except aiohttp.ClientConnectorError:
            verdict, code = (
                errors.Verdict.not_run,
                errors.Code.endpoint_failed,
            )
        except TimeoutError:
            verdict, code = errors.Verdict.may_have_run, errors.Code.deadline
        except (aiohttp.ClientError, msgspec.DecodeError, OSError):
            verdict, code = (
                errors.Verdict.may_have_run,
                errors.Code.endpoint_failed,
            )
        else:
            return self._outcome(status, reply, started_at)
        return messages.TaskOutcome(
            verdict=verdict,
            code=code,
            worker=self.worker,
            seconds=time.monotonic() - started_at,
        )

    async def stop(self, address: str, task: ids.TaskId) -> bool:
        """Stop a task; return whether it is certain not to run any more.

        An endpoint to which no connection can be opened runs no tasks.
        """
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                async with self.session.delete(_url(address, task)) as reply:
                    return reply.status in {
                        _STATUS_OK,
                        _STATUS_STOPPED,
                        _STATUS_NOT_RUNNING,
                    }
        except aiohttp.ClientConnectorError:
            return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _post(
        self,
        address: str,
        task: ids.TaskId,
        spec: messages.TaskSpec,
    ) -> tuple[int, EndpointReply]:
        body = {
            'kind': spec.kind,
            'payload': spec.payload,
            'idempotent': spec.idempotent,
        }
        async with self.session.post(
            _url(address, task),
            data=msgspec.json.encode(body),
            headers=_HEADERS,
        ) as response:
            content = await response.read()
            reply = decoding.decode_json(content, EndpointReply)
            return response.status, reply

    def _outcome(
        self,
        status: int,
        reply: EndpointReply,
        started_at: float,
    ) -> messages.TaskOutcome:
        code = errors.Code.ok
        if status == _STATUS_STOPPED:
            code = errors.Code.cancelled
        elif status != _STATUS_OK:
            code = errors.Code.task_failed
        return messages.TaskOutcome(
            verdict=errors.Verdict.ran,
            code=code,
            output=(reply.output or reply.error)[:_MAX_OUTPUT_CHARS],
            worker=self.worker,
            seconds=time.monotonic() - started_at,
        )


def with_code(
    outcome: messages.TaskOutcome,
    code: errors.Code,
) -> messages.TaskOutcome:
    """Return a copy of an outcome with another code."""
    return msgspec.structs.replace(outcome, code=code)


def _url(address: str, task: ids.TaskId) -> str:
    return f'http://{address}/tasks/{task.job}.{task.position}'
