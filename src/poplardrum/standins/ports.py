"""Free ports on the loopback interface."""

import contextlib
import socket


def free_ports(count: int) -> list[int]:
    """Return ports that are free now; all are held until all are chosen."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for unused in sockets:
            unused.bind(('127.0.0.1', 0))
        return [unused.getsockname()[1] for unused in sockets]
