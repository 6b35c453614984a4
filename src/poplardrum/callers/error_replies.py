"""JSON replies with an error code for HTTP errors and failed handlers."""

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
    """Response that delays the close of its connection.

    Closing it while the caller is still sending would reset the connection,
    and the caller could see the reset before it has read the reply.
    """

    transport: asyncio.Transport | None = None

    async def write_eof(self, data: bytes = b'') -> None:
        """Send the reply and wait up to 1 s for the caller to close."""
        await super().write_eof(data)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write_eof()
        deadline = time.monotonic() + _LINGER_TIMEOUT_S
        while not transport.is_closing() and time.monotonic() < deadline:
            await asyncio.sleep(_LINGER_POLL_INTERVAL_S)


class CodedErrorHandler(web.RequestHandler):
    """Send a JSON reply with an error code to requests that aiohttp rejects."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = _HTTP_INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Build the reply; the connection is closed after it.

        Only internal errors, with status 500, are logged with a traceback.
        """
        error = errors.uncertain_outcome(errors.Code.internal, 'internal error')
        if status == _HTTP_INTERNAL_ERROR:
            logger.error('request failed', exc_info=exc)
        else:
            logger.info('malformed HTTP request: %r', exc)
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
    """Turn exceptions of a handler into JSON replies with an error code."""
    try:
        return await handler(request)
    except errors.PoplardrumError as error:
        return replies.from_error(error)
    except web.HTTPException as exception:
        return _reply_to_http_exception(request, exception)
    except Exception:
        logger.exception('%s %s failed', request.method, request.path)
        return replies.from_error(
            errors.uncertain_outcome(errors.Code.internal, 'internal error'),
        )


def _reply_to_http_exception(
    request: web.Request,
    exception: web.HTTPException,
) -> web.Response:
    code = errors.Code.bad_request
    if exception.status == _HTTP_TOO_LARGE:
        code = errors.Code.too_large
    response = replies.from_error(
        errors.refusal(
            code,
            f'{request.method} {request.path}: {exception.reason}',
        ),
        status=exception.status,
    )
    if 'Allow' in exception.headers:
        response.headers['Allow'] = exception.headers['Allow']
    return response


async def listen(
    runner: web.AppRunner,
    host: str,
    port: int,
    max_header_bytes: int,
) -> asyncio.Server:
    """Listen with `CodedErrorHandler`; `runner` must have been set up.

    `max_header_bytes` limits the request line and each header.
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
