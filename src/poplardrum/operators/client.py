"""HTTP client of the operators' interface."""

import asyncio
import typing

import aiohttp
import msgspec

from poplardrum import decoding, errors, ini
from poplardrum.operators import document, edits, status

_TIMEOUT_S: typing.Final = 30.0
_HTTP_OK: typing.Final = 200

_Body = typing.TypeVar('_Body')


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of a reply to a request that failed."""

    code: errors.Code
    verdict: errors.Verdict
    message: str = ''
    conflicts: list[edits.Conflict] = []


class OperatorClient:
    """Client of one entry; failures raise `errors.PoplardrumError`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        token: str,
    ) -> None:
        """Use the entry at `address`; raise `settings` unless it is IP:port."""
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

    async def fetch_status(self) -> status.Status:
        """Return the status of the system as the entry sees it."""
        return _decode(await self._call('GET', 'status'), status.Status)

    async def send_edit(self, edit: edits.Edit) -> document.Document:
        """Send an edit; return the document that includes it."""
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
            raise _no_reply_error(error, is_edit=body is not None) from None
        if response.status != _HTTP_OK:
            raise _refusal_error(_decode(reply, ErrorBody))
        return reply


def _decode(data: bytes, kind: type[_Body]) -> _Body:
    try:
        return decoding.decode_json(data, kind)
    except msgspec.DecodeError as error:
        raise errors.uncertain_outcome(
            errors.Code.unavailable,
            f'unreadable reply of the entry: {error}',
        ) from None


def _refusal_error(body: ErrorBody) -> errors.PoplardrumError:
    if body.conflicts:
        return edits.ConflictError(body.conflicts)
    return errors.PoplardrumError(
        body.code,
        body.verdict,
        body.message,
    )


def _no_reply_error(
    error: Exception, *, is_edit: bool
) -> errors.PoplardrumError:
    message = f'no answer of the entry: {error!r}'
    # Nothing was sent if the connection could not be opened.
    if is_edit and not isinstance(error, aiohttp.ClientConnectorError):
        return errors.uncertain_outcome(errors.Code.unavailable, message)
    return errors.refusal(errors.Code.unavailable, message)
