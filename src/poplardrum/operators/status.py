"""Status of the system as one entry sees it."""

import time
import typing

import msgspec

from poplardrum.peers import links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry


class MemberStatus(msgspec.Struct, frozen=True):
    """One process; `config` is the number of its configuration.

    `silent_s` is the time since its last frame.
    """

    id: str
    role: str
    region: str
    zone: str
    state: str
    linked: bool
    config: int
    slots: int = 0
    free: int = 0
    queued: int = 0
    speed: float = 0
    silent_s: float = 0
    ejected_by: list[str] = []


class TenantStatus(msgspec.Struct, frozen=True):
    """One tenant: its rule, its backlog, and this entry's replies by code."""

    name: str
    region: str
    share: float
    max_jobs: int
    max_tasks: int
    backlog_s: float
    replies: dict[str, int]


class LatencyStatus(msgspec.Struct, frozen=True):
    """Response times of one tenant and job class at this entry.

    Percentiles are in seconds.
    """

    tenant: str
    job_class: str = msgspec.field(name='class')
    count: float
    p50: float
    p90: float
    p99: float


class Status(msgspec.Struct, frozen=True):
    """Body of `GET /v1/operator/status`."""

    entry: str
    state: str
    config: int
    requests: int
    members: list[MemberStatus]
    tenants: list[TenantStatus]
    latency: list[LatencyStatus]


def build_status(process: 'entry.Entry') -> Status:
    """Return the present status."""
    return Status(
        entry=process.member.id,
        state='leaving' if process.stopping.is_set() else 'ready',
        config=process.configuration.number,
        requests=process.requests_in_flight,
        members=list_members(process),
        tenants=_tenants(process),
        latency=[
            LatencyStatus(
                labels[0],
                labels[1],
                **process.metrics.latency.summary(labels),
            )
            for labels in sorted(process.metrics.latency.series)
        ],
    )


def list_members(process: 'entry.Entry') -> list[MemberStatus]:
    """Return the status of all processes that this entry knows."""
    return [_member(process, member) for member in process.known_members()]


def _member(
    process: 'entry.Entry',
    member: messages.Member,
) -> MemberStatus:
    link = process.links.get(member.id) or process.inbound.get(member.id)
    is_self = member.id == process.member.id
    load = _load(link)
    return MemberStatus(
        id=member.id,
        role=member.role.value,
        region=member.region,
        zone=member.zone,
        state=member.state.value,
        linked=is_self or link is not None,
        config=(
            process.configuration.number if is_self else _config_number(link)
        ),
        slots=load.slots,
        free=load.free_slots,
        queued=load.queued_tasks,
        speed=load.speed if load.slots else 0,
        silent_s=_seconds_since_last_frame(link),
        ejected_by=[
            other.member.id
            for other in process.links.values()
            if member.id in _load(other).ejected
        ],
    )


def _load(link: links.Link | None) -> messages.Load:
    return (link.load if link else None) or messages.Load(0, 0, 0)


def _config_number(link: links.Link | None) -> int:
    return link.config_number if link else 0


def _seconds_since_last_frame(link: links.Link | None) -> float:
    return round(time.monotonic() - link.last_seen, 3) if link else 0


def _tenants(process: 'entry.Entry') -> list[TenantStatus]:
    replies = process.metrics.replies_by_tenant()
    backlog: dict[str, float] = {}
    for link in process.links.values():
        for tenant, seconds in _load(link).backlog_s.items():
            backlog[tenant] = backlog.get(tenant, 0) + seconds
    return [
        TenantStatus(
            name=name,
            region=rule.region or process.member.region,
            share=rule.share,
            max_jobs=rule.max_jobs,
            max_tasks=rule.max_tasks,
            backlog_s=round(backlog.get(name, 0), 3),
            replies=replies.get(name, {}),
        )
        for name, rule in sorted(process.configuration.rules.tenants.items())
    ]
