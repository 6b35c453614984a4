"""Index of the agents of an entry by service, speed, zone and free capacity.

A placement decision looks only at the fastest agents that have room, so that its
cost does not grow with the fleet. Agents of similar speed share a class; within
a class they are grouped by availability zone (own or other) and by free CPU.
"""

import dataclasses
import random
import typing

from poplardrum.dispatch import fleet

# Endpoints whose slowness rounds to the same multiple count as equally fast.
SLOWNESS_STEP: typing.Final = 0.15
# Agents whose free CPU differs by less count as equally free.
_BUCKET_MILLICORES: typing.Final = 2000

# Agents by bucket of free CPU. The inner dicts serve as ordered sets.
_Buckets = dict[int, dict[fleet.Agent, None]]


class _Position(typing.NamedTuple):
    """Where an agent is listed, and what it adds to the sums of its class."""

    service: str
    speed: int
    own_zone: bool
    bucket: int
    capacity: int
    free: int


@dataclasses.dataclass
class SpeedClass:
    """Agents of one service and of similar speed; CPU is in millicores."""

    agent_count: int = 0
    capacity: int = 0
    free: int = 0
    own_zone: _Buckets = dataclasses.field(default_factory=dict)
    other_zones: _Buckets = dataclasses.field(default_factory=dict)

    def buckets(self, *, own_zone: bool) -> _Buckets:
        """Return the agents of the own zone, or of the others."""
        return self.own_zone if own_zone else self.other_zones

    def max_bucket(self) -> int:
        """Return the highest bucket with an agent, 0 without any."""
        return max((*self.own_zone, *self.other_zones), default=0)


class RoomIndex:
    """The agents that accept tasks, listed by what placement asks for.

    An agent whose link is stale stays listed: this lasts for a moment only, and
    whoever chooses an agent checks it.
    """

    def __init__(self, zone: str, rng: random.Random | None = None) -> None:
        """Create an index for an entry in `zone`.

        `rng` chooses among equally free agents, so that entries that place at
        the same time do not all choose the same one.
        """
        self.zone = zone
        # No task may be sent to agents in these zones.
        self.evacuated_zones: frozenset[str] = frozenset()
        self.random = rng or random.Random()
        self.services: dict[str, dict[int, SpeedClass]] = {}
        self.positions: dict[fleet.Agent, _Position] = {}

    def update(self, agent: fleet.Agent) -> None:
        """List an agent by its present state; drop it if it is unusable."""
        agent.is_evacuated = agent.zone in self.evacuated_zones
        position = self._position(agent)
        previous = self.positions.get(agent)
        if position == previous:
            return
        if previous is not None:
            self._drop(agent, previous)
        if position is not None:
            self._list(agent, position)

    def usable_count(self) -> int:
        """Return the number of agents that accept tasks."""
        return len(self.positions)

    def min_slowness(self) -> float:
        """Return the lowest slowness of all agents, 1 without any."""
        return min(
            (
                agent.slowness
                for classes in self.services.values()
                for agent in _agents_of(classes[min(classes)])
            ),
            default=1.0,
        )

    def max_free_cpu(self, service: str) -> int:
        """Return an upper bound of the free CPU of an agent, in millicores."""
        classes = self.services.get(service, {})
        highest = max(
            (each.max_bucket() for each in classes.values()), default=0
        )
        return (highest + 1) * _BUCKET_MILLICORES if classes else 0

    def free_fast_fraction(self, service: str) -> float:
        """Return the free fraction of the CPU of the faster half of agents."""
        classes = self.services.get(service, {})
        wanted = (sum(each.agent_count for each in classes.values()) + 1) // 2
        capacity = 0.0
        free = 0.0
        for speed in sorted(classes):
            if wanted <= 0:
                break
            speed_class = classes[speed]
            part = min(wanted / speed_class.agent_count, 1)
            capacity += part * speed_class.capacity
            free += part * speed_class.free
            wanted -= speed_class.agent_count
        return free / capacity if capacity else 1.0

    def agents(self, service: str, label: str) -> list[fleet.Agent]:
        """Return the usable agents of a service that have a label."""
        return [
            agent
            for agent in self.positions
            if agent.is_usable() and agent.matches(service, label)
        ]

    def speeds(self, service: str) -> list[int]:
        """Return the speed classes of a service, fastest first."""
        return sorted(self.services.get(service, {}))

    def by_room(
        self, service: str, speed: int, min_cpu: int, *, own_zone: bool
    ) -> typing.Iterator[fleet.Agent]:
        """Yield the agents of a speed class, those with most free CPU first.

        Leave out most of those with less than `min_cpu` millicores.
        """
        buckets = self.services[service][speed].buckets(own_zone=own_zone)
        for bucket in sorted(buckets, reverse=True):
            if bucket < min_cpu // _BUCKET_MILLICORES:
                return
            agents = list(buckets[bucket])
            first = self.random.randrange(len(agents))
            yield from agents[first:]
            yield from agents[:first]

    def _position(self, agent: fleet.Agent) -> _Position | None:
        if not agent.accepting or agent.is_evacuated or agent.link is None:
            return None
        free = max(agent.free.cpu_millicores, 0)
        return _Position(
            agent.service,
            round(agent.slowness / SLOWNESS_STEP),
            agent.zone == self.zone,
            free // _BUCKET_MILLICORES,
            agent.capacity.cpu_millicores,
            free,
        )

    def _list(self, agent: fleet.Agent, position: _Position) -> None:
        self.positions[agent] = position
        classes = self.services.setdefault(position.service, {})
        speed_class = classes.setdefault(position.speed, SpeedClass())
        speed_class.agent_count += 1
        speed_class.capacity += position.capacity
        speed_class.free += position.free
        buckets = speed_class.buckets(own_zone=position.own_zone)
        buckets.setdefault(position.bucket, {})[agent] = None

    def _drop(self, agent: fleet.Agent, position: _Position) -> None:
        self.positions.pop(agent)
        classes = self.services[position.service]
        speed_class = classes[position.speed]
        speed_class.agent_count -= 1
        speed_class.capacity -= position.capacity
        speed_class.free -= position.free
        buckets = speed_class.buckets(own_zone=position.own_zone)
        buckets[position.bucket].pop(agent)
        if not buckets[position.bucket]:
            buckets.pop(position.bucket)
        if not speed_class.agent_count:
            classes.pop(position.speed)
        if not classes:
            self.services.pop(position.service)


def _agents_of(speed_class: SpeedClass) -> typing.Iterator[fleet.Agent]:
    for buckets in (speed_class.own_zone, speed_class.other_zones):
        for agents in buckets.values():
            yield from agents
