"""Save an agent's endpoint status in the store, and load it after a restart.

Without it, a restarted agent would not know the capacity of its endpoint
until the next heartbeat, which can take a whole heartbeat interval.
"""

import asyncio
import logging
import typing

import msgspec

from poplardrum import errors, log_events
from poplardrum.dispatch import endpoint_status
from poplardrum.platform import endpoints, store

logger = logging.getLogger(__name__)

KEY_PREFIX: typing.Final = 'poplardrum/endpoints/'
_RETRY_INTERVAL_S: typing.Final = 1.0


async def load(
    kv_store: store.Store,
    node: str,
) -> endpoints.Heartbeat | None:
    """Return the heartbeat saved by an earlier process of this node.

    Return `None` if there is none, or none that can be read.
    """
    try:
        snapshot = await kv_store.read(KEY_PREFIX + node)
    except errors.PoplardrumError as error:
        log_events.emit(logger, 'endpoint status not loaded', why=error.message)
        return None
    if not snapshot.values:
        return None
    return endpoints.decode_heartbeat(snapshot.values[0].value)


async def save_changes(
    kv_store: store.Store,
    node: str,
    status: endpoint_status.EndpointStatus,
) -> None:
    """Save the last heartbeat when the endpoint's status changes.

    That is, when its incarnation, state, capacity or labels change. Runs until
    cancelled.
    """
    saved: object = None
    while True:
        await status.updated.wait()
        status.updated.clear()
        heartbeat = status.heartbeat
        # The restored heartbeat is in the store already.
        if heartbeat is None or heartbeat is status.restored:
            continue
        current = (
            heartbeat.born,
            heartbeat.state,
            heartbeat.capacity,
            heartbeat.labels,
        )
        if current != saved and await _write(kv_store, node, heartbeat):
            saved = current


async def _write(
    kv_store: store.Store,
    node: str,
    heartbeat: endpoints.Heartbeat,
) -> bool:
    """Write a heartbeat; after a failure, wait and return `False`."""
    try:
        await kv_store.write(KEY_PREFIX + node, msgspec.json.encode(heartbeat))
    except errors.PoplardrumError as error:
        log_events.emit(logger, 'endpoint status not saved', why=error.message)
        await asyncio.sleep(_RETRY_INTERVAL_S)
        return False
    return True
