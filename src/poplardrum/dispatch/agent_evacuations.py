"""Set-up of an agent's view of the evacuated availability zones."""

from poplardrum.dispatch import (
    clocks,
    evacuation_reader,
    evacuations,
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
    if config.evacuation_bound is None:
        return []
    reader = evacuation_reader.EvacuationReader(
        evacuations.Evacuations(config.zones, clocks.now()),
        kv_store,
        config.evacuation_bound,
    )
    reader.on_change = task_executor.status_changed.set
    task_executor.commands.gate = zone_gate.ZoneGate(config.zone, reader)
    other_gauges = task_executor.metrics.gauges

    def gauges() -> dict[str, float]:
        return other_gauges() | reader.gauges()

    task_executor.metrics.gauges = gauges
    return [('evacuated zones', reader.poll)]
