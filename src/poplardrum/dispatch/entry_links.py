"""The entries that an agent links to, and the tasks that keep the links."""

import asyncio
import typing

from poplardrum import network_address
from poplardrum.dispatch import clocks, connections, messages, neighbours

# An entry that is no longer chosen keeps its link for this long after its last
# run, while the link to its replacement comes up.
_RELEASE_DELAY_S: typing.Final = 3.0
_REVIEW_INTERVAL_S: typing.Final = 1.0

Connect = typing.Callable[
    [network_address.Address], typing.Coroutine[typing.Any, typing.Any, None]
]


class LinkDemand(typing.NamedTuple):
    """What decides which entries an agent links to, besides its place.

    It links to `all_entries` while it looks for the owner of a stored job.
    """

    service: str
    all_entries: bool = False


class EntryLinks:
    """Keep a link to each chosen entry; drop the others.

    An address that is neither announced nor linked is dropped at once, so
    entries that have been replaced leave nothing behind.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        connect: Connect,
        demand: typing.Callable[[], LinkDemand],
    ) -> None:
        """Call `connect` in a task for each entry; it runs until cancelled."""
        self.node = node
        self.zone = zone
        self.connect = connect
        self.demand = demand
        self.revision = 0
        self.entries: dict[network_address.Address, messages.EntryAddress] = {}
        self.tasks: dict[network_address.Address, asyncio.Task[None]] = {}
        self.links: dict[network_address.Address, connections.Link] = {}
        # When addresses that are not chosen may be released.
        self.release_at: dict[network_address.Address, float] = {}

    def add_seeds(
        self, addresses: typing.Iterable[network_address.Address]
    ) -> None:
        """Link to addresses of the settings until entries are known."""
        for address in addresses:
            self._dial(address)

    def update(
        self, revision: int, entries: typing.Iterable[messages.EntryAddress]
    ) -> None:
        """Use a list of all entries unless it is older than the known one."""
        known = {entry.address(): entry for entry in entries}
        if revision <= self.revision or not known:
            return
        self.revision = revision
        self.entries = known
        self.review(clocks.now())

    def review(self, now: float) -> None:
        """Dial chosen entries and release those that are not chosen."""
        if not self.entries:
            return
        demand = self.demand()
        if demand.all_entries:
            chosen = set(self.entries)
        else:
            chosen = {
                entry.address()
                for entry in neighbours.choose_entries(
                    self.node, self.zone, demand.service, self.entries.values()
                )
            }
        for address in chosen:
            self.release_at.pop(address, None)
            self._dial(address)
        for address in list(self.tasks):
            if address not in chosen and self._is_releasable(address, now):
                self._release(address)

    async def run(self) -> None:
        """Review the links until cancelled."""
        while True:
            await asyncio.sleep(_REVIEW_INTERVAL_S)
            self.review(clocks.now())

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks.values():
            task.cancel()

    def _dial(self, address: network_address.Address) -> None:
        if address not in self.tasks:
            self.tasks[address] = asyncio.ensure_future(self.connect(address))

    def _is_releasable(
        self, address: network_address.Address, now: float
    ) -> bool:
        link = self.links.get(address)
        if link is None:
            return True
        if link.busy_since is not None:
            self.release_at.pop(address, None)
            return False
        # An entry that lost its announcement may still be in use.
        if address not in self.entries:
            return False
        release_at = self.release_at.setdefault(address, now + _RELEASE_DELAY_S)
        return now >= release_at

    def _release(self, address: network_address.Address) -> None:
        self.release_at.pop(address, None)
        self.tasks.pop(address).cancel()
