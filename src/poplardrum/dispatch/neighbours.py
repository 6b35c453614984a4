"""Which entries an agent links to.

In a small fleet each agent links to all entries. In a large one it links to a
bounded number: entries of its own availability zone, since traffic between zones
is priced, and a few of other zones, through which an entry whose zone is crowded
or lost still finds capacity. Rendezvous hashing chooses them, so that the links
are spread evenly and few of them change when an entry joins or leaves.
"""

import hashlib
import typing

from poplardrum.dispatch import messages

# Up to this many entries, each agent links to all of them.
MAX_FULL_MESH: typing.Final = 12
MAX_SAME_ZONE: typing.Final = 12
MAX_OTHER_ZONES: typing.Final = 4


def choose_entries(
    node: str,
    zone: str,
    service: str,
    entries: typing.Collection[messages.EntryAddress],
) -> set[messages.EntryAddress]:
    """Return the entries that the agent of a node links to.

    Entries that lack agents of its `service` are always among them.
    """
    if len(entries) <= MAX_FULL_MESH:
        return set(entries)
    ranked = sorted(entries, key=lambda entry: _weight(node, entry))
    same_zone = [entry for entry in ranked if entry.zone == zone]
    other_zones = [entry for entry in ranked if entry.zone != zone]
    lacking = {entry for entry in ranked if service in entry.lacks}
    return {
        *same_zone[:MAX_SAME_ZONE],
        *other_zones[:MAX_OTHER_ZONES],
        *lacking,
    }


def _weight(node: str, entry: messages.EntryAddress) -> bytes:
    name = f'{node} {entry.host}:{entry.port}'
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
