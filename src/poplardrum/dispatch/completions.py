"""Completions that an endpoint lists, and their acknowledgement."""

import dataclasses
import math
import typing

from poplardrum import ids
from poplardrum.dispatch import endpoint_runs, messages, timing
from poplardrum.platform import endpoints

# The endpoint retains completions of stored jobs with these outcomes until
# they are recorded in the store.
_RETAINED_OUTCOMES: typing.Final = frozenset(
    (messages.Outcome.done, messages.Outcome.failed),
)
# Time without an acknowledgement after which a completion is sent again.
_RESEND_AFTER_S: typing.Final = 0.5
# Interval at which an overdue completion is sent to all entries.
_BROADCAST_INTERVAL_S: typing.Final = 2.0
_MAX_RESENT_AT_ONCE: typing.Final = 100
# Completions that the endpoint may retain because an earlier one is not
# acknowledged. If it retains more than a report lists, new completions do not
# appear in its reports.
_MAX_BACKLOG: typing.Final = endpoints.MAX_LISTED_COMPLETIONS // 2


@dataclasses.dataclass
class RetainedCompletion:
    """A completion that is not acknowledged yet.

    `entry` is the incarnation that started the run, if known. It outlives the
    session, in which the entry may not have heard of the completion.

    Once it is overdue, the entry is taken for one that cannot store it, and any
    entry may be the next owner of the job. One that `is_overtaken` by a later
    run stays so, whatever other entries say.
    """

    message: messages.UnackedCompletion
    entry: ids.Incarnation | None
    retained_at: float
    sent_at: float
    broadcast_at: float = -math.inf
    is_overtaken: bool = False

    def is_overdue(self, now: float) -> bool:
        """Return whether its entry has not acknowledged it for too long."""
        return now - self.retained_at > timing.COMPLETION_OVERDUE_S

    def is_due(self, now: float) -> bool:
        """Return whether it has to be sent again."""
        if self.is_overtaken:
            return False
        if self.is_overdue(now):
            return now - self.broadcast_at > _BROADCAST_INTERVAL_S
        return now - self.sent_at > _RESEND_AFTER_S

    def record_sent(self, now: float) -> None:
        """Record that it is sent now."""
        self.sent_at = now
        if self.is_overdue(now):
            self.broadcast_at = now


class CompletionTracker:
    """Track which completions of an endpoint are listed and acknowledged.

    The endpoint numbers the completions of its incarnation and drops all up
    to a number, so one that is not acknowledged retains all later ones too.
    """

    def __init__(self) -> None:
        """Create a tracker without completions."""
        self.incarnation = 0
        self.last_listed = 0
        self.unacknowledged: dict[int, RetainedCompletion] = {}
        # Since when one of them is overtaken.
        self.overtaken_since: float | None = None

    def reset(self, incarnation: int) -> None:
        """Start over for an incarnation without completions."""
        self.incarnation = incarnation
        self.last_listed = 0
        self.unacknowledged.clear()
        self.overtaken_since = None

    def must_retain(
        self, run: endpoint_runs.Run | None, outcome: messages.Outcome
    ) -> bool:
        """Return whether a completion has to be acknowledged.

        An unknown run may be of a stored job: an earlier process of this agent
        started it, or an entry that is gone.
        """
        return outcome in _RETAINED_OUTCOMES and (run is None or run.stored)

    def observe(self, number: int) -> bool:
        """Record a listed completion; return whether it is new."""
        if number <= self.last_listed:
            return False
        self.last_listed = number
        return True

    def has_unclaimed(
        self,
        linked_entries: typing.Container[ids.Incarnation | None],
        now: float,
    ) -> bool:
        """Return whether any entry may have to hear of a completion.

        That is so if its entry has no link, or if it is overdue.
        """
        return any(
            retained.entry not in linked_entries or retained.is_overdue(now)
            for retained in self.awaiting_answer()
        )

    def awaiting_answer(self) -> list[RetainedCompletion]:
        """Return the completions of which entries have to hear."""
        return [
            retained
            for retained in self.unacknowledged.values()
            if not retained.is_overtaken
        ]

    def acknowledged_up_to(self) -> int:
        """Return the number up to which the endpoint may drop completions."""
        return (
            min(self.unacknowledged) - 1
            if self.unacknowledged
            else self.last_listed
        )

    def retains(self, job: ids.JobId, run_number: int) -> bool:
        """Return whether a completion of a run with this number is retained."""
        return any(
            retained.message.job == job
            and retained.message.run_number == run_number
            for retained in self.unacknowledged.values()
        )

    def is_backlogged(self) -> bool:
        """Return whether the endpoint retains too many completions."""
        return (
            bool(self.unacknowledged)
            and self.last_listed - self.acknowledged_up_to() > _MAX_BACKLOG
        )

    def discard(self) -> int:
        """Discard what cannot be acknowledged; return how many completions.

        That is all of a backlog, or those that are overtaken.
        """
        is_backlogged = self.is_backlogged()
        discarded = [
            number
            for number, retained in self.unacknowledged.items()
            if is_backlogged or retained.is_overtaken
        ]
        for number in discarded:
            self.unacknowledged.pop(number)
        self.overtaken_since = None
        return len(discarded)

    def retain(
        self,
        run: endpoint_runs.Run | None,
        completion: endpoints.Completion,
        now: float,
    ) -> messages.CompletionId | None:
        """Retain a completion until it is acknowledged; return its id.

        `run` is `None` if this agent does not know the run. A completion
        whose task name is malformed is ignored.
        """
        task_position = endpoint_runs.parse_task_name(completion.task)
        if task_position is None:
            return None
        completion_id = messages.CompletionId(
            self.incarnation, completion.number
        )
        message = messages.UnackedCompletion(
            *task_position,
            completion.run,
            endpoint_runs.OUTCOME_BY_RUN_OUTCOME[completion.outcome],
            completion_id,
        )
        entry = run.session.incarnation if run else None
        self.unacknowledged[completion.number] = RetainedCompletion(
            message, entry, retained_at=now, sent_at=now
        )
        return completion_id

    def acknowledge(
        self, completion_ids: typing.Iterable[messages.CompletionId]
    ) -> bool:
        """Acknowledge completions; return whether any of them was retained."""
        acknowledged = [
            retained.message.completion_id.number
            for retained in self._find(completion_ids)
            if not retained.is_overtaken
        ]
        for number in acknowledged:
            self.unacknowledged.pop(number)
        return bool(acknowledged)

    def reject(
        self, completion_ids: typing.Iterable[messages.CompletionId], now: float
    ) -> bool:
        """Record overtaken completions; return whether any was retained."""
        overtaken = self._find(completion_ids)
        for retained in overtaken:
            retained.is_overtaken = True
        if overtaken and self.overtaken_since is None:
            self.overtaken_since = now
        return bool(overtaken)

    def _find(
        self, completion_ids: typing.Iterable[messages.CompletionId]
    ) -> list[RetainedCompletion]:
        return [
            self.unacknowledged[completion_id.number]
            for completion_id in completion_ids
            if completion_id.incarnation == self.incarnation
            and completion_id.number in self.unacknowledged
        ]

    def due_for_resend(self, now: float) -> list[RetainedCompletion]:
        """Return completions to send again, and reset their send times."""
        due = [
            retained
            for retained in self.unacknowledged.values()
            if retained.is_due(now)
        ][:_MAX_RESENT_AT_ONCE]
        for retained in due:
            retained.record_sent(now)
        return due
