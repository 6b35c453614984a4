"""The platform's store: keys, leases, watches, transactions.

Each machine reaches it at an address of its own, so that single machines can be
turned away. What PROTOCOL.md leaves open is done as a sound store would.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import time
import typing

from aiohttp import web

from stand_ins_3 import record

_ANSWER_S: typing.Final = 0.004
_MAX_ITEMS: typing.Final = 500
_MAX_ROWS: typing.Final = 32


@dataclasses.dataclass
class Item:
    """A stored value."""

    value: str
    revision: int
    created: int
    lease: int


@dataclasses.dataclass
class Lease:
    """A lease of a machine."""

    owner: str
    ttl_s: float
    expires_at: float


class Store:
    """The store, served at one address for each machine."""

    def __init__(self, case: record.Record) -> None:
        """Create an empty store."""
        self.case = case
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 100
        self.history: list[dict[str, typing.Any]] = []
        self.changed = asyncio.Event()
        self.machines: dict[int, str] = {}
        # Machines that are turned away, and how: reset, silent or busy.
        self.turned_away: dict[str, str] = {}
        self.runner: web.AppRunner | None = None
        # Calls that were answered: when, machine, method and path.
        self.calls: list[tuple[float, str, str, str]] = []

    async def start(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Serve each machine at its address."""
        app = web.Application(client_max_size=2**24)
        app.router.add_route('*', '/{rest:.*}', self._handle)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        for name, (host, port) in addresses.items():
            self.machines[port] = name
            await web.TCPSite(self.runner, host, port).start()
        self.expiry = asyncio.ensure_future(self._expire())

    async def stop(self) -> None:
        """Stop serving."""
        self.expiry.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def put(self, key: str, document: typing.Any) -> None:
        """Write a JSON document as the operator does."""
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([{'Key': key, 'Value': text, 'Lease': 0}], [])

    def turn_away(self, machine: str, how: str, *, revoke: bool) -> None:
        """Turn a machine away; with `revoke` take its leased keys away."""
        self.turned_away[machine] = how
        self.case.add('store', f'turns {machine} away ({how}, revoke={revoke})')
        if revoke:
            owned = {
                lease
                for lease, details in self.leases.items()
                if details.owner == machine
            }
            self._apply(
                [], [k for k, item in self.items.items() if item.lease in owned]
            )

    def cut(self, machine: str) -> None:
        """Partition a machine from the store, silently: no call gets through."""
        self.turned_away[machine] = 'silent'
        self.case.add('network', f'cuts {machine} off from the store')

    def heal(self, machine: str) -> None:
        """End the partition of a machine from the store."""
        self.turned_away.pop(machine, None)
        self.case.add('network', f'{machine} reaches the store again')

    def serve_again(self, machine: str) -> None:
        """Serve a machine again."""
        self.turned_away.pop(machine, None)
        self.case.add('store', f'serves {machine} again')

    def _apply(
        self, writes: list[dict[str, typing.Any]], removals: list[str]
    ) -> int:
        self.revision += 1
        for write in writes:
            earlier = self.items.get(write['Key'])
            self.items[write['Key']] = Item(
                write['Value'],
                self.revision,
                earlier.created if earlier else self.revision,
                write.get('Lease', 0),
            )
            self.history.append(self._row(write['Key']))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {'Key': key, 'Revision': self.revision, 'Removed': True}
                )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def _row(self, key: str) -> dict[str, typing.Any]:
        item = self.items[key]
        return {
            'Key': key,
            'Value': item.value,
            'Revision': item.revision,
            'Created': item.created,
            'Lease': item.lease,
        }

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [k for k, v in self.leases.items() if v.expires_at < now]
            for lease in ended:
                self.leases.pop(lease)
            if ended:
                keys = [k for k, v in self.items.items() if v.lease in ended]
                if keys:
                    self._apply([], keys)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        machine = self.machines[request.transport.get_extra_info('sockname')[1]]
        how = self.turned_away.get(machine)
        if how == 'reset':
            request.transport.abort()
            raise asyncio.CancelledError
        if how == 'silent':
            await asyncio.Event().wait()
        if how == 'busy':
            return web.json_response({}, status=503)
        body = await request.read()
        await asyncio.sleep(_ANSWER_S)
        document = json.loads(body) if body else {}
        response = await self._dispatch(request, document, machine)
        if self.turned_away.get(machine):
            with contextlib.suppress(Exception):
                request.transport.abort()
            raise asyncio.CancelledError
        self.calls.append(
            (self.case.now(), machine, request.method, request.path_qs)
        )
        return response

    async def _dispatch(
        self, request: web.Request, body: dict[str, typing.Any], machine: str
    ) -> web.Response:
        path = request.path
        if path == '/kv-key':
            key = request.query['Key']
            if key not in self.items:
                return self._reply({'StoreRevision': self.revision}, 404)
            return self._reply(
                self._row(key) | {'StoreRevision': self.revision}
            )
        if path == '/kv-range':
            return self._range(request)
        if path == '/kv-watch':
            return await self._watch(request)
        if path == '/kv-txn':
            return self._transact(body)
        if path == '/kv-lease':
            lease = self._apply([], [])
            ttl_s = body['TtlMs'] / 1000
            self.leases[lease] = Lease(
                machine, ttl_s, time.monotonic() + ttl_s
            )
            return self._reply({'Lease': lease, 'TtlMs': body['TtlMs']})
        if path.startswith('/kv-keep/'):
            found = self.leases.get(int(path.rpartition('/')[2]))
            if found is None:
                return self._reply({}, 404)
            found.expires_at = time.monotonic() + found.ttl_s
            return self._reply({'TtlMs': int(found.ttl_s * 1000)})
        if path.startswith('/kv-lease-end/'):
            lease = int(path.rpartition('/')[2])
            self.leases.pop(lease, None)
            self._apply(
                [], [k for k, v in self.items.items() if v.lease == lease]
            )
            return self._reply({})
        return self._reply({}, 404)

    def _range(self, request: web.Request) -> web.Response:
        prefix = request.query['Prefix']
        after = request.query.get('After', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return self._reply(
            {
                'items': [self._row(key) for key in keys[:_MAX_ITEMS]],
                'MorePages': len(keys) > _MAX_ITEMS,
                'StoreRevision': self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['Prefix']
        after = int(request.query['After'])
        deadline = time.monotonic() + int(request.query['WaitMs']) / 1000
        while True:
            changed = self.changed
            events = [
                row
                for row in self.history
                if row['Revision'] > after and row['Key'].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return self._reply(
                    {'events': events, 'StoreRevision': self.revision}
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body: dict[str, typing.Any]) -> web.Response:
        expected = body.get('Expected') or []
        writes = body.get('Writes') or []
        removals = body.get('Remove') or []
        if len(expected) + len(writes) + len(removals) > _MAX_ROWS:
            return self._reply({}, 400)
        for row in expected:
            item = self.items.get(row['Key'])
            if (item.revision if item else 0) != row['Revision']:
                present = [
                    self._row(each['Key'])
                    for each in expected
                    if each['Key'] in self.items
                ]
                return self._reply({'items': present}, 412)
        for row in writes:
            if row.get('Lease') and row['Lease'] not in self.leases:
                return self._reply({}, 404)
        return self._reply({'Revision': self._apply(writes, removals)})

    def _reply(
        self, document: dict[str, typing.Any], status: int = 200
    ) -> web.Response:
        return web.json_response(document, status=status)
