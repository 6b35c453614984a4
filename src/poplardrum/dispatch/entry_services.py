"""Background loops of an entry beside those for jobs and links."""

import functools

from poplardrum.dispatch import (
    coverage,
    entry_evacuations,
    lifecycle,
    links,
    membership,
    prediction_sharing,
    request_handler,
)
from poplardrum.platform import store


def background_loops(
    kv_store: store.Store,
    handler: request_handler.RequestHandler,
    agent_links: links.AgentLinks,
    announcement: membership.Announcement,
) -> list[tuple[str, lifecycle.BackgroundLoop]]:
    """Return the loops that have to run all the time, by name."""
    config = handler.settings.config
    return [
        (
            'learned durations',
            prediction_sharing.PredictionSharing(
                kv_store, config.node, handler.predictors
            ).run,
        ),
        (
            'service coverage',
            functools.partial(
                coverage.watch,
                handler.route_table,
                handler.coordinator,
                announcement,
            ),
        ),
        *entry_evacuations.background_loops(
            config, kv_store, handler, agent_links
        ),
    ]
