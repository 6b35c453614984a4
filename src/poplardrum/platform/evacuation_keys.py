"""Keys by which operators have availability zones evacuated."""

import typing

PREFIX: typing.Final = 'op/evacuate/'
_SEPARATOR: typing.Final = '/'


class EvacuationKeys(typing.NamedTuple):
    """The zones that keys name, and the keys that name none."""

    zones: frozenset[str]
    odd_keys: tuple[str, ...]


def parse(keys: typing.Iterable[str]) -> EvacuationKeys:
    """Return what the keys under `PREFIX` say; their values say nothing."""
    zones = set()
    odd_keys = []
    for key in keys:
        zone = key.removeprefix(PREFIX)
        if not zone or _SEPARATOR in zone or not key.startswith(PREFIX):
            odd_keys.append(key)
        else:
            zones.add(zone)
    return EvacuationKeys(frozenset(zones), tuple(odd_keys))
