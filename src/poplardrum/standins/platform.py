"""Stand-in for the platform: the subset of Consul's HTTP form in use.

`PUT /switch` with JSON sets `outage` (bool), `delay` (seconds),
`lose_answers` (count of writes whose answer is dropped after they took
effect); `GET /calls` returns the number of calls by method; `PUT /restore`
puts the store back to the state of the latest `PUT /backup`.
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
    """One key's value."""

    value: bytes
    index: int
    session: str | None = None


@dataclasses.dataclass
class StoreState:
    """All keys and sessions."""

    keys: dict[str, StoredValue] = dataclasses.field(default_factory=dict)
    index: int = 1


class PlatformStandIn:
    """Hold the keys in memory and apply the switches."""

    def __init__(self) -> None:
        """Start empty, with all switches off."""
        self.state = StoreState()
        self.backup = StoreState()
        self.sessions: dict[str, tuple[float, float]] = {}
        self.changed = asyncio.Condition()
        self.outage = False
        self.delay = 0.0
        self.replies_to_lose = 0
        self.is_closing = False
        self.calls: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the HTTP application."""
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
        """Let waiting reads return, since the server waits for them."""
        self.outage = True
        await self.notify_watches()

    @web.middleware
    async def apply_faults(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        """Apply outage, delay and lost answers to calls under /v1."""
        if not request.path.startswith('/v1/'):
            return typing.cast(web.StreamResponse, await handler(request))
        self.calls[request.method] += 1
        # A write that was sent takes effect even if its caller has given up.
        await request.read()
        if self.delay:
            await asyncio.sleep(self.delay)
        if self.outage:
            return web.Response(status=500, text='No cluster leader')
        response = await handler(request)
        lost = request.method != 'GET' and self.replies_to_lose > 0
        if self.outage or lost:
            self.replies_to_lose -= int(lost)
            if request.transport:
                request.transport.close()
        return typing.cast(web.StreamResponse, response)

    async def get(self, request: web.Request) -> web.Response:
        """Read a key or prefix, blocking when an index is given."""
        key = request.match_info['key']
        prefix = 'recurse' in request.query
        after = int(request.query.get('index', '0'))
        wait = _parse_seconds(request.query.get('wait', '300s'))
        deadline = time.monotonic() + min(wait, _MAX_WAIT_S)
        while after and self.highest_index(key, prefix=prefix) <= after:
            if not await self.wait_for_change(deadline - time.monotonic()):
                break
            if request.transport is None:
                # The client has gone; its watch must not outlive it.
                break
        rows = [
            _encode_row(name, stored)
            for name, stored in self.matching_keys(key, prefix=prefix)
        ]
        index = max(self.highest_index(key, prefix=prefix), 1)
        return web.json_response(
            rows,
            status=200 if rows else 404,
            headers={'X-Consul-Index': str(index)},
        )

    async def put(self, request: web.Request) -> web.Response:
        """Write a key, by compare-and-swap or under a session."""
        key = request.match_info['key']
        body = await request.read()
        self.expire_sessions()
        known = self.state.keys.get(key)
        expected = request.query.get('cas')
        if expected is not None:
            if int(expected) != (known.index if known else 0):
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
        """Create a session."""
        body = await request.json()
        session = secrets.token_hex(8)
        ttl = _parse_seconds(body.get('TTL', '10s'))
        self.sessions[session] = (time.monotonic() + ttl, ttl)
        return web.json_response({'ID': session})

    async def renew_session(self, request: web.Request) -> web.Response:
        """Renew a session, or answer 404 when it has lapsed."""
        self.expire_sessions()
        session = request.match_info['id']
        if session not in self.sessions:
            return web.Response(status=404, text='Session id not found')
        ttl = self.sessions[session][1]
        self.sessions[session] = (time.monotonic() + ttl, ttl)
        return web.json_response([{'ID': session}])

    async def destroy_session(self, request: web.Request) -> web.Response:
        """End a session."""
        self.sessions.pop(request.match_info['id'], None)
        self.expire_sessions()
        return web.json_response(data=True)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the switches; an outage also ends waiting watches."""
        body = await request.json()
        self.outage = body.get('outage', self.outage)
        self.delay = body.get('delay', self.delay)
        self.replies_to_lose = body.get('lose_answers', self.replies_to_lose)
        await self.notify_watches()
        return web.json_response(data=True)

    async def list_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls by method."""
        return web.json_response(dict(self.calls))

    async def make_backup(self, request: web.Request) -> web.Response:
        """Remember the present state for a later restore."""
        self.backup = copy.deepcopy(self.state)
        return web.json_response(data=True)

    async def restore(self, request: web.Request) -> web.Response:
        """Go back to the backup, as a restored service would."""
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
        """Return the live keys that a read asks for."""
        self.expire_sessions()
        return [
            (name, stored)
            for name, stored in sorted(self.state.keys.items())
            if name == key or (prefix and name.startswith(key))
        ]

    def highest_index(self, key: str, *, prefix: bool) -> int:
        """Return the highest index of a read; deletions raise all."""
        found = self.matching_keys(key, prefix=prefix)
        newest = max((stored.index for _, stored in found), default=0)
        return self.state.index if prefix or not found else newest

    def expire_sessions(self) -> None:
        """Delete lapsed sessions and the keys they hold."""
        now = time.monotonic()
        for session, (deadline, _) in list(self.sessions.items()):
            if deadline < now:
                self.sessions.pop(session)
        for name, stored in list(self.state.keys.items()):
            if stored.session and stored.session not in self.sessions:
                self.state.index += 1
                self.state.keys.pop(name)

    async def remove_keys(self, keys: list[str]) -> None:
        """Delete keys and wake the watches."""
        for key in keys:
            if self.state.keys.pop(key, None):
                self.state.index += 1
        await self.notify_watches()

    async def shut_down(self, app: web.Application) -> None:
        """End the waiting watches, which would hold up a planned stop."""
        self.is_closing = True
        await self.notify_watches()

    async def notify_watches(self) -> None:
        """Wake all waiting watches."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_for_change(self, seconds: float) -> bool:
        """Wait for a change; `False` after `seconds` or in an outage."""
        if seconds <= 0 or self.outage or self.is_closing:
            return False
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait(), min(seconds, 1.0))
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
