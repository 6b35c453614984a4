"""Start and planned stop of a process's servers."""

import asyncio
import contextlib
import unittest

import aiohttp
from aiohttp import web

from poplardrum.dispatch import lifecycle
from poplardrum.standins import ports


class TestShutdown(unittest.IsolatedAsyncioTestCase):
    """Requests around the end of a server."""

    async def test_request_during_shutdown(self) -> None:
        """Guards against a request that a planned stop cuts.

        Found on a drawn day of caballeriza-comun (LOST): a request came on
        a connection that was kept open just when an entry without open
        requests had decided to leave, and its task was cancelled.
        """
        address = ('127.0.0.1', ports.free_ports(1)[0])
        begun = asyncio.Event()

        async def handle(_request: web.BaseRequest) -> web.Response:
            begun.set()
            await asyncio.sleep(0.5)
            return web.Response(text='whole')

        stack = contextlib.AsyncExitStack()
        await lifecycle.serve_http(stack, handle, address, {})
        async with aiohttp.ClientSession() as client:
            url = 'http://{0}:{1}/'.format(*address)
            answer = asyncio.ensure_future(client.get(url))
            await begun.wait()
            await stack.aclose()
            response = await answer
            self.assertEqual(await response.text(), 'whole')
