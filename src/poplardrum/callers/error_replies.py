"""Coded JSON replies where HTTP itself goes wrong."""

import asyncio
import functools
import logging
import time
import typing

from aiohttp import web

from poplardrum import errors
from poplardrum.callers import replies

logger = logging.getLogger(__name__)

_HTTP_INTERNAL_ERROR: typing.Final = 500
_HTTP_TOO_LARGE: typing.Final = 413
_LINGER_TIMEOUT_S: typing.Final = 1.0
_LINGER_POLL_INTERVAL_S: typing.Final = 0.05

Handler = typing.Callable[
    [web.Request],
    typing.Awaitable[web.StreamResponse],
]


class LingeringResponse(web.Response):
    """Keep the connection open for a moment after the reply.

    A close while the caller still sends resets the connection, and the
    reset can overtake the reply.
    """

    transport: asyncio.Transport | None = None

    async def write_eof(self, data: bytes = b'') -> None:
        """Send the reply and wait until the caller closes, up to 1 s."""
        await super().write_eof(data)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write_eof()
        deadline = time.monotonic() + _LINGER_TIMEOUT_S
        while not transport.is_closing() and time.monotonic() < deadline:
            await asyncio.sleep(_LINGER_POLL_INTERVAL_S)


class CodedErrorHandler(web.RequestHandler):
    """Answer requests that cannot be parsed with a coded reply."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = _HTTP_INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the reply and close the connection after it.

        Only a fault of ours, status 500, is logged with its stack.
        """
        error = errors.uncertain_outcome(errors.Code.internal, 'internal error')
        if status == _HTTP_INTERNAL_ERROR:
            logger.error('request failed', exc_info=exc)
        else:
            logger.info('request is not HTTP: %r', exc)
            error = errors.refusal(errors.Code.bad_request, message or 'HTTP')
        reply = replies.from_error(error, status=status)
        response = LingeringResponse(
            body=reply.body,
            status=status,
            content_type=reply.content_type,
        )
        response.transport = request.transport
        response.force_close()
        return response


@web.middleware
async def error_middleware(
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """Turn HTTP errors and faults of a handler into coded replies."""
    try:
        return await handler(request)
    except errors.PoplardrumError as error:
        return replies.from_error(error)
    except web.HTTPException as problem:
        return _reply_to_http_exception(request, problem)
    except Exception:
        logger.exception('%s %s failed', request.method, request.path)
        return replies.from_error(
            errors.uncertain_outcome(errors.Code.internal, 'internal error'),
        )


def _reply_to_http_exception(
    request: web.Request,
    problem: web.HTTPException,
) -> web.Response:
    code = errors.Code.bad_request
    if problem.status == _HTTP_TOO_LARGE:
        code = errors.Code.too_large
    response = replies.from_error(
        errors.refusal(
            code,
            f'{request.method} {request.path}: {problem.reason}',
        ),
        status=problem.status,
    )
    if 'Allow' in problem.headers:
        response.headers['Allow'] = problem.headers['Allow']
    return response


async def listen(
    runner: web.AppRunner,
    host: str,
    port: int,
    max_header_bytes: int,
) -> asyncio.Server:
    """Listen with coded replies; `runner` must have been set up.

    `max_header` bounds the request line and each header, in bytes.
    """
    loop = asyncio.get_running_loop()
    server = runner.server
    assert server is not None
    options: dict[str, typing.Any] = {
        'loop': loop,
        'access_log': None,
        'max_line_size': max_header_bytes,
        'max_field_size': max_header_bytes,
    }
    return await loop.create_server(
        functools.partial(CodedErrorHandler, server, **options),
        host,
        port,
        reuse_address=True,
    )
