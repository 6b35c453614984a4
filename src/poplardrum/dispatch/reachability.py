"""Whether lost agents are gone, or this entry is cut off from them.

A run at an agent that is gone has ended, and its completion is lost with it. One
at an agent that this entry can't reach may have been done, so its task is better
not started again before the agent is back.
"""

import math
import typing

from poplardrum import ids
from poplardrum.dispatch import fleet, timing

# The store is asked each 1.5 s. A longer time without an answer is an outage.
_MAX_ANSWER_GAP_S: typing.Final = 2.5
# When all agents of another zone are lost, it is more likely the way there that
# is. A longer partition than this is not worth a wait.
ZONE_LOSS_TIMEOUT_S: typing.Final = timing.OWNERSHIP_TIMEOUT_S


class StoreContact:
    """Since when the store has been answering this entry."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.answered_at = -math.inf
        self.steady_since = math.inf

    def record_answer(self, requested_at: float) -> None:
        """Record the answer to a request that was sent at `requested_at`."""
        if requested_at - self.answered_at > _MAX_ANSWER_GAP_S:
            self.steady_since = requested_at
        self.answered_at = requested_at

    def is_steady(self, since: float, now: float) -> bool:
        """Return whether it has answered since a time, and for long enough.

        After an outage, agents that were cut off with this entry link again.
        """
        return (
            self.answered_at >= since
            and now - self.steady_since >= timing.RELINK_TIMEOUT_S
        )


class Reachability:
    """Tell agents that are gone from those that this entry can't reach."""

    def __init__(
        self, zone: str, agents: typing.Mapping[ids.Incarnation, fleet.Agent]
    ) -> None:
        """Watch `agents` from an entry in `zone`."""
        self.zone = zone
        self.agents = agents
        # Without a store, its answers tell nothing.
        self.store_contact: StoreContact | None = None

    def is_gone(self, agent: fleet.Agent, now: float) -> bool:
        """Return whether an agent without a link is rather gone than cut off."""
        if not fleet.has_settled_links(self.agents.values(), now):
            return False
        if self.store_contact is not None and not self.store_contact.is_steady(
            agent.lost_at, now
        ):
            return False
        return (
            not self._is_zone_lost(agent.zone)
            or now - agent.lost_at >= ZONE_LOSS_TIMEOUT_S
        )

    def _is_zone_lost(self, zone: str) -> bool:
        """Return whether several agents of another zone are lost, and all."""
        if zone == self.zone:
            return False
        links = [
            agent.link for agent in self.agents.values() if agent.zone == zone
        ]
        return len(links) > 1 and not any(links)
