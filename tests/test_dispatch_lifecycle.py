"""Tests of the shutdown of the HTTP servers of a process."""

import asyncio
import contextlib
import unittest

import aiohttp
from aiohttp import web

from poplardrum.dispatch import lifecycle
from poplardrum.standins import ports


class TestShutdown(unittest.IsolatedAsyncioTestCase):
    """Requests during the shutdown of a server."""

    async def test_request_during_shutdown(self) -> None:
        """Guards against a request being cut off by a shutdown.

        A request arrived on a kept-alive connection when an entry without open
        requests had already decided to exit, and was cancelled.
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
