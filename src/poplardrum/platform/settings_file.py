"""Settings file of a process on the users' hosts."""

import pathlib
import typing

import msgspec

from poplardrum import decoding, errors, network_address

_MS_PER_S: typing.Final = 1000


class _ListenAddresses(msgspec.Struct):
    front: str | None = msgspec.field(default=None, name='Front')
    ready: str | None = msgspec.field(default=None, name='Ready')
    control: str | None = msgspec.field(default=None, name='Control')


class _Bounds(msgspec.Struct):
    drain_ms: float = msgspec.field(default=2000, name='DrainMs')
    grace_s: float = msgspec.field(default=6, name='GraceS')
    # Longest lease of the endpoint.
    max_lease_ms: float = msgspec.field(default=1000, name='MaxHoldMs')
    stop_timeout_ms: float = msgspec.field(default=50, name='StopTimeoutMs')
    resubmission_ms: float = msgspec.field(default=1300, name='ResendMs')
    # A task starts no later than this after the cancel of its job.
    cancel_ms: float = 3000
    config_apply_ms: float = msgspec.field(default=2000, name='ConfigApplyMs')
    # How many times as long tasks take outside the rack of their data.
    far_factor: float = msgspec.field(default=1, name='SpreadFactor')
    status_s: float = 120
    # Only where an operator may have a zone evacuated.
    evacuation_ms: float | None = msgspec.field(
        default=None, name='EvacuationMs'
    )


class _Limits(msgspec.Struct):
    memory_mb: int = msgspec.field(default=0, name='MemoryMb')
    descriptors: int = msgspec.field(default=0, name='FileDescriptors')


class _Store(msgspec.Struct):
    address: str = msgspec.field(default='', name='Address')
    writes_per_s: float = msgspec.field(default=400, name='WritesPerS')


class _SettingsDocument(msgspec.Struct):
    node: str = msgspec.field(name='NodeName')
    ip: str = msgspec.field(name='IpAddress')
    zone: str = msgspec.field(name='Zone')
    internal_ports: tuple[int, int] = msgspec.field(name='InternalPorts')
    store: _Store = msgspec.field(name='platform')
    listen: _ListenAddresses = msgspec.field(
        default_factory=_ListenAddresses, name='ListenAddresses'
    )
    seeds: list[str] = msgspec.field(default_factory=list, name='SeedNodes')
    bounds: _Bounds = msgspec.field(default_factory=_Bounds, name='Bounds')
    limits: _Limits = msgspec.field(default_factory=_Limits, name='Limits')
    # The regions of the availability zones, by zone.
    zones: dict[str, str] = msgspec.field(default_factory=dict, name='Zones')
    app: str | None = None


class ProcessSettings(msgspec.Struct, frozen=True):
    """Settings of one process; times in seconds.

    `peers` is the address for links between entries and agents, with the
    same port on all hosts. `registry` receives the endpoint's heartbeats.
    The store accepts `writes_per_second` from all hosts together. The state
    of a job can be requested until `states_kept` after its end. No task starts
    later than `cancel_bound` after the cancel of its job. Names of
    fields are logged when the file has changed.

    Where operators evacuate availability zones, no task may start in one
    later than `evacuation_bound` after the request; it is `None` elsewhere.
    The process is killed beyond `memory_mb` and may open up to `descriptors`
    files and sockets; 0 means that the limit is not known.
    """

    node: str
    zone: str
    peers: network_address.Address
    store: network_address.Address
    callers: network_address.Address | None
    readiness: network_address.Address | None
    registry: network_address.Address | None
    endpoint: network_address.Address | None
    seeds: tuple[network_address.Address, ...]
    grace: float
    max_lease: float
    stop_time: float
    resubmission: float
    config_bound: float
    cancel_bound: float
    far_factor: float
    writes_per_second: float
    states_kept: float
    zones: tuple[str, ...] = ()
    evacuation_bound: float | None = None
    memory_mb: int = 0
    descriptors: int = 0

    @property
    def has_short_room(self) -> bool:
        """Return whether room may run short while the hosts are well.

        It does where whole zones are evacuated. Placement then
        looks ahead, and waiting jobs go in another order.
        """
        return self.evacuation_bound is not None


def load(path: pathlib.Path) -> ProcessSettings:
    """Read the settings; raise `settings` with the file and the field."""
    try:
        document = decoding.decode_json(path.read_bytes(), _SettingsDocument)
        return _build_settings(document)
    except (OSError, ValueError) as error:
        # The message of msgspec has the path of the field.
        raise errors.refusal(
            errors.Code.settings,
            f'{path}: {error}',
        ) from None


def _build_settings(document: _SettingsDocument) -> ProcessSettings:
    bounds = document.bounds
    port = document.internal_ports[0]
    return ProcessSettings(
        node=document.node,
        zone=document.zone,
        peers=(document.ip, port),
        store=network_address.parse(document.store.address),
        callers=_optional_address(document.listen.front),
        readiness=_optional_address(document.listen.ready),
        registry=_optional_address(document.listen.control),
        endpoint=_optional_address(document.app),
        seeds=tuple(
            (network_address.parse(seed)[0], port) for seed in document.seeds
        ),
        grace=bounds.grace_s,
        max_lease=bounds.max_lease_ms / _MS_PER_S,
        stop_time=bounds.stop_timeout_ms / _MS_PER_S,
        resubmission=bounds.resubmission_ms / _MS_PER_S,
        config_bound=bounds.config_apply_ms / _MS_PER_S,
        cancel_bound=bounds.cancel_ms / _MS_PER_S,
        far_factor=bounds.far_factor,
        writes_per_second=document.store.writes_per_s,
        states_kept=bounds.status_s,
        zones=tuple(document.zones),
        evacuation_bound=None
        if bounds.evacuation_ms is None
        else bounds.evacuation_ms / _MS_PER_S,
        memory_mb=document.limits.memory_mb,
        descriptors=document.limits.descriptors,
    )


def _optional_address(text: str | None) -> network_address.Address | None:
    return network_address.parse(text) if text else None
