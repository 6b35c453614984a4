"""Background tasks of an object, which ends them with itself."""

import asyncio
import typing


class Tasks:
    """Coroutines that run in the background until they are done."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.running: set[asyncio.Task[object]] = set()

    def spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Run a coroutine, and keep it from being collected."""
        task = asyncio.ensure_future(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.running):
            task.cancel()
