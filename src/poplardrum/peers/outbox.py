"""Outgoing items of one link, sent together."""

import asyncio

from poplardrum.peers import frames, messages


class Outbox:
    """Collect items until the writer takes all of them at once."""

    def __init__(self) -> None:
        """Start empty and open."""
        self.items: list[frames.AnyItem] = []
        self.wakeup = asyncio.Event()
        self.is_closed = False
        self.is_ending = False

    def put(self, item: frames.AnyItem) -> bool:
        """Add an item; return `False` when the link is closed."""
        if self.is_closed or self.is_ending:
            return False
        self.items.append(item)
        self.wakeup.set()
        return True

    def finish(self) -> None:
        """Take no more items; those queued are still written."""
        self.is_ending = True
        self.wakeup.set()

    def close(self) -> list[frames.AnyItem]:
        """Close and return the items that were never written."""
        self.is_closed = True
        self.wakeup.set()
        unsent, self.items = self.items, []
        return unsent

    async def take(self, interval: float) -> list[frames.AnyItem]:
        """Wait for items, or return a heartbeat after `interval` seconds."""
        if not (self.items or self.is_closed or self.is_ending):
            try:
                # `asyncio.wait_for` of Python 3.11 loses a cancellation that
                # comes together with an item.
                async with asyncio.timeout(interval):
                    await self.wakeup.wait()
            except TimeoutError:
                return [messages.Heartbeat()]
        self.wakeup.clear()
        taken, self.items = self.items, []
        return taken
