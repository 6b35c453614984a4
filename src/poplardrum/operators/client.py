"""HTTP client of the operators' interface."""

import asyncio
import typing

import aiohttp
import msgspec

from poplardrum import errors, ini
from poplardrum.operators import document, edits, status

_TIMEOUT_S: typing.Final = 30.0
_HTTP_OK: typing.Final = 200

_Body = typing.TypeVar('_Body')


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of a reply that is not the wanted one."""

    code: errors.Code
    verdict: errors.Verdict
    message: str = ''
    conflicts: list[edits.Conflict] = []


class OperatorClient:
    """Call one entry; every failure is raised with code and verdict."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        token: str,
    ) -> None:
        """Use the entry at `address` (IP:port); raise `settings`."""
        try:
            ini.address(address)
        except ValueError as error:
            raise errors.refusal(
                errors.Code.settings,
                f'--entry: {error}',
            ) from None
        self.session = session
        self.base_url = f'http://{address}/v1/operator'
        self.headers = {'Authorization': f'Bearer {token}'}

    async def fetch_document(self) -> document.Document:
        """Return the document in force at the entry."""
        data = await self._call('GET', 'config')
        return _decode(data, document.Document)

    async def status(self) -> status.Status:
        """Return the members with their configuration numbers."""
        return _decode(await self._call('GET', 'status'), status.Status)

    async def send_edit(self, edit: edits.Edit) -> document.Document:
        """Send an edit; return the document that holds it."""
        data = await self._call('POST', 'config', msgspec.json.encode(edit))
        return _decode(data, document.Document)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> bytes:
        try:
            async with self.session.request(
                method,
                f'{self.base_url}/{path}',
                data=body,
                headers=self.headers,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                reply = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise _no_reply_error(error, wrote=body is not None) from None
        if response.status != _HTTP_OK:
            raise _refusal_error(_decode(reply, ErrorBody))
        return reply


def _decode(data: bytes, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise errors.uncertain_outcome(
            errors.Code.unavailable,
            f'unreadable reply of the entry: {error}',
        ) from None


def _refusal_error(refusal: ErrorBody) -> errors.PoplardrumError:
    if refusal.conflicts:
        return edits.ConflictError(refusal.conflicts)
    return errors.PoplardrumError(
        refusal.code,
        refusal.verdict,
        refusal.message,
    )


def _no_reply_error(error: Exception, *, wrote: bool) -> errors.PoplardrumError:
    message = f'no answer of the entry: {error!r}'
    if wrote and not isinstance(error, aiohttp.ClientConnectorError):
        return errors.uncertain_outcome(errors.Code.unavailable, message)
    return errors.refusal(errors.Code.unavailable, message)
