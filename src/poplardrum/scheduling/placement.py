"""Choice of workers for the tasks of a job."""

import dataclasses
import random

from poplardrum import ids


@dataclasses.dataclass
class Candidate:
    """What a coordinator knows of one worker when it places tasks."""

    worker: ids.MemberId
    slots: int
    free: int
    queued: int
    speed: float = 1.0


def random_two(
    candidates: list[Candidate],
    choice: random.Random,
) -> Candidate | None:
    """Return the less loaded of two random candidates, `None` of none."""
    usable = [candidate for candidate in candidates if candidate.slots]
    if not usable:
        return None
    pair = choice.sample(usable, min(2, len(usable)))
    best = min(pair, key=_pressure)
    best.queued += 1
    best.free = max(0, best.free - 1)
    return best


def _pressure(candidate: Candidate) -> float:
    return (candidate.queued + 1 - candidate.free) / candidate.slots
