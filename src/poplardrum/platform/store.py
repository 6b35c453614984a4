"""Interface of the platform's key-value service."""

import typing

import msgspec

from poplardrum import errors

LeaseId = typing.NewType('LeaseId', str)

CONFIG_KEY: typing.Final = 'poplardrum/config'
MEMBERS_PREFIX: typing.Final = 'poplardrum/members/'


class StoredValue(msgspec.Struct, frozen=True):
    """One value and the index of the write that made it."""

    key: str
    value: bytes
    index: int


class Snapshot(msgspec.Struct, frozen=True):
    """Result of a read: the values and the index to wait on."""

    index: int
    values: list[StoredValue]


class Change(msgspec.Struct, frozen=True):
    """Change of one key; without a `value` the key is removed.

    `expected` is the index to replace, 0 for a key that must not exist and
    `None` for any.
    """

    key: str
    value: bytes | None
    expected_index: int | None = None


class CommitResult(msgspec.Struct, frozen=True):
    """Result of changes that are made together or not at all.

    `index` is that of the changes, or 0 when one of them was not as
    expected; `present` then has what the expected keys hold.
    """

    index: int
    current_values: dict[str, StoredValue] = {}


class RecordStore(typing.Protocol):
    """What records of jobs need of the platform; errors as in `Store`."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the present value of one key."""

    async def list(self, prefix: str) -> list[StoredValue]:
        """Return all values below a prefix; pages are no snapshot."""

    async def commit(self, changes: typing.Sequence[Change]) -> CommitResult:
        """Make all changes, or none of them."""


class Store(typing.Protocol):
    """What the system needs of the platform.

    Each call raises `errors.PoplardrumError` with code `platform`; its
    verdict is `may_have_run` when a write may have taken effect.
    """

    async def read(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        after_index: int = 0,
        wait_s: float = 0,
    ) -> Snapshot:
        """Read a key or prefix; with `after`, wait for a later index.

        `wait` is in seconds.
        """

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_index: int | None = None,
        lease: LeaseId | None = None,
    ) -> bool:
        """Write a value; `expected` is the index to replace, 0 for none."""

    async def delete(self, key: str) -> None:
        """Delete a key."""

    async def grant_lease(self, ttl: float) -> LeaseId:
        """Create a lease of `ttl` seconds."""

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return `False` when it has lapsed."""

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys it holds."""

    async def close(self) -> None:
        """Close the connections."""


def platform_error(
    message: str, *, may_have_written: bool
) -> errors.PoplardrumError:
    """Return the error of a call; a lost write may have taken effect."""
    verdict = (
        errors.Verdict.may_have_run
        if may_have_written
        else errors.Verdict.not_run
    )
    return errors.PoplardrumError(errors.Code.platform, verdict, message)
