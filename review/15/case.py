"""A replayed refusal of an earlier attempt starts a task that is running."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
import struct

from stand_ins_3 import case, deployment

SIDES = 11
JOBS = 30
TASKS = 2
WORK_MS = 1800
# One worker of eleven answers starts with 503 for a while.
SHED_S = 2.0
# So many of the entry's connections are reset.
RESET_SHARE = 0.5
RESEND_S = 1.3
FREEZE_S = 0.75
# The same disruptions come again until a task has run twice.
ROUNDS = 14


def create() -> deployment.Deployment:
    return deployment.Deployment(3, SIDES)


class Submission:
    """A client's request on a connection of its own."""

    def __init__(self, site: deployment.Deployment, job: str) -> None:
        self.site = site
        self.job = job
        self.writer: asyncio.StreamWriter | None = None
        self.status = 0

    async def send(self) -> None:
        """Send the job to the first entry and wait for the response."""
        site = self.site
        body = json.dumps(
            {
                'Specification': json.dumps({'work_ms': WORK_MS}),
                'BestEffort': True,
                'Steps': [
                    {
                        'Count': TASKS,
                        'Cpu': 1600,
                        'RequestedMemoryMb': 64,
                        'EstimatedMs': WORK_MS,
                    }
                ],
            }
        )
        host = site.entries[0].settings['IpAddress']
        self.status = 0
        site.case.add('client', f'POST {self.job} to {site.entries[0].name}')
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, self.writer = await asyncio.open_connection(
                host, site.front_port
            )
            self.writer.write(
                f'POST {deployment.PREFIX}{self.job} HTTP/1.1\r\n'
                f'Host: {deployment.HOST}\r\n'
                'Content-Type: application/json\r\n'
                'Poplardrum-Deadline-Milliseconds: 8000\r\n'
                f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
            )
            head = await reader.readuntil(b'\r\n\r\n')
            self.status = int(head.split()[1])
            self.writer.close()
        site.case.add('client', f'POST {self.job}: {self.status or "broken"}')

    def reset(self) -> None:
        """Reset the connection; both ends see it break."""
        assert self.writer is not None
        self.site.case.add('network', f'resets the connection of {self.job}')
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.writer.transport.abort()


async def play(site: deployment.Deployment, trouble: bool) -> str | None:
    for _ in range(ROUNDS):
        broken = await _round(site, trouble)
        if broken:
            return broken
        await asyncio.sleep(1)
    return None


async def _round(site: deployment.Deployment, trouble: bool) -> str | None:
    entry = site.entries[0]
    # A worker in the zone of the entry.
    grey = site.workers[0]
    grey.sheds = trouble
    if trouble:
        site.case.add(grey.name, 'is unhealthy: answers starts with 503')
    submissions = [Submission(site, deployment.job_id()) for _ in range(JOBS)]
    waits = {each: asyncio.ensure_future(each.send()) for each in submissions}
    if trouble:
        await asyncio.sleep(0.5)
        broken = random.sample(submissions, round(RESET_SHARE * JOBS))
        for each in broken:
            each.reset()
        await asyncio.sleep(RESEND_S)
        grey.sheds = False
        site.case.add(grey.name, 'is healthy again')
        await asyncio.sleep(max(SHED_S - 0.5 - RESEND_S, 0))
        for each in broken:
            waits[each] = asyncio.ensure_future(each.send())
        await asyncio.sleep(0.5)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        entry.signal(signal.SIGCONT)
    await asyncio.gather(*waits.values())
    if not site.case.runs:
        raise case.CannotRunError('no task was started')
    if not all(each.status == 200 for each in submissions):
        site.case.add('client', 'not all jobs were answered with 200')
    overlaps = [
        found for each in submissions for found in site.case.overlaps(each.job)
    ]
    if not overlaps:
        return None
    first, second, shared = max(overlaps, key=lambda found: found[2])
    return (
        f'TWICE: {len(overlaps)} tasks ran twice at the same time; {first.task}: '
        f'run {first.number} at {first.worker} and run {second.number} at '
        f'{second.worker}, for {1000 * shared:.0f} ms'
    )


case.main(pathlib.Path(__file__).parent, create, play)
