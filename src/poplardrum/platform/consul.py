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
from poplardrum.platform import circuit, store

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404
_MIN_LEASE: typing.Final = 10
_WATCH_MARGIN: typing.Final = 5.0

_CALLS_PER_SECOND: typing.Final = 50.0

Params = dict[str, str]


class Group(enum.Enum):
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
        timeout: float,
        calls: float = _CALLS_PER_SECOND,
    ) -> None:
        """Use `address`; each call ends within `timeout` seconds.

        Beyond `calls` a second, calls are refused here.
        """
        host, port = address
        self.base = f'http://{host}:{port}/v1'
        self.timeout = timeout
        self.session = aiohttp.ClientSession()
        self.calls: collections.Counter[str] = collections.Counter()
        self.budget = circuit.Budget(calls)
        source = random.Random()
        self.circuits = {
            group: circuit.Circuit(group.value, source) for group in Group
        }

    async def close(self) -> None:
        """Close the session."""
        await self.session.close()

    async def read(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: int = 0,
        wait: float = 0,
    ) -> store.Snapshot:
        """Read a key or a prefix, waiting for a change after an index."""
        query: Params = {'recurse': 'true'} if prefix else {}
        if after:
            query |= {'index': str(after), 'wait': f'{int(wait * 1000)}ms'}
        limit = self.timeout + (wait + _WATCH_MARGIN if after else 0)
        status, headers, body = await self._call(
            'GET',
            f'kv/{key}',
            query,
            limit=limit,
        )
        index = int(headers.get('X-Consul-Index', '0'))
        if status == _NOT_FOUND:
            return store.Snapshot(index, [])
        return store.Snapshot(index, [_value(row) for row in json.loads(body)])

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None = None,
        lease: store.LeaseId | None = None,
    ) -> bool:
        """Write a value, by compare-and-swap when an index is expected."""
        query: Params = {}
        if expected is not None:
            query['cas'] = str(expected)
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
                'TTL': f'{max(int(ttl), _MIN_LEASE)}s',
                'Behavior': 'delete',
                'LockDelay': '0s',
            }
        ).encode()
        _, _, reply = await self._call('PUT', 'session/create', {}, body)
        return store.LeaseId(json.loads(reply)['ID'])

    async def renew_lease(self, lease: store.LeaseId) -> bool:
        """Renew a session."""
        status, _, _ = await self._call('PUT', f'session/renew/{lease}', {})
        return status == _OK

    async def revoke_lease(self, lease: store.LeaseId) -> None:
        """Destroy a session."""
        await self._call('PUT', f'session/destroy/{lease}', {})

    async def _call(
        self,
        method: str,
        path: str,
        query: Params,
        body: bytes | None = None,
        *,
        limit: float | None = None,
    ) -> Reply:
        group = _group(method, query)
        breaker = self.circuits[group]
        self._admit(breaker, f'platform: {method} {path}')
        self.calls[f'{group.name}_sent'] += 1
        try:
            reply = await self._request(method, path, query, body, limit)
        except errors.PoplardrumError:
            self.calls[f'{group.name}_failed'] += 1
            breaker.failed(time.monotonic())
            raise
        except asyncio.CancelledError:
            breaker.abandoned()
            raise
        breaker.succeeded()
        return reply

    def _admit(self, breaker: circuit.Circuit, call: str) -> None:
        now = time.monotonic()
        pause = breaker.enter(now)
        if not pause:
            pause = self.budget.enter(now)
            if pause:
                breaker.abandoned()
        if pause:
            self.calls['held_back'] += 1
            raise errors.refusal(
                errors.Code.platform,
                f'{call}: held back after failures or beyond the call budget',
                retry_after=pause,
            )

    async def _request(
        self,
        method: str,
        path: str,
        query: Params,
        body: bytes | None,
        limit: float | None,
    ) -> Reply:
        wrote = method != 'GET'
        try:
            async with self.session.request(
                method,
                f'{self.base}/{path}',
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(total=limit or self.timeout),
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            # Without a connection nothing was sent.
            sent = not isinstance(error, aiohttp.ClientConnectorError)
            raise store.failure(
                f'platform: {method} {path}: {error!r}',
                wrote=wrote and sent,
            ) from None
        if response.status not in {_OK, _NOT_FOUND}:
            raise store.failure(
                f'platform: {method} {path}: status {response.status}',
                wrote=wrote,
            )
        return Reply(response.status, response.headers, content)


def _group(method: str, query: Params) -> Group:
    if method == 'GET':
        return Group.read
    return Group.swap if 'cas' in query else Group.other


def _value(row: dict[str, typing.Any]) -> store.StoredValue:
    return store.StoredValue(
        row['Key'],
        base64.b64decode(row['Value'] or ''),
        row['ModifyIndex'],
    )
