"""Set-up of an entry's services for stored jobs."""

from poplardrum.dispatch import (
    cancel_reads,
    coordinator,
    job_release,
    lifecycle,
    membership,
    messages,
    ownership,
    ownership_validity,
    record_writer,
    stored_jobs,
    takeover,
    waiting_jobs,
)
from poplardrum.platform import settings_file, store


class StoredJobServices:
    """Record writer, ownership, takeover and requests of stored jobs."""

    def __init__(
        self,
        config: settings_file.ProcessSettings,
        record_store: store.RecordStore,
        job_coordinator: coordinator.Coordinator,
        announcement: membership.Announcement,
    ) -> None:
        """Own jobs while the announcement is valid."""
        self.announcement = announcement
        self.writer = record_writer.RecordWriter(
            record_store,
            config.writes_per_second,
            config.node,
        )
        self.ownership = ownership.Ownership(
            announcement.member.incarnation,
            job_coordinator,
            self.writer,
            announcement.is_valid,
            cancel_reads.CancelReads(config.cancel_bound),
        )
        self.validity = ownership_validity.ValidityMonitor(self.ownership)
        job_coordinator.reachability.store_contact = announcement.store_contact
        job_coordinator.on_owner_message = self.ownership.handle_message
        owner_tracker = takeover.OwnerTracker()
        self.takeover = takeover.Takeover(
            record_store, self.ownership, owner_tracker
        )
        self.release = job_release.JobRelease(self.ownership)
        self.stored_jobs = stored_jobs.StoredJobs(
            record_store,
            self.ownership,
            waiting_jobs.WaitingJobs(record_store, self.ownership),
            config.states_kept,
        )

    def grant_owner_lease(self) -> messages.OwnerLeaseGrant:
        """Return for how long agents may run the stored jobs from now on."""
        return messages.OwnerLeaseGrant(
            self.announcement.time_left(),
            self.ownership.cancels.start_time_left(),
        )

    def background_loops(
        self,
    ) -> list[tuple[str, lifecycle.BackgroundLoop]]:
        """Return the loops that have to run all the time, by name."""
        return [
            ('records', self.writer.run),
            ('ownership', self.validity.run),
            ('takeover', self.takeover.run),
            ('unclaimed jobs', self.takeover.look_up_unclaimed),
            ('cancellations', self.stored_jobs.poll_cancels),
            ('job markers', self.stored_jobs.waiting.update_markers),
            ('expired records', self.stored_jobs.remove_expired_records),
        ]
