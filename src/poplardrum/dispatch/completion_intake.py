"""Completions of stored jobs that come outside the owner's own runs.

Agents send a completion again, to its owner or to all entries, until it is
acknowledged.
"""

from poplardrum.dispatch import (
    completion_verdicts,
    coordinator,
    fleet,
    jobs,
    messages,
    owned_jobs,
    unclaimed_completions,
)


class CompletionIntake:
    """Apply completions to owned jobs; keep those of other jobs."""

    def __init__(
        self,
        job_coordinator: coordinator.Coordinator,
        unclaimed: unclaimed_completions.UnclaimedCompletions,
    ) -> None:
        """Apply completions at `job_coordinator`."""
        self.coordinator = job_coordinator
        self.unclaimed = unclaimed

    def handle(
        self,
        agent: fleet.Agent,
        message: messages.UnackedCompletion,
        owned: owned_jobs.OwnedJob | None,
    ) -> None:
        """Handle a completion; its job is `owned` by this entry, or not.

        If the job is over and its record not stored yet, the completion is
        answered once it is.
        """
        self.unclaimed.add(agent, message)
        if owned is None:
            self.unclaimed.request_look_up(message.job)
        elif not owned.pending.record.is_over():
            self.apply_unclaimed(owned)

    def apply_unclaimed(self, owned: owned_jobs.OwnedJob) -> None:
        """Apply the completions that were kept for a job."""
        for agent, message in self.unclaimed.pop(owned.job.id):
            self._apply_completion(owned, agent, message)

    def _apply_completion(
        self,
        owned: owned_jobs.OwnedJob,
        agent: fleet.Agent,
        message: messages.UnackedCompletion,
    ) -> None:
        """Apply a completion of a run that this entry may not have started.

        Agents send completions again until they are acknowledged, so one that
        the record has is not applied twice.
        """
        task = owned.job.task_at(message.step, message.index_in_step)
        if task is None:
            return
        run_id = messages.RunId(task.index, message.run_number)
        verdict = completion_verdicts.judge(
            owned.pending.record, run_id, message.outcome, task.latest_start
        )
        match verdict:
            case completion_verdicts.Verdict.settled:
                owned.handle_redelivery(agent, message.completion_id)
            case completion_verdicts.Verdict.overtaken:
                unclaimed_completions.reject(agent, message)
            case completion_verdicts.Verdict.counts:
                self._count_completion(
                    owned,
                    task,
                    agent,
                    messages.Completion(
                        owned.job.id,
                        run_id,
                        message.outcome,
                        message.completion_id,
                    ),
                )

    def _count_completion(
        self,
        owned: owned_jobs.OwnedJob,
        task: jobs.Task,
        agent: fleet.Agent,
        completion: messages.Completion,
    ) -> None:
        """Count a completion, of the current run or besides it."""
        if completion.run.number < task.latest_start:
            self._count_failure(owned, task, agent, completion)
        else:
            self.coordinator.apply_completion(
                owned.job, task, agent, completion
            )

    def _count_failure(
        self,
        owned: owned_jobs.OwnedJob,
        task: jobs.Task,
        agent: fleet.Agent,
        completion: messages.Completion,
    ) -> None:
        """Count a failed run besides the current run of its task."""
        task.failures += 1
        if owned.job.owner is not None:
            owned.job.owner.record_completion(
                owned.job, task, agent, completion
            )
        if task.failures >= owned.job.max_attempts:
            owned.job.resolve(jobs.JobOutcome.failed)
