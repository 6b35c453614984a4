"""Time limits that entries and agents have to agree on."""

import typing

# Interval of keep-alive messages on an idle link.
PING_INTERVAL_S: typing.Final = 0.15
# A link on which nothing is received for this long is lost.
LINK_TIMEOUT_S: typing.Final = 0.6
# An entry whose link is lost may reconnect within this time before its runs
# are stopped. Its callers submit their jobs again 1.3 s after a lost connection.
RECONNECT_TIMEOUT_S: typing.Final = 0.4
# Longest time to retry the stop of a run before the lease is suspended.
TOTAL_STOP_TIMEOUT_S: typing.Final = 0.25
# Duration of the lease on the runs of an endpoint, unless the endpoint allows
# less. A short lease bounds how long runs of a lost endpoint may go on; this
# one still covers two renewals without a reply.
LEASE_S: typing.Final = 0.65
# An endpoint's clock may be slower than this host's by this fraction.
MAX_CLOCK_DRIFT: typing.Final = 0.02
LEASE_SLACK_S: typing.Final = 0.05


def max_lease_duration(granted: float) -> float:
    """Return the time after which a lease has certainly expired."""
    return granted * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_SLACK_S


# An entry that has not seen its own announcement in the store for this long
# stops the stored jobs that it owns, so that others can take them over.
OWNERSHIP_TIMEOUT_S: typing.Final = 4.5
# Longest time for which runs may go on at an agent whose link is lost: until
# the agent notices it, waits for a reconnect, stops the runs and, if the stops
# fail, lets the endpoint's lease expire.
LOST_AGENT_TIMEOUT_S: typing.Final = (
    LINK_TIMEOUT_S
    + RECONNECT_TIMEOUT_S
    + TOTAL_STOP_TIMEOUT_S
    + max_lease_duration(LEASE_S)
)
# When the announcement of an entry has been missing for this long, its stored
# jobs have certainly been stopped, also at agents that it cannot reach.
TAKEOVER_TIMEOUT_S: typing.Final = (
    OWNERSHIP_TIMEOUT_S + LOST_AGENT_TIMEOUT_S + 0.5
)
