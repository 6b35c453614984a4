"""Adapter for the key-value store of the users' platform."""

import asyncio
import base64
import typing

import aiohttp
import msgspec

from poplardrum import decoding, errors, network_address
from poplardrum.platform import store

_HTTP_OK: typing.Final = 200
_HTTP_NOT_FOUND: typing.Final = 404
_HTTP_GONE: typing.Final = 410
_HTTP_PRECONDITION_FAILED: typing.Final = 412
# Replies after which a write has certainly not been carried out. One of a
# gateway, for instance, does not tell.
_STATUSES_WITHOUT_EFFECT: typing.Final = frozenset((400, 403, 429, 503))
_MS_PER_S: typing.Final = 1000
# Added to the wait of a watch for its reply to arrive.
_WATCH_MARGIN_S: typing.Final = 0.5
_MAX_PAGES: typing.Final = 200

QueryParams = dict[str, str]


class _Item(msgspec.Struct):
    key: str = msgspec.field(name='Key')
    revision: int = msgspec.field(name='Revision')
    value_base64: str = msgspec.field(default='', name='Value')
    removed: bool = msgspec.field(default=False, name='Removed')

    def to_stored_value(self) -> store.StoredValue:
        """Decode the value; raise `ValueError` if it is not Base64."""
        value = base64.b64decode(self.value_base64, validate=True)
        return store.StoredValue(self.key, value, self.revision)


class _Page(msgspec.Struct):
    revision: int = msgspec.field(name='StoreRevision')
    items: list[msgspec.Raw] = msgspec.field(default_factory=list)
    events: list[msgspec.Raw] = msgspec.field(default_factory=list)
    has_more: bool = msgspec.field(default=False, name='MorePages')


class _CommitReply(msgspec.Struct):
    revision: int = msgspec.field(name='Revision')


class _ConflictReply(msgspec.Struct):
    items: list[msgspec.Raw] = msgspec.field(default_factory=list)


class LeaseReply(msgspec.Struct):
    lease: int = msgspec.field(name='Lease')


class _Write(msgspec.Struct):
    key: str = msgspec.field(name='Key')
    value_base64: str = msgspec.field(name='Value')
    lease: int = msgspec.field(default=0, name='Lease')


class _Condition(msgspec.Struct):
    key: str = msgspec.field(name='Key')
    revision: int = msgspec.field(name='Revision')


class _Transaction(msgspec.Struct):
    conditions: list[_Condition] = msgspec.field(name='Expected')
    writes: list[_Write] = msgspec.field(name='Writes')
    removals: list[str] = msgspec.field(name='Remove')


class KvStore:
    """Client of the store over one pooled HTTP session.

    A watch returns only the changes, so `read` caches the values of each
    prefix that it has read and applies the changes to them.
    """

    def __init__(
        self, address: network_address.Address, timeout_s: float
    ) -> None:
        """Use the store at `address`.

        Each call ends within `timeout_s`, a watch shortly after its wait.
        """
        host, port = address
        self.base_url = f'http://{host}:{port}'
        self.timeout_s = timeout_s
        self.session = aiohttp.ClientSession()
        self.cached_values: dict[str, dict[str, store.StoredValue]] = {}

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
        """Read a key or a prefix; with `after_index`, wait for a change."""
        if after_index and key in self.cached_values:
            snapshot = await self._watch(key, after_index, wait_s)
        else:
            snapshot = None
        if snapshot is None:
            snapshot = await self._read_and_cache(key)
        if is_prefix:
            return snapshot
        exact = [value for value in snapshot.values if value.key == key]
        return store.Snapshot(snapshot.index, exact)

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_index: int | None = None,
        lease: store.LeaseId | None = None,
    ) -> bool:
        """Write a value, by compare-and-swap if `expected_index` is given."""
        conditions = []
        if expected_index is not None:
            conditions.append(_Condition(key, expected_index))
        encoded = base64.b64encode(value).decode()
        write = _Write(key, encoded, int(lease or 0))
        status, _ = await self._call(
            'POST',
            '/kv-txn',
            body=_Transaction(conditions, [write], []),
        )
        return status == _HTTP_OK

    async def get(self, key: str) -> store.StoredValue | None:
        """Return the value of a key, `None` if it does not exist."""
        status, reply = await self._call('GET', '/kv-key', {'Key': key})
        if status == _HTTP_NOT_FOUND:
            return None
        try:
            return decode_reply(reply, _Item).to_stored_value()
        except ValueError as error:
            raise store.platform_error(
                f'platform: GET {key}: {error}',
                may_have_written=False,
            ) from None

    async def list(self, prefix: str) -> list[store.StoredValue]:
        """Return all values under a prefix; it is not a snapshot."""
        values, _ = await self._read_pages(prefix)
        return list(values.values())

    async def commit(
        self,
        changes: typing.Sequence[store.Change],
    ) -> store.CommitResult:
        """Make all changes in one transaction, or none of them."""
        body = _Transaction(
            [
                _Condition(change.key, change.expected_index)
                for change in changes
                if change.expected_index is not None
            ],
            [
                _Write(change.key, base64.b64encode(change.value).decode())
                for change in changes
                if change.value is not None
            ],
            [change.key for change in changes if change.value is None],
        )
        status, reply = await self._call('POST', '/kv-txn', body=body)
        if status == _HTTP_OK:
            return store.CommitResult(
                decode_reply(reply, _CommitReply).revision
            )
        current: dict[str, store.StoredValue] = {}
        _apply_items(current, decode_reply(reply, _ConflictReply).items)
        return store.CommitResult(0, current)

    async def delete(self, key: str) -> None:
        """Delete a key; it need not exist."""
        await self._call('POST', '/kv-txn', body=_Transaction([], [], [key]))

    async def grant_lease(self, ttl: float) -> store.LeaseId:
        """Create a lease of `ttl` seconds."""
        body = {'TtlMs': int(ttl * _MS_PER_S)}
        _, reply = await self._call('POST', '/kv-lease', body=body)
        decoded = decode_reply(reply, LeaseReply)
        return store.LeaseId(str(decoded.lease))

    async def renew_lease(self, lease: store.LeaseId) -> bool:
        """Renew a lease; return `False` if it has expired."""
        status, _ = await self._call('POST', f'/kv-keep/{lease}')
        return status == _HTTP_OK

    async def revoke_lease(self, lease: store.LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._call('DELETE', f'/kv-lease-end/{lease}')

    async def _read_and_cache(self, key: str) -> store.Snapshot:
        values, revision = await self._read_pages(key)
        self.cached_values[key] = values
        return store.Snapshot(revision, list(values.values()))

    async def _read_pages(
        self,
        key: str,
    ) -> tuple[dict[str, store.StoredValue], int]:
        values: dict[str, store.StoredValue] = {}
        query: QueryParams = {'Prefix': key}
        revision = 0
        for _ in range(_MAX_PAGES):
            _, reply = await self._call('GET', '/kv-range', query)
            page = decode_reply(reply, _Page)
            # Pages may be of different revisions. A watch from that of the
            # first page returns all changes made while they were read.
            revision = revision or page.revision
            last_key = _apply_items(values, page.items)
            if not page.has_more or last_key is None:
                break
            query['After'] = last_key
        return values, revision

    async def _watch(
        self,
        key: str,
        after_revision: int,
        wait_s: float,
    ) -> store.Snapshot | None:
        """Return the values after a change or the wait.

        Return `None` if the store no longer has the history since
        `after_revision`.
        """
        status, reply = await self._call(
            'GET',
            '/kv-watch',
            {
                'Prefix': key,
                'After': str(after_revision),
                'WaitMs': str(int(wait_s * _MS_PER_S)),
            },
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        if status == _HTTP_GONE:
            return None
        page = decode_reply(reply, _Page)
        values = self.cached_values[key]
        _apply_items(values, page.events)
        return store.Snapshot(page.revision, list(values.values()))

    async def _call(
        self,
        method: str,
        path: str,
        query: QueryParams | None = None,
        *,
        body: object = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        is_write = method != 'GET'
        headers = {'Content-Type': 'application/json'}
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                params=query,
                data=None if body is None else msgspec.json.encode(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s or self.timeout_s
                ),
            ) as response:
                reply = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            # Nothing was sent if the connection could not be opened.
            was_sent = not isinstance(error, aiohttp.ClientConnectorError)
            raise store.platform_error(
                f'platform: {method} {path}: {error!r}',
                may_have_written=is_write and was_sent,
            ) from None
        if response.status not in {
            _HTTP_OK,
            _HTTP_NOT_FOUND,
            _HTTP_GONE,
            _HTTP_PRECONDITION_FAILED,
        }:
            raise store.platform_error(
                f'platform: {method} {path}: status {response.status}',
                may_have_written=is_write
                and response.status not in _STATUSES_WITHOUT_EFFECT,
            )
        return response.status, reply


def _apply_items(
    values: dict[str, store.StoredValue],
    rows: list[msgspec.Raw],
) -> str | None:
    """Apply items or events to `values`; return the last key.

    Other programs write to the store too: an item that cannot be decoded is
    skipped and does not affect the others.
    """
    last_key = None
    for row in rows:
        try:
            item = decoding.decode_json(row, _Item)
            value = item.to_stored_value()
        except ValueError:
            continue
        last_key = item.key
        if item.removed:
            values.pop(item.key, None)
        else:
            values[item.key] = value
    return last_key


_Reply = typing.TypeVar('_Reply')


def decode_reply(reply: bytes, kind: type[_Reply]) -> _Reply:
    try:
        return decoding.decode_json(reply, kind)
    except ValueError as error:
        raise errors.uncertain_outcome(
            errors.Code.platform,
            f'platform: unreadable answer: {error}',
        ) from None
