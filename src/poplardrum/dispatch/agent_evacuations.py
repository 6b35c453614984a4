"""Set-up of an agent's view of the evacuated availability zones."""

from poplardrum.dispatch import (
    evacuation_reader,
    executor,
    lifecycle,
    zone_gate,
)
from poplardrum.platform import settings_file, store


def background_loops(
    config: settings_file.ProcessSettings,
    kv_store: store.Store,
    task_executor: executor.Executor,
) -> list[tuple[str, lifecycle.BackgroundLoop]]:
    """Guard the executor; return the loop that has to run, with its name.

    There is none where zones are never evacuated.
    """
    reader = evacuation_reader.create(config, kv_store, task_executor.metrics)
    if reader is None:
        return []
    reader.on_change = task_executor.status_changed.set
    task_executor.commands.gate = zone_gate.ZoneGate(config.zone, reader)
    return [('evacuated zones', reader.poll)]
