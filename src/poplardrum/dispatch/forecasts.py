"""Room that an agent expects to become free, as its load reports tell it.

An agent knows the runs of all entries at its endpoint, an entry only its own.
"""

import typing

from poplardrum.dispatch import fleet

# Times of a forecast, after it is made. A job waits for room for a few hundred
# milliseconds at most.
POINTS_S: typing.Final = (0.05, 0.15, 0.4)
MILLICORES: typing.Final = 1000


def expected_free_cpu(agent: fleet.Agent, at: float) -> int:
    """Return the millicores expected to be free at a time of `clocks.now`.

    Of two points the earlier one counts until the later one is reached. Without
    a forecast no run is expected to end.
    """
    age = at - agent.forecast_at
    freed = 0
    for point, cores in zip(POINTS_S, agent.forecast, strict=False):
        if point <= age:
            freed = cores * MILLICORES
    return min(agent.free.cpu_millicores + freed, agent.capacity.cpu_millicores)
