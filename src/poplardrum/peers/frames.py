"""Frames: everything that one peer sends to another at one moment."""

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
    """Everything that one peer sends to another at one moment.

    `sent` is the sender's monotonic time in seconds, which lets the
    receiver estimate how long the frame has waited. `echo` is the `sent` of
    the latest frame that the sender had received on this link.
    """

    sent_at: float
    config_number: ids.ConfigNumber
    items: list[AnyItem]
    load: messages.Load | None = None
    echo: float = 0


class JoinRequest(msgspec.Struct, frozen=True):
    """Ask a known peer to let the sender into its view."""

    member: messages.Member


class JoinReply(msgspec.Struct, frozen=True):
    """Answer with all members that the peer knows."""

    members: list[messages.Member]


Payload = typing.Union[Frame, JoinRequest, JoinReply]
