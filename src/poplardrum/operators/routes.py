"""HTTP routes for operators: configuration and status."""

import hmac
import typing

import msgspec
from aiohttp import web

from poplardrum import errors
from poplardrum.callers import replies, requests, statuses
from poplardrum.operators import document, edits, status

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry


class ConflictReply(msgspec.Struct, frozen=True):
    """Body of the reply to an edit with conflicts."""

    code: str
    verdict: str
    message: str
    conflicts: list[edits.Conflict]


def routes(process: 'entry.Entry') -> list[web.RouteDef]:
    """Return the routes that an entry serves to operators."""
    handlers = OperatorRoutes(process)
    return [
        web.get('/v1/operator/config', handlers.fetch_document),
        web.post('/v1/operator/config', handlers.apply_edit),
        web.get('/v1/operator/status', handlers.fetch_status),
    ]


class OperatorRoutes:
    """Handlers for the requests of operators."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Serve the requests that arrive at one entry."""
        self.process = process

    def authenticate(self, request: web.Request) -> None:
        """Raise `unknown_credential` unless the request has the token."""
        expected = f'Bearer {self.process.settings.operators.token}'
        received = request.headers.get('Authorization', '')
        if not hmac.compare_digest(expected.encode(), received.encode()):
            raise errors.refusal(
                errors.Code.unknown_credential,
                'the Authorization header is not the operator token',
            )

    async def fetch_document(self, request: web.Request) -> web.Response:
        """Reply with the document in force at this entry."""
        try:
            self.authenticate(request)
        except errors.PoplardrumError as error:
            return replies.from_error(error)
        return web.Response(
            body=document.encode(self.process.configuration.document),
            content_type='application/json',
        )

    async def apply_edit(self, request: web.Request) -> web.Response:
        """Apply an edit; reply with the document that includes it."""
        from poplardrum.daemons import configuration

        try:
            self.authenticate(request)
            edit = requests.decode_json(await request.read(), edits.Edit)
            changed = await configuration.edit(
                self.process,
                self.process.platform,
                edit,
            )
        except edits.ConflictError as conflict:
            return _conflict_reply(conflict)
        except errors.PoplardrumError as error:
            return replies.from_error(error)
        return web.Response(
            body=document.encode(changed),
            content_type='application/json',
        )

    async def fetch_status(self, request: web.Request) -> web.Response:
        """Reply with the status of the system as this entry sees it."""
        try:
            self.authenticate(request)
        except errors.PoplardrumError as error:
            return replies.from_error(error)
        return web.Response(
            body=msgspec.json.encode(status.build_status(self.process)),
            content_type='application/json',
        )


def _conflict_reply(error: edits.ConflictError) -> web.Response:
    body = ConflictReply(
        code=error.code.value,
        verdict=error.verdict.value,
        message=error.message,
        conflicts=error.conflicts,
    )
    return web.Response(
        body=msgspec.json.encode(body),
        status=statuses.STATUS_BY_CODE[error.code],
        content_type='application/json',
    )
