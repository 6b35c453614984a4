"""Checks of rules against the processes that an entry knows."""

import typing

from poplardrum import findings
from poplardrum.operators import rule_checks, status

_AGENT_ROLE: typing.Final = 'agent'
_LEAVING_STATE: typing.Final = 'leaving'


def check(
    files: typing.Mapping[str, str],
    members: typing.Iterable[status.MemberStatus],
) -> list[findings.Finding]:
    """Return rules that match no process, or leave a region without one.

    There are none if the files have errors.
    """
    reading = rule_checks.read(files)
    if reading.errors:
        return []
    roles: dict[str, str] = {}
    regions: dict[str, list[str]] = {}
    for member in members:
        roles[member.id] = member.role
        if member.role == _AGENT_ROLE:
            regions.setdefault(member.region, []).append(member.id)
    return [
        *_unknown_workers(reading, roles),
        *_empty_regions(reading, regions),
        *_unnamed_regions(reading, regions),
    ]


def _unknown_workers(
    reading: rule_checks.Reading, roles: typing.Mapping[str, str]
) -> rule_checks.Findings:
    for name in reading.merger.build().workers:
        role = roles.get(name)
        if role != _AGENT_ROLE:
            reason = f'is an {role}' if role else 'the fleet has no such worker'
            yield findings.warning(
                reading.place('worker', name), f'never matches: {reason}'
            )


def _empty_regions(
    reading: rule_checks.Reading, regions: typing.Mapping[str, list[str]]
) -> rule_checks.Findings:
    merged = reading.merger.build()
    leaving = {
        name
        for name, rule in merged.workers.items()
        if rule.state == _LEAVING_STATE
    }
    for region, agents in sorted(regions.items()):
        if leaving.issuperset(agents):
            yield findings.warning(
                reading.place('worker', agents[0], 'state'),
                f'all {len(agents)} workers of region {region} are leaving',
            )
    for name, rule in merged.tenants.items():
        if rule.region and rule.region not in regions:
            yield findings.warning(
                reading.place('tenant', name, 'region'),
                f'no worker is in region {rule.region}',
            )


def _unnamed_regions(
    reading: rule_checks.Reading, regions: typing.Mapping[str, list[str]]
) -> rule_checks.Findings:
    homes = {rule.region for rule in reading.merger.build().tenants.values()}
    # A tenant without a region is at home in that of its entry.
    if homes and '' not in homes:
        for region in sorted(regions.keys() - homes):
            yield findings.warning(
                '[tenant]', f'region {region} is the home of no tenant'
            )
