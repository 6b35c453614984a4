"""HTTP client that submits a job and repeats it under one key."""

import asyncio
import random
import typing

import aiohttp
import msgspec

from poplardrum import errors, ids
from poplardrum.callers import bodies

# Refusals name the time to come back; these bounds hold without one.
_DEFAULT_WAIT: typing.Final = 0.5
_MAX_WAIT: typing.Final = 30.0
_JITTER: typing.Final = 0.25
# A lost link leaves the outcome open: the same key attaches to the record.
_REPEATED: typing.Final = (errors.Code.link_lost.value,)

Sleep = typing.Callable[[float], typing.Awaitable[None]]


class Target(typing.NamedTuple):
    """Where and as whom to submit; `timeout` is in seconds a try."""

    entries: tuple[str, ...]
    credential: str
    key: ids.IdempotencyKey
    attempts: int = 5
    timeout: float = 90.0


class Try(typing.NamedTuple):
    """Outcome of one try: a reply, or why none came.

    `sent` is false when no connection was made, so nothing left the client.
    """

    entry: str
    status: int
    body: bodies.JobReplyBody | None
    problem: str = ''
    sent: bool = True


async def submit(
    target: Target,
    content: bytes,
    sleep: Sleep = asyncio.sleep,
) -> list[Try]:
    """Submit until a reply is final; return all tries in their order.

    Only the first try that was sent is marked first. A reply with a time to come back is
    repeated after that time at the next entry; so is a try that broke, as
    the key keeps it from starting anything twice.
    """
    tries: list[Try] = []
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=target.timeout),
    ) as session:
        while len(tries) < target.attempts:
            entry = target.entries[len(tries) % len(target.entries)]
            first = not any(attempt.sent for attempt in tries)
            tries.append(await _post(session, target, entry, content, first))
            wait = wait_before_next(tries[-1].body)
            if wait is None:
                break
            if len(tries) < target.attempts:
                await sleep(wait * random.uniform(1, 1 + _JITTER))
    return tries


def wait_before_next(body: bodies.JobReplyBody | None) -> float | None:
    """Return seconds to wait before another try; `None` to stop."""
    if body is None:
        return _DEFAULT_WAIT
    if body.state != 'failed':
        return None
    if body.retry_after_ms is not None:
        return min(body.retry_after_ms / 1000, _MAX_WAIT)
    return _DEFAULT_WAIT if body.code in _REPEATED else None


async def _post(
    session: aiohttp.ClientSession,
    target: Target,
    entry: str,
    content: bytes,
    first: bool,
) -> Try:
    headers = {
        'Authorization': f'Bearer {target.credential}',
        'Content-Type': 'application/json',
        'Idempotency-Key': target.key,
    }
    if first:
        headers['Poplardrum-Attempt'] = 'first'
    try:
        async with session.post(
            f'http://{entry}/v1/jobs',
            data=content,
            headers=headers,
        ) as response:
            body = msgspec.json.decode(
                await response.read(),
                type=bodies.JobReplyBody,
            )
            return Try(entry, response.status, body)
    except aiohttp.ClientConnectorError as error:
        return Try(entry, 0, None, str(error), sent=False)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Try(entry, 0, None, repr(error))
    except msgspec.DecodeError as error:
        return Try(entry, 0, None, f'no reply of an entry: {error}')
