"""Free ports on the loopback interface."""

import contextlib
import random
import socket
import typing

# Below the kernel's range for outgoing connections, which could take a port
# between its choice here and its use by the process it is meant for.
_FIRST_PORT: typing.Final = 10_000
_PORT_LIMIT: typing.Final = 32_000
_MAX_ATTEMPTS: typing.Final = 10_000


def free_ports(count: int) -> list[int]:
    """Return ports that are free now; all are held until all are chosen.

    Raises `OSError` when there are not enough.
    """
    choice = random.SystemRandom()
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        for _ in range(_MAX_ATTEMPTS):
            if len(found) == count:
                return found
            port = choice.randrange(_FIRST_PORT, _PORT_LIMIT)
            with contextlib.suppress(OSError):
                unused = stack.enter_context(socket.socket())
                unused.bind(('127.0.0.1', port))
                found.append(port)
    raise OSError(f'found {len(found)} of {count} free ports')
