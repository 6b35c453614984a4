"""Errors with a code and a verdict on whether the request has run."""

import enum
import typing


class Verdict(enum.Enum):
    """Whether the work of a request has run."""

    not_run = 'not_run'
    may_have_run = 'may_have_run'
    ran = 'ran'


class Code(enum.Enum):
    """Reason for a reply; part of the stable interface for callers."""

    ok = 'ok'
    accepted = 'accepted'
    bad_request = 'bad_request'
    unknown_credential = 'unknown_credential'
    unknown_job = 'unknown_job'
    unknown_route = 'unknown_route'
    key_reused = 'key_reused'
    too_large = 'too_large'
    unsupported = 'unsupported'
    too_many_tasks = 'too_many_tasks'
    quota = 'quota'
    overload = 'overload'
    unavailable = 'unavailable'
    no_configuration = 'no_configuration'
    stopping = 'stopping'
    indeterminate = 'indeterminate'
    link_lost = 'link_lost'
    endpoint_failed = 'endpoint_failed'
    task_failed = 'task_failed'
    deadline = 'deadline'
    cancelled = 'cancelled'
    records_full = 'records_full'
    settings = 'settings'
    rules = 'rules'
    conflict = 'conflict'
    platform = 'platform'
    internal = 'internal'


class PoplardrumError(Exception):
    """Error with a code, a verdict and, for a refusal, a retry time.

    `retry_after` is in seconds; `None` means that the reply states no time.
    """

    def __init__(
        self,
        code: Code,
        verdict: Verdict,
        message: str,
        retry_after: float | None = None,
    ) -> None:
        """Create an error; `message` is for human readers."""
        super().__init__(message)
        self.code = code
        self.verdict = verdict
        self.message = message
        self.retry_after = retry_after


def refusal(
    code: Code,
    message: str,
    retry_after: float | None = None,
) -> PoplardrumError:
    """Return an error for a refused request; nothing of it has started."""
    return PoplardrumError(code, Verdict.not_run, message, retry_after)


def uncertain_outcome(code: Code, message: str) -> PoplardrumError:
    """Return an error for a request that may have run."""
    return PoplardrumError(code, Verdict.may_have_run, message)


def assert_never(value: typing.NoReturn) -> typing.NoReturn:
    """Raise `AssertionError` for a case that the types rule out."""
    raise AssertionError(value)
