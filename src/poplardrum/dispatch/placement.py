"""Choice of agents for the tasks of a job."""

import typing

from poplardrum.dispatch import fleet, messages

Pick = tuple[fleet.Agent, int]
_SLOWNESS_STEP: typing.Final = 0.15


def choose(
    agents: typing.Iterable[fleet.Agent],
    need: messages.Need,
    count: int,
    zone: str,
    avoided: typing.AbstractSet[str],
) -> list[Pick]:
    """Return agents and task counts, fastest endpoints first.

    Among endpoints of like speed the own zone goes first, since bytes
    between zones are paid for, then the one with the most room. Endpoints
    in `avoided` are used only when no other has room at all.
    """
    usable = [(agent, agent.fits(need)) for agent in agents if agent.usable()]
    usable = [(agent, fits) for agent, fits in usable if fits > 0]
    preferred = [pick for pick in usable if pick[0].node not in avoided]
    ranked = sorted(
        preferred or usable,
        key=lambda pick: (
            round(pick[0].slowness / _SLOWNESS_STEP),
            pick[0].zone != zone,
            -pick[1],
        ),
    )
    picks = []
    for agent, fits in ranked:
        if count <= 0:
            break
        taken = min(fits, count)
        picks.append((agent, taken))
        count -= taken
    return picks
