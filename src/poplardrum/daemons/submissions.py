"""Submissions to an agent's coordinator: their records and replies."""

import asyncio
import dataclasses
import logging
import time
import typing

from poplardrum import errors, ids
from poplardrum.coordination import (
    key_ownership,
    key_queries,
    records,
    stability,
)
from poplardrum.daemons import key_querier, submission_replies
from poplardrum.peers import handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

logger = logging.getLogger(__name__)

_EXPIRY_INTERVAL_S: typing.Final = 1.0
# Fraction of the silence limit for which an agent counts as stable; the rest
# allows for clocks of different rates.
_LEASE_FRACTION: typing.Final = 0.9


@dataclasses.dataclass
class PendingSubmission:
    """Submission of an unknown key while its key query is running.

    `frame_age_s` is the age of its frame at `started_at`, which is monotonic
    seconds.
    """

    item: messages.SubmitJob
    frame_age_s: float
    started_at: float
    query: key_queries.KeyQuery
    waiters: list[submission_replies.Waiter]

    @property
    def key(self) -> records.RecordKey:
        """Return the key of the submission."""
        return (self.item.tenant, self.item.key)


class Submissions:
    """Start, attach, redirect or refuse submissions by the record of a key."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Create the tables without records."""
        limits = process.settings.limits
        self.process = process
        self.records = records.RecordTable(
            limits.records,
            limits.window,
            limits.answers,
        )
        self.stability = stability.StabilityTracker(
            time.monotonic(),
            process.settings.peers.silence * _LEASE_FRACTION,
        )
        self.key_ownership = key_ownership.KeyOwnership(
            process.view,
            self.records,
            self.stability,
        )
        self.key_querier = key_querier.KeyQuerier(process)
        self.waiters: dict[
            records.RecordKey, list[submission_replies.Waiter]
        ] = {}
        self.undecided: dict[records.RecordKey, PendingSubmission] = {}

    async def expire(self) -> None:
        """Remove expired records at an interval until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.records.remove_expired(time.monotonic())

    def submit(self, item: messages.SubmitJob, link: links.Link) -> None:
        """Attach to a known job, or start an unknown one after a key query.

        A key with a tombstone is redirected to the agent that it names. Other
        unknown keys are refused while this agent stops.
        """
        key = (item.tenant, item.key)
        waiter = submission_replies.Waiter(link, item.request, item.wait)
        if self.attach_if_known(item, key, waiter):
            return
        owner = self.records.tombstone_owner(key, time.monotonic())
        if owner is not None:
            submission_replies.redirect(waiter, owner)
        elif self.process.stopping.is_set():
            submission_replies.refuse(
                waiter, errors.Code.stopping, 'agent is stopping'
            )
        else:
            self.start_query(item, waiter, link.frame_age)

    def attach_if_known(
        self,
        item: messages.SubmitJob,
        key: records.RecordKey,
        waiter: submission_replies.Waiter,
    ) -> bool:
        """Attach to a known submission; return `False` for an unknown key."""
        record = self.records.get(key)
        submission = self.undecided.get(key)
        if record is None and submission is None:
            return False
        known = record or (submission and submission.item)
        if known and known.digest != item.digest:
            submission_replies.refuse(
                waiter,
                errors.Code.key_reused,
                'the idempotency key was used with another body',
            )
        elif record is not None:
            self.attach(key, record, waiter)
        elif submission is not None:
            submission.waiters.append(waiter)
        return True

    def start_query(
        self,
        item: messages.SubmitJob,
        waiter: submission_replies.Waiter,
        age: float,
    ) -> None:
        """Start a key query whether an unknown key may start here."""
        key = (item.tenant, item.key)
        now = time.monotonic()
        # A frame that was delayed that long may be older than a resubmission
        # to another agent, sent while this agent did not reply.
        fresh = age < self.process.settings.peers.silence
        attempt = key_queries.SubmissionAttempt(
            item.first and fresh,
            self.key_ownership.retention_time(
                max(item.client_timeout_ms, item.deadline_ms) / 1000
            ),
            frozenset(item.unreachable),
        )
        query = self.key_ownership.start_query(key, attempt, now)
        submission = PendingSubmission(item, age, now, query, [waiter])
        if query.outcome is not None:
            self.apply_outcome(submission)
            return
        self.undecided[key] = submission
        self.process.spawn(self.run_query(submission), f'key query {item.key}')

    async def run_query(self, submission: PendingSubmission) -> None:
        """Query the other agents, then apply the outcome."""
        key = submission.key
        try:
            await self.key_querier.run(key, submission.query)
        finally:
            self.undecided.pop(key, None)
            self.key_ownership.end_query(key, submission.query)
        self.apply_outcome(submission)

    def apply_outcome(self, submission: PendingSubmission) -> None:
        """Start, attach, redirect or refuse by the outcome of a key query."""
        query = submission.query
        record = self.records.get(submission.key)
        unknown = query.outcome is key_queries.QueryOutcome.unknown
        if record is None and unknown:
            self.start(submission)
            return
        for waiter in submission.waiters:
            if record is not None:
                self.attach(submission.key, record, waiter)
            else:
                self.answer_not_started(waiter, query)

    def answer_not_started(
        self, waiter: submission_replies.Waiter, query: key_queries.KeyQuery
    ) -> None:
        """Reply to a request whose key is not started here."""
        if query.owner is not None:
            submission_replies.redirect(waiter, query.owner)
        elif query.outcome is key_queries.QueryOutcome.indeterminate:
            submission_replies.reply(waiter, submission_replies.indeterminate())
        else:
            submission_replies.refuse(
                waiter,
                errors.Code.unavailable,
                'an agent that ranks higher is not known to be gone',
                retry_after=1,
            )

    def start(self, submission: PendingSubmission) -> None:
        """Add the record of an unknown key and start its job."""
        item, key = submission.item, submission.key
        now = time.monotonic()
        try:
            self.check_start(submission, now)
            record = records.Record(ids.new_job_id(*key), item.digest)
            self.records.add(key, record, now)
        except errors.PoplardrumError as error:
            for refused in submission.waiters:
                submission_replies.refuse(
                    refused,
                    error.code,
                    error.message,
                    error.retry_after,
                )
            return
        for waiter in submission.waiters:
            self.attach(key, record, waiter)
        self.process.coordinator.start_job(
            record.job,
            item,
            submission.frame_age_s + now - submission.started_at,
        )

    def check_start(self, submission: PendingSubmission, now: float) -> None:
        """Raise a refusal if the job must not start any more."""
        if self.process.stopping.is_set():
            raise errors.refusal(errors.Code.stopping, 'agent is stopping')
        if submission.item.refusal_retry_after_s is not None:
            raise errors.refusal(
                errors.Code.overload,
                'the tenant has used up its share or quota',
                submission.item.refusal_retry_after_s,
            )
        waited = submission.frame_age_s + now - submission.started_at
        if waited * 1000 >= submission.item.deadline_ms:
            raise errors.refusal(errors.Code.deadline, 'deadline has passed')
        # Tombstones of other agents are kept only for a margin beyond the
        # time of the job.
        if now - submission.started_at > key_ownership.RETENTION_MARGIN_S / 2:
            raise errors.refusal(
                errors.Code.unavailable,
                'the inquiry took too long',
                retry_after=1,
            )

    def attach(
        self,
        key: records.RecordKey,
        record: records.Record,
        waiter: submission_replies.Waiter,
    ) -> None:
        """Reply from a record, now or at the end of its job."""
        if record.answer is not None:
            submission_replies.reply(waiter, record.answer)
        elif waiter.wait:
            self.waiters.setdefault(key, []).append(waiter)
        else:
            submission_replies.reply(
                waiter, submission_replies.accepted(record.job)
            )

    def finished(
        self,
        key: records.RecordKey,
        answer: messages.Answer,
    ) -> None:
        """Store the answer of a job and send it to all waiting entries."""
        self.records.finish_record(key, answer, time.monotonic())
        for waiter in self.waiters.pop(key, []):
            submission_replies.reply(waiter, answer)

    def find_record(
        self,
        key: records.RecordKey,
        waiter: submission_replies.Waiter,
    ) -> records.Record | None:
        """Return the record of a key; else reply with its owner, or search.

        `None` means that the reply is sent or will be.
        """
        record = self.records.get(key)
        if record is not None:
            return record
        owner = self.records.tombstone_owner(key, time.monotonic())
        if owner is not None:
            submission_replies.redirect(waiter, owner)
            return None
        self.process.spawn(self.search_owner(key, waiter), f'search {key[1]}')
        return None

    async def search_owner(
        self, key: records.RecordKey, waiter: submission_replies.Waiter
    ) -> None:
        """Search for the owner of a key at the other agents."""
        retention_s = self.key_ownership.retention_time(
            self.process.settings.limits.deadline
        )
        query = self.key_ownership.start_query(
            key,
            key_queries.SubmissionAttempt(
                is_first=False, retention_s=retention_s, read_only=True
            ),
            time.monotonic(),
        )
        await self.key_querier.run(key, query)
        if query.owner is not None:
            submission_replies.redirect(waiter, query.owner)
        elif query.outcome is key_queries.QueryOutcome.indeterminate:
            submission_replies.reply(waiter, submission_replies.indeterminate())
        else:
            submission_replies.refuse(
                waiter, errors.Code.unknown_job, 'unknown job'
            )

    def clean(self) -> bool:
        """Return whether all keys started under this agent's id are known."""
        retention_s = self.key_ownership.retention_time(
            self.process.settings.limits.deadline
        )
        return self.stability.is_clean(time.monotonic(), retention_s)

    def link_up(self, link: links.Link) -> None:
        """Record a new link of an entry."""
        if link.member.role is messages.Role.entry:
            self.stability.record_link_up(link.member.id, time.monotonic())

    def link_down(self, link: links.Link) -> None:
        """Record the loss of a link."""
        self.key_querier.link_down(link)
        if link.member.role is messages.Role.entry:
            planned = link.member.state is messages.MemberState.gone
            self.stability.record_link_down(
                link.member.id,
                time.monotonic(),
                planned=planned,
            )

    def frame_received(self, link: links.Link) -> None:
        """Record the time of the last frame that an entry has received."""
        if link.member.role is messages.Role.entry:
            self.stability.record_echo(link.member.id, link.echo)


@handlers.receive.register(messages.SubmitJob)
def _submit(
    item: messages.SubmitJob,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.submissions.submit(item, link)


@handlers.receive.register(messages.FetchJob)
def _fetch(
    item: messages.FetchJob,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    submissions = process.submissions
    key = (item.tenant, item.key)
    waiter = submission_replies.Waiter(link, item.request, item.wait)
    record = submissions.find_record(key, waiter)
    if record is not None:
        submissions.attach(key, record, waiter)


@handlers.receive.register(messages.CancelJob)
def _cancel(
    item: messages.CancelJob,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    submissions = process.submissions
    key = (item.tenant, item.key)
    waiter = submission_replies.Waiter(link, item.request)
    record = submissions.find_record(key, waiter)
    if record is not None:
        submissions.attach(key, record, waiter)
        process.coordinator.cancel(record.job)
