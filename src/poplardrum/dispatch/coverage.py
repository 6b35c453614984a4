"""Services of which an entry of a large fleet knows too few agents."""

import asyncio
import typing

from poplardrum.dispatch import coordinator, fleet, membership, routes

# With fewer agents of a service, an entry asks all agents of it to link.
MIN_AGENTS_PER_SERVICE: typing.Final = 4
_CHECK_INTERVAL_S: typing.Final = 2.0
# Checks in a row after which a shortage is announced.
_MIN_SHORT_CHECKS: typing.Final = 2
_MAX_LACKING: typing.Final = 64


def lacking_services(
    services: typing.Iterable[str],
    agents: typing.Iterable[fleet.Agent],
) -> set[str]:
    """Return the services with fewer known agents than they should have.

    Agents that are lost for a moment count as known: they will be back.
    """
    nodes: dict[str, set[str]] = {service: set() for service in services}
    for agent in agents:
        if agent.service in nodes:
            nodes[agent.service].add(agent.node)
    return {
        service
        for service, known in nodes.items()
        if len(known) < MIN_AGENTS_PER_SERVICE
    }


async def watch(
    route_table: routes.RouteTable,
    job_coordinator: coordinator.Coordinator,
    announcement: membership.Announcement,
) -> None:
    """Announce the services that lack agents until cancelled.

    An announced service stays so, since its agents would leave again.
    """
    announced: set[str] = set()
    short_checks: dict[str, int] = {}
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        configuration = route_table.configuration
        if configuration is None or not job_coordinator.agents:
            continue
        services = {route.service for route in configuration.routes}
        short = lacking_services(services, job_coordinator.agents.values())
        short_checks = {
            service: short_checks.get(service, 0) + 1 for service in short
        }
        announced &= services
        announced |= {
            service
            for service, checks in short_checks.items()
            if checks >= _MIN_SHORT_CHECKS
        }
        announcement.set_lacks(sorted(announced)[:_MAX_LACKING])
