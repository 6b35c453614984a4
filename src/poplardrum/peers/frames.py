"""Frames: batches of items that one peer sends to another."""

import typing

import msgspec

from poplardrum import ids
from poplardrum.peers import messages

LinkItem = (
    messages.Hello
    | messages.View
    | messages.Heartbeat
    | messages.Leaving
    | messages.ConfigUpdate
)
JobItem = (
    messages.SubmitJob
    | messages.FetchJob
    | messages.CancelJob
    | messages.JobReply
)
TaskItem = (
    messages.Start
    | messages.Reserve
    | messages.Claim
    | messages.NoTask
    | messages.Release
    | messages.Withdraw
    | messages.StopTasks
    | messages.QueryTasks
    | messages.Done
    | messages.NotStarted
    | messages.TaskRunning
)
RecordItem = (
    messages.AskRecord
    | messages.RecordReply
    | messages.HandOver
    | messages.HandOverAck
)
AnyItem = LinkItem | JobItem | TaskItem | RecordItem


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """Batch of items with the current state of the sender.

    `sent_at` is the sender's monotonic time in seconds, from which the
    receiver estimates how long the frame was delayed. `echo` is the `sent_at`
    of the latest frame that the sender had received on this link.
    """

    sent_at: float
    config_number: ids.ConfigNumber
    items: list[AnyItem]
    load: messages.Load | None = None
    echo: float = 0


class JoinRequest(msgspec.Struct, frozen=True):
    """Request to add the sender to the membership view of a known peer."""

    member: messages.Member


class JoinReply(msgspec.Struct, frozen=True):
    """Reply to a join request with all members that the peer knows."""

    members: list[messages.Member]


Payload = typing.Union[Frame, JoinRequest, JoinReply]
