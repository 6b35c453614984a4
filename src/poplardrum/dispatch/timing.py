"""Times, in seconds, that entries and agents have to agree on."""

import typing

# An idle link carries a sign of life this often.
PING_INTERVAL_S: typing.Final = 0.15
# A link on which nothing was heard for this long is lost.
LINK_TIMEOUT_S: typing.Final = 0.6
# An entry whose connection broke may come back for its tasks this long;
# its callers send their jobs again 1.3 s after a break.
RECONNECT_TIMEOUT_S: typing.Final = 0.4
# Time for the stops of one task before the lease is suspended instead.
TOTAL_STOP_TIMEOUT_S: typing.Final = 0.25
# Length of the lease on the runs of an endpoint, if the endpoint allows as
# much. A short lease bounds for how long tasks of a lost endpoint are in
# doubt; this one still spans two renewals without an answer.
LEASE_S: typing.Final = 0.65
# An endpoint's clock may be this much slower than ours.
MAX_CLOCK_DRIFT: typing.Final = 0.02
LEASE_SLACK_S: typing.Final = 0.05


def max_lease_duration(length: float) -> float:
    """Return the time after which a lease has certainly run out."""
    return length * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_SLACK_S


# An entry that did not see its own announcement for this long stops the
# stored jobs that it owns; others may take them over.
OWNERSHIP_TIMEOUT_S: typing.Final = 4.5
# Longest time for which tasks may run on at an agent whose connection is
# lost: its silence and resume times, its stops, and the endpoint's lease.
LOST_AGENT_TIMEOUT_S: typing.Final = (
    LINK_TIMEOUT_S
    + RECONNECT_TIMEOUT_S
    + TOTAL_STOP_TIMEOUT_S
    + max_lease_duration(LEASE_S)
)
# An entry whose announcement is missing for this long has stopped its stored
# jobs for certain, and so have the agents that it cannot reach.
TAKEOVER_TIMEOUT_S: typing.Final = (
    OWNERSHIP_TIMEOUT_S + LOST_AGENT_TIMEOUT_S + 0.5
)
