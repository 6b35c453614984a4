"""The coordinator side of an agent: submissions, their records and replies."""

import time
import typing

from poplardrum import errors, ids
from poplardrum.coordination import records
from poplardrum.peers import dispatch, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent


class Waiter(typing.NamedTuple):
    """An entry's request that waits for a job's answer."""

    link: links.Link
    request: ids.RequestId


class Submissions:
    """Decide by the record of a key what a submission means."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without records."""
        limits = process.settings.limits
        self.process = process
        self.records = records.Records(limits.records, limits.window)
        self.waiters: dict[records.RecordKey, list[Waiter]] = {}

    def submit(self, item: messages.SubmitJob, link: links.Link) -> None:
        """Start an unknown job, or attach to a known one."""
        key = (item.tenant, item.key)
        waiter = Waiter(link, item.request)
        record = self.records.get(key)
        if record is None:
            self.start(item, waiter, link.frame_age)
            return
        if record.digest != item.digest:
            self.refuse(
                waiter,
                errors.Code.key_reused,
                'the idempotency key was used with another body',
            )
            return
        self.attach(key, record, waiter, wait=item.wait)

    def start(
        self,
        item: messages.SubmitJob,
        waiter: Waiter,
        age: float,
    ) -> None:
        """Add the record of an unknown key and start its job."""
        if self.process.stopping.is_set():
            self.refuse(waiter, errors.Code.stopping, 'agent is stopping')
            return
        if item.refuse_after is not None:
            self.refuse(
                waiter,
                errors.Code.overload,
                'the tenant has used up its share or quota',
                item.refuse_after,
            )
            return
        key = (item.tenant, item.key)
        record = records.Record(ids.new_job(*key), item.digest)
        try:
            self.records.add(key, record, time.monotonic())
        except errors.PoplardrumError as error:
            self.refuse(waiter, error.code, error.message, error.retry_after)
            return
        self.attach(key, record, waiter, wait=item.wait)
        self.process.coordinator.start(record.job, item, age)

    def attach(
        self,
        key: records.RecordKey,
        record: records.Record,
        waiter: Waiter,
        *,
        wait: bool,
    ) -> None:
        """Answer from a record, now or at the end of its job."""
        if record.answer is not None:
            self.reply(waiter, record.answer)
        elif wait:
            self.waiters.setdefault(key, []).append(waiter)
        else:
            self.reply(waiter, _accepted(record.job))

    def finished(
        self,
        key: records.RecordKey,
        answer: messages.Answer,
    ) -> None:
        """Keep the answer of a job and send it to all who wait for it."""
        self.records.finish(key, answer, time.monotonic())
        for waiter in self.waiters.pop(key, []):
            self.reply(waiter, answer)

    def reply(self, waiter: Waiter, answer: messages.Answer) -> None:
        """Send an answer to the entry that waits for it."""
        waiter.link.send(messages.JobReply(waiter.request, answer))

    def refuse(
        self,
        waiter: Waiter,
        code: errors.Code,
        message: str,
        retry_after: float | None = None,
    ) -> None:
        """Refuse a request of which nothing has started."""
        self.reply(
            waiter,
            messages.Answer(
                ids.JobId(''),
                code,
                errors.Verdict.not_run,
                message,
                retry_after,
            ),
        )


def _accepted(job: ids.JobId) -> messages.Answer:
    return messages.Answer(
        job,
        errors.Code.accepted,
        errors.Verdict.may_have_run,
    )


@dispatch.receive.register(messages.SubmitJob)
def _submit(
    item: messages.SubmitJob,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.submissions.submit(item, link)


@dispatch.receive.register(messages.FetchJob)
def _fetch(
    item: messages.FetchJob,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    submissions = process.submissions
    key = (item.tenant, item.key)
    waiter = Waiter(link, item.request)
    record = submissions.records.get(key)
    if record is None:
        submissions.refuse(waiter, errors.Code.unknown_job, 'unknown job')
        return
    submissions.attach(key, record, waiter, wait=item.wait)


@dispatch.receive.register(messages.CancelJob)
def _cancel(
    item: messages.CancelJob,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    submissions = process.submissions
    key = (item.tenant, item.key)
    waiter = Waiter(link, item.request)
    record = submissions.records.get(key)
    if record is None:
        submissions.refuse(waiter, errors.Code.unknown_job, 'unknown job')
        return
    submissions.attach(key, record, waiter, wait=True)
    process.coordinator.cancel(record.job)
