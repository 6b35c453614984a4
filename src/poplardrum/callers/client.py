"""HTTP client that submits a job and retries it under one idempotency key."""

import asyncio
import random
import typing

import aiohttp
import msgspec

from poplardrum import decoding, errors, ids
from poplardrum.callers import bodies

# For replies without a retry time.
_DEFAULT_RETRY_DELAY_S: typing.Final = 0.5
_MAX_RETRY_DELAY_S: typing.Final = 30.0
_JITTER_FRACTION: typing.Final = 0.25
# The outcome is unknown after a lost link. A retry with the same key attaches
# to the existing record of the job.
_RETRYABLE_CODES: typing.Final = (errors.Code.link_lost.value,)

Sleep = typing.Callable[[float], typing.Awaitable[None]]


class Target(typing.NamedTuple):
    """Entries to submit to, the credential and key, and limits on retries."""

    entries: tuple[str, ...]
    credential: str
    key: ids.IdempotencyKey
    max_attempts: int = 5
    attempt_timeout_s: float = 90.0


class Attempt(typing.NamedTuple):
    """Result of one attempt: a reply, or the error if there is none.

    `sent` is false if no connection was made and so nothing was sent.
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
    """Submit until a reply is final; return all attempts in order.

    An attempt that failed or whose reply has a retry time is retried at the
    next entry, after that time. The idempotency key prevents a second start.
    Only the first attempt that is sent is marked as first.
    """
    attempts: list[Attempt] = []
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=target.attempt_timeout_s),
    ) as session:
        while len(attempts) < target.max_attempts:
            entry = target.entries[len(attempts) % len(target.entries)]
            first = not any(attempt.sent for attempt in attempts)
            attempts.append(await _post(session, target, entry, content, first))
            delay = retry_delay(attempts[-1].body)
            if delay is None:
                break
            if len(attempts) < target.max_attempts:
                await sleep(delay * random.uniform(1, 1 + _JITTER_FRACTION))
    return attempts


def retry_delay(body: bodies.JobReplyBody | None) -> float | None:
    """Return the seconds until the next attempt, or `None` to stop."""
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
            body = decoding.decode_json(
                await response.read(), bodies.JobReplyBody
            )
            return Attempt(entry, response.status, body)
    except aiohttp.ClientConnectorError as error:
        return Attempt(entry, 0, None, str(error), sent=False)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Attempt(entry, 0, None, repr(error))
    except msgspec.DecodeError as error:
        return Attempt(entry, 0, None, f'no reply of an entry: {error}')
