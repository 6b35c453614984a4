"""Stand-in for the platform: the subset of Consul's HTTP API in use.

`PUT /switch` with a JSON body sets `outage` (bool), `delay` (seconds) and
`lose_answers` (number of writes that take effect but get no reply).
`GET /calls` returns the number of calls by method. `PUT /restore` restores
the state of the latest `PUT /backup`.
"""

import asyncio
import base64
import collections
import copy
import dataclasses
import secrets
import time
import typing

from aiohttp import web

_MAX_WAIT_S: typing.Final = 300.0


@dataclasses.dataclass
class StoredValue:
    """Value of a key, the index of its last write and its session."""

    value: bytes
    index: int
    session: str | None = None


@dataclasses.dataclass
class StoreState:
    """All keys, and the index of the latest change."""

    keys: dict[str, StoredValue] = dataclasses.field(default_factory=dict)
    index: int = 1


class PlatformStandIn:
    """Store in memory with sessions, blocking reads and faults."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.state = StoreState()
        self.backup = StoreState()
        # Deadline in monotonic seconds and time to live, by session.
        self.sessions: dict[str, tuple[float, float]] = {}
        self.changed = asyncio.Condition()
        self.outage = False
        self.delay_s = 0.0
        self.replies_to_lose = 0
        self.is_closing = False
        self.calls: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the HTTP application of the store and its switches."""
        app = web.Application(
            middlewares=[self.apply_faults],
            client_max_size=2**21,
        )
        app.on_shutdown.append(self.shut_down)
        app.add_routes(
            [
                web.get('/v1/kv/{key:.*}', self.get),
                web.put('/v1/kv/{key:.*}', self.put),
                web.delete('/v1/kv/{key:.*}', self.delete),
                web.put('/v1/session/create', self.create_session),
                web.put('/v1/session/renew/{id}', self.renew_session),
                web.put('/v1/session/destroy/{id}', self.destroy_session),
                web.put('/switch', self.set_faults),
                web.get('/calls', self.list_calls),
                web.put('/backup', self.make_backup),
                web.put('/restore', self.restore),
            ]
        )
        app.on_shutdown.append(self.end_watches)
        return app

    async def end_watches(self, app: web.Application) -> None:
        """Reply to blocking reads, as the server waits for them on a stop."""
        self.outage = True
        await self.notify_watches()

    @web.middleware
    async def apply_faults(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        """Apply outage, delay and lost replies to calls under /v1."""
        if not request.path.startswith('/v1/'):
            return typing.cast(web.StreamResponse, await handler(request))
        self.calls[request.method] += 1
        # A write that was sent takes effect even if its caller has timed out.
        await request.read()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.outage:
            return web.Response(status=500, text='No cluster leader')
        response = await handler(request)
        reply_lost = request.method != 'GET' and self.replies_to_lose > 0
        if self.outage or reply_lost:
            self.replies_to_lose -= int(reply_lost)
            if request.transport:
                request.transport.close()
        return typing.cast(web.StreamResponse, response)

    async def get(self, request: web.Request) -> web.Response:
        """Read a key or prefix; wait for a change if an index is given."""
        key = request.match_info['key']
        prefix = 'recurse' in request.query
        after = int(request.query.get('index', '0'))
        wait_s = _parse_seconds(request.query.get('wait', '300s'))
        deadline = time.monotonic() + min(wait_s, _MAX_WAIT_S)
        while after and self.read_index(key, prefix=prefix) <= after:
            if not await self.wait_for_change(deadline - time.monotonic()):
                break
            if request.transport is None:
                # The client has disconnected; its watch must end with it.
                break
        rows = [
            _encode_row(name, stored)
            for name, stored in self.matching_keys(key, prefix=prefix)
        ]
        index = max(self.read_index(key, prefix=prefix), 1)
        return web.json_response(
            rows,
            status=200 if rows else 404,
            headers={'X-Consul-Index': str(index)},
        )

    async def put(self, request: web.Request) -> web.Response:
        """Write a key, optionally by compare-and-swap or under a session."""
        key = request.match_info['key']
        body = await request.read()
        self.expire_sessions()
        stored = self.state.keys.get(key)
        expected = request.query.get('cas')
        if expected is not None:
            if int(expected) != (stored.index if stored else 0):
                return web.json_response(data=False)
        session = request.query.get('acquire')
        if session is not None and session not in self.sessions:
            return web.json_response(data=False)
        self.state.index += 1
        self.state.keys[key] = StoredValue(body, self.state.index, session)
        await self.notify_watches()
        return web.json_response(data=True)

    async def delete(self, request: web.Request) -> web.Response:
        """Delete a key."""
        await self.remove_keys([request.match_info['key']])
        return web.json_response(data=True)

    async def create_session(self, request: web.Request) -> web.Response:
        """Create a session with the time to live in the body."""
        body = await request.json()
        session = secrets.token_hex(8)
        ttl_s = _parse_seconds(body.get('TTL', '10s'))
        self.sessions[session] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({'ID': session})

    async def renew_session(self, request: web.Request) -> web.Response:
        """Renew a session; reply 404 if it has expired."""
        self.expire_sessions()
        session = request.match_info['id']
        if session not in self.sessions:
            return web.Response(status=404, text='Session id not found')
        ttl_s = self.sessions[session][1]
        self.sessions[session] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response([{'ID': session}])

    async def destroy_session(self, request: web.Request) -> web.Response:
        """End a session and delete its keys."""
        self.sessions.pop(request.match_info['id'], None)
        self.expire_sessions()
        return web.json_response(data=True)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set outage, delay and lost replies; an outage ends watches."""
        body = await request.json()
        self.outage = body.get('outage', self.outage)
        self.delay_s = body.get('delay', self.delay_s)
        self.replies_to_lose = body.get('lose_answers', self.replies_to_lose)
        await self.notify_watches()
        return web.json_response(data=True)

    async def list_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls by method."""
        return web.json_response(dict(self.calls))

    async def make_backup(self, request: web.Request) -> web.Response:
        """Copy the present state for a later restore."""
        self.backup = copy.deepcopy(self.state)
        return web.json_response(data=True)

    async def restore(self, request: web.Request) -> web.Response:
        """Restore the backup under a new index, as a restored service would."""
        index = self.state.index
        self.state = copy.deepcopy(self.backup)
        self.state.index = index + 1
        for stored in self.state.keys.values():
            stored.index = self.state.index
        await self.notify_watches()
        return web.json_response(data=True)

    def matching_keys(
        self, key: str, *, prefix: bool
    ) -> list[tuple[str, StoredValue]]:
        """Return the key of a read, or the keys below its prefix, by name."""
        self.expire_sessions()
        return [
            (name, stored)
            for name, stored in sorted(self.state.keys.items())
            if name == key or (prefix and name.startswith(key))
        ]

    def read_index(self, key: str, *, prefix: bool) -> int:
        """Return the index of a read, which rises when its result changes.

        For a prefix or a missing key it is the index of the whole store, so
        that deletions raise it too.
        """
        keys = self.matching_keys(key, prefix=prefix)
        highest = max((stored.index for _, stored in keys), default=0)
        return self.state.index if prefix or not keys else highest

    def expire_sessions(self) -> None:
        """Delete expired sessions and the keys written under them."""
        now = time.monotonic()
        for session, (deadline, _) in list(self.sessions.items()):
            if deadline < now:
                self.sessions.pop(session)
        for name, stored in list(self.state.keys.items()):
            if stored.session and stored.session not in self.sessions:
                self.state.index += 1
                self.state.keys.pop(name)

    async def remove_keys(self, keys: list[str]) -> None:
        """Delete keys and notify the watches."""
        for key in keys:
            if self.state.keys.pop(key, None):
                self.state.index += 1
        await self.notify_watches()

    async def shut_down(self, app: web.Application) -> None:
        """End waiting watches, which would delay a graceful stop."""
        self.is_closing = True
        await self.notify_watches()

    async def notify_watches(self) -> None:
        """Notify all waiting watches of a change."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a change, at most for a second.

        Returns `False` once the caller has to stop waiting: if the timeout
        has passed already, in an outage or on a stop.
        """
        if timeout_s <= 0 or self.outage or self.is_closing:
            return False
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait(),
                    min(timeout_s, 1.0),
                )
            except TimeoutError:
                return True
        return not (self.outage or self.is_closing)


def _parse_seconds(text: str) -> float:
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def _encode_row(key: str, stored: StoredValue) -> dict[str, typing.Any]:
    return {
        'Key': key,
        'Value': base64.b64encode(stored.value).decode(),
        'ModifyIndex': stored.index,
        'CreateIndex': stored.index,
        'Flags': 0,
        'LockIndex': int(stored.session is not None),
        'Session': stored.session,
    }
