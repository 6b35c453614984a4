"""Stand-in for the key-value store, with faults that a test can set."""

import asyncio
import base64
import dataclasses
import enum
import time
import typing

from aiohttp import web

_POLL_INTERVAL_S: typing.Final = 0.01
_MS_PER_S: typing.Final = 1000

Handler = typing.Callable[[web.Request], typing.Awaitable[web.Response]]


class Fault(enum.Enum):
    """Fault of the store that affects calls while it is set.

    `no_reply` never replies and `busy` replies 503 to all calls. `reset`
    breaks the connection of all calls but carries them out, `reply_lost` only
    that of writes. `watch_stalled` blocks watches and breaks their connections
    once another fault or none is set.
    """

    none = 'none'
    no_reply = 'silent'
    busy = 'busy'
    reset = 'reset'
    reply_lost = 'answer_lost'
    watch_stalled = 'deaf'


@dataclasses.dataclass
class Item:
    """Value of a key, with the revisions of its last write and creation.

    `lease` is 0 if the item has no lease.
    """

    value_base64: str
    revision: int
    created_revision: int
    lease: int


class KvStandIn:
    """Items, leases and history of a store, served over HTTP."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.items: dict[str, Item] = {}
        # Expiry in monotonic seconds and time to live, by lease.
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.compacted_revision = 0
        self.history: list[dict[str, typing.Any]] = []
        self.fault = Fault.none
        self.calls = 0
        # Applied to the key and each value written over HTTP; tests replace
        # announced addresses by those of a proxy.
        self.rewrite: typing.Callable[[str, str], str] = _keep_value

    def application(self) -> web.Application:
        """Return the HTTP application of the store's calls."""
        app = web.Application()
        for method, path, handler in (
            ('GET', '/kv-key', self._get),
            ('GET', '/kv-range', self._range),
            ('GET', '/kv-watch', self._watch),
            ('POST', '/kv-txn', self._transact),
            ('POST', '/kv-lease', self._grant_lease),
            ('POST', '/kv-keep/{lease}', self._renew_lease),
            ('DELETE', '/kv-lease-end/{lease}', self._revoke_lease),
        ):
            app.router.add_route(method, path, self._with_fault(handler))
        return app

    def put(self, key: str, value_base64: str, lease: int = 0) -> int:
        """Write an item as another client would; return its revision.

        `value_base64` is stored as it is, without `rewrite`.
        """
        self.revision += 1
        previous = self.items.get(key)
        created = previous.created_revision if previous else self.revision
        self.items[key] = Item(value_base64, self.revision, created, lease)
        self.history.append(self._encode_item(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {'Key': key, 'Revision': self.revision, 'Removed': True},
            )

    def compact(self) -> None:
        """Drop the history; watches of an older revision then get 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def _encode_item(self, key: str) -> dict[str, typing.Any]:
        item = self.items[key]
        return {
            'Key': key,
            'Value': item.value_base64,
            'Revision': item.revision,
            'Created': item.created_revision,
            'Lease': item.lease,
        }

    def _with_fault(self, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            self.calls += 1
            self._expire_leases()
            if self.fault is Fault.no_reply:
                await asyncio.Event().wait()
            if self.fault is Fault.busy:
                return web.Response(status=503)
            if self.fault is Fault.reset:
                self._reset_connection(request)
            response = await handler(request)
            reply_lost = self.fault is Fault.reply_lost
            if reply_lost and request.method != 'GET':
                self._reset_connection(request)
            return response

        return handle

    def _reset_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query['Key']
        if key not in self.items:
            return web.Response(status=404)
        item = self._encode_item(key)
        return web.json_response(item | {'StoreRevision': self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query['Prefix']
        after = request.query.get('After', '')
        items = [
            self._encode_item(key)
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'items': items[:_MAX_PAGE_ITEMS],
                'MorePages': len(items) > _MAX_PAGE_ITEMS,
                'StoreRevision': self.revision,
            },
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['Prefix']
        after = int(request.query['After'])
        if after < self.compacted_revision:
            return web.Response(status=410)
        timeout_s = int(request.query['WaitMs']) / _MS_PER_S
        deadline = time.monotonic() + timeout_s
        events: list[dict[str, typing.Any]] = []
        while not events and time.monotonic() < deadline:
            if self.fault is Fault.watch_stalled:
                await self._stall_watch(request)
            events = [
                event
                for event in self.history
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]
            if not events:
                await asyncio.sleep(_POLL_INTERVAL_S)
        return web.json_response(
            {'events': events, 'StoreRevision': self.revision},
        )

    async def _stall_watch(self, request: web.Request) -> None:
        while self.fault is Fault.watch_stalled:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._reset_connection(request)

    def _rewrite_value(self, key: str, value_base64: str) -> str:
        # Values need not be UTF-8; surrogateescape preserves all bytes.
        text = base64.b64decode(value_base64).decode(errors='surrogateescape')
        rewritten = self.rewrite(key, text).encode(errors='surrogateescape')
        return base64.b64encode(rewritten).decode()

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = body['Expected']
        row_count = len(expected) + len(body['Writes']) + len(body['Remove'])
        if row_count > _MAX_TRANSACTION_ROWS:
            return web.Response(status=400)
        for row in expected:
            item = self.items.get(row['Key'])
            if (item.revision if item else 0) != row['Revision']:
                present = [
                    self._encode_item(each['Key'])
                    for each in expected
                    if each['Key'] in self.items
                ]
                return web.json_response({'items': present}, status=412)
        for row in body['Writes']:
            if row['Lease'] and row['Lease'] not in self.leases:
                return web.Response(status=404)
        for row in body['Writes']:
            key = row['Key']
            value_base64 = self._rewrite_value(key, row['Value'])
            self.put(key, value_base64, row['Lease'])
        for key in body['Remove']:
            self.remove(key)
        return web.json_response({'Revision': self.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.revision += 1
        ttl_s = body['TtlMs'] / _MS_PER_S
        self.leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response(
            {'Lease': self.revision, 'TtlMs': body['TtlMs']},
        )

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({'TtlMs': ttl_s * _MS_PER_S})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        self.leases.pop(int(request.match_info['lease']), None)
        self._expire_leases()
        return web.Response()

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease, (expires_at, _) in list(self.leases.items()):
            if expires_at < now:
                self.leases.pop(lease)
        for key, item in list(self.items.items()):
            if item.lease and item.lease not in self.leases:
                self.remove(key)


_MAX_PAGE_ITEMS: typing.Final = 500
_MAX_TRANSACTION_ROWS: typing.Final = 32


def _keep_value(_key: str, text: str) -> str:
    """Return a value as it was written."""
    return text
