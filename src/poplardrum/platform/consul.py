"""Adapter for a key-value store with Consul's HTTP API."""

import asyncio
import base64
import collections
import enum
import json
import random
import time
import typing

import aiohttp

from poplardrum import errors, network_address
from poplardrum.platform import store, throttling

_HTTP_OK: typing.Final = 200
_HTTP_NOT_FOUND: typing.Final = 404
# Consul accepts no shorter TTL of a session.
_MIN_LEASE_S: typing.Final = 10
# Added to the wait of a blocking query for its reply to arrive.
_WATCH_MARGIN_S: typing.Final = 5.0
_DEFAULT_CALLS_PER_S: typing.Final = 50.0

QueryParams = dict[str, str]


class CallGroup(enum.Enum):
    """Calls that share a circuit breaker.

    The value is the longest back-off of the breaker in seconds.

    Reads and compare-and-swap writes distribute the configuration and are
    made by entries only. All others, such as registrations, are made by every
    process: with 700 workers, a back-off of 10 to 20 s keeps them below 70
    calls a second in an outage. Names of members are part of metric labels.
    """

    read = 2.0
    swap = 1.9
    other = 20.0


class Reply(typing.NamedTuple):
    """HTTP response to a call, read in full."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes


class ConsulStore:
    """Client of the store over one pooled HTTP session.

    Calls are refused locally while the circuit breaker of their group is
    open or when they exceed the rate limit.
    """

    def __init__(
        self,
        address: network_address.Address,
        timeout_s: float,
        calls_per_s: float = _DEFAULT_CALLS_PER_S,
    ) -> None:
        """Use the store at `address`.

        Each call ends within `timeout_s`, a watch within its wait on top.
        """
        host, port = address
        self.base_url = f'http://{host}:{port}/v1'
        self.timeout_s = timeout_s
        self.session = aiohttp.ClientSession()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.token_bucket = throttling.TokenBucket(calls_per_s)
        generator = random.Random()
        self.circuit_breakers = {
            group: throttling.CircuitBreaker(group.value, generator)
            for group in CallGroup
        }

    async def close(self) -> None:
        """Close the HTTP session."""
        await self.session.close()

    async def read(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        after_index: int = 0,
        wait_s: float = 0,
    ) -> store.Snapshot:
        """Read a key or a prefix; `after_index` makes it a blocking query."""
        query: QueryParams = {'recurse': 'true'} if is_prefix else {}
        if after_index:
            query |= {
                'index': str(after_index),
                'wait': f'{int(wait_s * 1000)}ms',
            }
        timeout_s = self.timeout_s + (
            wait_s + _WATCH_MARGIN_S if after_index else 0
        )
        status, headers, body = await self._call(
            'GET',
            f'kv/{key}',
            query,
            timeout_s=timeout_s,
        )
        index = int(headers.get('X-Consul-Index', '0'))
        if status == _HTTP_NOT_FOUND:
            return store.Snapshot(index, [])
        return store.Snapshot(
            index, [_stored_value(row) for row in json.loads(body)]
        )

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_index: int | None = None,
        lease: store.LeaseId | None = None,
    ) -> bool:
        """Write a value, by compare-and-swap if `expected_index` is given."""
        query: QueryParams = {}
        if expected_index is not None:
            query['cas'] = str(expected_index)
        if lease is not None:
            query['acquire'] = lease
        _, _, body = await self._call('PUT', f'kv/{key}', query, value)
        return body.strip() == b'true'

    async def delete(self, key: str) -> None:
        """Delete a key; it need not exist."""
        await self._call('DELETE', f'kv/{key}', {})

    async def grant_lease(self, ttl: float) -> store.LeaseId:
        """Create a session whose keys are deleted when it expires."""
        body = json.dumps(
            {
                'TTL': f'{max(int(ttl), _MIN_LEASE_S)}s',
                'Behavior': 'delete',
                'LockDelay': '0s',
            }
        ).encode()
        _, _, reply = await self._call('PUT', 'session/create', {}, body)
        return store.LeaseId(json.loads(reply)['ID'])

    async def renew_lease(self, lease: store.LeaseId) -> bool:
        """Renew a session; return `False` if it no longer exists."""
        status, _, _ = await self._call('PUT', f'session/renew/{lease}', {})
        return status == _HTTP_OK

    async def revoke_lease(self, lease: store.LeaseId) -> None:
        """Destroy a session, which deletes its keys."""
        await self._call('PUT', f'session/destroy/{lease}', {})

    async def _call(
        self,
        method: str,
        path: str,
        query: QueryParams,
        body: bytes | None = None,
        *,
        timeout_s: float | None = None,
    ) -> Reply:
        group = _call_group(method, query)
        breaker = self.circuit_breakers[group]
        self._admit(breaker, f'platform: {method} {path}')
        self.call_counts[f'{group.name}_sent'] += 1
        try:
            reply = await self._request(method, path, query, body, timeout_s)
        except errors.PoplardrumError:
            self.call_counts[f'{group.name}_failed'] += 1
            breaker.record_failure(time.monotonic())
            raise
        except asyncio.CancelledError:
            breaker.record_cancellation()
            raise
        breaker.record_success()
        return reply

    def _admit(self, breaker: throttling.CircuitBreaker, call: str) -> None:
        now = time.monotonic()
        delay = breaker.admit(now)
        if not delay:
            delay = self.token_bucket.admit(now)
            if delay:
                # The breaker may have admitted this call as its probe.
                breaker.record_cancellation()
        if delay:
            self.call_counts['held_back'] += 1
            raise errors.refusal(
                errors.Code.platform,
                f'{call}: held back after failures or beyond the call budget',
                retry_after=delay,
            )

    async def _request(
        self,
        method: str,
        path: str,
        query: QueryParams,
        body: bytes | None,
        timeout_s: float | None,
    ) -> Reply:
        is_write = method != 'GET'
        try:
            async with self.session.request(
                method,
                f'{self.base_url}/{path}',
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s or self.timeout_s
                ),
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            # Nothing was sent if the connection could not be opened.
            was_sent = not isinstance(error, aiohttp.ClientConnectorError)
            raise store.platform_error(
                f'platform: {method} {path}: {error!r}',
                may_have_written=is_write and was_sent,
            ) from None
        if response.status not in {_HTTP_OK, _HTTP_NOT_FOUND}:
            raise store.platform_error(
                f'platform: {method} {path}: status {response.status}',
                may_have_written=is_write,
            )
        return Reply(response.status, response.headers, content)


def _call_group(method: str, query: QueryParams) -> CallGroup:
    if method == 'GET':
        return CallGroup.read
    return CallGroup.swap if 'cas' in query else CallGroup.other


def _stored_value(row: dict[str, typing.Any]) -> store.StoredValue:
    return store.StoredValue(
        row['Key'],
        base64.b64decode(row['Value'] or ''),
        row['ModifyIndex'],
    )
