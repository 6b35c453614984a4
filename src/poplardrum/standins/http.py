"""Blocking HTTP calls for the demo, tests, benchmarks and the CLI."""

import json
import typing
import urllib.error
import urllib.request

_TIMEOUT_S: typing.Final = 90


def call(
    method: str,
    url: str,
    body: typing.Any = None,
    headers: typing.Mapping[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Send a JSON body and return the status and the decoded reply.

    Raises `OSError` if there is no reply.
    """
    data = None if body is None else json.dumps(body).encode()
    return call_bytes(method, url, data, headers)


def call_bytes(
    method: str,
    url: str,
    data: bytes | None,
    headers: typing.Mapping[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Send a body as it is and return the status and the decoded reply.

    A reply that is not JSON is returned as text. Raises `OSError` if there is
    no reply.
    """
    request = urllib.request.Request(url, data, dict(headers or {}))
    request.method = method
    try:
        with urllib.request.urlopen(
            request,
            timeout=_TIMEOUT_S,
        ) as response:
            return response.status, _decode(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _decode(error.read())


def _decode(content: bytes) -> typing.Any:
    try:
        return json.loads(content)
    except ValueError:
        return content.decode()
