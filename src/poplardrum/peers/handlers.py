"""Dispatch of received items to handlers.

The module that is responsible for a message type registers its handler here.
The type is passed to `register(...)`, since the annotations of handlers refer
to modules that are imported for type checking only.
"""

import functools
import logging
import typing

from poplardrum.peers import messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import node
    from poplardrum.peers import links

logger = logging.getLogger(__name__)


@functools.singledispatch
def receive(
    item: messages.Item,
    process: 'node.Node',
    link: 'links.Link',
) -> None:
    """Handle one item that `process` received on `link`; must not block."""
    logger.warning('no handler for %s', type(item).__name__)


@functools.singledispatch
def handle_unsent(item: messages.Item, process: 'node.Node') -> None:
    """Handle one item that could not be written before its link closed."""


@receive.register(messages.Heartbeat)
def _heartbeat(
    item: messages.Heartbeat,
    process: 'node.Node',
    link: 'links.Link',
) -> None:
    """Do nothing: the link records the arrival time of every frame."""
