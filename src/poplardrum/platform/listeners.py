"""Sockets that listen before the rest of a process is loaded.

Loading takes most of a start. Connections that arrive meanwhile wait for it
instead of being reset, which would cost their callers a pause. So nothing but
the standard library is imported here.
"""

import contextlib
import json
import os
import socket
import typing

SETTINGS_VARIABLE: typing.Final = 'POPLARDRUM_SETTINGS'
DEFAULT_SETTINGS_PATH: typing.Final = '/etc/poplardrum/settings.json'
_BACKLOG_CONNECTIONS: typing.Final = 1024

Address = tuple[str, int]
Listeners = dict[Address, socket.socket]


def open_all(path: str) -> Listeners:
    """Listen at all addresses of a settings file, as far as it is readable.

    What is wrong with the file, or with an address, is reported by the code
    that needs it.
    """
    found: Listeners = {}
    try:
        with open(path, 'rb') as file:
            addresses = _addresses(json.load(file))
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return found
    for address in addresses:
        with contextlib.suppress(OSError):
            found[address] = _listen(address)
    return found


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def _addresses(settings: dict[str, typing.Any]) -> list[Address]:
    found = []
    for text in settings['ListenAddresses'].values():
        host, _, port = text.rpartition(':')
        found.append((host, int(port)))
    if 'Front' in settings['ListenAddresses']:
        found.append((settings['IpAddress'], settings['InternalPorts'][0]))
    return found


def _listen(address: Address) -> socket.socket:
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(_BACKLOG_CONNECTIONS)
    except OSError:
        listener.close()
        raise
    return listener
