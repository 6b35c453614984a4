"""What an entry does about evacuated availability zones."""

from poplardrum import errors
from poplardrum.dispatch import (
    clocks,
    evacuation_reader,
    evacuations,
    lifecycle,
    links,
    request_handler,
)
from poplardrum.platform import settings_file, store


class EntryEvacuations:
    """Leave out evacuated zones, tell the agents, refuse when none is left."""

    def __init__(
        self,
        reader: evacuation_reader.EvacuationReader,
        handler: request_handler.RequestHandler,
        agent_links: links.AgentLinks,
        bound: float,
    ) -> None:
        """Act on what `reader` finds; a change holds after `bound` seconds."""
        self.reader = reader
        self.handler = handler
        self.coordinator = handler.coordinator
        self.agent_links = agent_links
        self.bound = bound

    def handle_change(self) -> None:
        """Apply a changed set of zones to placement, agents and waiting jobs."""
        self.coordinator.index.evacuated_zones = self.reader.view.zones
        for agent in self.coordinator.agents.values():
            self.coordinator.index.update(agent)
        self.agent_links.send_evacuated_zones(self.reader.message())
        if self.reader.view.are_all_evacuated():
            self._refuse_waiting_jobs()
        self.coordinator.placer.schedule()

    def check_open(self) -> None:
        """Raise a refusal if no zone is left to run a job in."""
        if self.reader.view.are_all_evacuated():
            raise self._refusal()

    def _refuse_waiting_jobs(self) -> None:
        """Refuse the jobs that nothing was started of; stored ones wait."""
        for job in self.coordinator.jobs.values():
            if job.owner is None and not job.started and not job.outcome.done():
                job.outcome.set_exception(self._refusal())

    def _refusal(self) -> errors.PoplardrumError:
        return errors.refusal(
            errors.Code.unavailable,
            'all availability zones are evacuated',
            retry_after=self.bound,
        )


def background_loops(
    config: settings_file.ProcessSettings,
    kv_store: store.Store,
    handler: request_handler.RequestHandler,
    agent_links: links.AgentLinks,
) -> list[tuple[str, lifecycle.BackgroundLoop]]:
    """Return the loop that has to run, with its name.

    There is none where zones are never evacuated.
    """
    if config.evacuation_bound is None:
        return []
    reader = evacuation_reader.EvacuationReader(
        evacuations.Evacuations(config.zones, clocks.now()),
        kv_store,
        config.evacuation_bound,
    )
    entry_evacuations = EntryEvacuations(
        reader, handler, agent_links, config.evacuation_bound
    )
    reader.on_change = entry_evacuations.handle_change
    handler.check_open = entry_evacuations.check_open
    other_gauges = handler.metrics.gauges

    def gauges() -> dict[str, float]:
        return other_gauges() | reader.gauges()

    handler.metrics.gauges = gauges
    return [('evacuated zones', reader.watch)]
