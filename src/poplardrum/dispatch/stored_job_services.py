"""What an entry needs to own stored jobs, put together."""

import typing

from poplardrum.dispatch import (
    coordinator,
    membership,
    ownership,
    record_writer,
    stored_jobs,
    takeover,
)
from poplardrum.platform import settings_file, store

# Seconds between looks at whether this entry may still own jobs.
_VALIDITY_CHECK_INTERVAL_S: typing.Final = 0.1


class StoredJobServices:
    """Records, ownership and the requests about stored jobs."""

    def __init__(
        self,
        config: settings_file.ProcessSettings,
        records: store.RecordStore,
        jobs: coordinator.Coordinator,
        announcement: membership.Announcement,
    ) -> None:
        """Own jobs while the announcement is in force."""
        self.writer = record_writer.RecordWriter(
            records,
            config.writes_per_second,
            config.node,
        )
        self.ownership = ownership.Ownership(
            announcement.member.incarnation,
            jobs,
            self.writer,
            announcement.is_valid,
        )
        jobs.on_unclaimed_completion = self.ownership.handle_unclaimed
        owners = takeover.OwnerTracker()
        self.takeover = takeover.Takeover(records, self.ownership, owners)
        self.stored_jobs = stored_jobs.StoredJobs(
            records,
            self.ownership,
            owners,
            config.node,
            config.states_kept,
        )

    def background_loops(
        self,
    ) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        """Return what has to run all the time."""
        return [
            self.writer.run(),
            self.ownership.monitor_validity(_VALIDITY_CHECK_INTERVAL_S),
            self.takeover.run(),
            self.takeover.look_up_unclaimed(),
            self.stored_jobs.poll_cancels(),
            self.stored_jobs.publish_counts(),
            self.stored_jobs.remove_expired_records(),
        ]
