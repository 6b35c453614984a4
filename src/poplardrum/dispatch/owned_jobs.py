"""A stored job of this entry, and what its completions decide."""

import dataclasses
import typing

from poplardrum.dispatch import (
    fleet,
    jobs,
    messages,
    record_writer,
    records,
    unclaimed_completions,
)

STATE_BY_OUTCOME: typing.Final = {
    jobs.JobOutcome.completed: records.State.completed,
    jobs.JobOutcome.failed: records.State.failed,
    jobs.JobOutcome.cancelled: records.State.cancelled,
}


@dataclasses.dataclass
class OwnedJob:
    """A stored job of this entry.

    `unstored` has the completions that were applied and that the store may not
    have yet, with the agents that expect their acknowledgements. The job is
    not `confirmed` while another entry may have taken it over; a write that is
    to find that out `is_reclaiming` it. `unstored_losses` is the number of runs
    that were given up, which the store may not have yet. `is_cancel_checked` says
    whether the last read of the cancel requests has covered the job.
    """

    job: jobs.Job
    pending: record_writer.PendingRecord
    unstored: dict[unclaimed_completions.CompletionKey, fleet.Agent] = (
        dataclasses.field(default_factory=dict)
    )
    confirmed: bool = True
    is_reclaiming: bool = False
    unstored_losses: int = 0
    is_cancel_checked: bool = False

    def is_marker_outdated(self) -> bool:
        """Return whether the marker does not say yet that the job has begun."""
        pending = self.pending
        return (
            pending.has_begun
            and not (pending.dirty or pending.is_writing)
            and pending.stored_marker != pending.marker_content()
        )

    def handle_redelivery(
        self, agent: fleet.Agent, completion_id: messages.CompletionId
    ) -> None:
        """Acknowledge a completion that the record has, once it is stored.

        The sender may be a new process of the agent, which has to be acknowledged
        in place of the earlier one.
        """
        key = (agent.node, completion_id)
        if key in self.unstored:
            self.unstored[key] = agent
        else:
            unclaimed_completions.acknowledge([(agent, completion_id)])


def decided_outcome(job: jobs.Job) -> jobs.JobOutcome | None:
    """Return the outcome if the completions so far decide it."""
    if any(task.failures >= job.max_attempts for task in job.tasks):
        return jobs.JobOutcome.failed
    if all(task.phase is jobs.Phase.done for task in job.tasks):
        return jobs.JobOutcome.completed
    return None
