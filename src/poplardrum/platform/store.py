"""Interface of the key-value store."""

import typing

import msgspec

from poplardrum import errors

LeaseId = typing.NewType('LeaseId', str)

CONFIG_KEY: typing.Final = 'poplardrum/config'
MEMBERS_PREFIX: typing.Final = 'poplardrum/members/'


class StoredValue(msgspec.Struct, frozen=True):
    """One value and the index of its last write."""

    key: str
    value: bytes
    index: int


class Snapshot(msgspec.Struct, frozen=True):
    """Result of a read; `index` is the one to wait for changes after."""

    index: int
    values: list[StoredValue]


class Change(msgspec.Struct, frozen=True):
    """Change of one key; a `value` of `None` removes it.

    `expected_index` is the index that the key must have, 0 if it must not
    exist and `None` for an unconditional change.
    """

    key: str
    value: bytes | None
    expected_index: int | None = None


class CommitResult(msgspec.Struct, frozen=True):
    """Result of a transaction.

    `index` is that of its writes, or 0 if a key did not have its expected
    index and nothing was changed; `current_values` then has the values of
    the keys with an expected index.
    """

    index: int
    current_values: dict[str, StoredValue] = {}


class RecordStore(typing.Protocol):
    """Operations that job records need; errors as in `Store`."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, `None` if it does not exist."""

    async def list(self, prefix: str) -> list[StoredValue]:
        """Return all values under a prefix.

        They are read page by page and are not a snapshot.
        """

    async def commit(self, changes: typing.Sequence[Change]) -> CommitResult:
        """Make all changes in one transaction, or none of them."""


class Store(typing.Protocol):
    """Operations of the store.

    Each of them raises `errors.PoplardrumError` with the code `platform` if
    it fails. The verdict is `may_have_run` if a write may have taken effect.
    """

    async def read(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        after_index: int = 0,
        wait_s: float = 0,
    ) -> Snapshot:
        """Read a key or all keys with a prefix.

        With `after_index`, wait up to `wait_s` for a change after it.
        """

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_index: int | None = None,
        lease: LeaseId | None = None,
    ) -> bool:
        """Write a value; return whether it was written.

        With `expected_index`, it is written only if the key has that index,
        0 for a key that does not exist. A key with a `lease` is deleted when
        the lease ends.
        """

    async def delete(self, key: str) -> None:
        """Delete a key; it need not exist."""

    async def grant_lease(self, ttl: float) -> LeaseId:
        """Create a lease of `ttl` seconds."""

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return `False` if it has expired."""

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""

    async def close(self) -> None:
        """Close the connections."""


def platform_error(
    message: str, *, may_have_written: bool
) -> errors.PoplardrumError:
    """Return the error for a call that failed.

    `may_have_written` is set if a write may have reached the store.
    """
    verdict = (
        errors.Verdict.may_have_run
        if may_have_written
        else errors.Verdict.not_run
    )
    return errors.PoplardrumError(errors.Code.platform, verdict, message)
