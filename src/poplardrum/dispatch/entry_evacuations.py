"""What an entry does about evacuated availability zones."""

from poplardrum import errors
from poplardrum.dispatch import (
    evacuation_reader,
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
    ) -> None:
        """Act on what `reader` finds."""
        self.reader = reader
        self.handler = handler
        self.coordinator = handler.coordinator
        self.agent_links = agent_links

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
            retry_after=self.reader.bound,
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
    reader = evacuation_reader.create(config, kv_store, handler.metrics)
    if reader is None:
        return []
    entry_evacuations = EntryEvacuations(reader, handler, agent_links)
    reader.on_change = entry_evacuations.handle_change
    handler.check_open = entry_evacuations.check_open
    return [('evacuated zones', reader.watch)]
