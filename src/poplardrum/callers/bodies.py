"""JSON bodies of replies to callers."""

import msgspec


class TaskReply(msgspec.Struct, frozen=True):
    """Outcome of one task; `seconds` is its time at the worker.

    With `safe_to_resubmit` the task may be submitted again under a new key
    without running a non-idempotent request twice.
    """

    code: str
    verdict: str
    output: str
    worker: str
    seconds: float
    safe_to_resubmit: bool


class JobReplyBody(msgspec.Struct, frozen=True):
    """Body of every reply about a job."""

    key: str
    job: str
    state: str
    code: str
    verdict: str
    message: str
    retry_after_ms: int | None
    tasks: list[TaskReply]
