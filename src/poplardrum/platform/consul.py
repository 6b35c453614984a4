"""Adapter for a key-value service that speaks Consul's HTTP form."""

import asyncio
import base64
import collections
import enum
import json
import random
import time
import typing

import aiohttp

from poplardrum import errors, ini
from poplardrum.platform import store, throttling

_HTTP_OK: typing.Final = 200
_HTTP_NOT_FOUND: typing.Final = 404
_MIN_LEASE_S: typing.Final = 10
_WATCH_MARGIN_S: typing.Final = 5.0

_DEFAULT_CALLS_PER_S: typing.Final = 50.0

QueryParams = dict[str, str]


class CallGroup(enum.Enum):
    """Calls that share a circuit; the value is its longest pause in seconds.

    Reads and compare-and-swap writes spread the configuration and come from
    entries alone. All others, such as registrations, come from every
    process: at 700 workers a pause of 10 to 20 s keeps them below 70 calls
    a second in an outage.
    """

    read = 2.0
    swap = 1.9
    other = 20.0


class Reply(typing.NamedTuple):
    """Status, headers and body of an answered call."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes


class ConsulStore:
    """Call the service over one pooled HTTP session."""

    def __init__(
        self,
        address: ini.Address,
        timeout_s: float,
        calls_per_s: float = _DEFAULT_CALLS_PER_S,
    ) -> None:
        """Use `address`; each call ends within `timeout` seconds.

        Beyond `calls` a second, calls are refused here.
        """
        host, port = address
        self.base_url = f'http://{host}:{port}/v1'
        self.timeout_s = timeout_s
        self.session = aiohttp.ClientSession()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.token_bucket = throttling.TokenBucket(calls_per_s)
        source = random.Random()
        self.circuit_breakers = {
            group: throttling.CircuitBreaker(group.value, source)
            for group in CallGroup
        }

    async def close(self) -> None:
        """Close the session."""
        await self.session.close()

    async def read(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        after_index: int = 0,
        wait_s: float = 0,
    ) -> store.Snapshot:
        """Read a key or a prefix, waiting for a change after an index."""
        query: QueryParams = {'recurse': 'true'} if is_prefix else {}
        if after_index:
            query |= {
                'index': str(after_index),
                'wait': f'{int(wait_s * 1000)}ms',
            }
        limit = self.timeout_s + (
            wait_s + _WATCH_MARGIN_S if after_index else 0
        )
        status, headers, body = await self._call(
            'GET',
            f'kv/{key}',
            query,
            limit=limit,
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
        """Write a value, by compare-and-swap when an index is expected."""
        query: QueryParams = {}
        if expected_index is not None:
            query['cas'] = str(expected_index)
        if lease is not None:
            query['acquire'] = lease
        _, _, body = await self._call('PUT', f'kv/{key}', query, value)
        return body.strip() == b'true'

    async def delete(self, key: str) -> None:
        """Delete a key; a missing key is no error."""
        await self._call('DELETE', f'kv/{key}', {})

    async def grant_lease(self, ttl: float) -> store.LeaseId:
        """Create a session that deletes its keys when it lapses."""
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
        """Renew a session."""
        status, _, _ = await self._call('PUT', f'session/renew/{lease}', {})
        return status == _HTTP_OK

    async def revoke_lease(self, lease: store.LeaseId) -> None:
        """Destroy a session."""
        await self._call('PUT', f'session/destroy/{lease}', {})

    async def _call(
        self,
        method: str,
        path: str,
        query: QueryParams,
        body: bytes | None = None,
        *,
        limit: float | None = None,
    ) -> Reply:
        group = _call_group(method, query)
        breaker = self.circuit_breakers[group]
        self._admit(breaker, f'platform: {method} {path}')
        self.call_counts[f'{group.name}_sent'] += 1
        try:
            reply = await self._request(method, path, query, body, limit)
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
        pause = breaker.admit(now)
        if not pause:
            pause = self.token_bucket.admit(now)
            if pause:
                breaker.record_cancellation()
        if pause:
            self.call_counts['held_back'] += 1
            raise errors.refusal(
                errors.Code.platform,
                f'{call}: held back after failures or beyond the call budget',
                retry_after=pause,
            )

    async def _request(
        self,
        method: str,
        path: str,
        query: QueryParams,
        body: bytes | None,
        limit: float | None,
    ) -> Reply:
        wrote = method != 'GET'
        try:
            async with self.session.request(
                method,
                f'{self.base_url}/{path}',
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(total=limit or self.timeout_s),
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            # Without a connection nothing was sent.
            sent = not isinstance(error, aiohttp.ClientConnectorError)
            raise store.platform_error(
                f'platform: {method} {path}: {error!r}',
                may_have_written=wrote and sent,
            ) from None
        if response.status not in {_HTTP_OK, _HTTP_NOT_FOUND}:
            raise store.platform_error(
                f'platform: {method} {path}: status {response.status}',
                may_have_written=wrote,
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
