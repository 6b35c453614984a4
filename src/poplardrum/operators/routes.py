"""Routes for operators: configuration and status."""

import hmac
import typing

import msgspec
from aiohttp import web

from poplardrum import errors
from poplardrum.callers import replies, requests
from poplardrum.operators import document, edits

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry


class MemberStatus(msgspec.Struct, frozen=True):
    """One member as an entry sees it."""

    id: str
    role: str
    zone: str
    state: str
    linked: bool
    config: int
    slots: int = 0
    free: int = 0
    queued: int = 0


class Status(msgspec.Struct, frozen=True):
    """Body of `GET /v1/operator/status`."""

    entry: str
    config: int
    members: list[MemberStatus]
    latency: list[dict[str, typing.Any]]


class ConflictReply(msgspec.Struct, frozen=True):
    """Body of a refused edit, with both versions of each file."""

    code: str
    verdict: str
    message: str
    conflicts: list[edits.Conflict]


def routes(process: 'entry.Entry') -> list[web.RouteDef]:
    """Return the routes of the operators' interface."""
    operator = OperatorRoutes(process)
    return [
        web.get('/v1/operator/config', operator.show),
        web.post('/v1/operator/config', operator.edit),
        web.get('/v1/operator/status', operator.status),
    ]


class OperatorRoutes:
    """Serve operators on behalf of one entry."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Keep the process that is served."""
        self.process = process

    def authenticate(self, request: web.Request) -> None:
        """Check the operator's token."""
        expected = f'Bearer {self.process.settings.operators.token}'
        given = request.headers.get('Authorization', '')
        if not hmac.compare_digest(expected.encode(), given.encode()):
            raise errors.refusal(
                errors.Code.unknown_credential,
                'the Authorization header is not the operator token',
            )

    async def show(self, request: web.Request) -> web.Response:
        """Return the document in force here."""
        try:
            self.authenticate(request)
        except errors.PoplardrumError as error:
            return replies.from_error(error)
        return web.Response(
            body=document.encode(self.process.configuration.document),
            content_type='application/json',
        )

    async def edit(self, request: web.Request) -> web.Response:
        """Apply an edit; the reply is the document that holds it."""
        from poplardrum.daemons import configuration

        try:
            self.authenticate(request)
            edit = requests.read_json(await request.read(), edits.Edit)
            changed = await configuration.edit(
                self.process,
                self.process.platform,
                edit,
            )
        except edits.ConflictError as conflict:
            return _conflict(conflict)
        except errors.PoplardrumError as error:
            return replies.from_error(error)
        return web.Response(
            body=document.encode(changed),
            content_type='application/json',
        )

    async def status(self, request: web.Request) -> web.Response:
        """Return members, their configuration numbers and quantiles."""
        try:
            self.authenticate(request)
        except errors.PoplardrumError as error:
            return replies.from_error(error)
        latency = self.process.metrics.latency
        body = Status(
            entry=self.process.member.id,
            config=self.process.configuration.number,
            members=self.members(),
            latency=[
                {
                    'tenant': labels[0],
                    'class': labels[1],
                    **latency.quantiles(labels),
                }
                for labels in latency.series
            ],
        )
        return web.Response(
            body=msgspec.json.encode(body),
            content_type='application/json',
        )

    def members(self) -> list[MemberStatus]:
        """Return the status of all known members."""
        found = []
        for member in self.process.known_members():
            link = self.process.links.get(member.id)
            load = link.load if link else None
            own = member.id == self.process.member.id
            number = link.config if link else 0
            found.append(
                MemberStatus(
                    id=member.id,
                    role=member.role.value,
                    zone=member.zone,
                    state=member.state.value,
                    linked=own or link is not None,
                    config=self.process.configuration.number if own else number,
                    slots=load.slots if load else 0,
                    free=load.free if load else 0,
                    queued=load.queued if load else 0,
                ),
            )
        return found


def _conflict(error: edits.ConflictError) -> web.Response:
    body = ConflictReply(
        code=error.code.value,
        verdict=error.verdict.value,
        message=error.message,
        conflicts=error.conflicts,
    )
    return web.Response(
        body=msgspec.json.encode(body),
        status=replies.STATUS[error.code],
        content_type='application/json',
    )
