"""Calls to the endpoint that run and stop single tasks."""

import asyncio
import time
import typing

import aiohttp
import msgspec

from poplardrum import errors, ids
from poplardrum.peers import messages

_OK: typing.Final = 200
_STOPPED: typing.Final = 410
_MAX_OUTPUT: typing.Final = 65536


class Output(msgspec.Struct, frozen=True):
    """Body of the endpoint's answer."""

    output: str = ''
    error: str = ''


class Runner:
    """Run tasks at one endpoint over pooled connections."""

    def __init__(self, worker: ids.MemberId, connections: int) -> None:
        """Open at most `connections` connections."""
        self.worker = worker
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connections),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def run(
        self,
        address: str,
        task: ids.TaskId,
        spec: messages.TaskSpec,
        seconds: float,
    ) -> messages.TaskOutcome:
        """Run a task for at most `seconds`; never raise for its failure."""
        started = time.monotonic()
        try:
            status, reply = await self._post(address, task, spec, seconds)
        except aiohttp.ClientConnectorError:
            return self._failed(
                errors.Verdict.not_run,
                errors.Code.endpoint_failed,
                started,
            )
        except asyncio.TimeoutError:
            await self.stop(address, task)
            return self._failed(
                errors.Verdict.may_have_run,
                errors.Code.deadline,
                started,
            )
        except (aiohttp.ClientError, msgspec.DecodeError, OSError):
            return self._failed(
                errors.Verdict.may_have_run,
                errors.Code.endpoint_failed,
                started,
            )
        return self._outcome(status, reply, started)

    async def stop(self, address: str, task: ids.TaskId) -> None:
        """Ask the endpoint to stop a task; a failure changes nothing."""
        try:
            response = await self.session.delete(
                _url(address, task),
                timeout=aiohttp.ClientTimeout(total=2),
            )
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return
        response.release()

    async def _post(
        self,
        address: str,
        task: ids.TaskId,
        spec: messages.TaskSpec,
        seconds: float,
    ) -> tuple[int, Output]:
        body = {
            'kind': spec.kind,
            'payload': spec.payload,
            'idempotent': spec.idempotent,
        }
        async with self.session.post(
            _url(address, task),
            data=msgspec.json.encode(body),
            headers={'Content-Type': 'application/json'},
            timeout=aiohttp.ClientTimeout(total=seconds),
        ) as response:
            content = await response.read()
            reply = msgspec.json.decode(content, type=Output)
            return response.status, reply

    def _outcome(
        self,
        status: int,
        reply: Output,
        started: float,
    ) -> messages.TaskOutcome:
        code = errors.Code.ok
        if status == _STOPPED:
            code = errors.Code.cancelled
        elif status != _OK:
            code = errors.Code.task_failed
        return messages.TaskOutcome(
            verdict=errors.Verdict.ran,
            code=code,
            output=(reply.output or reply.error)[:_MAX_OUTPUT],
            worker=self.worker,
            seconds=time.monotonic() - started,
        )

    def _failed(
        self,
        verdict: errors.Verdict,
        code: errors.Code,
        started: float,
    ) -> messages.TaskOutcome:
        return messages.TaskOutcome(
            verdict=verdict,
            code=code,
            worker=self.worker,
            seconds=time.monotonic() - started,
        )


def _url(address: str, task: ids.TaskId) -> str:
    return f'http://{address}/tasks/{task.job}.{task.position}'
