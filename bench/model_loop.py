"""Event loop whose clock jumps to the next event, for models of a fleet."""

import asyncio
import selectors


class _InstantSelector(selectors.SelectSelector):
    """Wait for no time; the loop's clock jumps instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now."""
        if timeout:
            self.now += timeout
        return super().select(0)


class ModelLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.instant_selector = _InstantSelector()
        super().__init__(self.instant_selector)

    def time(self) -> float:
        """Return the time of the model in seconds."""
        return self.instant_selector.now
