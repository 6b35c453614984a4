"""Handlers of the stop signals."""

import asyncio
import signal


def install(stopping: asyncio.Event) -> None:
    """Set `stopping` on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
