"""Choice of free ports on the loopback interface."""

import collections
import contextlib
import random
import socket
import typing

_LOOPBACK: typing.Final = '127.0.0.1'
# Below the kernel's range for outgoing connections: such a connection could
# occupy a port after its choice and before the process under test listens.
_FIRST_PORT: typing.Final = 10_000
_PORT_LIMIT: typing.Final = 32_000
_MAX_ATTEMPTS: typing.Final = 10_000
# More than one site of processes uses.
_MAX_RESERVATIONS: typing.Final = 128

# Datagram sockets bound to the last ports that were chosen. They leave the ports
# free for connections, and tell other processes that choose that they are taken.
_reservations: typing.Final[collections.deque[socket.socket]] = (
    collections.deque()
)


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are free at the time of the call.

    All of them stay bound until the last one is chosen. For some time, no call
    in this or another process returns them again: they are bound only later.
    Raises `OSError` if not enough free ports are found.
    """
    generator = random.SystemRandom()
    chosen: list[int] = []
    with contextlib.ExitStack() as stack:
        for _ in range(_MAX_ATTEMPTS):
            if len(chosen) == count:
                return chosen
            port = generator.randrange(_FIRST_PORT, _PORT_LIMIT)
            with contextlib.suppress(OSError):
                probe = stack.enter_context(socket.socket())
                probe.bind((_LOOPBACK, port))
                _reserve(port)
                chosen.append(port)
    raise OSError(f'found {len(chosen)} of {count} free ports')


def _reserve(port: int) -> None:
    """Reserve a port; raise `OSError` if another call has."""
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((_LOOPBACK, port))
    except OSError:
        reservation.close()
        raise
    _reservations.append(reservation)
    if len(_reservations) > _MAX_RESERVATIONS:
        _reservations.popleft().close()
