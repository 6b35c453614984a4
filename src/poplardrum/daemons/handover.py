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

# Limits of one message, so that it cannot hold up a link for long.
_MAX_BATCH_BYTES: typing.Final = 2**18
_MAX_BATCH_ITEMS: typing.Final = 500

TransferItem = messages.TransferredRecord | messages.TransferredTombstone


async def hand_over(process: 'agent.Agent') -> bool:
    """Give all that is kept to the agents that rank first without this one.

    Returns whether all was acknowledged: only then can this agent be
    forgotten, as its successor knows every key that it has started.
    """
    ledger = process.submissions.key_ownership
    ledger.closed = True
    # A job that outlived the drain has an owner no more.
    complete = all(
        record.answer is not None for record in ledger.records.by_key.values()
    )
    for member, kept in collect_by_successor(process, time.monotonic()).items():
        for batch in split_into_batches(kept):
            if not await send_batch(process, member, batch):
                logger.warning('records stay behind, successor %r', member)
                complete = False
                break
    return complete


def collect_by_successor(
    process: 'agent.Agent',
    now: float,
) -> dict[ids.MemberId, list[TransferItem]]:
    """Return what is kept by the agent that is to take it."""
    kept = process.submissions.key_ownership.records
    kept.remove_expired(now)
    others = [
        member
        for member in process.ready_agents()
        if member.id != process.member.id
    ]
    found: dict[ids.MemberId, list[TransferItem]] = collections.defaultdict(
        list
    )
    for key, record in kept.by_key.items():
        if record.answer is not None:
            target = successor(key, others)
            found[target].append(
                messages.TransferredRecord(
                    *key,
                    record.digest,
                    record.answer,
                    record.expires_at - now,
                ),
            )
    for buried, tombstone in kept.tombstones.items():
        found[successor(buried, others)].append(
            messages.TransferredTombstone(
                *buried,
                tombstone.owner,
                tombstone.expires_at - now,
            ),
        )
    return found


def successor(
    key: records.RecordKey,
    others: list[messages.Member],
) -> ids.MemberId:
    """Return the agent that ranks first for a key; empty if there is none."""
    ranked = views.rank(*key, others)
    return ranked[0].id if ranked else ids.MemberId('')


def split_into_batches(
    kept: list[TransferItem],
) -> typing.Iterator[list[TransferItem]]:
    """Split what one agent takes into messages of bounded size."""
    batch: list[TransferItem] = []
    size = 0
    for item in kept:
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
    """Hand one batch over; `False` if it was not acknowledged."""
    inquirer = process.submissions.inquirer
    reply = await inquirer.exchange(
        member,
        messages.HandOver(
            inquirer.next_request(),
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
    ledger = process.submissions.key_ownership
    now = time.monotonic()
    accepted = 0
    if not ledger.closed:
        for kept in item.records:
            accept_record(ledger.records, kept, now)
        for buried in item.tombstones:
            accept_tombstone(process, buried, now)
        accepted = len(item.records) + len(item.tombstones)
    link.send(messages.HandOverAck(item.request, accepted))


def accept_record(
    kept: records.RecordTable,
    item: messages.TransferredRecord,
    now: float,
) -> None:
    """Keep a record of an agent that stops."""
    kept.add_transferred(
        (item.tenant, item.key),
        records.Record(
            job=item.answer.job,
            digest=item.digest,
            phase=records.RecordPhase.finished,
            answer=item.answer,
            expires_at=now + item.expires_in_s,
            size_bytes=records.answer_size_bytes(item.answer),
        ),
    )


def accept_tombstone(
    process: 'agent.Agent',
    item: messages.TransferredTombstone,
    now: float,
) -> None:
    """Keep a promise of an agent that stops, unless the key is known."""
    kept = process.submissions.key_ownership.records
    key = (item.tenant, item.key)
    if item.owner == process.member.id or key in kept.by_key:
        return
    if kept.tombstone_owner(key, now) is None:
        kept.tombstones[key] = records.Tombstone(
            item.owner,
            now + item.expires_in_s,
        )
