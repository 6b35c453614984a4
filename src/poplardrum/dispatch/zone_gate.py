"""Whether an agent may start tasks, as far as its availability zone goes."""

import typing

from poplardrum.dispatch import clocks, evacuation_reader, messages
from poplardrum.platform import endpoints

_MS_PER_S: typing.Final = 1000


class Gate(typing.Protocol):
    """What the executor asks before it starts tasks."""

    def is_open(self) -> bool:
        """Return whether tasks may be started in the zone now."""

    def limit(
        self,
        capacity: messages.Resources,
        heartbeat: endpoints.Heartbeat | None,
    ) -> messages.Resources:
        """Return the part of the endpoint's capacity that may be used."""

    def observe(self, message: messages.EvacuatedZones) -> None:
        """Use what an entry knows."""


class OpenGate:
    """Gate of a deployment whose zones are never evacuated."""

    def is_open(self) -> bool:
        """Return that tasks may be started."""
        return True

    def limit(
        self,
        capacity: messages.Resources,
        heartbeat: endpoints.Heartbeat | None,
    ) -> messages.Resources:
        """Return all of the capacity."""
        return capacity

    def observe(self, message: messages.EvacuatedZones) -> None:
        """Ignore what an entry knows."""


class ZoneGate:
    """Gate of an agent in a zone that may be evacuated."""

    def __init__(
        self, zone: str, reader: evacuation_reader.EvacuationReader
    ) -> None:
        """Guard `zone` by what a reader and the entries know."""
        self.zone = zone
        self.reader = reader

    def is_open(self) -> bool:
        """Return whether the zone is not evacuated."""
        return not self.reader.view.is_evacuated(self.zone)

    def limit(
        self,
        capacity: messages.Resources,
        heartbeat: endpoints.Heartbeat | None,
    ) -> messages.Resources:
        """Return a part of the CPU while the endpoint is cold after a return."""
        cold_ms = heartbeat.cold_remaining_ms if heartbeat else 0
        share = self.reader.view.capacity_share(
            self.zone, cold_ms / _MS_PER_S, clocks.now()
        )
        return messages.Resources(
            int(capacity.cpu_millicores * share),
            capacity.memory_mb,
            capacity.gpus,
        )

    def observe(self, message: messages.EvacuatedZones) -> None:
        """Use the view of an entry unless it is older."""
        self.reader.observe(message)
