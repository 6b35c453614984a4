"""Reading a request's body within the limits of the process.

The body is returned once and kept nowhere, so it is freed when it is decoded.
"""

import math
import typing

from aiohttp import web_request

from poplardrum import errors
from poplardrum.dispatch import guarded_http, process_guard

_RETRY_AFTER_S: typing.Final = 1


async def read(
    request: web_request.BaseRequest, timeout_s: float = math.inf
) -> bytes:
    """Return the body, which must arrive within a time.

    Raise `too_large` or `overload` before it is read where that is known by its
    declared length. A client that is too slow is disconnected.
    """
    connection = request.protocol
    assert isinstance(connection, guarded_http.GuardedProtocol)
    length = request.content_length or 0
    if length > guarded_http.MAX_BODY_BYTES:
        raise _too_large(connection)
    if request.content.is_eof():
        body = request.content.read_nowait()
        if len(body) > guarded_http.MAX_BODY_BYTES:
            raise _too_large(connection)
        return body
    if not connection.expect_body(length, timeout_s):
        raise _over_budget()
    pieces = [piece async for piece in _read_pieces(request, connection)]
    connection.complete_body()
    return b''.join(pieces)


async def _read_pieces(
    request: web_request.BaseRequest, connection: guarded_http.GuardedProtocol
) -> typing.AsyncIterator[bytes]:
    size = 0
    while not request.content.at_eof():
        piece = await request.content.readany()
        size += len(piece)
        if size > guarded_http.MAX_BODY_BYTES:
            raise _too_large(connection)
        # A compressed body takes up more than has arrived.
        surplus = size - connection.account.held
        if surplus > 0 and not connection.hold(surplus):
            raise _over_budget()
        yield piece


def hold_job(request: web_request.BaseRequest, job_bytes: int) -> None:
    """Charge the decoded form of a job in place of its body, until its end.

    Raise `overload` if it does not fit.
    """
    connection = request.protocol
    assert isinstance(connection, guarded_http.GuardedProtocol)
    surplus = job_bytes - connection.account.held
    if surplus > 0 and not connection.hold(surplus):
        raise _over_budget()
    connection.guard.budget.keep(connection.account, job_bytes)


def _too_large(
    connection: guarded_http.GuardedProtocol,
) -> errors.PoplardrumError:
    connection.refuse(process_guard.Cause.too_large)
    return errors.refusal(errors.Code.too_large, 'body too large')


def _over_budget() -> errors.PoplardrumError:
    return errors.refusal(
        errors.Code.overload,
        'no memory for this request now',
        retry_after=_RETRY_AFTER_S,
    )
