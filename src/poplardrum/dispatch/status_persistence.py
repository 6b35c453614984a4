"""What an agent knew of its endpoint, kept in the store for its restart.

An agent that starts again would wait for a heartbeat, up to its interval,
before it knows the room of its endpoint.
"""

import asyncio
import logging
import typing

import msgspec

from poplardrum import errors, log_events
from poplardrum.dispatch import endpoint_status
from poplardrum.platform import endpoints, store

logger = logging.getLogger(__name__)

PREFIX: typing.Final = 'poplardrum/endpoints/'
_POLL_INTERVAL_S: typing.Final = 0.1
_RETRY_INTERVAL_S: typing.Final = 1.0


async def load(
    stored: store.Store,
    node: str,
) -> endpoints.Heartbeat | None:
    """Return what an earlier process of this node knew, or `None`."""
    try:
        snapshot = await stored.read(PREFIX + node)
    except errors.PoplardrumError as error:
        log_events.emit(logger, 'endpoint not recalled', why=error.message)
        return None
    if not snapshot.values:
        return None
    return endpoints.decode_heartbeat(snapshot.values[0].value)


async def save_changes(
    stored: store.Store,
    node: str,
    known: endpoint_status.EndpointStatus,
) -> None:
    """Write what the endpoint is like whenever that changes."""
    written: object = None
    while True:
        await asyncio.sleep(_POLL_INTERVAL_S)
        beat = known.heartbeat
        if beat is None or beat is known.restored:
            continue
        facts = (beat.born, beat.state, beat.capacity, beat.labels)
        if facts != written and await _write(stored, node, beat):
            written = facts


async def _write(
    stored: store.Store,
    node: str,
    beat: endpoints.Heartbeat,
) -> bool:
    try:
        await stored.write(PREFIX + node, msgspec.json.encode(beat))
    except errors.PoplardrumError as error:
        log_events.emit(logger, 'endpoint not kept', why=error.message)
        await asyncio.sleep(_RETRY_INTERVAL_S)
        return False
    return True
