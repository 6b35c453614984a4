"""HTTP client that submits a job and repeats it under one key."""

import asyncio
import random
import typing

import aiohttp
import msgspec

from poplardrum import errors, ids
from poplardrum.callers import bodies

# Refusals name the time to come back; these bounds hold without one.
_DEFAULT_RETRY_DELAY_S: typing.Final = 0.5
_MAX_RETRY_DELAY_S: typing.Final = 30.0
_JITTER_FRACTION: typing.Final = 0.25
# A lost link leaves the outcome open: the same key attaches to the record.
_RETRYABLE_CODES: typing.Final = (errors.Code.link_lost.value,)

Sleep = typing.Callable[[float], typing.Awaitable[None]]


class Target(typing.NamedTuple):
    """Where and as whom to submit; `timeout` is in seconds a try."""

    entries: tuple[str, ...]
    credential: str
    key: ids.IdempotencyKey
    max_attempts: int = 5
    attempt_timeout_s: float = 90.0


class Attempt(typing.NamedTuple):
    """Outcome of one try: a reply, or why none came.

    `sent` is false when no connection was made, so nothing left the client.
    """

    entry: str
    status: int
    body: bodies.JobReplyBody | None
    error: str = ''
    sent: bool = True


async def submit(
    target: Target,
    content: bytes,
    sleep: Sleep = asyncio.sleep,
) -> list[Attempt]:
    """Submit until a reply is final; return all tries in their order.

    Only the first try that was sent is marked first. A reply with a time to come back is
    repeated after that time at the next entry; so is a try that broke, as
    the key keeps it from starting anything twice.
    """
    tries: list[Attempt] = []
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=target.attempt_timeout_s),
    ) as session:
        while len(tries) < target.max_attempts:
            entry = target.entries[len(tries) % len(target.entries)]
            first = not any(attempt.sent for attempt in tries)
            tries.append(await _post(session, target, entry, content, first))
            wait = retry_delay(tries[-1].body)
            if wait is None:
                break
            if len(tries) < target.max_attempts:
                await sleep(wait * random.uniform(1, 1 + _JITTER_FRACTION))
    return tries


def retry_delay(body: bodies.JobReplyBody | None) -> float | None:
    """Return seconds to wait before another try; `None` to stop."""
    if body is None:
        return _DEFAULT_RETRY_DELAY_S
    if body.state != 'failed':
        return None
    if body.retry_after_ms is not None:
        return min(body.retry_after_ms / 1000, _MAX_RETRY_DELAY_S)
    return _DEFAULT_RETRY_DELAY_S if body.code in _RETRYABLE_CODES else None


async def _post(
    session: aiohttp.ClientSession,
    target: Target,
    entry: str,
    content: bytes,
    first: bool,
) -> Attempt:
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
            return Attempt(entry, response.status, body)
    except aiohttp.ClientConnectorError as error:
        return Attempt(entry, 0, None, str(error), sent=False)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Attempt(entry, 0, None, repr(error))
    except msgspec.DecodeError as error:
        return Attempt(entry, 0, None, f'no reply of an entry: {error}')
