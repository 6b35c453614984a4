"""Time limits that entries and agents have to agree on."""

import typing

# Silence after which a peer is pinged on a link that is in use.
PING_INTERVAL_S: typing.Final = 0.15
# A link in use on which nothing is received for this long is lost.
LINK_TIMEOUT_S: typing.Final = 0.6
# Time for the first message of an entry. It listens before its libraries are
# loaded, and sends nothing until then.
HELLO_TIMEOUT_S: typing.Final = 2.5
# Interval at which all links are checked while one of them is in use, and
# otherwise.
LINK_CHECK_INTERVAL_S: typing.Final = 0.075
IDLE_CHECK_INTERVAL_S: typing.Final = 0.2
# An entry pings its idle links at most this often in all, and each of them at
# least once in `_MAX_IDLE_PING_INTERVAL_S`.
_IDLE_PINGS_PER_S: typing.Final = 30.0
_MAX_IDLE_PING_INTERVAL_S: typing.Final = 1.0
# An agent leaves idle links to the pings of entries, unless it hears none.
PASSIVE_PING_INTERVAL_S: typing.Final = 1.25
# An idle link is lost after this many ping intervals without a reply.
_IDLE_TIMEOUT_INTERVALS: typing.Final = 3
# Time for a ping and its reply.
_PING_REPLY_S: typing.Final = 0.1
# A command that follows a longer silence may have been delayed, so the agent
# asks the entry for a sign of life before it starts the tasks.
CONFIRM_AFTER_S: typing.Final = 0.3
# An entry whose link is lost may reconnect within this time before its runs
# are stopped. Its callers submit their jobs again 1.3 s after a lost connection.
RECONNECT_TIMEOUT_S: typing.Final = 0.4
# A process that did not check its links for this long was paused.
PAUSED_AFTER_S: typing.Final = 0.5
# An entry that has heard of no agent for this long may have been cut off.
ISOLATED_AFTER_S: typing.Final = 1.0
# A request counts as stale this long before its caller could have submitted the
# job again. This covers pauses that are too short to be noticed.
RESUBMISSION_MARGIN_S: typing.Final = 0.3
# Time in which the end of a connection that closely follows a late request is
# read: a round trip to the caller and some passes of the event loop.
CALLER_CHECK_S: typing.Final = 0.015
# Longest time to retry the stop of a run before the lease is suspended.
TOTAL_STOP_TIMEOUT_S: typing.Final = 0.25
# A task that crashes its endpoint does so within this time after its start. Before
# and after the start of a suspected task, no other one starts there for as long.
CRASH_WINDOW_S: typing.Final = 0.1
# Duration of the lease on the runs of an endpoint, unless the endpoint allows
# less. A short lease bounds how long runs of a lost endpoint may go on; this
# one still covers two renewals without a reply.
LEASE_S: typing.Final = 0.65
# An endpoint's clock may be slower than this host's by this fraction.
MAX_CLOCK_DRIFT: typing.Final = 0.02
LEASE_SLACK_S: typing.Final = 0.05


def idle_ping_interval(link_count: int) -> float:
    """Return the silence after which an idle peer is pinged, in seconds."""
    return min(
        max(PING_INTERVAL_S, link_count / _IDLE_PINGS_PER_S),
        _MAX_IDLE_PING_INTERVAL_S,
    )


def idle_link_timeout(ping_interval: float) -> float:
    """Return the silence after which an idle link is lost, in seconds."""
    return max(
        LINK_TIMEOUT_S, _IDLE_TIMEOUT_INTERVALS * ping_interval + _PING_REPLY_S
    )


def stale_after(ping_interval: float) -> float:
    """Return the silence after which a ping was not answered, in seconds."""
    return ping_interval + 2 * LINK_CHECK_INTERVAL_S + _PING_REPLY_S


def max_lease_duration(granted: float) -> float:
    """Return the time after which a lease has certainly expired."""
    return granted * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_SLACK_S


# A completion without an acknowledgement for this long goes to all entries, since
# its entry may be unable to store it. The next owner has to know of it when it
# takes the job over.
COMPLETION_OVERDUE_S: typing.Final = 1.25
# An entry that has not seen its own announcement in the store for this long
# stops the stored jobs that it owns, so that others can take them over.
OWNERSHIP_TIMEOUT_S: typing.Final = 4.5
# Longest time for which runs may go on at an agent whose link is lost: until
# a command in transit arrives, the agent notices the loss, waits for a
# reconnect, stops the runs and, if the stops fail, lets the endpoint's lease
# expire.
LOST_AGENT_TIMEOUT_S: typing.Final = (
    CONFIRM_AFTER_S
    + LINK_TIMEOUT_S
    + LINK_CHECK_INTERVAL_S
    + RECONNECT_TIMEOUT_S
    + TOTAL_STOP_TIMEOUT_S
    + max_lease_duration(LEASE_S)
)
# Interval at which an agent checks the leases of the owners of its stored runs, and
# the age at which it renews them. A lease lasts for three seconds at least while its
# entry reaches the store.
OWNER_LEASE_CHECK_INTERVAL_S: typing.Final = 0.1
OWNER_LEASE_RENEWAL_INTERVAL_S: typing.Final = 0.5
# Longest time for which runs may go on after the lease of their owner has expired: an
# agent that is paused at that moment lets the endpoint's lease expire, or wakes
# before, renews it once, checks the owner's lease, and stops the runs as above.
EXPIRED_OWNER_TIMEOUT_S: typing.Final = (
    max_lease_duration(LEASE_S)
    + OWNER_LEASE_CHECK_INTERVAL_S
    + TOTAL_STOP_TIMEOUT_S
    + max_lease_duration(LEASE_S)
)
# Time for a start request to an endpoint. One without a reply may be carried out
# later, which no sender can prevent.
START_REQUEST_S: typing.Final = 0.2
# Time in which a command to start usually reaches the endpoint.
COMMAND_DELAY_S: typing.Final = 0.2
# Agents that can be reached link again within this time after a cut has ended.
RELINK_TIMEOUT_S: typing.Final = 2.0
# When the announcement of an entry has been missing for this long, its stored
# jobs have certainly been stopped, also at agents that it cannot reach or whose
# order to stop was lost.
TAKEOVER_TIMEOUT_S: typing.Final = (
    OWNERSHIP_TIMEOUT_S
    + max(LOST_AGENT_TIMEOUT_S, EXPIRED_OWNER_TIMEOUT_S)
    + 0.5
)
