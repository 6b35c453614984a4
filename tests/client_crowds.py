"""Crowds of clients that misbehave, and the state of the process they meet."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import socket
import typing

from poplardrum import ini
from poplardrum.standins import site

# The largest body that is legal for the callers of the users' platform.
BODY_BYTES: typing.Final = 262_144
_FRAME_BYTES: typing.Final = 4 * 1024 * 1024
_CHUNK_BYTES: typing.Final = 65_536
_TRICKLE_INTERVAL_S: typing.Final = 0.05
_POLL_INTERVAL_S: typing.Final = 0.05
# A crowd has settled when it could send nothing for this many polls.
_QUIET_POLLS: typing.Final = 20
_SETTLE_TIMEOUT_S: typing.Final = 60.0
_KB: typing.Final = 1024


@dataclasses.dataclass(frozen=True)
class Client:
    """What one client sends at once, and whether bytes follow one by one."""

    content: bytes
    trickles: bool = False


def _head(length: str, number: int = 0) -> bytes:
    host = site.ROUTE_HEADERS['Host']
    return (
        f'POST /jobs/{number:016x} HTTP/1.1\r\nHost: {host}\r\n'
        f'Poplardrum-Deadline-Milliseconds: 20000\r\n{length}\r\n\r\n'
    ).encode()


def _post(body: bytes, number: int) -> bytes:
    return _head(f'Content-Length: {len(body)}', number) + body


def short_by_a_byte(_number: int) -> Client:
    """Return a client that leaves out the last byte of a large body."""
    content = _head(f'Content-Length: {BODY_BYTES}')
    return Client(content + b' ' * (BODY_BYTES - 1))


def without_last_piece(_number: int) -> Client:
    """Return a client that sends all pieces of a large body but the last."""
    piece = f'{_CHUNK_BYTES:x}\r\n'.encode() + b' ' * _CHUNK_BYTES + b'\r\n'
    pieces = piece * (BODY_BYTES // _CHUNK_BYTES)
    return Client(_head('Transfer-Encoding: chunked') + pieces)


def whole(number: int) -> Client:
    """Return a client that submits a job of the largest legal size."""
    body = json.dumps(site.submission(1, 'x')).encode()
    return Client(_post(body.ljust(BODY_BYTES), number + 1))


def empty_steps(number: int) -> Client:
    """Return a client whose job has as many empty steps as fit."""
    job = site.submission(1, 'x')
    job['Steps'] += [{'Count': 0}] * (BODY_BYTES // 16)
    body = json.dumps(job, separators=(',', ':')).encode()
    return Client(_post(body, number + 1))


def wide_job(number: int) -> Client:
    """Return a client whose job has the most tasks and fits no endpoint."""
    job = site.submission(1024, 'x')
    job['Steps'][0].update(Cpu=16000, EstimatedMs=15000)
    return Client(_post(json.dumps(job).encode(), number + 1))


def endless_header(_number: int) -> Client:
    """Return a client whose headers don't end."""
    fields = b''.join(
        b'X-%d: %s\r\n' % (index, b'x' * 8000) for index in range(100)
    )
    return Client(_head('Content-Length: 0')[:-2] + fields)


def trickle(_number: int) -> Client:
    """Return a client that sends the last part of a body byte by byte."""
    content = _head(f'Content-Length: {BODY_BYTES}')
    return Client(content + b' ' * (BODY_BYTES - 1_000), trickles=True)


def silent(_number: int) -> Client:
    """Return a client that sends nothing."""
    return Client(b'')


def unfinished_frame(_number: int) -> Client:
    """Return a peer that leaves out the last byte of a largest frame."""
    length = _FRAME_BYTES.to_bytes(4, 'big')
    return Client(length + b' ' * (_FRAME_BYTES - 1))


Form = typing.Callable[[int], Client]


class Crowd:
    """Clients that connect at once and stay open until the crowd leaves."""

    def __init__(self, address: ini.Address) -> None:
        """Create an empty crowd at an address."""
        self.address = address
        self.sent_bytes = 0
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> typing.Self:
        """Return the crowd."""
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Close all connections."""
        await self.stack.aclose()

    def add(self, form: Form, count: int) -> None:
        """Let clients of a form connect and send."""
        for number in range(count):
            task = asyncio.ensure_future(self._play(form(number)))
            self.stack.callback(task.cancel)

    async def _play(self, client: Client) -> None:
        with contextlib.suppress(OSError), socket.socket() as connection:
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, self.address)
            unsent = memoryview(client.content)
            while unsent:
                await loop.sock_sendall(connection, unsent[:_CHUNK_BYTES])
                self.sent_bytes += len(unsent[:_CHUNK_BYTES])
                unsent = unsent[_CHUNK_BYTES:]
            while client.trickles:
                await asyncio.sleep(_TRICKLE_INTERVAL_S)
                await loop.sock_sendall(connection, b' ')
            # The process may close the connection; the client never does.
            while await loop.sock_recv(connection, _CHUNK_BYTES):
                await asyncio.sleep(0)


class Watch:
    """Highest memory and number of descriptors of a process."""

    def __init__(self, host: site.Host) -> None:
        """Watch the process that the host runs now."""
        assert host.process is not None
        self.folder = pathlib.Path(f'/proc/{host.process.pid}')
        self.most_descriptors = 0

    def peak_bytes(self) -> int:
        """Return the highest resident memory since the process started."""
        lines = (self.folder / 'status').read_text().splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM:'))
        return int(peak.split()[1]) * _KB

    def count_descriptors(self) -> int:
        """Return the number of open descriptors, and remember the highest."""
        count = len(list((self.folder / 'fd').iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)
        return count

    async def settle(self, crowd: Crowd) -> None:
        """Wait until the crowd can send no more, counting descriptors."""
        sent, quiet = -1, 0
        async with asyncio.timeout(_SETTLE_TIMEOUT_S):
            while quiet < _QUIET_POLLS:
                quiet = quiet + 1 if crowd.sent_bytes == sent else 0
                sent = crowd.sent_bytes
                self.count_descriptors()
                await asyncio.sleep(_POLL_INTERVAL_S)
