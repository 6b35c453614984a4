"""Planned stops and leaving agents of the model."""

import types
import typing

import msgspec

from poplardrum import ids
from poplardrum.daemons import handover
from poplardrum.peers import messages
from tests import submission_model

if typing.TYPE_CHECKING:
    from tests import submission_world


def stop(world: 'submission_world.World', name: ids.MemberId) -> bool:
    """Stop an agent as planned; return `False` if it cannot hand over."""
    agent = world.agents[name]
    running = [
        key
        for key, record in agent.records.by_key.items()
        if record.answer is None
    ]
    if agent.is_paused or agent.undecided or running:
        return False
    process = types.SimpleNamespace(
        member=agent.view.own,
        submissions=agent,
        ready_agents=lambda: [
            other
            for other in agent.view.agents('region')
            if other.state is messages.MemberState.ready
        ],
    )
    if not agent.stability.is_clean(
        world.now,
        agent.key_ownership.retention_time(submission_model.DEADLINE_S),
    ):
        world.kill(name)
        return False
    transfers = handover.collect_by_successor(
        typing.cast(typing.Any, process), world.now
    )
    agent.key_ownership.closed = True
    for target, items in transfers.items():
        other = world.agents.get(target)
        blocked = world.is_blocked(name, target)
        if (
            other is None
            or other.is_paused
            or blocked
            or other.key_ownership.closed
        ):
            world.kill(name)
            return False
        transfer(world, other, items)
    announce_gone(world, agent)
    return True


def transfer(
    world: 'submission_world.World',
    other: submission_model.Agent,
    items: list[handover.TransferItem],
) -> None:
    """Transfer records and tombstones to another agent."""
    process = types.SimpleNamespace(
        member=other.view.own,
        submissions=other,
    )
    for item in items:
        if isinstance(item, messages.TransferredRecord):
            handover.accept_record(other.records, item, world.now)
        else:
            handover.accept_tombstone(
                typing.cast(typing.Any, process),
                item,
                world.now,
            )


def announce_gone(
    world: 'submission_world.World', agent: submission_model.Agent
) -> None:
    """Notify the reachable processes that an agent has ended."""
    own = msgspec.structs.replace(
        agent.view.own,
        state=messages.MemberState.gone,
        version=agent.view.own.version + 1,
    )
    world.gone.add(agent.name)
    world.registered.pop(agent.name, None)
    for entry_name, entry in world.entries.items():
        link = entry.links.get(agent.name)
        linked = link is not None and link.agent is agent
        if linked and not world.is_blocked(entry_name, agent.name):
            entry.view.merge([own])
    for other in world.agents.values():
        blocked = world.is_blocked(agent.name, other.name)
        if not blocked and not other.is_paused:
            other.view.merge([own])
    world.kill(agent.name)


def set_leaving(
    world: 'submission_world.World', name: ids.MemberId, *, leaving: bool
) -> None:
    """Make an agent leave or return, as by an operator's rule."""
    agent = world.agents[name]
    state = messages.MemberState.ready
    if leaving:
        state = messages.MemberState.leaving
    if agent.is_paused or state is agent.view.own.state:
        return
    if not leaving:
        agent.stability.record_bypass(world.now)
    own = msgspec.structs.replace(
        agent.view.own,
        state=state,
        version=agent.view.own.version + 1,
    )
    agent.view.replace_own(own)
    for other in world.processes():
        if not world.is_blocked(name, other.view.own.id):
            other.view.merge([own])
