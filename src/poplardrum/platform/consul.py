"""Adapter for a key-value service that speaks Consul's HTTP form."""

import asyncio
import base64
import collections
import json
import typing

import aiohttp

from poplardrum import ini
from poplardrum.platform import store

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404
_MIN_LEASE: typing.Final = 10
_WATCH_MARGIN: typing.Final = 5.0

Params = dict[str, str]


class ConsulStore:
    """Call the service over one pooled HTTP session."""

    def __init__(self, address: ini.Address, timeout: float) -> None:
        """Use `address`; each call ends within `timeout` seconds."""
        host, port = address
        self.base = f'http://{host}:{port}/v1'
        self.timeout = timeout
        self.session = aiohttp.ClientSession()
        self.calls: collections.Counter[str] = collections.Counter()

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
    ) -> tuple[int, typing.Mapping[str, str], bytes]:
        timeout = aiohttp.ClientTimeout(total=limit or self.timeout)
        wrote = method != 'GET'
        self.calls[f'{method}_sent'] += 1
        try:
            async with self.session.request(
                method,
                f'{self.base}/{path}',
                params=query,
                data=body,
                timeout=timeout,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise store.failure(
                f'platform: {method} {path}: {error!r}',
                wrote=wrote,
            ) from None
        if response.status not in {_OK, _NOT_FOUND}:
            raise store.failure(
                f'platform: {method} {path}: status {response.status}',
                wrote=wrote,
            )
        return response.status, response.headers, content


def _value(row: dict[str, typing.Any]) -> store.StoredValue:
    return store.StoredValue(
        row['Key'],
        base64.b64decode(row['Value'] or ''),
        row['ModifyIndex'],
    )
