"""Hand-over of records and tombstones at the planned stop of an agent."""

import collections
import logging
import time
import typing

from poplardrum import ids
from poplardrum.coordination import records, views
from poplardrum.peers import handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

# Limits of one message, so that it does not block a link for long.
_MAX_BATCH_BYTES: typing.Final = 2**18
_MAX_BATCH_ITEMS: typing.Final = 500

TransferItem = messages.TransferredRecord | messages.TransferredTombstone


async def hand_over(process: 'agent.Agent') -> bool:
    """Transfer all records and tombstones to the agents that rank next.

    Returns whether all were acknowledged: only then can this agent be
    unregistered, as its successors know every key that it has started.
    """
    ownership = process.submissions.key_ownership
    ownership.closed = True
    # The record of a job that is still running after the drain has no answer
    # and cannot be transferred.
    complete = all(
        record.answer is not None
        for record in ownership.records.by_key.values()
    )
    for member, items in collect_by_successor(
        process, time.monotonic()
    ).items():
        for batch in split_into_batches(items):
            if not await send_batch(process, member, batch):
                logger.warning(
                    'records were not handed over to successor %r',
                    member,
                )
                complete = False
                break
    return complete


def collect_by_successor(
    process: 'agent.Agent',
    now: float,
) -> dict[ids.MemberId, list[TransferItem]]:
    """Return the items to transfer, by the agent that receives them."""
    table = process.submissions.key_ownership.records
    table.remove_expired(now)
    others = [
        member
        for member in process.ready_agents()
        if member.id != process.member.id
    ]
    by_successor: dict[ids.MemberId, list[TransferItem]] = (
        collections.defaultdict(list)
    )
    for key, record in table.by_key.items():
        if record.answer is not None:
            target = successor(key, others)
            by_successor[target].append(
                messages.TransferredRecord(
                    *key,
                    record.digest,
                    record.answer,
                    record.expires_at - now,
                ),
            )
    for tombstone_key, tombstone in table.tombstones.items():
        by_successor[successor(tombstone_key, others)].append(
            messages.TransferredTombstone(
                *tombstone_key,
                tombstone.owner,
                tombstone.expires_at - now,
            ),
        )
    return by_successor


def successor(
    key: records.RecordKey,
    others: list[messages.Member],
) -> ids.MemberId:
    """Return the agent that ranks first for a key, or an empty id."""
    ranked = views.rank(*key, others)
    return ranked[0].id if ranked else ids.MemberId('')


def split_into_batches(
    items: list[TransferItem],
) -> typing.Iterator[list[TransferItem]]:
    """Split the items for one agent into messages of bounded size."""
    batch: list[TransferItem] = []
    size = 0
    for item in items:
        batch.append(item)
        if isinstance(item, messages.TransferredRecord):
            size += records.answer_size_bytes(item.answer)
        if len(batch) >= _MAX_BATCH_ITEMS or size >= _MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch


async def send_batch(
    process: 'agent.Agent',
    member: ids.MemberId,
    batch: list[TransferItem],
) -> bool:
    """Send one batch; return whether all of it was acknowledged."""
    querier = process.submissions.key_querier
    reply = await querier.exchange(
        member,
        messages.HandOver(
            querier.next_request(),
            [
                item
                for item in batch
                if isinstance(item, messages.TransferredRecord)
            ],
            [
                item
                for item in batch
                if isinstance(item, messages.TransferredTombstone)
            ],
        ),
    )
    if not isinstance(reply, messages.HandOverAck):
        return False
    return reply.accepted == len(batch)


@handlers.receive.register(messages.HandOver)
def _hand_over(
    item: messages.HandOver,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    ownership = process.submissions.key_ownership
    now = time.monotonic()
    accepted = 0
    if not ownership.closed:
        for record in item.records:
            accept_record(ownership.records, record, now)
        for tombstone in item.tombstones:
            accept_tombstone(process, tombstone, now)
        accepted = len(item.records) + len(item.tombstones)
    link.send(messages.HandOverAck(item.request, accepted))


def accept_record(
    table: records.RecordTable,
    item: messages.TransferredRecord,
    now: float,
) -> None:
    """Store a record of an agent that stops."""
    table.add_transferred(
        (item.tenant, item.key),
        records.Record(
            job=item.answer.job,
            digest=item.digest,
            phase=records.RecordPhase.finished,
            answer=item.answer,
            expires_at=now + item.expires_in_s,
            answer_size_bytes=records.answer_size_bytes(item.answer),
        ),
    )


def accept_tombstone(
    process: 'agent.Agent',
    item: messages.TransferredTombstone,
    now: float,
) -> None:
    """Store a tombstone of an agent that stops, unless the key is known."""
    table = process.submissions.key_ownership.records
    key = (item.tenant, item.key)
    if item.owner == process.member.id or key in table.by_key:
        return
    if table.tombstone_owner(key, now) is None:
        table.tombstones[key] = records.Tombstone(
            item.owner,
            now + item.expires_in_s,
        )
