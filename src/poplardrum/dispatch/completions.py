"""Ends that an endpoint lists, and those that it has to remember."""

import dataclasses
import typing

from poplardrum.dispatch import endpoint_runs, entry_sessions, messages
from poplardrum.platform import endpoints

# Seconds after which an end that was not noted is told again.
_RESEND_AFTER_S: typing.Final = 0.5
_MAX_RESENT_AT_ONCE: typing.Final = 100
# Ends that may pile up behind one that is not noted. An endpoint that
# remembers more than its reports list hides what ends.
_MAX_BACKLOG: typing.Final = endpoints.MAX_LISTED_COMPLETIONS // 2


@dataclasses.dataclass
class RetainedCompletion:
    """An end that is not noted yet; `owner` is the entry of its run."""

    message: messages.UnackedCompletion
    owner: entry_sessions.EntrySession | None
    sent_at: float


class CompletionTracker:
    """Track how far the ends of an endpoint's life are known and noted.

    The endpoint forgets ends up to a number, so one that has to be
    remembered keeps all later ones as well.
    """

    def __init__(self) -> None:
        """Start before the first end."""
        self.incarnation = 0
        self.last_listed = 0
        self.unacknowledged: dict[int, RetainedCompletion] = {}

    def reset(self, born: int) -> None:
        """Start over for a life of the endpoint that has ended nothing."""
        self.incarnation = born
        self.last_listed = 0
        self.unacknowledged.clear()

    def observe(self, number: int) -> bool:
        """Return whether an end was not seen before; see it."""
        if number <= self.last_listed:
            return False
        self.last_listed = number
        return True

    def acknowledged_up_to(self) -> int:
        """Return up to which number the endpoint may forget."""
        return (
            min(self.unacknowledged) - 1
            if self.unacknowledged
            else self.last_listed
        )

    def is_backlogged(self) -> bool:
        """Return whether too many ends wait to be forgotten."""
        return (
            bool(self.unacknowledged)
            and self.last_listed - self.acknowledged_up_to() > _MAX_BACKLOG
        )

    def discard_unacknowledged(self) -> int:
        """Forget ends that nobody noted; return how many."""
        count = len(self.unacknowledged)
        self.unacknowledged.clear()
        return count

    def retain(
        self,
        task: endpoint_runs.Run | None,
        ended: endpoints.Completion,
        now: float,
    ) -> messages.CompletionId | None:
        """Keep an end until it is noted; return its name.

        `task` is the run if it is known here.
        """
        named = endpoint_runs.parse_task_name(ended.task)
        if named is None:
            return None
        end_id = messages.CompletionId(self.incarnation, ended.number)
        unacked = messages.UnackedCompletion(
            *named,
            ended.run,
            endpoint_runs.OUTCOME_BY_END[ended.outcome],
            end_id,
        )
        owner = task.session if task else None
        self.unacknowledged[ended.number] = RetainedCompletion(
            unacked, owner, now
        )
        return end_id

    def acknowledge(
        self, end_ids: typing.Iterable[messages.CompletionId]
    ) -> bool:
        """Let the endpoint forget ends; return whether that changed any."""
        found = [
            self.unacknowledged.pop(end_id.number, None)
            for end_id in end_ids
            if end_id.incarnation == self.incarnation
        ]
        return any(found)

    def due_for_resend(self, now: float) -> list[RetainedCompletion]:
        """Return ends to tell again."""
        found = [
            each
            for each in self.unacknowledged.values()
            if now - each.sent_at > _RESEND_AFTER_S
        ]
        for each in found[:_MAX_RESENT_AT_ONCE]:
            each.sent_at = now
        return found[:_MAX_RESENT_AT_ONCE]
