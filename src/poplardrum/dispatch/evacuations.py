"""The evacuated availability zones, as a process knows them."""

import typing

# An endpoint that is cold after the return of its zone offers its CPU in steps
# of this size, and a quarter of it at first.
_STEPS: typing.Final = 8
_FIRST_STEP: typing.Final = 2


class Evacuations:
    """The zones that no task may be started in, as of a revision of the store.

    The store numbers all its changes, so a view of a lower revision is older,
    whoever has read it. Without a newer view, the last one holds.
    """

    def __init__(self, known_zones: typing.Iterable[str], now: float) -> None:
        """Assume no evacuation; `known_zones` are those of the settings."""
        self.known_zones = frozenset(known_zones)
        self.zones: frozenset[str] = frozenset()
        self.revision = 0
        # When this process last read the store, or started.
        self.confirmed_at = now
        # When zones that are not evacuated any more came back.
        self.returned_at: dict[str, float] = {}

    def apply(
        self, revision: int, zones: typing.Iterable[str], now: float
    ) -> bool:
        """Use a view unless a newer one is known; return whether zones changed."""
        if revision < self.revision:
            return False
        self.revision = revision
        evacuated = frozenset(zones)
        if evacuated == self.zones:
            return False
        for zone in self.zones - evacuated:
            self.returned_at[zone] = now
        for zone in evacuated:
            self.returned_at.pop(zone, None)
        self.zones = evacuated
        return True

    def confirm(self, now: float) -> None:
        """Record that this process has read the store itself."""
        self.confirmed_at = now

    def age(self, now: float) -> float:
        """Return the seconds since this process last read the store."""
        return now - self.confirmed_at

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no task may be started in a zone."""
        return zone in self.zones

    def are_all_evacuated(self) -> bool:
        """Return whether no zone of the deployment is left."""
        return bool(self.known_zones) and self.known_zones <= self.zones

    def unknown_zones(self) -> frozenset[str]:
        """Return the evacuated zones that the settings do not have."""
        return self.zones - self.known_zones

    def capacity_share(self, zone: str, cold: float, now: float) -> float:
        """Return the share of the CPU that an endpoint in a zone offers.

        It is below 1 while the endpoint is cold, for another `cold` seconds,
        after its zone has come back.
        """
        returned_at = self.returned_at.get(zone)
        if returned_at is None or cold <= 0:
            return 1.0
        return warm_share(now - returned_at, cold)


def warm_share(since_return: float, cold: float) -> float:
    """Return the share of its CPU that a cold endpoint offers, by steps."""
    warm_part = max(since_return, 0) / (max(since_return, 0) + cold)
    return max(int(warm_part * _STEPS), _FIRST_STEP) / _STEPS
