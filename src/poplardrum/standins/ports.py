"""Choice of free ports on the loopback interface."""

import contextlib
import random
import socket
import typing

# Below the kernel's range for outgoing connections: such a connection could
# occupy a port after its choice and before the process under test listens.
_FIRST_PORT: typing.Final = 10_000
_PORT_LIMIT: typing.Final = 32_000
_MAX_ATTEMPTS: typing.Final = 10_000


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are free at the time of the call.

    All of them stay bound until the last one is chosen. Raises `OSError` if
    not enough free ports are found.
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
                probe.bind(('127.0.0.1', port))
                chosen.append(port)
    raise OSError(f'found {len(chosen)} of {count} free ports')
