"""Refusals and time-outs of the jobs for which a caller waits."""

import asyncio
import typing

from poplardrum import errors, ids
from poplardrum.dispatch import job_placer, jobs, return_times


class JobDeadlines:
    """End jobs that have not started, or are not over, in time."""

    def __init__(
        self,
        jobs_by_id: typing.Mapping[ids.JobId, jobs.Job],
        placer: job_placer.JobPlacer,
        *,
        has_short_room: bool,
    ) -> None:
        """End jobs of `jobs_by_id`, which `placer` places."""
        self.jobs = jobs_by_id
        self.placer = placer
        self.has_short_room = has_short_room
        self.completion_rate = return_times.CompletionRate()
        self.return_times = return_times.ReturnTimes()

    def schedule(self, job: jobs.Job) -> None:
        """Set the timers of a job."""
        loop = asyncio.get_running_loop()
        if self.has_short_room:
            min_slowness = self.placer.index.min_slowness()
            job.any_speed_at = job.last_in_time(min_slowness)
            loop.call_at(job.any_speed_at, self.placer.schedule)
        loop.call_at(job.last_resort_at, self.placer.schedule)
        loop.call_at(job.refuse_at, self._refuse_unstarted, job)
        loop.call_at(job.deadline, self._time_out, job)

    def _refuse_unstarted(self, job: jobs.Job) -> None:
        if job.started or job.outcome.done():
            return
        usable = self.placer.index.usable_count()
        now = asyncio.get_running_loop().time()
        self.placer.order.record_refusal(job, now)
        job.outcome.set_exception(
            errors.refusal(
                errors.Code.overload,
                f'no room in time for {len(job.tasks)} tasks: '
                f'{usable} agents usable, '
                f'{len(self.placer.pending_jobs)} jobs waiting',
                retry_after=self._return_time(job),
            ),
        )

    def _return_time(self, job: jobs.Job) -> float:
        """Return the seconds after which a refused job may come back."""
        now = asyncio.get_running_loop().time()
        backlog = sum(
            each.remaining_work()
            for each in self.jobs.values()
            if not each.outcome.done()
        )
        work = job.remaining_work()
        return self.return_times.promise(
            now, backlog - work, work, self.completion_rate.value()
        )

    def _time_out(self, job: jobs.Job) -> None:
        if not job.started:
            self._refuse_unstarted(job)
        elif not job.outcome.done():
            job.outcome.set_exception(
                errors.uncertain_outcome(
                    errors.Code.deadline, 'deadline passed'
                ),
            )
