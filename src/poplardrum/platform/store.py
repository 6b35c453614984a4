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


class Store(typing.Protocol):
    """What the system needs of the platform.

    Each call raises `errors.PoplardrumError` with code `platform`; its
    verdict is `may_have_run` when a write may have taken effect.
    """

    async def read(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: int = 0,
        wait: float = 0,
    ) -> Snapshot:
        """Read a key or prefix; with `after`, wait for a later index.

        `wait` is in seconds.
        """

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None = None,
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


def failure(message: str, *, wrote: bool) -> errors.PoplardrumError:
    """Return the error of a call; a lost write may have taken effect."""
    verdict = errors.Verdict.may_have_run if wrote else errors.Verdict.not_run
    return errors.PoplardrumError(errors.Code.platform, verdict, message)
