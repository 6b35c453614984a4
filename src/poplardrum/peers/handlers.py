"""Receivers of messages, registered by the module that owns each type.

Receivers name their type in `register(...)`: the annotations refer to
modules that are imported for type checking only.
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
    """Handle one item that `link` brought to `process`; must not block."""
    logger.warning('no receiver for %s', type(item).__name__)


@functools.singledispatch
def handle_unsent(item: messages.Item, process: 'node.Node') -> None:
    """Handle one item that could not be written before its link closed."""


@receive.register(messages.Heartbeat)
def _heartbeat(
    item: messages.Heartbeat,
    process: 'node.Node',
    link: 'links.Link',
) -> None:
    """Need nothing: the link notes the time of every frame."""
