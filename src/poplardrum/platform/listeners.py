"""Sockets that listen before the rest of a process is imported.

Imports take most of the start-up time. Connections that arrive during them
are queued; if they were refused, their callers would back off. This module
therefore imports only the standard library.
"""

import contextlib
import json
import os
import socket
import typing

SETTINGS_VARIABLE: typing.Final = 'POPLARDRUM_SETTINGS'
DEFAULT_SETTINGS_PATH: typing.Final = '/etc/poplardrum/settings.json'
_BACKLOG_CONNECTIONS: typing.Final = 1024
# Bytes of each connection that the kernel receives ahead of this process. They
# count toward the memory of the process, and nothing else limits their sum.
_RECEIVE_BUFFER_BYTES: typing.Final = 32 * 1024

Address = tuple[str, int]
Listeners = dict[Address, socket.socket]


def open_all(path: str) -> Listeners:
    """Listen on the addresses of a settings file.

    An entry (only it has `Front`) also listens for peers, on the first
    internal port. Errors are ignored here; they are reported when the
    settings are loaded and the address is bound.
    """
    listeners: Listeners = {}
    try:
        with open(path, 'rb') as file:
            addresses = _addresses(json.load(file))
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return listeners
    for address in addresses:
        with contextlib.suppress(OSError):
            listeners[address] = _listen(address)
    return listeners


def settings_path() -> str:
    """Return the path of the settings file, from the environment or default.

    Defined here because this module imports only the standard library.
    """
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def _addresses(settings: dict[str, typing.Any]) -> list[Address]:
    addresses = []
    for text in settings['ListenAddresses'].values():
        host, _, port = text.rpartition(':')
        addresses.append((host, int(port)))
    if 'Front' in settings['ListenAddresses']:
        addresses.append((settings['IpAddress'], settings['InternalPorts'][0]))
    return addresses


def _listen(address: Address) -> socket.socket:
    listener = socket.socket()
    # Accepted connections inherit it. Not all systems have it.
    with contextlib.suppress(OSError):
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(_BACKLOG_CONNECTIONS)
    except OSError:
        listener.close()
        raise
    return listener
