"""Stand-in for an endpoint: runs tasks by sleeping and counts their starts.

A payload is JSON such as `{"seconds": 0.2, "fail": false}`. The time is
divided by the endpoint's speed; a task with `"hang": true` runs until it is
stopped, and `"reply"` sets the output of a task. `GET /starts` returns the
number of starts by task. `PUT /switch` sets `fail_all` (bool), `state`,
`slots` and `speed`, and sends an announcement at once.
"""

import asyncio
import collections
import contextlib
import json
import typing

import aiohttp
from aiohttp import web

_ANNOUNCE_INTERVAL_S: typing.Final = 1.0


class EndpointStandIn:
    """An endpoint that runs tasks for one agent."""

    def __init__(self, name: str, slots: int, speed: float) -> None:
        """Create an idle endpoint; a `speed` of 2 halves every task time."""
        self.name = name
        self.slots = slots
        self.speed = speed
        self.state = 'ready'
        self.fail_all = False
        self.starts: collections.Counter[str] = collections.Counter()
        self.running: dict[str, asyncio.Task[typing.Any]] = {}
        self.most_running = 0
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application of tasks, starts and switches."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/tasks/{id}', self.run),
                web.delete('/tasks/{id}', self.stop),
                web.get('/starts', self.list_starts),
                web.put('/switch', self.set_behavior),
            ]
        )
        return app

    async def run(self, request: web.Request) -> web.Response:
        """Run a task and reply when it has ended."""
        task = request.match_info['id']
        body = await request.json()
        self.starts[task] += 1
        execution = asyncio.ensure_future(
            self.execute(body.get('payload', '')),
        )
        self.running[task] = execution
        self.most_running = max(self.most_running, len(self.running))
        try:
            output = await asyncio.shield(execution)
        except asyncio.CancelledError:
            return web.json_response({'error': 'stopped'}, status=410)
        except ValueError as error:
            return web.json_response({'error': str(error)}, status=500)
        finally:
            self.running.pop(task, None)
        return web.json_response({'output': output})

    async def execute(self, payload: str) -> str:
        """Sleep for the task's time; raise `ValueError` if it has to fail."""
        try:
            content = json.loads(payload)
        except ValueError:
            content = {}
        if self.fail_all:
            raise ValueError('endpoint is broken')
        if not isinstance(content, dict):
            content = {}
        if content.get('hang'):
            await asyncio.Event().wait()
        await asyncio.sleep(float(content.get('seconds', 0.05)) / self.speed)
        if content.get('fail'):
            raise ValueError('task failed')
        return str(content.get('reply', 'done'))

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a running task; reply 404 if it is not running."""
        execution = self.running.get(request.match_info['id'])
        if execution is None:
            return web.json_response({'error': 'not running'}, status=404)
        execution.cancel()
        return web.json_response({'stopped': True})

    async def list_starts(self, request: web.Request) -> web.Response:
        """Return starts by task and the most tasks that ran at once."""
        return web.json_response(
            {
                'starts': self.starts,
                'most_running': self.most_running,
                'slots': self.slots,
            }
        )

    async def set_behavior(self, request: web.Request) -> web.Response:
        """Set failures, state, slots and speed from a JSON body."""
        body = await request.json()
        self.fail_all = body.get('fail_all', self.fail_all)
        self.state = body.get('state', self.state)
        self.slots = body.get('slots', self.slots)
        self.speed = body.get('speed', self.speed)
        self.changed.set()
        return web.json_response(data=True)


async def send_announcements(
    endpoint: EndpointStandIn,
    address: str,
    agent: str,
) -> None:
    """Announce an endpoint to its agent at intervals until cancelled.

    A change by `set_behavior` is announced at once.
    """
    async with aiohttp.ClientSession() as session:
        while True:
            body = {
                'endpoint': endpoint.name,
                'address': address,
                'slots': endpoint.slots,
                'state': endpoint.state,
                'running': list(endpoint.running),
            }
            try:
                await session.post(f'http://{agent}/announce', json=body)
            except aiohttp.ClientError:
                # The agent has not started yet or is restarting; try again.
                await asyncio.sleep(0.05)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ANNOUNCE_INTERVAL_S):
                    await endpoint.changed.wait()
            endpoint.changed.clear()
