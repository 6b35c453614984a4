"""Replies of an agent to entries that wait for a submission."""

import typing

from poplardrum import errors, ids
from poplardrum.peers import links, messages


class Waiter(typing.NamedTuple):
    """Request of an entry for a key; `wait` is for the end of the job."""

    link: links.Link
    request: ids.RequestId
    wait: bool = True


def reply(waiter: Waiter, answer: messages.Answer) -> None:
    """Send an answer to the entry that waits for it."""
    waiter.link.send(messages.JobReply(waiter.request, answer))


def redirect(waiter: Waiter, owner: ids.MemberId) -> None:
    """Redirect an entry to the agent that owns the key."""
    waiter.link.send(
        messages.JobReply(waiter.request, indeterminate(), owner),
    )


def refuse(
    waiter: Waiter,
    code: errors.Code,
    message: str,
    retry_after: float | None = None,
) -> None:
    """Refuse a request of which nothing has started."""
    reply(
        waiter,
        messages.Answer(
            ids.JobId(''),
            code,
            errors.Verdict.not_run,
            message,
            retry_after,
        ),
    )


def accepted(job: ids.JobId) -> messages.Answer:
    """Return the answer for a job that still runs."""
    return messages.Answer(
        job,
        errors.Code.accepted,
        errors.Verdict.may_have_run,
    )


def indeterminate() -> messages.Answer:
    """Return the answer for a key whose owner cannot be asked."""
    return messages.Answer(
        ids.JobId(''),
        errors.Code.indeterminate,
        errors.Verdict.may_have_run,
        'an agent that may have started this key cannot be asked',
    )
