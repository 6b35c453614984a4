"""Queue of the outgoing items of one link."""

import asyncio

from poplardrum.peers import frames, messages


class Outbox:
    """Queue items until the writer sends all of them in one frame."""

    def __init__(self) -> None:
        """Create an empty, open outbox."""
        self.items: list[frames.AnyItem] = []
        self.wakeup = asyncio.Event()
        self.is_closed = False
        self.is_ending = False

    def put(self, item: frames.AnyItem) -> bool:
        """Queue an item; return `False` if the outbox accepts no more."""
        if self.is_closed or self.is_ending:
            return False
        self.items.append(item)
        self.wakeup.set()
        return True

    def finish(self) -> None:
        """Accept no more items; those in the queue are still written."""
        self.is_ending = True
        self.wakeup.set()

    def close(self) -> list[frames.AnyItem]:
        """Close the outbox and return the items that were not written."""
        self.is_closed = True
        self.wakeup.set()
        unsent, self.items = self.items, []
        return unsent

    async def take(self, interval: float) -> list[frames.AnyItem]:
        """Return the queued items, or a heartbeat after `interval` seconds."""
        if not (self.items or self.is_closed or self.is_ending):
            try:
                # `asyncio.wait_for` of Python 3.11 loses a cancellation that
                # arrives at the same time as an item.
                async with asyncio.timeout(interval):
                    await self.wakeup.wait()
            except TimeoutError:
                return [messages.Heartbeat()]
        self.wakeup.clear()
        taken, self.items = self.items, []
        return taken
