"""IP addresses with a port.

A module of its own, since the parser of INI text takes time to import.
"""

import contextlib
import socket
import typing

_MAX_PORT: typing.Final = 65535

Address = tuple[str, int]


def parse(text: str) -> Address:
    """Convert `127.0.0.1:7000` to an IP address and a port."""
    host, _, port = text.strip().rpartition(':')
    host = host.strip('[]')
    if not _is_ip(host):
        raise ValueError(f'expected IP:port, got {text!r}')
    if not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f'expected a port after the IP, got {text!r}')
    return host, int(port)


def _is_ip(host: str) -> bool:
    for family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError, ValueError):
            socket.inet_pton(family, host)
            return True
    return False
